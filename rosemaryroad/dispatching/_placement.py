"""Which worker a task goes to."""

import collections.abc
import heapq

from rosemaryroad import model
from rosemaryroad.dispatching import _ranking
from rosemaryroad.dispatching import _state


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
    if not worker.is_kind_known:
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
        rank: Ranks the workers.
        now: The present time.
    """

    def __init__(
        self,
        workers: collections.abc.Iterable[_state.WorkerState],
        job: model.Job,
        rank: _ranking.Rank,
        now: float,
    ) -> None:
        self._job = job
        self._rank = rank
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
        rank = self._rank(worker)
        return rank, worker.free_cores, number, worker.worker.id, worker

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
