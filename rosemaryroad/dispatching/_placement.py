"""Which worker a task goes to."""

import collections.abc
import heapq

from rosemaryroad import model
from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _state

# Paces closer than this are within what a few tasks teach; among them the
# worker with the least room to spare comes first, so that large tasks find
# room elsewhere.
_PACE_STEP = 0.15

# A worker of another failure domain than the job's home counts as so much
# slower. After a cut between the two, whoever dispatches for the home finds no
# task there, and starts it again once its lease has lapsed: too late for a
# short one. The next dispatcher takes over what runs in the home's own domain.
_OTHER_DOMAIN_COST = 0.5


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


class Candidates:
    """The workers that a job's tasks may go to, the best one first.

    They are ranked once for all tasks of a job; a look at each worker for
    each task would be the most of a large dispatcher's work.

    Args:
        workers: Those that may be used now.
        job: The job.
        run_times: The workers' paces.
        remote_factor: How many times as long a task takes away from the
            rack where its data is.
        now: The present time.
        home_domain: The failure domain of the job's home, or ''.
    """

    def __init__(
        self,
        workers: collections.abc.Iterable[_state.WorkerState],
        job: model.Job,
        run_times: _run_times.RunTimes,
        remote_factor: float,
        now: float,
        home_domain: str = '',
    ) -> None:
        self._job = job
        self._home_domain = home_domain
        self._run_times = run_times
        self._remote_factor = remote_factor
        self._ranked = [
            self._entry(number, worker)
            for number, worker in enumerate(workers)
            if worker.fits(job.needs) and may_run(worker, job, now)
        ]
        heapq.heapify(self._ranked)

    def take(
        self, spared: collections.abc.Container[str]
    ) -> _state.WorkerState | None:
        """Takes the best worker out, or returns None where none has room.

        Args:
            spared: Workers that the task must not go to.
        """
        passed = []
        found = None
        while self._ranked and found is None:
            entry = heapq.heappop(self._ranked)
            worker = entry[-1]
            if worker.worker.id in spared or self._has_enough(worker):
                passed.append(entry)
            else:
                found = worker
        for entry in passed:
            heapq.heappush(self._ranked, entry)
        return found

    def put_back(self, worker: _state.WorkerState) -> None:
        """Puts a worker back that has got a task, if it has room left."""
        if worker.fits(self._job.needs):
            entry = self._entry(len(self._ranked), worker)
            heapq.heappush(self._ranked, entry)

    def _entry(
        self, number: int, worker: _state.WorkerState
    ) -> tuple[int, float, int, str, _state.WorkerState]:
        job = self._job
        factor = self._run_times.slowness(worker.worker.id)
        if job.rack and job.rack not in worker.worker.labels:
            factor *= self._remote_factor
        if self._home_domain not in ('', worker.worker.failure_domain):
            factor += _OTHER_DOMAIN_COST
        pace = round(factor / _PACE_STEP)
        return pace, worker.free_cores, number, worker.worker.id, worker

    def _has_enough(self, worker: _state.WorkerState) -> bool:
        return has_enough(worker, self._job)


def has_enough(worker: _state.WorkerState, job: model.Job) -> bool:
    """Tells whether a worker may get no further task of a job."""
    most = job.max_per_worker
    return bool(most) and _tasks_of(worker, job) >= most


def spared_workers(
    workers: collections.abc.Iterable[_state.WorkerState],
    job: model.Job,
    task: _state.TaskState,
    now: float,
) -> set[str]:
    """Returns the workers that a task must not be tried at again.

    A worker that fails what it starts has room as often as any; tried
    there twice, a job fails by its attempts though others could do it.
    Where the task has failed everywhere, all may be tried.

    Args:
        workers: All that may be used, with or without room.
        job: The job.
        task: The task.
        now: The present time.
    """
    failed_on = task.failed_on
    if not failed_on:
        return failed_on
    are_others = any(
        worker.worker.id not in failed_on and may_run(worker, job, now)
        for worker in workers
    )
    return failed_on if are_others else set()


def _tasks_of(worker: _state.WorkerState, job: model.Job) -> int:
    return sum(
        order.task.job == job.id for order in worker.orders_by_key.values()
    )
