"""Whole daemons show operators who has the room."""

import asyncio

from rosemaryroad import dispatching
from rosemaryroad import structure
from tests.processes import job_case

_TIMEOUT_S = 10.0


class SchedulingTest(job_case.JobCase):
    """The view comes from whichever VM dispatches."""

    DAEMONS = 1
    MINIONS = 1
    WORK_MS = 600.0

    async def _view(self) -> dispatching.SchedulingView:
        url = f'http://{self.daemons[0].operators}/v1/scheduling'
        async with self.session.get(url) as reply:
            body = await reply.json()
        return structure.structure(body, dispatching.SchedulingView)

    async def test_a_queue_with_work(self) -> None:
        """The parts of the daemon have to be connected for it."""
        job = asyncio.create_task(self.submit(self.daemons[0], tasks=3))
        name = f'r-{job_case.PREFIX}'
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                queue = (await self._view()).queue_by_name.get(name)
                if queue is not None and queue.cores:
                    break
                await asyncio.sleep(0.02)
        self.assertEqual((1, 54.0), (queue.waiting_tasks, queue.cores))
        url = f'http://{self.daemons[0].operators}/metrics'
        async with self.session.get(url) as reply:
            text = await reply.text()
        self.assertIn(f'queue_cores{{queue="{name}",vm="entry-0"}} 54', text)
        await job
