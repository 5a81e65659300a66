"""Waiting jobs by rank, and those that wait for few endpoints only."""

import collections.abc
import heapq

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _job

__all__ = ['Entry', 'HeldJobs']

_MayStart = collections.abc.Callable[[model.Needs], bool]


@attrs.frozen(eq=False)
class Entry:
    """A waiting job's place in a heap.

    Attributes:
        rank: The lowest goes first.
        serial: Decides between equal ranks.
        tasks_left: Those that it was ranked by.
        job: The job.
    """

    rank: float
    serial: int
    tasks_left: int
    job: _job.Job

    def __lt__(self, other: 'Entry') -> bool:
        # The heap calls this again and again for each task. The one that
        # attrs makes builds two tuples for a call, which doubles what a
        # task of a large job costs.
        if self.rank != other.rank:
            return self.rank < other.rank
        return self.serial < other.serial

    @property
    def is_stale(self) -> bool:
        """Whether the job is answered, or stands elsewhere by now."""
        job = self.job
        return (
            job.settled or not job.waiting or self.tasks_left != job.tasks_left
        )


class HeldJobs:
    """Jobs whose next task fits few endpoints, which are full.

    Left in the order of all jobs they would be looked at for each start.
    A search looks past a few jobs only, so some dozens of them would hold
    up all that fits elsewhere, beside free slots.
    """

    def __init__(self) -> None:
        self._heaps: dict[tuple[str, model.Needs], list[Entry]] = {}

    def hold(self, team: str, entry: Entry) -> None:
        """Puts a job in; its ``held_for`` says what it waits for."""
        heap = self._heaps.setdefault((team, entry.job.held_for), [])
        heapq.heappush(heap, entry)

    def release(self, may_start: _MayStart) -> list[Entry]:
        """Takes out each team's first job for which there is room now.

        Args:
            may_start: Tells whether a task with these needs may start.
        """
        released = []
        verdicts: dict[model.Needs, bool] = {}
        for (team, needs), heap in tuple(self._heaps.items()):
            _drop_stale(heap, needs)
            if not heap:
                del self._heaps[team, needs]
                continue
            if needs not in verdicts:
                verdicts[needs] = may_start(needs)
            if verdicts[needs]:
                released.append(heapq.heappop(heap))
        return released


def _drop_stale(heap: list[Entry], needs: model.Needs) -> None:
    while heap and (heap[0].is_stale or heap[0].job.held_for != needs):
        heapq.heappop(heap)
