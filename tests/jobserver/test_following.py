"""Tests of how a table of the store is followed."""

import asyncio
import collections.abc
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


class _InOrder(_Silent):
    """A store that tells changes in order, a hundred at a time."""

    _AT_ONCE = 100

    def __init__(self, time: clock.Clock) -> None:
        super().__init__(time)
        self.version = 1
        self.leaving = False

    async def snapshot(self, table: str) -> platform.Changes:
        rows = (self._row('leaving'),) if self.leaving else ()
        return platform.Changes(rows, (), self.version)

    async def changes(
        self, table: str, after: int, wait_ms: float
    ) -> platform.Changes:
        last = min(after + self._AT_ONCE, self.version)
        is_last = last == self.version and self.leaving
        rows = (self._row('leaving' if is_last else 'other'),)
        return platform.Changes(rows, (), last)

    def _row(self, key: str) -> platform.Row:
        return platform.Row(key, '', self.version)


class _Written(_Silent):
    """A store whose table is written again at given times."""

    def __init__(self, time: clock.Clock, written_at: list[float]) -> None:
        super().__init__(time)
        self.calls = 0
        self._written_at = written_at

    async def changes(
        self, table: str, after: int, wait_ms: float
    ) -> platform.Changes:
        self.calls += 1
        until = self._clock.now() + wait_ms
        coming = self._written_at[after - 1 :]
        if not coming or coming[0] > until:
            await self._clock.sleep(wait_ms)
            return platform.Changes((), (), after)
        await self._clock.sleep(max(0.0, coming[0] - self._clock.now()))
        now = self._clock.now()
        version = 1 + sum(at <= now for at in self._written_at)
        row = platform.Row('config', str(version), version)
        return platform.Changes((row,), (), version)


def _follow_workers(
    tables: platform.WatchedTables,
    on_rows: collections.abc.Callable,
    time: clock.Clock,
    *rests: collections.abc.Callable,
) -> _following.TableFollower:
    return _following.TableFollower(
        tables,
        'workers',
        on_rows,
        time,
        random.Random(1),
        _metrics.JobMetrics('entry-1'),
        _node._WORKERS_WAIT_MS,
        *rests,
    )


class SuccessionTest(unittest.IsolatedAsyncioTestCase):
    """Operators write the configuration again and again."""

    async def _follow(self, written_at: list[float]) -> tuple[int, list]:
        """Follows a table; returns the calls and how late each version was."""
        time = clock.ManualClock()
        tables = _Written(time, written_at)
        late_ms: list[float] = []

        def on_rows(rows) -> None:
            for row in rows.values():
                for at in written_at[len(late_ms) : row.version - 1]:
                    late_ms.append(time.now() - at)

        follower = _following.TableFollower(
            tables,
            'op',
            on_rows,
            time,
            random.Random(1),
            _metrics.JobMetrics('entry-1'),
            _node._OPERATORS_WAIT_MS,
            succession_rest_ms=_node._OPERATORS_SUCCESSION_REST_MS,
        )
        task = asyncio.create_task(follower.run())
        while len(late_ms) < len(written_at):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return tables.calls, late_ms

    async def test_versions_that_are_soon_replaced_cost_no_call_each(
        self,
    ) -> None:
        """Each VM read and decoded a version each 60 ms.

        A large fleet spent several processors on versions that were replaced
        before a job could come by them.
        """
        written_at = [1_000.0 + 60.0 * number for number in range(80)]
        calls, late_ms = await self._follow(written_at)
        self.assertLessEqual(calls, len(written_at) / 2)
        self.assertLessEqual(max(late_ms), 200.0)

    async def test_single_changes_are_known_at_once(self) -> None:
        written_at = [1_000.0, 1_060.0, 3_000.0, 4_000.0, 20_000.0]
        _, late_ms = await self._follow(written_at)
        self.assertEqual([0.0] * len(written_at), late_ms)


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

        follower = _follow_workers(
            tables,
            on_rows,
            time,
        )
        task = asyncio.create_task(follower.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        await asyncio.sleep(0)
        tables.rows = (platform.Row('leaving', '', 2),)
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        self.assertLessEqual(known_at['leaving'], 3_000.0)

    async def test_a_fault_in_taking_rows_in_does_not_end_the_following(
        self,
    ) -> None:
        """It came again a second later each time, and no row was known."""
        time = clock.ManualClock()
        tables = _Written(time, [1_000.0, 2_000.0, 3_000.0])
        told: list[int] = []

        def on_rows(rows) -> None:
            told.append(len(rows))
            raise OverflowError('a row of another writer')

        follower = _follow_workers(
            tables,
            on_rows,
            time,
        )
        with self.assertLogs('rosemaryroad', 'ERROR'):
            task = asyncio.create_task(follower.run())
            for _ in range(_TURNS):
                await asyncio.sleep(0)
        self.assertFalse(task.done())
        self.assertGreaterEqual(len(told), 4)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_a_rest_ends_where_an_entry_is_due(self) -> None:
        """A worker that has started again would stand idle until then."""
        time = clock.ManualClock()
        tables = _InOrder(time)
        known: set[str] = set()
        follower = _follow_workers(
            tables, known.update, time, lambda: 60_000.0
        )
        task = asyncio.create_task(follower.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        tables.version = 2
        follower.wake()
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        self.assertEqual({'other'}, known)

    async def test_a_long_rest_is_made_up_for_at_once(self) -> None:
        """A VM that has rested takes over, and a worker leaves meanwhile.

        Told a hundred changes at a time, with a rest after each, the new
        dispatcher gave the worker tasks for seconds.
        """
        time = clock.ManualClock()
        tables = _InOrder(time)
        known: set[str] = set()
        follower = _follow_workers(
            tables,
            known.update,
            time,
            lambda: 60_000.0,
        )
        task = asyncio.create_task(follower.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        tables.version = 2_000
        tables.leaving = True
        follower.hurry()
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        self.assertIn('leaving', known)
