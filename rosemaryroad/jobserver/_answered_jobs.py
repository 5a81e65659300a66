"""The jobs that a home has answered for good."""

import collections.abc

from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import model

# A dispatcher takes some milliseconds for so many.
_JOBS_AT_ONCE = 1_000


class AnsweredJobs:
    """Remembers answers, and tells dispatchers of them.

    Args:
        clock: The clock.
        keep_ms: For how long a job is remembered.
    """

    def __init__(self, clock: clock_module.Clock, keep_ms: float) -> None:
        self._clock = clock
        self._jobs = dispatching.EndedJobs(keep_ms)

    def find(self, job_id: str, queue: str) -> dispatching.EndedJob | None:
        """Returns how a job has ended, if it has."""
        return self._jobs.find(job_id, queue, self._clock.now())

    def add(self, job: model.Job, end: model.JobEnd) -> None:
        """Remembers a job that has ended just now."""
        now = self._clock.now()
        ended = dispatching.EndedJob(job.queue, end, False, now)
        self._jobs.add(job.id, ended, now)

    def add_cancelled(self, job_id: str, queue: str) -> None:
        """Remembers a job that was cancelled just now."""
        now = self._clock.now()
        failed = model.JobEnd.FAILED
        ended = dispatching.EndedJob(queue, failed, True, now)
        self._jobs.add(job_id, ended, now)

    def messages(
        self, cell: int, cell_of: collections.abc.Callable[[str], int | None]
    ) -> collections.abc.Iterator[model.JobsEnded]:
        """Returns what a new dispatcher of a cell is told.

        Args:
            cell: The cell.
            cell_of: Returns the cell of a job's id.
        """
        now = self._clock.now()
        jobs = [
            _told(job_id, ended, now)
            for job_id, ended in self._jobs.all(now)
            if cell_of(job_id) == cell
        ]
        for first in range(0, len(jobs), _JOBS_AT_ONCE):
            some = tuple(jobs[first : first + _JOBS_AT_ONCE])
            yield model.JobsEnded(cell, some)

    def message(self, job: model.Job, cell: int) -> model.JobsEnded:
        """Returns what tells of one job that is remembered."""
        now = self._clock.now()
        ended = self._jobs.find(job.id, job.queue, now)
        jobs = () if ended is None else (_told(job.id, ended, now),)
        return model.JobsEnded(cell, jobs)


def _told(
    job_id: str, ended: dispatching.EndedJob, now: float
) -> model.EndedJob:
    return model.EndedJob(
        job_id, ended.queue, ended.end, ended.is_cancelled, now - ended.at
    )
