"""Which worker a task goes to."""

import collections.abc

from rosemaryroad import model
from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _state

# Paces closer than this are within what a few tasks teach; among them the
# worker with the least room to spare comes first, so that large tasks find
# room elsewhere.
_PACE_STEP = 0.15


def may_run(worker: _state.WorkerState, job: model.Job, now: float) -> bool:
    """Tells whether a worker may get tasks of a job at all, room aside.

    Args:
        worker: The worker.
        job: The job.
        now: The present time.
    """
    if worker.worker.service != job.service:
        return False
    if not worker.listed or worker.worker.leaving:
        return False
    if not worker.reported or worker.silent_since is not None:
        return False
    if job.label and job.label not in worker.worker.labels:
        return False
    if worker.suspensions == 0:
        return True
    if now < worker.suspended_until:
        return False
    # One task shows whether it is sound again; more would be lost with it.
    return not worker.orders_by_key


def choose(
    candidates: collections.abc.Sequence[_state.WorkerState],
    state: _state.JobState,
    task: _state.TaskState,
    run_times: _run_times.RunTimes,
    remote_factor: float,
) -> _state.WorkerState | None:
    """Chooses the worker for a task.

    Args:
        candidates: Workers that may run tasks of the job.
        state: The job.
        task: The task.
        run_times: The workers' paces.
        remote_factor: How many times as long a task takes away from the
            rack where its data is.

    Returns:
        The worker, or None where none has room.
    """
    job = state.job
    best = None
    best_score: tuple[float, float] | None = None
    spared = _spared(candidates, task)
    for worker in candidates:
        if worker.full or not worker.fits(job.needs):
            continue
        if worker.worker.id in spared:
            continue
        if job.max_per_worker and _tasks_of(worker, job) >= job.max_per_worker:
            continue
        factor = run_times.slowness(worker.worker.id)
        if job.rack and job.rack not in worker.worker.labels:
            factor *= remote_factor
        score = (round(factor / _PACE_STEP), worker.free_cores)
        if best_score is None or score < best_score:
            best = worker
            best_score = score
    return best


def _spared(
    candidates: collections.abc.Sequence[_state.WorkerState],
    task: _state.TaskState,
) -> set[str]:
    """Returns the workers that a task must not be tried at again.

    A worker that fails what it starts has room as often as any; tried
    there twice, a job fails by its attempts though others could do it.
    Where the task has failed everywhere, all may be tried.
    """
    if not task.failed_on:
        return task.failed_on
    names = {worker.worker.id for worker in candidates}
    return task.failed_on if names - task.failed_on else set()


def _tasks_of(worker: _state.WorkerState, job: model.Job) -> int:
    return sum(
        order.task.job == job.id for order in worker.orders_by_key.values()
    )
