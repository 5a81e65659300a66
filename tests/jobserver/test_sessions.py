"""Tests of holding one worker."""

import asyncio
import unittest
from unittest import mock

from rosemaryroad import clock
from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad.jobserver import _sessions
from tests.dispatching import case

_REPORT = model.WorkerReport(5.0, 5.0, (), ())
_TASK = model.TaskId('j1', 0)
_TURNS = 50


class _Client:
    """Fails by an error that nobody expects, then answers."""

    def __init__(self, failures: int) -> None:
        self._failures = failures
        self.answered = 0

    async def hold(self, *_: object) -> model.WorkerReport:
        await asyncio.sleep(0)
        self._fail()
        self.answered += 1
        return _REPORT

    async def start(self, *_: object) -> model.OrderReply:
        self._fail()
        return model.OrderReply(model.OrderResult.DONE)

    stop = start

    def forget(self, _: model.Worker) -> None:
        pass

    def _fail(self) -> None:
        if self._failures:
            self._failures -= 1
            raise OverflowError('an answer out of bounds')


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """An answer makes a call fail by an error that nobody expects."""

    def _open(self, failures: int) -> _sessions.WorkerSession:
        self.client = _Client(failures)
        handler = mock.create_autospec(_sessions.SessionHandler, instance=True)
        handler.may_order.return_value = True
        handler.fence.return_value = 1
        handler.spare_ms.return_value = 0.0
        session = _sessions.WorkerSession(
            case.make_worker('w1'), self.client, handler, clock.ManualClock()
        )
        self.addCleanup(session.close)
        return session

    async def _run(self) -> None:
        for _ in range(_TURNS):
            await asyncio.sleep(0)

    async def test_the_worker_is_held_on(self) -> None:
        """It stood idle until another VM came to dispatch."""
        session = self._open(failures=3)
        with self.assertLogs('rosemaryroad', 'ERROR'):
            session.open()
            await self._run()
        self.assertGreater(self.client.answered, 0)

    async def test_an_order_counts_as_unanswered(self) -> None:
        """Its task waited for the answer until its client had left."""
        start = dispatching.StartTask('w1', '', _TASK, 1, '', 0.0)
        stop = dispatching.StopTask('w1', '', _TASK, 1, '')
        replies: list[model.OrderReply] = []
        for give in (
            lambda session, take: session.start(start, take),
            lambda session, take: session.stop(stop, take),
        ):
            session = self._open(failures=1)
            with self.assertLogs('rosemaryroad', 'ERROR'):
                give(session, lambda _, reply: replies.append(reply))
                await self._run()
        self.assertEqual(
            [model.OrderResult.UNKNOWN] * 2, [item.result for item in replies]
        )
