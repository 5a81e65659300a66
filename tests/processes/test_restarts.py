"""Minions that start again under their ids, beside whole daemons."""

import asyncio
import itertools

from tests.processes import job_case

_ROUNDS = 6
_PAUSE_S = 0.12

# When the store shows the new life.
_LISTED_AFTER_S = 0.1


class RestartTest(job_case.JobCase):
    """Jobs complete though minions start again all the time."""

    WORK_MS = 120.0

    # Room for all jobs also while one waits for its entry.
    MINIONS = 4

    async def _restart_all(self) -> None:
        for number in range(_ROUNDS * self.MINIONS):
            minion = self.minions[number % self.MINIONS]
            minion.restart()
            await asyncio.sleep(_LISTED_AFTER_S)
            self.store.put('servers', minion.id, minion.entry())
            await asyncio.sleep(_PAUSE_S)

    async def _submit_while(self, restarts: asyncio.Task) -> list[int]:
        calls = []
        for daemon in itertools.cycle(self.daemons):
            if restarts.done():
                break
            calls.append(asyncio.create_task(self.submit(daemon)))
            await asyncio.sleep(0.04)
        return [status for status, _ in await asyncio.gather(*calls)]

    async def test_all_jobs_complete_and_none_runs_twice(self) -> None:
        """Minions start again one after another; their entries lag.

        Room that vanished tasks hold would leave callers without answers.
        """
        restarts = asyncio.create_task(self._restart_all())
        statuses = await self._submit_while(restarts)
        await restarts
        self.assertGreater(len(statuses), 50)
        self.assertEqual({200}, set(statuses))
        self.assert_no_overlap()
        crashed = [
            run
            for minion in self.minions
            for run in minion.runs
            if run.end == 'crashed'
        ]
        self.assertGreater(len(crashed), 3)
        self.assertIn('event=worker_restarted', self.log_lines())
        status, _ = await self.submit(self.daemons[0], tasks=6)
        self.assertEqual(200, status)
