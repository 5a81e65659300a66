"""Time in milliseconds, read from one place."""

import asyncio
import time

__all__ = ['Clock', 'ManualClock']

MS_PER_SECOND = 1000.0


class Clock:
    """Milliseconds since an arbitrary start; it never goes backwards.

    It reads the boot-time clock, which goes on while the VM is suspended.
    The ordinary monotonic clock stands still then, so a VM that wakes
    after a long pause would hold its leases and deadlines for valid.
    """

    def now(self) -> float:
        """Returns the present time in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND

    async def sleep(self, ms: float) -> None:
        """Waits.

        Args:
            ms: How long, in milliseconds.
        """
        await asyncio.sleep(ms / MS_PER_SECOND)


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and benches."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Returns the time that was set last, in milliseconds."""
        return self._now

    def advance(self, ms: float) -> float:
        """Moves the clock on.

        Args:
            ms: How far, in milliseconds.

        Returns:
            The new time.

        Raises:
            ValueError: The clock would go backwards.
        """
        if ms < 0:
            raise ValueError('a clock does not go backwards')
        self._now += ms
        return self._now

    async def sleep(self, ms: float) -> None:
        """Moves the clock on to the end of the wait, without waiting.

        Several that sleep at the same time move it to the latest end, not
        to the sum of their times.

        Args:
            ms: How long, in milliseconds.
        """
        due = self._now + ms
        await asyncio.sleep(0)
        self._now = max(self._now, due)
