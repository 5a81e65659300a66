"""Tests of a whole service whose workers start again under their ids."""

import asyncio
import itertools
import unittest

from rosemaryroad import model
from tests.dispatching import played_service

# When the entry tells of a new life: before the worker does, at once, and
# after several lists that name the earlier one.
_LISTED_AFTER_MS = (0.0, 150.0, 1_500.0)

# How long a start is under way: into the new life, and beyond a lease.
_DELAYS_MS = (200.0, 700.0, 1_500.0)
_JOBS_EVERY_MS = 60.0
_RUN_MS = 300.0


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Tasks of earlier lives start again, and none runs twice."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    async def _start(self, workers: int = 2) -> played_service.PlayedService:
        service = played_service.PlayedService(workers=workers, run_ms=_RUN_MS)
        self.addAsyncCleanup(service.close)
        await service.run(2_500.0)
        return service

    async def _submit(
        self, service, name: str, count: int
    ) -> dict[str, asyncio.Task]:
        """Hands jobs in; returns what waits for the answer of each."""
        answer_by_job = {}
        homes = itertools.cycle(sorted(service.vm_by_name))
        for number in range(count):
            job = f'{name}-{number}'
            answer_by_job[job] = service.submit(next(homes), job)
            await service.run(_JOBS_EVERY_MS)
        return answer_by_job

    def _assert_all_done(self, service) -> None:
        self.assertEqual([], service.doubled)
        self.assertEqual({model.JobEnd.COMPLETED}, set(service.ends()))

    async def test_all_jobs_complete_though_workers_restart(self) -> None:
        """Workers start again one after another, at work all the time.

        What vanishes with a life must not hold its room or its task: after
        a few restarts nobody would be served.
        """
        for after_ms in _LISTED_AFTER_MS:
            with self.subTest(listed_after_ms=after_ms):
                service = await self._start()
                for number in range(4):
                    for worker in service.worker_by_id:
                        await self._submit(service, f'{worker}-{number}', 2)
                        service.restart(worker, after_ms)
                await service.run(1_500.0)
                self._assert_all_done(service)

    async def test_no_call_is_lost_by_a_restart(self) -> None:
        """Workers start again between two calls.

        The next one acknowledges ends of before. What may have ended well
        unseen must not start again; its client hears that it is given up.
        The others have room for what a worker isn't given before its entry.
        """
        service = await self._start(workers=3)
        answer_by_job = {}
        lost = set()
        for number in range(4):
            for worker in service.worker_by_id:
                answer_by_job |= await self._submit(
                    service, f'{worker}-{number}', 2
                )
                runs = service.worker_by_id[worker].runs
                lost.update(task.job for task, _ in runs)
                service.restart(worker, 150.0, breaks_calls=False)
        await service.run(1_500.0)
        self.assertEqual([], service.doubled)
        ends = service.ends()
        done = ends.count(model.JobEnd.COMPLETED)
        given_up = ends.count(model.JobEnd.GIVEN_UP)
        self.assertEqual(len(ends), done + given_up)
        self.assertLess(given_up, len(ends) / 4)
        for job, answer in answer_by_job.items():
            if played_service.end_of(answer) is model.JobEnd.GIVEN_UP:
                self.assertIn(job, lost)

    async def test_what_was_lost_is_done_elsewhere_at_once(self) -> None:
        """Half of all workers start again at the same time.

        Waited for until leases lapse, their jobs would miss their
        objectives.
        """
        for after_ms in _LISTED_AFTER_MS:
            with self.subTest(listed_after_ms=after_ms):
                service = await self._start()
                await self._submit(service, 'job', 6)
                for worker in list(service.worker_by_id)[::2]:
                    service.restart(worker, after_ms)
                await service.run(_RUN_MS * 2 + 150.0)
                self._assert_all_done(service)

    async def test_a_start_that_comes_late_doubles_no_task(self) -> None:
        """A start is under way while its worker starts again.

        It carries a lease that ends on the clock of before, far in the
        future of the new one, and would begin beside the next attempt.
        """
        for delay_ms, after_ms, pause_ms in itertools.product(
            _DELAYS_MS, _LISTED_AFTER_MS, (0.0, 100.0, 190.0)
        ):
            with self.subTest(
                delay_ms=delay_ms, listed_after_ms=after_ms, pause_ms=pause_ms
            ):
                service = await self._start()
                late = set(list(service.worker_by_id)[::2])
                service.delay(late, delay_ms)
                await self._submit(service, 'job', 3)
                await service.run(pause_ms)
                for worker in late:
                    service.restart(worker, after_ms)
                service.heal()
                await service.run(3_000.0)
                self._assert_all_done(service)

    async def test_a_restart_beside_the_dispatchers_loss(self) -> None:
        """Workers start again while another VM takes over.

        It learns their lives from reports and from lists that lag.
        """
        for after_ms, pause_ms in itertools.product(
            _LISTED_AFTER_MS, (0.0, 50.0, 100.0, 200.0, 400.0)
        ):
            with self.subTest(listed_after_ms=after_ms, pause_ms=pause_ms):
                service = await self._start()
                await self._submit(service, 'job', 5)
                service.kill(service.dispatcher())
                await service.run(pause_ms)
                for worker in list(service.worker_by_id)[::2]:
                    service.restart(worker, after_ms)
                await self._submit(service, 'later', 5)
                await service.run(3_000.0)
                self.assertEqual([], service.doubled)
                ends = service.ends()
                done = ends.count(model.JobEnd.COMPLETED)
                # The lost VM's own clients get no answer.
                self.assertGreaterEqual(done, len(ends) - 1)

    async def test_a_restart_beside_a_frozen_dispatcher(self) -> None:
        """Answers of the earlier lives wait for a VM that was stopped."""
        for ms in (150.0, 300.0, 1_500.0):
            with self.subTest(ms):
                service = await self._start()
                await self._submit(service, 'job', 5)
                service.freeze(service.dispatcher(), ms)
                for worker in service.worker_by_id:
                    service.restart(worker, 100.0)
                await self._submit(service, 'later', 5)
                await service.run(3_000.0)
                self.assertEqual([], service.doubled)
                self.assertNotIn(None, service.ends())
