"""Tests of rows that lapse while the store is away."""

import asyncio
import random
import unittest

from rosemaryroad import clock
from rosemaryroad import errors
from rosemaryroad import platform
from rosemaryroad.jobserver import _following
from rosemaryroad.jobserver import _metrics
from tests.jobserver import test_following


class _Lapsing(test_following._Silent):
    """A store that is away for a moment; the row it had lapses meanwhile."""

    def __init__(self, time: clock.Clock) -> None:
        super().__init__(time)
        self.rows = (platform.Row('worker', '', 2),)

    async def changes(
        self, table: str, after: int, wait_ms: float
    ) -> platform.Changes:
        await self._clock.sleep(wait_ms)
        if self.unanswered:
            self.unanswered -= 1
            self.rows = ()
            raise errors.PlatformUnavailable('no answer')
        return platform.Changes((), (), after)


class LapsedRowsTest(unittest.IsolatedAsyncioTestCase):
    """Workers' entries lapse in an outage, and are written again after it."""

    async def test_rows_that_lapse_in_an_outage_are_kept_a_moment(
        self,
    ) -> None:
        """Minions write their entries again two seconds after it at most.

        Taken for gone at once, all workers would stand idle until then.
        """
        time = clock.ManualClock()
        seen: list[tuple[float, tuple[str, ...]]] = []
        follower = _following.TableFollower(
            _Lapsing(time),
            'workers',
            lambda rows: seen.append((time.now(), tuple(rows))),
            time,
            random.Random(1),
            _metrics.JobMetrics('entry-1'),
            500.0,
            keep_ms=2_000.0,
        )
        task = asyncio.create_task(follower.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        while not seen or seen[-1][1]:
            await asyncio.sleep(0)
        began = seen[1][0]
        self.assertEqual(('worker',), seen[1][1])
        self.assertEqual(2_000.0, seen[-1][0] - began)
