"""Tests of orders to the users' minions."""

import contextlib
import unittest

from rosemaryroad import clock
from rosemaryroad import endpoints
from rosemaryroad import model
from rosemaryroad import platform
from tests.standins import job_minion

_Result = model.OrderResult
_TASK = model.TaskId('0123456789abcdef', 3)


class MinionTest(unittest.IsolatedAsyncioTestCase):
    """Each outcome of an order is told apart."""

    async def asyncSetUp(self) -> None:
        self.minion = job_minion.JobMinion('i1', work_ms=60_000)
        await self.minion.start()
        self.addAsyncCleanup(self.minion.stop)
        self.client = platform.MinionClient(1_000.0, clock.Clock())
        self.addAsyncCleanup(self.client.close)
        self.worker = self._worker(self.minion.address)

    def _worker(self, address: str, worker_id: str = 'i1') -> model.Worker:
        needs = model.Needs(64.0, 9999, 0)
        return model.Worker(worker_id, 'archive', address, 'szeged', needs)

    async def _hold(self, fence: int = 1, **fields) -> model.WorkerReport:
        return await self.client.hold(self.worker, fence, 0, 0.0, **fields)

    async def _start(
        self, attempt: int = 1, fence: int = 1, task: model.TaskId = _TASK
    ) -> model.OrderResult:
        reply = await self.client.start(
            self.worker, fence, task, attempt, 'payload'
        )
        return reply.result

    async def _restart(self) -> None:
        """Restarts the minion and lets the connections to it break."""
        self.minion.restart()
        with contextlib.suppress(endpoints.WorkerUnreachable):
            await self._hold()

    async def test_a_task_runs_and_is_told(self) -> None:
        await self._hold()
        self.assertIs(_Result.DONE, await self._start())
        report = await self._hold()
        [running] = report.running
        self.assertEqual((_TASK, 1), (running.task, running.attempt))
        self.assertGreater(report.worker_clock, 0)

    async def test_a_stopped_attempt_never_starts(self) -> None:
        """A start is carried out after the stop that was to end it."""
        await self._hold()
        reply = await self.client.stop(self.worker, 1, _TASK, 1)
        self.assertIs(_Result.DONE, reply.result)
        self.assertIs(_Result.STALE_ATTEMPT, await self._start(1))
        self.assertIs(_Result.DONE, await self._start(2))

    async def test_a_stopped_run_is_told_as_such(self) -> None:
        await self._hold()
        await self._start()
        await self.client.stop(self.worker, 1, _TASK, 1)
        report = await self._hold()
        [ended] = report.ended
        self.assertIs(model.TaskEnd.STOPPED, ended.end)
        self.assertEqual(1, ended.number)

    async def test_refusals_are_told_apart(self) -> None:
        await self._hold(fence=5)
        self.assertIs(_Result.FENCED, await self._start(fence=4))
        for index in range(2):
            task = model.TaskId('a' * 16, index)
            started = await self._start(fence=5, task=task)
            self.assertIs(_Result.DONE, started)
        self.assertIs(_Result.NO_ROOM, await self._start(fence=5))
        for status, result in (
            (429, _Result.UNHEALTHY),
            (503, _Result.UNHEALTHY),
            (400, _Result.INVALID),
            (500, _Result.UNKNOWN),
        ):
            self.minion.faults.status = status
            with self.subTest(status):
                self.assertIs(result, await self._start(fence=5))

    async def test_without_a_clock_nothing_starts(self) -> None:
        """An order whose lease can't be told from the past is refused."""
        self.assertIs(_Result.TOO_LATE, await self._start())

    async def test_another_life_answers(self) -> None:
        """A minion crashed, and a new one listens at its address."""
        await self._hold()
        self.worker = self._worker(self.minion.address, 'i0')
        self.assertIs(_Result.WRONG_LIFE, await self._start())
        with self.assertRaises(endpoints.WorkerReplaced):
            await self._hold()

    async def test_unanswered_orders_are_unknown(self) -> None:
        await self._hold()
        self.minion.faults.lose_answers = True
        self.assertIs(_Result.UNKNOWN, await self._start())
        self.assertEqual(1, len(self.minion.running()))

    async def test_what_never_left_did_nothing(self) -> None:
        await self._hold()
        await self.minion.stop()
        self.worker = self._worker('127.0.0.1:9')
        self.assertIs(_Result.NOT_SENT, await self._start())
        self.minion = job_minion.JobMinion('i1')
        await self.minion.start()

    async def test_a_lower_fence_holds_nothing(self) -> None:
        await self._hold(fence=5)
        with self.assertRaises(endpoints.WorkerFenced):
            await self._hold(fence=4)

    async def test_reports_of_no_sense(self) -> None:
        """A minion answers with anything but a report."""
        for name, faults in (
            ('silent', job_minion.MinionFaults(swallow=True)),
            ('garbled', job_minion.MinionFaults(garble=True)),
            ('broken', job_minion.MinionFaults(status=500)),
        ):
            self.minion.faults = faults
            with (
                self.subTest(name),
                self.assertRaises(endpoints.WorkerUnreachable),
            ):
                await self._hold()

    async def test_a_lease_that_is_not_prolonged_lapses(self) -> None:
        await self._hold()
        await self._start()
        held = self.minion.lease_ends
        await self._hold(prolong=False)
        self.assertEqual(held, self.minion.lease_ends)

    async def test_a_restart_forgets_all(self) -> None:
        """A minion crashes and starts again under the id that it had.

        It runs nothing, has seen no fence and numbers its ends anew.
        """
        await self._hold(fence=5)
        await self._start(fence=5)
        await self._start(fence=5, task=model.TaskId('a' * 16, 0))
        await self.client.stop(self.worker, 5, _TASK, 1)
        await self._restart()
        report = await self._hold()
        self.assertEqual(((), ()), (report.running, report.ended))
        self.assertIs(_Result.DONE, await self._start())
        await self.client.stop(self.worker, 1, _TASK, 1)
        [ended] = (await self._hold()).ended
        self.assertEqual(1, ended.number)
        self.assertEqual('crashed', self.minion.runs[1].end)
