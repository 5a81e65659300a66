"""The jobs that have ended for good, kept for as long as they may come again.

A client's request may arrive once more, seconds after it was answered, at any
entry VM. Nobody would know the job by then, and its tasks would run again; of
one that was cancelled, against its client's word.
"""

import collections
import collections.abc

import attrs

from rosemaryroad import model

# For how long a client may ask for the state of its job.
KEEP_ENDED_MS = 120_000.0

# Bounds what a wave of cancels may take of the memory.
_MOST_JOBS = 50_000


@attrs.frozen
class EndedJob:
    """How a job has ended.

    Attributes:
        queue: Its queue. The same id on another one is another job.
        end: What its clients are told.
        is_cancelled: Whether its client has taken it back.
        at: When it ended.
    """

    queue: str
    end: model.JobEnd
    is_cancelled: bool
    at: float


class EndedJobs:
    """Remembers ended jobs, for a time and up to a number.

    Args:
        keep_ms: For how long.
        most: How many. Beyond it, what came first is forgotten.
    """

    def __init__(self, keep_ms: float, most: int = _MOST_JOBS) -> None:
        self._keep_ms = keep_ms
        self._most = most
        self._by_id: collections.OrderedDict[str, EndedJob] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, job_id: str, ended: EndedJob, now: float) -> None:
        """Takes in that a job has ended; the first word on it counts."""
        known = self.find(job_id, ended.queue, now)
        if known is not None or self._is_old(ended, now):
            return
        self._by_id.pop(job_id, None)
        self._by_id[job_id] = ended
        self._forget(now)

    def find(self, job_id: str, queue: str, now: float) -> EndedJob | None:
        """Returns how a job has ended, if it has."""
        ended = self._by_id.get(job_id)
        if ended is None or ended.queue != queue or self._is_old(ended, now):
            return None
        return ended

    def is_cancelled(self, job_id: str, now: float) -> bool:
        """Tells whether a job was cancelled, whatever its queue."""
        ended = self._by_id.get(job_id)
        if ended is None or self._is_old(ended, now):
            return False
        return ended.is_cancelled

    def all(
        self, now: float
    ) -> collections.abc.Iterator[tuple[str, EndedJob]]:
        """Returns the jobs that are remembered, with their ids."""
        for job_id, ended in self._by_id.items():
            if not self._is_old(ended, now):
                yield job_id, ended

    def _is_old(self, ended: EndedJob, now: float) -> bool:
        return now - ended.at >= self._keep_ms

    def _forget(self, now: float) -> None:
        while self._by_id:
            ended = next(iter(self._by_id.values()))
            has_room = len(self._by_id) <= self._most
            if has_room and not self._is_old(ended, now):
                return
            self._by_id.popitem(last=False)
