"""Tests of what operators get at their address."""

import unittest
import unittest.mock

import aiohttp

from harness import ports
from rosemaryroad import dispatching
from rosemaryroad import jobservice
from rosemaryroad import structure
from rosemaryroad.platform import _callers


class SchedulingTest(unittest.IsolatedAsyncioTestCase):
    """The view of the room crosses the wire unchanged."""

    async def asyncSetUp(self) -> None:
        front = unittest.mock.create_autospec(
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
        callers, self.operators = ports.free_addresses(2)
        server = _callers.CallersServer()
        await server.serve(front, str, callers, (self.operators,))
        self.addAsyncCleanup(server.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

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
