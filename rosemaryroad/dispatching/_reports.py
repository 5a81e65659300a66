"""What a worker's report tells about the attempts there."""

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _ends
from rosemaryroad.dispatching import _holding
from rosemaryroad.dispatching import _lives
from rosemaryroad.dispatching import _recording
from rosemaryroad.dispatching import _siblings
from rosemaryroad.dispatching import _state

# A task whose progress has not moved for this share of its expected time
# doesn't move at all: workers tell whole per cents, so that even one that
# takes ten times as long shows some.
_STILL_SHARE = 0.3
_STILL_MS = 150.0

# A task whose progress shows that it takes so many times as long as expected
# is slow. A job's estimate is wrong for all of its tasks alike, so the first
# factor tells something of the worker only beside a task of another job; the
# second is beyond what a wrong estimate explains. Earlier in a run, whole per
# cents and the moments of starting tell too little.
_SLOW_FACTOR = 3.0
_SURELY_SLOW_FACTOR = 4.5
_SLOW_AFTER_SHARE = 0.3
_SLOW_AFTER_MS = 60.0

# A look costs a tenth of a millisecond here and there, an end that is told
# late costs the room of a task for some 300 ms.
_LOOK_FACTOR = 1.3
_LOOK_MARGIN_MS = 30.0
_LOOK_AGAIN_MS = 100.0

# A worker that has shown no ordinary pace for this long is asked in the
# middle of a task; the others prove theirs several times a second.
_UNPROVED_MS = 300.0
_UNPROVED_SHARE = 0.4

# A slow task is worth starting again elsewhere if what is
# left of it takes more than twice a whole run there.
_RESTART_GAIN = 2.0

# The room that another dispatcher's task is taken to fill, where nothing
# is known of it: that of the largest task seen so far would keep the
# worker idle, none would have it refuse ours.
_UNKNOWN_NEEDS = model.Needs(1.0, 0, 0)


def take(
    context: _context.Context,
    worker: _state.WorkerState,
    report: model.WorkerReport,
    now: float,
) -> None:
    """Takes in what a worker runs and what has ended there."""
    told_before = worker.told_asked_at
    if not _lives.take_report(context, worker, report, now):
        return
    _heard(context, worker, report, now)
    ended = set()
    for row in report.ended:
        ended.add((row.task, row.attempt))
        _take_end(context, worker, row, report, now)
    running = set()
    for row in report.running:
        running.add((row.task, row.attempt))
        if (row.task, row.attempt) not in worker.orders_by_key:
            order = _take_foreign(context, worker, row, now)
            order.was_found = not worker.is_surveyed
            order.begun_after = told_before
        _take_running(context, worker, row, report, now)
    for key, order in list(worker.orders_by_key.items()):
        if key not in running and key not in ended:
            _take_absence(context, worker, order, report, now)
    _bar_late_starts(context, worker, report, now)
    if context.suspicion_by_key:
        _siblings.take_report(context, worker, now)
    _take_survey(context, worker, report, now)


def _take_survey(
    context: _context.Context,
    worker: _state.WorkerState,
    report: model.WorkerReport,
    now: float,
) -> None:
    """Takes in what a report says about who else may use a worker.

    Until a worker has been asked since most VMs follow this one, its leases
    aren't prolonged, and a task that starts meanwhile has a very short one.
    """
    if report.asked_at < context.led_since:
        # Asked before: without another question now, what starts here lapses
        # before the next regular one.
        if not worker.is_surveyed:
            context.ask(_actions.LookAt(worker.worker.id))
        return
    has_short_leases = bool(worker.orders_by_key) and not worker.is_surveyed
    worker.is_surveyed = True
    if has_short_leases and _holding.may_prolong(context, worker, now):
        context.ask(_actions.LookAt(worker.worker.id))


def _heard(
    context: _context.Context,
    worker: _state.WorkerState,
    report: model.WorkerReport,
    now: float,
) -> None:
    if not worker.reported or worker.silent_since is not None:
        context.note(
            'worker_heard',
            worker.worker.id,
            f'{len(report.running)} running, {len(report.ended)} ended',
        )
    if worker.taken_up_at is None:
        worker.taken_up_at = now
    worker.silent_since = None
    worker.heard_at = now
    unanswered_at = worker.unanswered_at
    if unanswered_at is not None and report.asked_at >= unanswered_at:
        worker.unanswered_at = None
    worker.full = False
    for state in context.expecting:
        if report.asked_at >= state.reports_valid_from:
            state.unseen.pop(worker.worker.id, None)


def _take_end(
    context: _context.Context,
    worker: _state.WorkerState,
    row: model.EndedTask,
    report: model.WorkerReport,
    now: float,
) -> None:
    order = worker.orders_by_key.get((row.task, row.attempt))
    if order is not None:
        _lives.told_of(order, report)
        _ends.attempt_ended(context, worker, order, row.end, now)
        return
    # An attempt of the dispatcher before this one; its job may have come
    # here already.
    state = context.jobs_by_id.get(row.task.job)
    if state is None or row.end is not model.TaskEnd.DONE:
        return
    if row.task.index >= len(state.tasks) or not state.started:
        return
    if not context.orders_by_task.get(row.task):
        _ends.task_done(context, state, row.task.index, now)


def _take_running(
    context: _context.Context,
    worker: _state.WorkerState,
    row: model.RunningTask,
    report: model.WorkerReport,
    now: float,
) -> None:
    order = worker.orders_by_key[row.task, row.attempt]
    if order.phase in (
        _state.OrderPhase.PLANNED,
        _state.OrderPhase.STARTING,
        _state.OrderPhase.IN_DOUBT,
    ):
        order.phase = _state.OrderPhase.RUNNING
    _lives.told_of(order, report)
    order.told(report.worker_clock, now)
    if row.percent != order.percent:
        order.percent = row.percent
        order.moved_at = now
    if order.phase is _state.OrderPhase.RUNNING and order.job is not None:
        _judge_pace(context, worker, order, now)


def _take_foreign(
    context: _context.Context,
    worker: _state.WorkerState,
    row: model.RunningTask,
    now: float,
) -> _state.Order:
    # Whoever started it may have prolonged its lease just now.
    worker.held_at = now
    state = context.jobs_by_id.get(row.task.job)
    needs = state.job.needs if state is not None else _UNKNOWN_NEEDS
    order = _state.Order(row.task, row.attempt, needs, None, now, moved_at=now)
    order.phase = _state.OrderPhase.RUNNING
    order.is_foreign = True
    _recording.cancel_task_starts(context, row.task, now)
    others = dict(context.orders_by_task.get(row.task, {}))
    context.add_order(worker, order)
    if state is None:
        _note_found(context, worker, order, 'no home here waits for it')
        if context.ended.is_cancelled(row.task.job, now):
            context.stop(worker, order, 'cancelled', now)
        return order
    if others or not adopt(state, worker, order):
        # The same task runs or starts elsewhere by our own order, or an
        # older attempt has come back after it was given up.
        _note_found(context, worker, order, 'a second attempt')
        context.stop(worker, order, 'a second attempt', now)
        return order
    _note_found(context, worker, order, 'taken over')
    return order


def _note_found(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    meaning: str,
) -> None:
    context.note(
        'attempt_found',
        worker.worker.id,
        f'{order.task} attempt {order.attempt}: {meaning}',
    )


def adopt(
    state: _state.JobState,
    worker: _state.WorkerState,
    order: _state.Order,
) -> bool:
    """Takes an attempt that another dispatcher started for ours.

    Returns:
        Whether it is of use: its task must be waiting.
    """
    if order.task.index >= len(state.tasks):
        return False
    task = state.tasks[order.task.index]
    if task.phase is not _state.Phase.WAITING:
        return False
    worker.remove(order)
    order.needs = state.job.needs
    order.job = state
    order.adopted = True
    order.is_foreign = False
    worker.add(order)
    task.phase = _state.Phase.PLACED
    task.attempt = max(task.attempt, order.attempt)
    task.order = order
    state.waiting -= 1
    state.started = True
    return True


def _take_absence(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    report: model.WorkerReport,
    now: float,
) -> None:
    phase = order.phase
    if phase in (
        _state.OrderPhase.PLANNED,
        _state.OrderPhase.STARTING,
        _state.OrderPhase.STOPPING,
    ):
        # The answer is still to come; until then nothing is known.
        return
    may_be_before = report.asked_at <= order.answered_at
    if may_be_before and order.since_clock >= report.worker_clock:
        # The report was made before the answer, though it came after it. The
        # clock alone doesn't tell: a worker that doesn't tell its lives may
        # have started again with a clock that is behind.
        return
    if report.asked_at < order.since_asked:
        return
    if phase is _state.OrderPhase.IN_DOUBT:
        if report.asked_at > order.stop_sent_at:
            # The start may yet arrive; only a stop that was answered
            # makes the worker refuse it for good.
            context.stop(worker, order, 'start unanswered', now)
        return
    context.remove_order(worker, order)
    context.requeue(order, now)


def _bar_late_starts(
    context: _context.Context,
    worker: _state.WorkerState,
    report: model.WorkerReport,
    now: float,
) -> None:
    """Has orders refused that another dispatcher gave, and that didn't come.

    One that is carried out late isn't in the report. A stop makes the worker
    refuse it for good.
    """
    for state in context.expecting:
        if report.asked_at < state.came_at:
            continue
        for index in state.placed_by_worker.pop(worker.worker.id, ()):
            task = state.tasks[index]
            known = context.orders_by_task.get(task.id, {})
            if task.phase is _state.Phase.WAITING and (
                worker.worker.id not in known
            ):
                order = _state.Order(
                    task.id, task.attempt, model.Needs(), None, now
                )
                context.add_order(worker, order)
                context.stop(worker, order, 'may start late', now)


def _judge_pace(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    now: float,
) -> None:
    state = order.job
    elapsed = now - order.at
    expected = context.run_times.expected_ms(
        state.job.queue, state.job.estimate_ms
    )
    still_ms = now - order.moved_at
    if still_ms >= max(_STILL_MS, _STILL_SHARE * expected):
        context.suspend(worker, now, f'no progress for {still_ms:.0f} ms')
        _ends.stood_still(context, worker, order, 'no progress', now)
        return
    if order.adopted or order.at < worker.warms_up_until:
        return
    if context.limits.scheduling.paces.compare_siblings:
        _siblings.judge(context, worker, order, now)
        return
    early = elapsed < max(_SLOW_AFTER_MS, _SLOW_AFTER_SHARE * expected)
    if early or order.percent <= 0:
        return
    whole = elapsed * 100.0 / order.percent
    factor = whole / expected
    if factor < _SLOW_FACTOR:
        worker.proved_at = now
        worker.slow_job = ''
        return
    job = state.job.id
    if factor < _SURELY_SLOW_FACTOR and worker.slow_job in ('', job):
        worker.slow_job = job
        return
    context.suspend(worker, now, f'takes {factor:.1f} times as long')
    left = whole - elapsed
    task = state.tasks[order.task.index]
    if left > _RESTART_GAIN * expected + _STILL_MS and not task.failed_on:
        _ends.stood_still(context, worker, order, 'too slow', now)


def look_if_overdue(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    now: float,
) -> bool:
    """Asks for a report where a task should have ended by now.

    The answer that tells of its end may be lost; its room would stand
    empty until the worker is asked again.
    """
    state = order.job
    if state is None or order.phase is not _state.OrderPhase.RUNNING:
        return False
    expected = context.run_times.expected_ms(
        state.job.queue, state.job.estimate_ms
    )
    share = _LOOK_FACTOR * context.run_times.slowness(worker.worker.id)
    if now - worker.proved_at > _UNPROVED_MS:
        share = _UNPROVED_SHARE
    due_ms = share * expected + _LOOK_MARGIN_MS
    if state.runs:
        due_ms = min(due_ms, _siblings.overdue_ms(context, worker, order))
    if now - order.at < due_ms:
        return False
    if now - worker.looked_at < _LOOK_AGAIN_MS:
        return False
    worker.looked_at = now
    context.ask(_actions.LookAt(worker.worker.id))
    return True
