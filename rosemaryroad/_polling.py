"""Reading something from the platform again and again."""

import asyncio
import collections.abc
import logging
import random

import attrs

from rosemaryroad import clock
from rosemaryroad import errors
from rosemaryroad import logs

# Entry VMs that started together would otherwise read together, which one
# would notice as a spike of reads at the table service each second.
JITTER = 0.2

# A change has to be in force within 4 s of its acceptance, also of one
# that is accepted right after an outage: a longer pause would miss that.
MAX_PAUSE_MS = 2000.0

_MS_PER_SECOND = 1000.0
_LOG = logging.getLogger(__name__)


def pause_ms(
    interval_ms: float, failures: int, source: random.Random
) -> float:
    """Returns how long to wait before the next read.

    Args:
        interval_ms: The usual time between two reads.
        failures: How many reads in a row have failed.
        source: Where the jitter comes from.
    """
    longest = max(interval_ms, MAX_PAUSE_MS)
    usual = min(interval_ms * 2 ** min(failures, 10), longest)
    return usual * source.uniform(1 - JITTER, 1 + JITTER)


@attrs.define
class Poller:
    """Calls a read for ever, also through outages of the platform.

    Attributes:
        name: What is read, for the log.
        read: The read.
        interval_ms: The usual time between two reads.
        source: Where the jitter comes from.
        time: The clock.
        failures: How many reads in a row have failed.
        read_at_ms: When the last read succeeded, or None.
    """

    name: str
    read: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    interval_ms: float
    source: random.Random
    time: clock.Clock
    failures: int = 0
    read_at_ms: float | None = None

    async def run(self) -> None:
        """Reads until it is cancelled.

        A fault of the program itself ends it with that exception.
        """
        while True:
            await self.once()
            pause = pause_ms(self.interval_ms, self.failures, self.source)
            await asyncio.sleep(pause / _MS_PER_SECOND)

    async def once(self) -> bool:
        """Reads once.

        Returns:
            Whether it succeeded; an outage is logged and counted only.
        """
        try:
            await self.read()
        except errors.RosemaryroadError as error:
            self._note_failure(error)
            return False
        if self.failures:
            logs.event(
                _LOG,
                logging.INFO,
                'platform_back',
                what=self.name,
                failures=self.failures,
            )
        self.failures = 0
        self.read_at_ms = self.time.now()
        return True

    def age_ms(self) -> float | None:
        """Returns how old the last successful read is; None before it."""
        if self.read_at_ms is None:
            return None
        return self.time.now() - self.read_at_ms

    def _note_failure(self, error: errors.RosemaryroadError) -> None:
        if not self.failures:
            logs.event(
                _LOG,
                logging.WARNING,
                'platform_unavailable',
                what=self.name,
                code=int(error.code),
                detail=error.detail,
            )
        self.failures += 1
