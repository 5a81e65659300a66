"""Tests of what callers and operators get at their addresses."""

import unittest
import unittest.mock

import aiohttp

from harness import ports
from rosemaryroad import dispatching
from rosemaryroad import jobservice
from rosemaryroad import model
from rosemaryroad import structure
from rosemaryroad.platform import _callers


class _ServedCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.front = front = unittest.mock.create_autospec(
            jobservice.JobService, is_leaving=False
        )
        drained = dispatching.RefusalCause.DRAINED
        queue = dispatching.QueueView(2, 27.0, {drained: 1}, 0, 150.0)
        self.view = dispatching.SchedulingView(
            64.0,
            sharing=dispatching.SharingKey.RACK,
            queue_by_name={'q': queue},
            share_by_name={'r"1': dispatching.ShareView()},
        )
        front.scheduling.return_value = self.view
        self.callers, self.operators = ports.free_addresses(2)
        server = _callers.CallersServer()
        await server.serve(front, str, self.callers, (self.operators,))
        self.addAsyncCleanup(server.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)


class SchedulingTest(_ServedCase):
    """The view of the room crosses the wire unchanged."""

    async def test_the_view_is_served(self) -> None:
        url = f'http://{self.operators}/v1/scheduling'
        async with self.session.get(url) as reply:
            body = await reply.json()
        found = structure.structure(body, dispatching.SchedulingView)
        self.assertEqual(self.view, found)

    async def test_nothing_can_be_changed_by_it(self) -> None:
        url = f'http://{self.operators}/v1/scheduling'
        async with self.session.post(url, json={}) as reply:
            self.assertEqual(405, reply.status)


class CancelTest(_ServedCase):
    """A cancel is acknowledged only where it holds."""

    async def test_each_end_has_its_status(self) -> None:
        """Acknowledged behind a cut, a job would run on beyond it."""
        route = model.QueueRoute('q', 'h', '/q/', 's', model.JobTerms())
        self.front.find_queue.return_value = jobservice.QueueMatch(route, 'j1')
        for end, status in (
            (jobservice.CancelEnd.DONE, 200),
            (jobservice.CancelEnd.UNKNOWN, 410),
            (jobservice.CancelEnd.UNCERTAIN, 503),
        ):
            self.front.cancel.return_value = end
            url = f'http://{self.callers}/q/j1'
            async with self.session.delete(url) as reply:
                self.assertEqual(status, reply.status)
        self.front.cancel.assert_awaited_with('j1', 'q')
