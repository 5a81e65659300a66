"""Orders that come seconds late, beside whole daemons."""

import asyncio

from tests.processes import job_case
from tests.standins import job_minion

# Longer than a lease: nothing that it ran is remembered then.
_DOWN_S = 1.6
_LATE_MS = 3_500.0
_WORK_MS = 2_000
_JOB = '0123456789abcdef'


class LateOrderTest(job_case.JobCase):
    """A task runs twice: for its client, and by an order of seconds ago.

    The minion that left the order unanswered has crashed, its entry was
    dropped, and it is back under its id.
    """

    WORK_MS = _WORK_MS
    MINIONS = 2

    async def _crash(self, minion: job_minion.JobMinion) -> None:
        crashed = asyncio.create_task(minion.crash_for(_DOWN_S))
        await asyncio.sleep(_DOWN_S / 2)
        self.store.remove('servers', minion.id)
        await crashed
        # It is back with too little room for a task of the job.
        capacity = {'cpu': 10_000, 'mem_mb': 9999, 'gpu': 0}
        entry = minion.entry(capacity=capacity)
        self.store.put('servers', minion.id, entry)

    async def test_it_is_refused_in_the_next_life(self) -> None:
        for minion in self.minions:
            minion.faults.late_ms = _LATE_MS
        call = asyncio.create_task(
            self.submit(self.daemons[0], _JOB, tasks=1, deadline_ms=1_500)
        )
        await asyncio.sleep(0.4)
        [late] = [item for item in self.minions if not item.faults.late_ms]
        for minion in self.minions:
            minion.faults.late_ms = 0.0
        await self._crash(late)
        await call
        # The task runs for its client as the late order comes.
        status, _ = await self.submit(
            self.daemons[1], _JOB, tasks=1, deadline_ms=6_000
        )
        self.assertEqual(200, status)
        self.assertEqual([(409, 'fence')], _told(late))
        self.assert_no_overlap()
        self.assertIn('event=fence_raised', self.log_lines())


def _told(minion: job_minion.JobMinion) -> list[tuple[int, str]]:
    return [(item.status, item.reason) for item in minion.late_starts]
