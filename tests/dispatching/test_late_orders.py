"""Tests of orders that got no answer and come to a worker's next life."""

import asyncio
import collections.abc
import unittest

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case
from tests.dispatching import played_service

_LATE_MS = 6_300.0
_DOWN_MS = 4_500.0
_RUN_MS = 3_600.0
_LEFT_MS = 1_500.0

# When a client comes again, so that its task runs as the late order comes.
_RETURNS_MS = (2_800.0, 5_600.0)

_Event = collections.abc.Callable[[played_service.PlayedService, str], None]


def _kill(service: played_service.PlayedService, _: str) -> None:
    service.kill(service.dispatcher())


def _leave(service: played_service.PlayedService, _: str) -> None:
    vm = service.vm_by_name[service.dispatcher()]
    vm.leadership.leave(service.now)


def _freeze(service: played_service.PlayedService, _: str) -> None:
    service.freeze(service.dispatcher(), 2_000.0)


def _part_dispatcher(service: played_service.PlayedService, _: str) -> None:
    service.part({service.dispatcher()})


def _part_its_domain(
    service: played_service.PlayedService, worker: str
) -> None:
    service.part(service.names_of(worker[0]))


def _crash_again(service: played_service.PlayedService, worker: str) -> None:
    service.crash(worker, 300.0, 3_000.0, 0.0)


def _drain(service: played_service.PlayedService, worker: str) -> None:
    service.drain({worker[0]})


def _delay_stops(service: played_service.PlayedService, worker: str) -> None:
    service.delay_stops({worker}, 500.0)


class NextLifeTest(unittest.IsolatedAsyncioTestCase):
    """A task runs twice: for its client, and by an order of seconds ago.

    The worker that left the order unanswered has crashed and is back under
    its id. Its next life has seen neither the stop nor any fence.
    """

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    async def _play(
        self,
        expires_ms: float = 3_000.0,
        listed_after_ms: float = 5.0,
        event: _Event | None = None,
        event_ms: float = 0.0,
        down_ms: float = _DOWN_MS,
    ) -> None:
        """Plays a late start whose worker crashes, and one more event.

        Args:
            expires_ms: When its entry is dropped.
            listed_after_ms: How long after its return it has one again.
            event: What else happens.
            event_ms: When, counted from the crash.
            down_ms: For how long it is down.
        """
        service = played_service.PlayedService(run_ms=_RUN_MS)
        self.addAsyncCleanup(service.close)
        await service.run(2_500.0)
        service.delay_some(lambda: _LATE_MS)
        home = next(
            name for name in service.vm_by_name if name != service.dispatcher()
        )
        service.submit(home, 'job', _LEFT_MS)
        await service.run(60.0)
        self.assertTrue(service.late_at_by_worker)
        service.heal()
        await service.run(540.0)
        worker = next(iter(service.late_at_by_worker))
        for late in service.late_at_by_worker:
            service.crash(late, down_ms, expires_ms, listed_after_ms)
        if event is not None:
            service.call_later(event_ms, event, service, worker)
        for return_ms in _RETURNS_MS:
            service.call_later(return_ms - 600.0, self._return, service)
        await service.run(_LATE_MS + 2_000.0)
        self.assertEqual([], service.doubled)

    def _return(self, service: played_service.PlayedService) -> None:
        service.submit(sorted(service.vm_by_name)[-1], 'job', 4_000.0)

    async def test_the_entry_was_dropped_meanwhile(self) -> None:
        """Nothing was remembered of the worker that came back."""
        for listed_after_ms in (5.0, 150.0, 1_500.0):
            with self.subTest(listed_after_ms=listed_after_ms):
                await self._play(listed_after_ms=listed_after_ms)

    async def test_the_entry_stands(self) -> None:
        await self._play(expires_ms=60_000.0)

    async def test_a_change_of_who_dispatches(self) -> None:
        """A successor or a deputy knows nothing of the order."""
        for event in (_kill, _leave, _freeze, _part_dispatcher):
            for event_ms in (200.0, 3_500.0, 4_800.0):
                with self.subTest(event=event.__name__, event_ms=event_ms):
                    await self._play(event=event, event_ms=event_ms)

    async def test_the_domain_of_the_worker_is_cut_off(self) -> None:
        """A deputy reaches the next life, the dispatcher doesn't."""
        for event_ms in (200.0, 4_800.0):
            with self.subTest(event_ms=event_ms):
                await self._play(
                    expires_ms=60_000.0,
                    event=_part_its_domain,
                    event_ms=event_ms,
                )

    async def test_a_second_new_life(self) -> None:
        """What the first new life was told binds the second one no more."""
        await self._play(event=_crash_again, event_ms=5_000.0)
        await self._play(
            expires_ms=60_000.0, event=_crash_again, event_ms=5_000.0
        )

    async def test_orders_to_stop_come_late_as_well(self) -> None:
        for event_ms in (0.0, 4_400.0):
            await self._play(event=_delay_stops, event_ms=event_ms)

    async def test_its_domain_is_drained(self) -> None:
        await self._play(event=_drain, event_ms=1_000.0)


class FencedStopTest(case.DispatcherCase):
    """An order to stop meets a fence that has been raised on its way."""

    def test_it_is_sent_again_at_once(self) -> None:
        """Its task and its room wait for it, and so does the next start."""
        self.add_workers('w1')
        self.submit(case.make_job())
        [start] = self.starts()
        self.answer(start)
        self.take(self.dispatcher.withdraw(case.HOME, 'job-1', self.now))
        [stop] = self.stops()
        self.answer(stop, model.OrderResult.FENCED)
        [again] = self.stops()
        self.assertEqual((stop.task, 1), (again.task, again.attempt))


class RaisedFenceTest(case.DispatcherCase):
    """Orders to an earlier life can't be told from those to the next one."""

    def _raised(self) -> int:
        return len(self.pop(dispatching.RaiseFence))

    def _order(self, *workers: str, born: int | None = None) -> None:
        """Has an order sent to each of some workers."""
        self.list_workers(
            *[case.make_worker(item, born=born) for item in workers]
        )
        for worker in workers:
            self.report(worker, born=born)
        self.submit(case.make_job(tasks=2 * len(workers)))
        for start in self.starts():
            self.dispatcher.start_sent(start.worker, self.now)
            self.answer(start)

    def test_a_worker_that_is_gone_may_come_back(self) -> None:
        """Its late orders are carried out by a worker that nobody knows."""
        self._order('w1')
        self.list_workers()
        self.take(self.dispatcher.silent('w1', 'no answer', self.now))
        self.assertEqual(0, self._raised())
        self.pass_time(1_500)
        self.assertEqual(1, self._raised())

    def test_a_new_life_raises_the_fence_first(self) -> None:
        """The next call to it would be refused by nothing."""
        self._order('w1', born=1)
        self.actions.clear()
        self.list_workers(case.make_worker('w1', born=2))
        kinds = [type(action) for action in self.actions]
        looks = kinds.index(dispatching.LookAt)
        self.assertLess(kinds.index(dispatching.RaiseFence), looks)

    def test_several_that_are_back_raise_it_once(self) -> None:
        """Each raise has orders under way refused, and others catch up."""
        self._order('w1', 'w2', 'w3', born=1)
        self.list_workers(
            *[case.make_worker(f'w{item}', born=2) for item in (1, 2, 3)]
        )
        self.assertEqual(1, self._raised())

    def test_one_that_got_no_order_raises_nothing(self) -> None:
        """Another worker answers at its address, list after list."""
        for _ in range(5):
            self.list_workers(case.make_worker('w1'))
            self.take(self.dispatcher.worker_gone('w1', self.now))
        self.assertEqual(0, self._raised())

    def test_a_deputy_raises_it_for_orders_of_others(self) -> None:
        """The dispatcher behind the cut may have given some."""
        self.dispatcher = dispatching.JobDispatcher(
            dispatching.DispatchLimits(lease_ms=case.LEASE_MS), is_deputy=True
        )
        self.list_workers(case.make_worker('w1', born=1))
        self.report('w1', born=2)
        self.assertEqual(1, self._raised())
