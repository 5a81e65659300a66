"""Has homes record placements before tasks are started.

A home that loses its dispatcher hands its jobs to another one, which asks the
workers that may run tasks of them, or waits until their leases have lapsed. It
would start a task a second time if the home didn't know of the first start. So
the home's record precedes the order, as in a write-ahead log:

- If there is room, the home records the worker of a task, and the order to
  start is sent once all homes have answered.
- If there is no room, the homes record that the job is queued. Its tasks are
  then started as soon as there is room, without a further answer. Until their
  placements are recorded, they may run at any worker.
"""

import collections.abc
import math

import attrs

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _holding
from rosemaryroad.dispatching import _state

# The longest time after which a message is sent again and answers to it are
# ignored.
_MAX_ANSWER_TIMEOUT_MS = 500.0

# The interval of probes, as a share of the silence time.
_PROBE_SHARE = 0.3


def start(
    context: _context.Context,
    state: _state.JobState,
    worker: _state.WorkerState,
    order: _state.Order,
    now: float,
) -> None:
    """Sends an order to start, or plans it until the homes have answered."""
    news = context.news_of(state)
    placed = model.Placement(order.task.index, worker.worker.id)
    news.placed.append(placed)
    action = _actions.StartTask(
        worker.worker.id,
        worker.worker.address,
        order.task,
        order.attempt,
        state.job.payload,
        now - state.arrived,
    )
    if state.is_queueing_recorded and _holding.have_homes_answered(
        context, state, now
    ):
        _send_start(context, worker, action, now)
        return
    order.phase = _state.OrderPhase.PLANNED
    order.may_begin_late = False
    news.starts.append(action)
    news.updated_at = now


def announce_queued(
    context: _context.Context, state: _state.JobState, now: float
) -> None:
    """Has a job's homes record that it waits for room."""
    if state.is_over or not state.waiting or state.is_queueing_announced:
        return
    state.is_queueing_announced = True
    news = context.news_of(state)
    news.queued = True
    news.updated_at = now


def placements_recorded(
    context: _context.Context,
    home: str,
    message: model.PlacementsRecorded,
    now: float,
) -> None:
    """Takes in a home's answer, and sends the starts that waited for it."""
    probe = context.probe_by_number.pop(message.number, None)
    if probe is not None:
        _note_answer(context, home, probe.sent_at)
        return
    pending = context.pending_record_by_number.get(message.number)
    if pending is None or pending.state.job.id != message.job:
        return
    if now - pending.sent_at >= _answer_timeout_ms(context):
        # The home may have handed the job on since then.
        return
    _note_answer(context, home, pending.sent_at)
    pending.awaited_homes.discard(home)
    _send_starts_if_recorded(context, message.number, now)


def home_joined(
    context: _context.Context, home: str, state: _state.JobState, now: float
) -> None:
    """Has a new home of a job record what is pending."""
    for _, pending in _pending_records_of(context, state):
        pending.awaited_homes.add(home)
        _tell_home(context, pending, home)
    state.is_queueing_announced = False
    state.is_queueing_recorded = False
    announce_queued(context, state, now)


def home_left(
    context: _context.Context,
    home: str,
    state: _state.JobState,
    now: float,
) -> None:
    """Stops waiting for the answers of a home that has left a job."""
    for number, pending in _pending_records_of(context, state):
        pending.awaited_homes.discard(home)
        _send_starts_if_recorded(context, number, now)


def resend_unanswered(context: _context.Context, now: float) -> None:
    """Sends unanswered messages again; a replaced link may have lost them."""
    timeout_ms = _answer_timeout_ms(context)
    for number, pending in list(context.pending_record_by_number.items()):
        if now - pending.sent_at < timeout_ms:
            continue
        del context.pending_record_by_number[number]
        number = context.next_number()
        message = attrs.evolve(pending.message, number=number)
        resent = attrs.evolve(
            pending,
            message=message,
            awaited_homes=set(pending.state.homes),
            sent_at=now,
        )
        context.pending_record_by_number[number] = resent
        for home in resent.awaited_homes:
            _tell_home(context, resent, home)


def cancel_task_starts(
    context: _context.Context, task: model.TaskId, now: float
) -> None:
    """Cancels the planned starts of a task."""
    orders = context.orders_by_task.get(task, {})
    for worker_id, order in list(orders.items()):
        if order.phase is _state.OrderPhase.PLANNED:
            worker = context.workers_by_id[worker_id]
            context.remove_order(worker, order)
            context.requeue(order, now)


def cancel_job_starts(
    context: _context.Context, state: _state.JobState, now: float
) -> None:
    """Cancels a job's planned starts, and discards its pending records.

    Called when a home submits the job once more: it has handed the job to
    another dispatcher in between, so earlier answers no longer count.
    """
    for number, _ in _pending_records_of(context, state):
        del context.pending_record_by_number[number]
    for task in state.tasks:
        cancel_task_starts(context, task.id, now)
    state.is_queueing_announced = False
    state.is_queueing_recorded = False


def probe_homes(context: _context.Context, now: float) -> None:
    """Probes homes of started jobs that have answered nothing recently."""
    if math.isinf(context.silence_ms):
        return
    since = now - context.silence_ms
    for number, probe in list(context.probe_by_number.items()):
        if probe.sent_at < since:
            del context.probe_by_number[number]
    asked_at = {
        probe.home: probe.sent_at for probe in context.probe_by_number.values()
    }
    pause_ms = context.silence_ms * _PROBE_SHARE
    for state in context.jobs_by_id.values():
        if not state.started:
            continue
        for home in state.homes:
            last_sent_at = max(
                asked_at.get(home, 0.0),
                context.acked_sent_at_by_home.get(home, 0.0),
            )
            if now - last_sent_at >= pause_ms:
                asked_at[home] = now
                _probe(context, state, home, now)


def _probe(
    context: _context.Context, state: _state.JobState, home: str, now: float
) -> None:
    number = context.next_number()
    context.probe_by_number[number] = _state.Probe(home, now)
    message = model.JobProgress(
        state.job.id, state.highest_attempt, number=number
    )
    context.ask(_actions.TellHome(home, message))


def _note_answer(context: _context.Context, home: str, sent_at: float) -> None:
    known = context.acked_sent_at_by_home.get(home, 0.0)
    context.acked_sent_at_by_home[home] = max(known, sent_at)


def _pending_records_of(
    context: _context.Context, state: _state.JobState
) -> collections.abc.Iterable[tuple[int, _state.PendingRecord]]:
    return [
        (number, pending)
        for number, pending in context.pending_record_by_number.items()
        if pending.state is state
    ]


def _answer_timeout_ms(context: _context.Context) -> float:
    """Returns how long after a message its answer still counts."""
    return min(context.silence_ms, _MAX_ANSWER_TIMEOUT_MS)


def _tell_home(
    context: _context.Context, pending: _state.PendingRecord, home: str
) -> None:
    context.ask(_actions.TellHome(home, pending.message))


def _send_starts_if_recorded(
    context: _context.Context, number: int, now: float
) -> None:
    pending = context.pending_record_by_number[number]
    if pending.awaited_homes:
        return
    del context.pending_record_by_number[number]
    state = pending.state
    if pending.message.queued and state.is_queueing_announced:
        state.is_queueing_recorded = True
        context.job_waits(state, now)
    for action in pending.starts:
        worker = context.workers_by_id.get(action.worker)
        order = _planned_order(worker, action)
        if order is None:
            continue
        order.phase = _state.OrderPhase.STARTING
        order.may_begin_late = True
        order.at = now
        order.moved_at = now
        waited_ms = now - state.arrived
        action = attrs.evolve(action, waited_ms=waited_ms)
        _send_start(context, worker, action, now)


def _send_start(
    context: _context.Context,
    worker: _state.WorkerState,
    action: _actions.StartTask,
    now: float,
) -> None:
    # A lease covers all that runs on the worker, whoever prolongs it.
    worker.held_at = now
    context.ask(action)
    if _holding.needs_prolonging(context, worker, now):
        context.ask(_actions.LookAt(worker.worker.id))


def _planned_order(
    worker: _state.WorkerState | None, action: _actions.StartTask
) -> _state.Order | None:
    """Returns the attempt that an order starts, if it is still planned."""
    if worker is None:
        return None
    order = worker.orders_by_key.get((action.task, action.attempt))
    if order is None or order.phase is not _state.OrderPhase.PLANNED:
        return None
    return order
