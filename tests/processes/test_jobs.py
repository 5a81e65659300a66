"""Whole daemons serve jobs, also when one of them is lost."""

import asyncio
import re

from harness import jobs
from tests.processes import job_case
from tests.standins import job_minion


class _LoadCase(job_case.JobCase):
    async def load(self, count: int, daemons) -> list[asyncio.Task]:
        tasks = []
        for number in range(count):
            daemon = daemons[number % len(daemons)]
            tasks.append(
                asyncio.create_task(
                    self.submit_again(daemon, f'{number:016x}')
                )
            )
            await asyncio.sleep(0.02)
        return tasks


class JobsTest(_LoadCase):
    """What clients and workers see of three daemons."""

    async def test_jobs_come_back_whole(self) -> None:
        answers = await asyncio.gather(
            *(
                self.submit(daemon, tasks=tasks)
                for daemon in self.daemons
                for tasks in (1, 2, 5)
            )
        )
        expected = [(200, {'state': 'completed'})] * 9
        self.assertEqual(expected, answers)
        ran = sum(len(minion.runs) for minion in self.minions)
        self.assertEqual(24, ran)
        self.assert_no_overlap()

    async def test_what_is_not_served_is_refused_as_never_run(self) -> None:
        daemon = self.daemons[0]
        for step in ({'gang': True}, {'after': [0]}, {'long_running': True}):
            status, _ = await self.submit(daemon, **step)
            self.assertEqual(503, status, step)
        status, _ = await self.submit(daemon, cpu=10_000_000)
        self.assertEqual(503, status)
        status, _ = await self.submit(daemon, prefix='/nowhere/')
        self.assertEqual(404, status)
        self.assertEqual([], [run for m in self.minions for run in m.runs])

    async def test_a_queue_comes_and_goes(self) -> None:
        """Operators add a queue and remove another one."""
        self.put_queues(2, '/new/')
        async with asyncio.timeout(10):
            for daemon in self.daemons:
                while (await self.submit(daemon, prefix='/new/'))[0] != 200:
                    await asyncio.sleep(0.02)
                status, _ = await self.submit(daemon)
                self.assertEqual(404, status)
        self.put_queues(1)
        await asyncio.sleep(0.3)
        for daemon in self.daemons:
            status, _ = await self.submit(daemon)
            self.assertEqual(404, status)

    async def test_a_cancelled_job_runs_nowhere_again(self) -> None:
        """It is cancelled at another VM, and a copy comes to a third.

        The cancel was answered 410 there, and the copy ran to its end.
        """
        home, other, third = self.daemons
        job_id = 'c' * 16
        url = f'http://{other.callers}{job_case.PREFIX}{job_id}'
        headers = {'Host': jobs.HOST}
        for minion in self.minions:
            minion.faults.hang = True
        posted = asyncio.create_task(self.submit(home, job_id))
        while not any(minion.runs for minion in self.minions):
            await asyncio.sleep(0.02)
        async with self.session.delete(url, headers=headers) as reply:
            self.assertEqual(200, reply.status)
        failed = (200, {'state': 'failed'})
        self.assertEqual(failed, await posted)
        ran = sum(len(minion.runs) for minion in self.minions)
        self.assertEqual(failed, await self.submit(third, job_id))
        self.assertEqual(failed, await self.submit(home, job_id))
        self.assertEqual(ran, sum(len(m.runs) for m in self.minions))

    async def test_the_dispatcher_is_killed(self) -> None:
        """The process that orders all tasks ends under load.

        Every job of the other daemons' clients has to come to its end,
        and nothing may run twice at the same time.
        """
        dispatcher = self.dispatcher()
        others = [item for item in self.daemons if item is not dispatcher]
        load = asyncio.create_task(self.load(60, others))
        await asyncio.sleep(0.4)
        dispatcher.process.kill()
        statuses = await asyncio.gather(*await load)
        self.assertEqual({200}, set(statuses))
        self.assert_no_overlap()
        self.assertIsNot(dispatcher, self.dispatcher())

    async def test_a_daemon_leaves_without_cutting_anyone_off(self) -> None:
        """The dispatcher's VM gets SIGTERM while its clients wait."""
        dispatcher = self.dispatcher()
        waiting = [
            asyncio.create_task(self.submit(dispatcher)) for _ in range(6)
        ]
        await asyncio.sleep(0.01)
        dispatcher.process.terminate()
        answers = await asyncio.gather(*waiting)
        self.assertEqual({200}, {status for status, _ in answers})
        self.assertEqual(0, await dispatcher.process.wait_for_exit())
        others = [item for item in self.daemons if item is not dispatcher]
        status, _ = await self.submit(others[0])
        self.assertEqual(200, status)
        self.assert_no_overlap()

    async def test_the_dispatcher_is_stopped_and_goes_on(self) -> None:
        """The dispatcher's process stands still for three seconds.

        It wakes with orders that it had decided on; another one has given
        them meanwhile.
        """
        dispatcher = self.dispatcher()
        others = [item for item in self.daemons if item is not dispatcher]
        load = asyncio.create_task(self.load(80, others))
        await asyncio.sleep(0.3)
        dispatcher.process.freeze()
        await asyncio.sleep(3.0)
        dispatcher.process.thaw()
        statuses = await asyncio.gather(*await load)
        self.assertEqual({200}, set(statuses))
        self.assert_no_overlap()

    async def test_the_store_is_away(self) -> None:
        """Jobs are served, and a dispatcher is found, without the store."""
        self.store.faults.status = 503
        dispatcher = self.dispatcher()
        others = [item for item in self.daemons if item is not dispatcher]
        status, _ = await self.submit(others[0])
        self.assertEqual(200, status)
        dispatcher.process.kill()
        status = await self.submit_again(others[0], 'f' * 16)
        self.assertEqual(200, status)
        self.assert_no_overlap()

    async def test_lost_answers_double_nothing(self) -> None:
        """A minion carries orders out and leaves them unanswered."""
        self.minions[0].faults.lose_answers = True
        statuses = await asyncio.gather(*await self.load(20, self.daemons))
        self.assertEqual({200}, set(statuses))
        self.assert_no_overlap()

    async def test_metrics_are_served(self) -> None:
        await self.submit(self.daemons[0])
        url = f'http://{self.daemons[0].operators}/metrics'
        async with self.session.get(url) as reply:
            text = await reply.text()
        self.assertIn('rosemaryroad_job_answers_total{end="completed"', text)
        self.assertRegex(text, r'rosemaryroad_queues_version\{.*\} 1\b')

    async def test_an_id_leads_through_the_log(self) -> None:
        """On-call follows one job from its client to its workers."""
        await self.submit(self.daemons[0], 'abcdef0123456789')
        wanted = {
            'job_received',
            'job_handed',
            'task_ordered',
            'task_ended',
            'job_settled',
            'job_answered',
        }
        async with asyncio.timeout(10):
            while not wanted <= self._events('abcdef0123456789'):
                await asyncio.sleep(0.05)

    def _events(self, job_id: str) -> set[str]:
        return {
            re.search(r'event=(\w+)', line)[1]
            for line in self.log_lines().splitlines()
            if f'request_id={job_id}' in line
        }


class CellsTest(_LoadCase):
    """Three daemons share the workers, each with a part of its own."""

    MINIONS = 9
    CELLS = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # A daemon is ready as soon as one cell has a dispatcher.
        rows = self.store.rows
        async with asyncio.timeout(10):
            while rows.find('rosemaryroad', 'dispatcher/1') is None or (
                rows.find('rosemaryroad', 'dispatcher/2') is None
            ):
                await asyncio.sleep(0.02)

    async def test_all_cells_serve_from_any_daemon(self) -> None:
        statuses = await asyncio.gather(*await self.load(30, self.daemons))
        self.assertEqual({200}, set(statuses))
        self.assert_no_overlap()

    async def test_a_daemon_takes_a_second_cell_over(self) -> None:
        """One of three dispatchers is killed, and the store is away.

        The jobs of its cell wait at their homes until another daemon has
        taken it over; those of the others go on.
        """
        self.store.faults.status = 503
        lost = self.dispatcher(1)
        others = [item for item in self.daemons if item is not lost]
        load = asyncio.create_task(self.load(45, others))
        await asyncio.sleep(0.3)
        lost.process.kill()
        statuses = await asyncio.gather(*await load)
        self.assertEqual({200}, set(statuses))
        self.assert_no_overlap()

    async def test_a_daemon_learns_the_cells_from_its_peers(self) -> None:
        """A daemon starts anew while the store is away.

        Without the number of cells it would take every worker for its own,
        and two daemons would give orders to one.
        """
        self.store.faults.status = 503
        again = self.daemons[0]
        again.process.kill()
        await again.process.wait_for_exit()
        await again.start()
        statuses = await asyncio.gather(*await self.load(20, self.daemons[1:]))
        self.assertEqual({200}, set(statuses))
        async with asyncio.timeout(20):
            while 'event=cells_known count=3 source=peer' not in (
                self.log_lines()
            ):
                await asyncio.sleep(0.05)
        self.assert_no_overlap()


class FirstStartTest(_LoadCase):
    """Daemons start for the first time, and their workers with them."""

    MINIONS = 1

    async def add_minion(self, minion_id: str) -> job_minion.JobMinion:
        """Starts a minion; the entries of others follow its own."""
        minion = await super().add_minion(minion_id)
        self.listing = asyncio.create_task(self._list_others(minion.entry()))
        self.addCleanup(self.listing.cancel)
        return minion

    async def _list_others(self, entry: dict[str, object]) -> None:
        for number in range(100):
            self.store.put('servers', f'later-{number}', entry)
            await asyncio.sleep(0.04)

    async def test_the_cells_go_by_all_workers(self) -> None:
        """Workers' entries come up for four seconds.

        Divided by the few that the first daemon reads, all of them would be
        one dispatcher's for good.
        """
        cells = self.store.value('rosemaryroad', 'cells')
        self.assertEqual({'count': 2}, cells)
