"""In which order jobs start their tasks, and which can't be served."""

import collections.abc
import enum

from rosemaryroad import model
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _holding
from rosemaryroad.dispatching import _load
from rosemaryroad.dispatching import _placement
from rosemaryroad.dispatching import _ranking
from rosemaryroad.dispatching import _recording
from rosemaryroad.dispatching import _state
from rosemaryroad.dispatching import _view

# A job is given up for its deadline only where even a run shorter than
# expected would miss it, since run times spread widely.
_OPTIMISM = 0.7

# A job of which nothing has started by then is refused while its client
# has time to go elsewhere.
_PATIENCE = 0.45

# When to come back where nothing better is known: about one round of the
# longest tasks.
_RETRY_MS = 500.0

_ONLY_DRAINED = 'all workers that are large enough are drained'


class _Fit(enum.Enum):
    """Which workers are large enough for a task.

    Attributes:
        NONE: No worker is.
        ONLY_DRAINED: Only some in drained failure domains are.
        SOME: At least one is that may get tasks.
    """

    NONE = 'none'
    ONLY_DRAINED = 'only_drained'
    SOME = 'some'


def fill(context: _context.Context, now: float) -> None:
    """Starts waiting tasks for as long as there is room."""
    _fill_promised(context, context.take_changes().promised_rooms, now)
    pool = _usable(context, context.workers_by_id.values(), now)
    most = _most_free(pool)
    has_recorded = _has_recorded_job(context)
    for state in context.waiting:
        if most <= 0:
            return
        if not _is_waiting(state) or state.job.needs.cores > most:
            continue
        if has_recorded and not state.is_queueing_recorded:
            _recording.announce_queued(context, state, now)
            continue
        _fill_job(context, state, pool, now)
        most = _most_free(pool)


def fill_changed(context: _context.Context, now: float) -> None:
    """Starts what may start since something has changed.

    After each look at all, nothing that waits fits anywhere. Until the next
    one, only jobs that have come to wait may find room, and only workers
    that have got room may have some. A look at all for each answer of a
    large deployment's workers takes more processor time than there is.
    """
    changes = context.take_changes()
    _fill_promised(context, changes.promised_rooms, now)
    if context.expecting:
        # A report may free jobs that wait for it.
        fill(context, now)
        return
    if not changes.jobs_by_id and not changes.workers_by_id:
        return
    pool = _usable(context, changes.workers_by_id.values(), now)
    most = _most_free(pool)
    has_recorded = _has_recorded_job(context)
    for state in context.waiting:
        if not _is_waiting(state):
            continue
        if has_recorded and not state.is_queueing_recorded:
            _recording.announce_queued(context, state, now)
            continue
        if state.job.id in changes.jobs_by_id:
            everyone = context.workers_by_id.values()
            _fill_job(context, state, _usable(context, everyone, now), now)
        elif state.job.needs.cores <= most:
            _fill_job(context, state, pool, now)
        else:
            continue
        most = _most_free(pool)


def _fill_promised(
    context: _context.Context,
    rooms: collections.abc.Iterable[_state.PromisedRoom],
    now: float,
) -> None:
    """Starts tasks in the room that was promised to their jobs.

    In the order of the queue, another job's task could take room that was
    freed by stopping a third one's.
    """
    for room in rooms:
        worker = context.workers_by_id.get(room.worker)
        if worker is None:
            continue
        started = _fill_worker(context, room.job, worker, now)
        for order in started:
            order.room_lender = room.lender
        if not started and room.lender is not None:
            # The job has found room elsewhere, or is over.
            _fill_worker(context, room.lender, worker, now)


def _fill_worker(
    context: _context.Context,
    state: _state.JobState,
    worker: _state.WorkerState,
    now: float,
) -> list[_state.Order]:
    """Starts a job's tasks at one worker; returns their attempts."""
    if not _is_waiting(state):
        return []
    before = set(worker.orders_by_key)
    _fill_job(context, state, _usable(context, [worker], now), now)
    after = worker.orders_by_key
    return [after[key] for key in after.keys() - before]


def _is_waiting(state: _state.JobState) -> bool:
    return bool(state.waiting) and not state.is_over and not state.unseen


def _has_recorded_job(context: _context.Context) -> bool:
    """Tells whether a waiting job is recorded as queued by its homes.

    Such a job starts without a further answer. While there is one, jobs that
    aren't recorded yet take no room, which would be idle until their homes
    have answered.
    """
    return any(
        state.is_queueing_recorded and _is_waiting(state)
        for state in context.waiting
    )


def _usable(
    context: _context.Context,
    workers: collections.abc.Iterable[_state.WorkerState],
    now: float,
) -> list[_state.WorkerState]:
    return [
        worker
        for worker in workers
        if worker.reported
        and worker.is_kind_known
        and not worker.full
        and not context.is_drained(worker)
        and worker.unanswered_at is None
        and _holding.keeps_tasks(context, worker, now)
    ]


def usable_workers(
    context: _context.Context, now: float
) -> list[_state.WorkerState]:
    """Returns the workers that may get tasks now, room aside."""
    return _usable(context, context.workers_by_id.values(), now)


def _most_free(pool: collections.abc.Iterable[_state.WorkerState]) -> float:
    return max((worker.free_cores for worker in pool), default=0.0)


def refuse_hopeless(context: _context.Context, now: float) -> None:
    """Ends the jobs that can't be answered before their clients leave."""
    for state in list(context.jobs_by_id.values()):
        if state.started:
            _give_up_hopeless(context, state, now)
            continue
        expected = state.expected_ms * _OPTIMISM
        window = state.deadline - state.arrived
        if now + expected > state.deadline:
            detail = f'{state.deadline - now:.0f} ms left of {expected:.0f}'
            refuse(context, state, _view.RefusalCause.DEADLINE, detail, now)
        elif now - state.arrived > _PATIENCE * window:
            detail = f'waited {now - state.arrived:.0f} ms of {window:.0f}'
            cause = _view.RefusalCause.START_TIMEOUT
            refuse(context, state, cause, detail, now)
        else:
            refuse_unless_it_fits(context, state, now)


def _give_up_hopeless(
    context: _context.Context, state: _state.JobState, now: float
) -> None:
    if now >= state.deadline:
        context.settle(state, model.JobEnd.GIVEN_UP, 'deadline passed', now)
    elif state.waiting and _fit(context, state) is _Fit.ONLY_DRAINED:
        # A drain lasts longer than clients wait.
        context.settle(state, model.JobEnd.GIVEN_UP, _ONLY_DRAINED, now)


def refuse_unless_it_fits(
    context: _context.Context, state: _state.JobState, now: float
) -> None:
    """Ends a job that has not started, if no worker could ever run it."""
    fit = _fit(context, state)
    if fit is _Fit.NONE:
        cause = _view.RefusalCause.TOO_LARGE
        refuse(context, state, cause, 'no worker is large enough', now)
    elif fit is _Fit.ONLY_DRAINED:
        cause = _view.RefusalCause.DRAINED
        refuse(context, state, cause, _ONLY_DRAINED, now)


def start_timeout(state: _state.JobState) -> float:
    """Returns when a job is refused if it has not started."""
    window = state.deadline - state.arrived
    return min(
        state.arrived + _PATIENCE * window,
        state.deadline - state.expected_ms * _OPTIMISM,
    )


def refuse(
    context: _context.Context,
    state: _state.JobState,
    cause: _view.RefusalCause,
    detail: str,
    now: float,
    retry_ms: float | None = None,
) -> None:
    """Ends a job none of whose tasks was ever told to start.

    Args:
        context: All jobs and workers.
        state: The job.
        cause: Why it is refused.
        detail: The same in words, with the figures that decided it.
        now: The present time.
        retry_ms: In how long the client is told to come back, if more is
            known than what a round of tasks takes.
    """
    detail = f'{detail}; {_load.describe_room(context, state, now)}'
    if retry_ms is None:
        retry_ms = _RETRY_MS + state.expected_ms
    context.refuse(state, cause, detail, now, retry_ms)


def _fit(context: _context.Context, state: _state.JobState) -> _Fit:
    """Returns which workers, were they empty, have room for a task."""
    job = state.job
    fit = _Fit.NONE
    are_known = False
    for worker in context.workers_by_id.values():
        if not worker.listed:
            continue
        if not worker.is_kind_known:
            # Its entry may tell that it is large enough.
            return _Fit.SOME
        if worker.worker.service != job.service:
            continue
        are_known = True
        has_label = not job.label or job.label in worker.worker.labels
        if not has_label or not worker.could_fit(job.needs):
            continue
        if not context.is_drained(worker):
            return _Fit.SOME
        fit = _Fit.ONLY_DRAINED
    # While no worker is known at all, any may come.
    return fit if are_known else _Fit.SOME


def _fill_job(
    context: _context.Context,
    state: _state.JobState,
    pool: collections.abc.Sequence[_state.WorkerState],
    now: float,
) -> None:
    candidates = _placement.Candidates(
        pool,
        state.job,
        _ranking.make_rank(context, state, now),
        now,
    )
    for task in state.tasks:
        if task.phase is not _state.Phase.WAITING:
            continue
        if task.id in context.orders_by_task:
            # An attempt that was given up may still run somewhere.
            continue
        worker = candidates.take(_spared(context, state, task, now))
        if worker is None:
            return
        _start(context, state, task, worker, now)
        if not worker.suspensions:
            candidates.put_back(worker)


def _spared(
    context: _context.Context,
    state: _state.JobState,
    task: _state.TaskState,
    now: float,
) -> set[str]:
    if not task.failed_on:
        return task.failed_on
    usable = _usable(context, context.workers_by_id.values(), now)
    return _placement.spared_workers(usable, state.job, task, now)


def _start(
    context: _context.Context,
    state: _state.JobState,
    task: _state.TaskState,
    worker: _state.WorkerState,
    now: float,
) -> None:
    task.attempt += 1
    task.phase = _state.Phase.PLACED
    state.waiting -= 1
    order = _state.Order(
        task.id, task.attempt, state.job.needs, state, now, moved_at=now
    )
    task.order = order
    context.add_order(worker, order)
    state.started = True
    context.task_placed(state, now)
    _recording.start(context, state, worker, order, now)
