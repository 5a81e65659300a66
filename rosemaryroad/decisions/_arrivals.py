"""How fast work of each size has been arriving lately."""

import math

# Arrivals count by how long ago they were; after this time by 1 / e.
MEMORY_MS = 5_000.0


def size_class(tasks: int) -> int:
    """Returns the class of a size; each class spans a doubling."""
    return tasks.bit_length()


class _DecayingSum:
    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        self._sum = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        return self._sum * math.exp((self._at - now) / MEMORY_MS)


class ArrivalRates:
    """Admitted tasks a millisecond, by team and size of their jobs."""

    def __init__(self) -> None:
        self._all = _DecayingSum()
        self._by_team: dict[str, dict[int, _DecayingSum]] = {}

    def note(self, team: str, tasks: int, now: float) -> None:
        """Notes a job that was admitted."""
        by_class = self._by_team.setdefault(team, {})
        by_class.setdefault(size_class(tasks), _DecayingSum()).add(tasks, now)
        self._all.add(tasks, now)

    def smaller_than(self, tasks: int, now: float, team: str) -> float:
        """Returns the tasks a millisecond of a team's smaller jobs.

        Args:
            tasks: The size of the job that they are compared with.
            now: The present time in milliseconds.
            team: Whose jobs count.
        """
        mine = size_class(tasks)
        return sum(
            decaying.value(now) / MEMORY_MS
            for size, decaying in self._by_team.get(team, {}).items()
            if size < mine
        )

    def of_others(self, team: str, now: float) -> float:
        """Returns the tasks a millisecond of all teams but one."""
        own = sum(
            decaying.value(now)
            for decaying in self._by_team.get(team, {}).values()
        )
        return max(0.0, self._all.value(now) - own) / MEMORY_MS
