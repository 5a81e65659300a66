"""Tests of holding one worker."""

import asyncio
import unittest
from unittest import mock

from rosemaryroad import clock
from rosemaryroad import dispatching
from rosemaryroad import endpoints
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


class _RefusingClient:
    """Raises an error at each of its first calls, then answers."""

    def __init__(self, error: Exception, times: int) -> None:
        self._error = error
        self._left = times
        self.fences: list[int] = []

    async def hold(
        self, _: model.Worker, fence: int, *__: object
    ) -> model.WorkerReport:
        await asyncio.sleep(0)
        self.fences.append(fence)
        if self._left:
            self._left -= 1
            raise self._error
        return _REPORT

    def forget(self, _: model.Worker) -> None:
        pass


class AskingAgainTest(unittest.IsolatedAsyncioTestCase):
    """How soon a worker is asked again that has no report to give."""

    async def _hold(
        self, error: Exception, times: int
    ) -> tuple[_RefusingClient, mock.Mock, float]:
        client = _RefusingClient(error, times)
        time = clock.ManualClock()
        handler = mock.create_autospec(_sessions.SessionHandler, instance=True)
        fences = iter(range(1, 1_000))
        handler.may_order.return_value = True
        handler.fence.side_effect = lambda: next(fences)
        handler.down.return_value = 50.0
        reported_at = []
        handler.reported.side_effect = lambda *_: reported_at.append(
            time.now()
        )
        session = _sessions.WorkerSession(
            case.make_worker('w1'), client, handler, time
        )
        self.addCleanup(session.close)
        session.open()
        while not reported_at:
            await asyncio.sleep(0)
        session.close()
        return client, handler, reported_at[0]

    async def test_one_that_knows_a_higher_fence_is_asked_at_once(
        self,
    ) -> None:
        """After a loss of all VMs every worker refuses several times."""
        error = endpoints.WorkerFenced('w1')
        client, handler, waited_ms = await self._hold(error, 9)
        self.assertEqual(0.0, waited_ms)
        refused = [call.args for call in handler.fenced.call_args_list]
        self.assertEqual([('w1', item) for item in client.fences[:9]], refused)
        handler.silent.assert_not_called()

    async def test_one_that_refuses_for_ever_is_asked_seldom(self) -> None:
        error = endpoints.WorkerFenced('w1')
        _, _, waited_ms = await self._hold(error, 26)
        self.assertEqual(4_000.0, waited_ms)

    async def test_one_that_is_down_is_asked_often(self) -> None:
        """Orders that come late find its next life unfenced until then."""
        error = endpoints.WorkerDown('refused')
        _, handler, waited_ms = await self._hold(error, 11)
        self.assertEqual(10 * 50.0, waited_ms)
        handler.silent.assert_called()

    async def test_one_that_gives_no_answer_is_asked_seldom(self) -> None:
        error = endpoints.WorkerUnreachable('no answer')
        _, _, waited_ms = await self._hold(error, 11)
        self.assertGreater(waited_ms, 3_000.0)
