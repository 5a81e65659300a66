"""Running tasks that are stopped for more urgent jobs.

The room of a stopped task is promised: first to the urgent job, then, after
one task of that, to the job that was stopped. By the order of the queue alone,
jobs that come meanwhile would take it from either.
"""

import collections.abc
import operator

import attrs

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _placement
from rosemaryroad.dispatching import _queue
from rosemaryroad.dispatching import _state

# A worker takes at most this long to stop a task.
_STOP_MS = 50.0

# The time until the dispatcher looks again, at most: it looks every 30 ms, and
# half of that later under load.
_NEXT_LOOK_MS = 45.0

# What a task has done is lost when it is stopped.
_MOST_DONE_SHARE = 0.3

# Of the cores that are expected to come free by a time, the share that is
# counted on. Run times spread, and what comes free in pieces fits no task.
# Counting on all, too little room is made for most urgent jobs; counting on
# none, tasks are stopped for jobs that would have found room.
_EXPECTED_SHARE = 0.4

# A job that is shorter than expected is due sooner, and one in six takes less
# than this share. Judged by the expected run time, those end late that would
# have been in time without the stop.
_SHORTER_RUN = 0.75

_LOST_CORE_MS = operator.attrgetter('lost_core_ms')


@attrs.frozen
class _Run:
    """An attempt that takes room, and what is expected of it.

    Attributes:
        worker: Where it is.
        order: The attempt.
        run_ms: How long it is likely to take there.
        lost_core_ms: The work that is lost if it is stopped now.
    """

    worker: _state.WorkerState
    order: _state.Order
    run_ms: float
    lost_core_ms: float

    @property
    def end(self) -> float:
        """When it is expected to end."""
        return self.order.at + self.run_ms


def preempt(context: _context.Context, now: float) -> None:
    """Stops tasks where an urgent job would miss its objective otherwise."""
    if not context.limits.scheduling.priorities.preempt:
        return
    if not any(_needs_stop_now(state, now) for state in context.waiting):
        return
    workers = _queue.usable_workers(context, now)
    served = _jobs_being_served(context)
    runs = _runs(context, workers, now)
    victims = _victims(runs, now)
    ahead_cores = 0.0
    for state in context.waiting:
        if state.job.id in served:
            continue
        tasks = _startable_tasks(context, state)
        stopped = 0
        if _needs_stop_now(state, now) and not _has_room(workers, state, now):
            free_cores = _expected_cores(runs, state) - ahead_cores
            most = tasks - _tasks_that_fit(state, free_cores)
            stopped = _make_room(context, state, most, victims, now)
            victims = _still_eligible(victims)
        ahead_cores += (tasks - stopped) * state.job.needs.cores


def _needs_stop_now(state: _state.JobState, now: float) -> bool:
    """Tells whether a stop helps a job now, and would be late next time."""
    if not state.waiting or state.is_over or state.unseen:
        return False
    if not state.is_queueing_recorded:
        # Its tasks can't start before its homes have answered.
        return False
    spare_ms = state.due - state.expected_ms - now
    return _STOP_MS <= spare_ms < _STOP_MS + _NEXT_LOOK_MS


def _jobs_being_served(context: _context.Context) -> set[str]:
    """Returns the jobs for which stops are in progress."""
    return {
        order.preempted_for.job.id
        for worker in context.workers_by_id.values()
        for order in worker.orders_by_key.values()
        if order.preempted_for is not None
    }


def _runs(
    context: _context.Context,
    workers: collections.abc.Iterable[_state.WorkerState],
    now: float,
) -> list[_Run]:
    return [
        _Run(
            worker,
            order,
            _run_ms(context, order.job, worker),
            (now - order.at) * order.needs.cores,
        )
        for worker in workers
        for order in worker.orders_by_key.values()
        if order.job is not None and order.preempted_for is None
    ]


def _run_ms(
    context: _context.Context,
    state: _state.JobState,
    worker: _state.WorkerState,
) -> float:
    """Returns what a task of a job is likely to take at a worker."""
    run_ms = state.expected_ms * context.run_times.slowness(worker.worker.id)
    if state.job.rack and state.job.rack not in worker.worker.labels:
        run_ms *= context.limits.remote_factor
    return run_ms


def _victims(runs: collections.abc.Iterable[_Run], now: float) -> list[_Run]:
    """Returns the attempts that may be stopped, the least work lost first.

    A worker where a stop is in progress has none: what is free there is
    counted for the job that waits for that stop.
    """
    victims = [run for run in runs if _may_be_stopped(run, now)]
    return sorted(_still_eligible(victims), key=_LOST_CORE_MS)


def _may_be_stopped(run: _Run, now: float) -> bool:
    order = run.order
    if order.phase is not _state.OrderPhase.RUNNING:
        return False
    if order.adopted or order.was_found or order.is_older:
        # It isn't known how long it has run, or in which life.
        return False
    if order.may_lack_end:
        # Once it is gone, its job would be given up.
        return False
    if order.job.waiting:
        # When the tasks that still wait will end isn't known.
        return False
    if now - order.at > _MOST_DONE_SHARE * run.run_ms:
        return False
    return order.percent <= 100.0 * _MOST_DONE_SHARE


def _still_eligible(victims: collections.abc.Iterable[_Run]) -> list[_Run]:
    """Leaves out what the stops so far have made ineligible."""
    return [
        run
        for run in victims
        if not run.order.job.was_preempted
        and not any(
            order.preempted_for is not None
            for order in run.worker.orders_by_key.values()
        )
    ]


def _has_room(
    workers: collections.abc.Iterable[_state.WorkerState],
    state: _state.JobState,
    now: float,
) -> bool:
    return any(
        worker.fits(state.job.needs) and _may_take(worker, state, now)
        for worker in workers
    )


def _may_take(
    worker: _state.WorkerState, state: _state.JobState, now: float
) -> bool:
    """Tells whether a worker may get a task of a job, room aside."""
    return _placement.may_run(
        worker, state.job, now
    ) and not _placement.has_enough(worker, state.job)


def _startable_tasks(context: _context.Context, state: _state.JobState) -> int:
    """Returns how many tasks of a job would start now if there were room."""
    if not state.waiting or state.is_over or state.unseen:
        return 0
    return sum(
        task.phase is _state.Phase.WAITING
        and task.id not in context.orders_by_task
        for task in state.tasks
    )


def _expected_cores(
    runs: collections.abc.Iterable[_Run], state: _state.JobState
) -> float:
    """Returns what comes free by the last moment at which a job can start."""
    latest_start = state.due - state.expected_ms
    return _EXPECTED_SHARE * sum(
        run.order.needs.cores for run in runs if run.end <= latest_start
    )


def _tasks_that_fit(state: _state.JobState, cores: float) -> int:
    if state.job.needs.cores <= 0:
        # It waits for something else than cores.
        return 0
    return int(max(0.0, cores) / state.job.needs.cores)


def _make_room(
    context: _context.Context,
    state: _state.JobState,
    most: int,
    victims: collections.abc.Iterable[_Run],
    now: float,
) -> int:
    """Stops attempts, each at another worker, for tasks of an urgent job.

    Several may be of one job. It ends with the last of its tasks, so it
    loses hardly more by two of them than by one.

    Args:
        context: All jobs and workers.
        state: The urgent job.
        most: How many of its tasks need room.
        victims: What may be stopped, the best one first.
        now: The present time.

    Returns:
        How many were stopped.
    """
    used = {worker_id for task in state.tasks for worker_id in task.failed_on}
    stopped = 0
    for run in victims:
        if stopped >= most:
            break
        if run.worker.worker.id in used:
            continue
        if _is_worth_stopping(context, state, run, now):
            used.add(run.worker.worker.id)
            _stop(context, state, run, now)
            stopped += 1
    return stopped


def _is_worth_stopping(
    context: _context.Context,
    state: _state.JobState,
    run: _Run,
    now: float,
) -> bool:
    """Tells whether a stop helps an urgent job at no cost to the other."""
    job, other = state.job, run.order.job
    if other.job.terms.priority <= job.terms.priority:
        return False
    if not _would_fit(state, run) or not _may_take(run.worker, state, now):
        return False
    urgent_end = now + _STOP_MS + _run_ms(context, state, run.worker)
    if urgent_end > state.due:
        return False
    # The objective allows a multiple of the run time.
    shorter = _SHORTER_RUN * other.expected_ms
    due = other.arrived + other.job.terms.objective_ms(shorter)
    return urgent_end + _SHORTER_RUN * run.run_ms <= due


def _would_fit(state: _state.JobState, run: _Run) -> bool:
    worker, needs, freed = run.worker, state.job.needs, run.order.needs
    return (
        needs.cores <= worker.free_cores + freed.cores
        and needs.memory_mb <= worker.free_memory_mb + freed.memory_mb
        and needs.accelerators <= worker.free_accelerators + freed.accelerators
    )


def _stop(
    context: _context.Context,
    state: _state.JobState,
    run: _Run,
    now: float,
) -> None:
    order, stopped = run.order, run.order.job
    stopped.was_preempted = True
    order.preempted_for = state
    context.preemptions_by_queue[stopped.job.queue] += 1
    context.note(
        'task_preempted',
        run.worker.worker.id,
        f'{order.task} attempt {order.attempt} at {order.percent:.0f} %'
        f' after {now - order.at:.0f} of {run.run_ms:.0f} ms,'
        f' for job {state.job.id}',
    )
    cause = f'preempted for job {state.job.id}'
    context.stop(run.worker, order, cause, now)
