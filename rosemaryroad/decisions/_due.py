"""Things that fall due at a time."""

import heapq
import itertools
import typing

_Item = typing.TypeVar('_Item')


class DueQueue(typing.Generic[_Item]):
    """Items by the time at which they fall due, in milliseconds."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _Item]] = []
        self._serials = itertools.count()

    def push(self, at: float, item: _Item) -> None:
        """Adds an item that falls due at a time."""
        heapq.heappush(self._heap, (at, next(self._serials), item))

    def next_at(self) -> float | None:
        """Returns the earliest time, or None where nothing is held."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[_Item]:
        """Takes out what has fallen due, earliest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due
