"""Minions that start again as another kind, beside whole daemons."""

import asyncio
import itertools
import time

from tests.processes import job_case
from tests.standins import job_minion

_DOWN_S = 0.6
_JOBS_PAUSE_S = 0.01
_WAIT_S = 2.0

# How long after its start each writes its entry: at once, and within the
# time that a call about it waits.
_LISTED_AFTER_S = (0.005, 0.8)


class OtherKindTest(job_case.JobCase):
    """A task starts on a worker that lacks the label which it requires.

    The worker has started again under its id, and its entry is read later than
    it answers.
    """

    WORK_MS = 30.0

    async def _press(self) -> None:
        """Hands jobs in that only workers of the first kind may run."""
        for daemon in itertools.cycle(self.daemons):
            call = asyncio.create_task(
                self.submit(daemon, deadline_ms=1_000, requires='a')
            )
            self._calls.append(call)
            await asyncio.sleep(_JOBS_PAUSE_S)

    async def _return_as_other(
        self, minion: job_minion.JobMinion, listed_after_s: float
    ) -> float:
        """Has a minion return as another kind; returns when it listened."""
        await minion.crash_for(_DOWN_S)
        listened = time.monotonic()
        minion.labels = ['b', 'r1-1']
        await asyncio.sleep(listed_after_s)
        self.store.put('servers', minion.id, minion.entry())
        return listened

    async def test_no_task_starts_by_the_earlier_entry(self) -> None:
        self._calls: list[asyncio.Task] = []
        pressing = asyncio.create_task(self._press())
        self.addCleanup(pressing.cancel)
        await asyncio.sleep(0.5)
        others = self.minions[:2]
        listened_at = await asyncio.gather(
            *map(self._return_as_other, others, _LISTED_AFTER_S)
        )
        await asyncio.sleep(_WAIT_S)
        pressing.cancel()
        await asyncio.gather(*self._calls)
        for minion, listened in zip(others, listened_at, strict=True):
            began = [run.began for run in minion.runs]
            self.assertLess(min(began), listened)
            self.assertEqual([], [at for at in began if at >= listened])
        status, _ = await self.submit(self.daemons[0], tasks=4, requires='b')
        self.assertEqual(200, status)
        self.assertIn('event=worker_entry_read', self.log_lines())
