"""Tests of how a table of the store is followed."""

import asyncio
import random
import unittest

from rosemaryroad import clock
from rosemaryroad import errors
from rosemaryroad import platform
from rosemaryroad.jobserver import _following
from rosemaryroad.jobserver import _metrics
from rosemaryroad.jobserver import _node

_TIMEOUT_MS = 1_000.0
_TURNS = 50


class _Silent(platform.WatchedTables):
    """A store that doesn't answer the call for changes that it has."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self.rows: tuple[platform.Row, ...] = ()
        self.unanswered = 1

    async def snapshot(self, table: str) -> platform.Changes:
        return platform.Changes(self.rows, (), 1)

    async def changes(
        self, table: str, after: int, wait_ms: float
    ) -> platform.Changes:
        if not self.unanswered:
            await asyncio.get_running_loop().create_future()
        self.unanswered -= 1
        await self._clock.sleep(wait_ms + _TIMEOUT_MS)
        raise errors.PlatformUnavailable('no answer')

    async def read(self, table: str, key: str) -> platform.Row | None:
        raise AssertionError('not asked for')

    async def scan(self, *_: object) -> tuple[platform.Row, ...]:
        raise AssertionError('not asked for')

    async def transact(self, *_: object) -> platform.Committed:
        raise AssertionError('not asked for')

    async def close(self) -> None:
        pass


class FollowingTest(unittest.IsolatedAsyncioTestCase):
    """What the store knows is known here soon, whatever became of a call."""

    async def test_a_call_that_is_never_answered_costs_little(self) -> None:
        """The store gives no answers for a while, and is back.

        The call that reached it meanwhile is lost. Waited for as long as
        calls may wait, workers that had begun to leave in those seconds got
        new tasks for most of half a minute.
        """
        time = clock.ManualClock()
        tables = _Silent(time)
        known_at: dict[str, float] = {}

        def on_rows(rows) -> None:
            for key in rows:
                known_at.setdefault(key, time.now())

        follower = _following.TableFollower(
            tables,
            'workers',
            on_rows,
            time,
            random.Random(1),
            _metrics.JobMetrics('entry-1'),
            _node._WORKERS_WAIT_MS,
        )
        task = asyncio.create_task(follower.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)
        tables.rows = (platform.Row('leaving', '', 2),)
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        self.assertLessEqual(known_at['leaving'], 3_000.0)
