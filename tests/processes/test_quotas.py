"""A team's quota over several daemons."""

import asyncio
import math
import time

from tests.processes import case

_RUNNING = 6
_TASKS = 40
_RUN_MS = 300.0

# For two heartbeats and the run time of a task, daemons that have not heard
# of each other's callers yet may run more; the bounds stand in the design
# note on quotas.
_SETTLED_S = 2.6


class QuotaTest(case.DeploymentCase):
    """Three daemons, and minions with far more slots than the quota."""

    DAEMONS = 3
    SLOTS = 32

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # A daemon that has just heard its first peer gives out the whole
        # quota for another moment; its window shows when it counts them.
        even = math.ceil(self.MINIONS * self.SLOTS / self.DAEMONS)

        async def look() -> bool | None:
            found = await asyncio.gather(*map(self.status, self.daemons))
            windows = {one['services'][0]['view']['window'] for one in found}
            return windows == {even} or None

        await self.daemons[0].process.poll(look)

    async def put_document(self, *arguments, **fields):
        quota = {'running_tasks': _RUNNING}
        return await super().put_document(*arguments, quota=quota, **fields)

    async def _running(self) -> int:
        found = await asyncio.gather(*map(self.status, self.daemons))
        views = [item['view'] for one in found for item in one['services']]
        return sum(team['running'] for v in views for team in v['teams'])

    async def _most_running(self, jobs: asyncio.Future) -> tuple[int, int]:
        """Returns the most at first, and the most after that."""
        began = time.monotonic()
        first = settled = 0
        while not jobs.done():
            looked_s = time.monotonic() - began
            running = await self._running()
            if looked_s < _SETTLED_S:
                first = max(first, running)
            else:
                settled = max(settled, running)
        return first, settled

    async def test_callers_at_all_daemons_have_the_quota_once(self) -> None:
        """A team's callers come to all three daemons at once.

        Each daemon used to give the whole quota: three times as many of
        the team's tasks ran, and other teams' tasks waited behind them.
        """
        callers = [await self.open(daemon) for daemon in self.daemons]
        began = time.monotonic()
        jobs = asyncio.gather(
            *(
                caller.submit(daemon, f'job-{number}', _TASKS, _RUN_MS)
                for number, (caller, daemon) in enumerate(
                    zip(callers, self.daemons, strict=True)
                )
            )
        )
        first, settled = await self._most_running(jobs)
        spent_ms = (time.monotonic() - began) * 1000
        for number, reply in enumerate(await jobs):
            self.assert_whole(reply, f'job-{number}', _TASKS)
        self.assertLess(first, 2 * _RUNNING)
        self.assertLessEqual(settled, _RUNNING)
        self.assertGreater(settled, 0)
        # A busy machine only makes it longer.
        ideal_ms = len(callers) * _TASKS * _RUN_MS / _RUNNING
        self.assertGreater(spent_ms, 0.9 * ideal_ms)

    async def test_callers_at_one_daemon_get_the_whole_quota(self) -> None:
        """All of a team's callers stand at one of three daemons.

        With a third of the quota for as long as they come, two thirds of
        what the team may have would never be used.
        """
        caller = await self.open(self.daemons[0])
        submit = caller.submit(self.daemons[0], 'job', 10 * _TASKS, _RUN_MS)
        job = asyncio.create_task(submit)

        async def look() -> bool | None:
            return await self._running() == _RUNNING or None

        await self.daemons[0].process.poll(look)
        await caller.cancel(self.daemons[0], 'job')
        await job
