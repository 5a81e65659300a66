"""Tests of bringing the fence to workers that are gone."""

import asyncio
import unittest

from rosemaryroad import clock
from rosemaryroad import endpoints
from rosemaryroad import model
from rosemaryroad.jobserver import _fencing
from tests.dispatching import case

_FENCE = 7
_REPORT = model.WorkerReport(5.0, 5.0, (), ())


class _Client:
    """Answers for the workers that are up."""

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self.up: set[str] = set()
        self.errors: list[Exception] = []
        self.asked_at: list[float] = []
        self.calls: list[tuple] = []
        self.forgotten: list[str] = []

    async def hold(
        self, worker: model.Worker, *arguments: object, prolong: bool
    ) -> model.WorkerReport:
        self.asked_at.append(self._time.now())
        self.calls.append((worker.id, *arguments, prolong))
        await asyncio.sleep(0)
        if self.errors:
            raise self.errors.pop()
        if worker.id not in self.up:
            raise endpoints.WorkerDown('refused')
        return _REPORT

    def forget(self, worker: model.Worker) -> None:
        self.forgotten.append(worker.id)


class FencingTest(unittest.IsolatedAsyncioTestCase):
    """A worker is back before its entry, and an order comes late there."""

    async def asyncSetUp(self) -> None:
        self.clock = clock.ManualClock(1_000.0)
        self.client = _Client(self.clock)
        self.held: set[str] = set()
        self.fenced: list[tuple[str, int]] = []
        self.faults: list[BaseException] = []
        self.fencing = _fencing.Fencing(
            self.client,
            lambda: _FENCE,
            lambda *arguments: self.fenced.append(arguments),
            self.held.__contains__,
            self.clock,
            self.faults.append,
        )
        self.addCleanup(self.fencing.act, False)

    def _list(self, *ids: str, **fields: object) -> None:
        workers = [case.make_worker(item, **fields) for item in ids]
        self.fencing.list_workers(workers)

    async def _run(self, ms: float) -> None:
        until = self.clock.now() + ms
        while self.fencing.gone and self.clock.now() < until:
            await asyncio.sleep(0)

    async def test_it_is_asked_until_it_answers(self) -> None:
        """Nothing else would refuse the order; leases aren't prolonged."""
        self.fencing.act(True)
        self._list('w1', 'w2')
        self._list('w2')
        await self._run(1_000)
        self.assertGreater(len(self.client.calls), 5)
        self.assertEqual({('w1', _FENCE, 0, 0.0, False)}, {*self.client.calls})
        self.client.up.add('w1')
        await self._run(1_000)
        self.assertFalse(self.fencing.gone)
        self.assertEqual(['w1'], self.client.forgotten)

    async def test_what_was_gone_before_this_vm_dispatched(self) -> None:
        """The dispatcher before it gave the orders, and is lost."""
        self._list('w1')
        self._list()
        self.clock.advance(200)
        await asyncio.sleep(0)
        self.assertEqual([], self.client.calls)
        self.client.up.add('w1')
        self.fencing.act(True)
        await self._run(1_000)
        self.assertEqual(1, len(self.client.calls))

    async def test_it_ends_after_a_while(self) -> None:
        """A worker that is gone for good would be asked for good."""
        self.fencing.act(True)
        self._list('w1')
        self._list()
        await self._run(60_000)
        self.assertFalse(self.fencing.gone)
        last = self.client.asked_at[-1] - self.client.asked_at[0]
        self.assertLess(last, 16_000)

    async def test_many_that_are_gone_share_the_calls(self) -> None:
        """A lost rack would take the dispatcher's processor."""
        self.fencing.act(True)
        self._list(*[f'w{number}' for number in range(400)])
        self._list()
        self.assertEqual(256, len(self.fencing.gone))
        await self._run(1_000)
        self.assertLess(len(self.client.calls), 60)

    async def test_one_that_is_listed_or_held_is_left_to_its_session(
        self,
    ) -> None:
        self.fencing.act(True)
        self._list('w1', 'w2')
        self.held.add('w2')
        self._list('w1')
        await self._run(200)
        self._list('w1', 'w2')
        self.assertFalse(self.fencing.gone)
        self.assertEqual([], self.client.calls + self.client.forgotten)

    async def test_one_that_has_left_is_not_asked(self) -> None:
        """It was emptied first, and does not come back."""
        self.fencing.act(True)
        self._list('w1', leaving=True)
        self._list()
        self.assertFalse(self.fencing.gone)

    async def test_a_change_of_lives_is_known_for_a_while(self) -> None:
        """A deputy has the fence of a dispatcher that it can't hear."""
        self._list('w1', born=1)
        self._list('w1', born=1)
        self.assertFalse(self.fencing.may_orders_be_late)
        self._list('w1', born=2)
        self.assertTrue(self.fencing.may_orders_be_late)
        self.clock.advance(20_000)
        self.assertFalse(self.fencing.may_orders_be_late)
        self._list()
        self.assertTrue(self.fencing.may_orders_be_late)

    async def test_another_dispatchers_fence_is_passed_on(self) -> None:
        self.fencing.act(True)
        self.client.errors = [endpoints.WorkerFenced('w1')]
        self.client.up.add('w1')
        self._list('w1')
        self._list()
        await self._run(1_000)
        self.assertEqual([('w1', _FENCE)], self.fenced)
        self.assertEqual(2, len(self.client.calls))

    async def test_a_fault_does_not_end_the_asking(self) -> None:
        self.fencing.act(True)
        self.client.errors = [OverflowError('an answer out of bounds')]
        self.client.up.add('w1')
        self._list('w1')
        self._list()
        await self._run(1_000)
        self.assertEqual(1, len(self.faults))
        self.assertFalse(self.fencing.gone)
