"""Tests of what a dispatcher does that takes over from another one."""

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case


class TakeoverTest(case.DispatcherCase):
    """A new dispatcher learns what runs before it starts anything again."""

    def _rehome(self, job: model.Job, *workers: str) -> None:
        """Hands over a job whose tasks may run at the workers named."""
        placed = [
            model.Placement(index, worker)
            for index, worker in enumerate(workers)
        ]
        self.submit(job, attempt=1, placed=tuple(placed))

    def _order(self, worker: str, job: str) -> dispatching.StartTask:
        task = model.TaskId(job, 0)
        return dispatching.StartTask(worker, '', task, 1, '', 0.0)

    def test_a_job_that_ran_waits_for_workers_never_heard(self) -> None:
        """A dispatcher's VM is cut off, and another one takes over.

        The homes hand their jobs over at once, before the new dispatcher
        has heard any worker. Were a task started then, it would run a
        second time beside the first, and both results would count.
        """
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self._rehome(case.make_job())
        self.report('w2')
        self.assertEqual([], self.starts())
        self.report('w1', running=((self._order('w1', 'job-1'), 40.0),))
        self.assertEqual([], self.starts())
        ended = (self._order('w1', 'job-1'), model.TaskEnd.DONE)
        self.now += 50
        self.report('w1', ended=(ended,))
        expected = [('job-1', model.JobEnd.COMPLETED)]
        self.assertEqual(expected, self.settled())

    def test_a_job_that_runs_nowhere_starts_again(self) -> None:
        """The first dispatcher died between telling and ordering.

        The job's client would wait for a task that nobody runs.
        """
        self.list_workers(case.make_worker('w1'))
        self._rehome(case.make_job())
        self.report('w1')
        start = self.starts()
        self.assertEqual([2], [item.attempt for item in start])

    def test_an_old_report_says_nothing(self) -> None:
        """A worker's report was asked for before the job came over.

        A task of it may have started after that report was made.
        """
        self.list_workers(case.make_worker('w1'))
        asked_at = self.now
        self.now += 100
        self._rehome(case.make_job())
        self.report('w1', asked_at=asked_at)
        self.assertEqual([], self.starts())
        self.report('w1')
        self.assertEqual(1, len(self.starts()))

    def test_a_silent_worker_is_waited_for_until_leases_lapse(self) -> None:
        """One worker can't be reached from the new dispatcher.

        What it runs ends with its lease at the latest; the job must wait
        so long, and no longer, or its client would hear nothing.
        """
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self._rehome(case.make_job(), 'w1')
        self.take(self.dispatcher.silent('w1', 'cut off', self.now))
        self.report('w2')
        self.pass_time(case.LEASE_MS)
        self.assertEqual([], self.starts())
        self.pass_time(100)
        self.assertEqual(['w2'], [item.worker for item in self.starts()])

    def test_asking_a_silent_worker_prolongs_nothing(self) -> None:
        """A worker is asked again and again while it gives no answer.

        Did each try count as one that may have prolonged its leases, its
        tasks would be waited for as long as it is silent.
        """
        self.add_workers('w1', 'w2')
        self.submit(case.make_job())
        [start] = self.starts()
        self.answer(start)
        self.take(self.dispatcher.silent(start.worker, 'cut off', self.now))
        for _ in range(8):
            self.assertFalse(
                self.dispatcher.may_prolong(start.worker, self.now)
            )
            self.dispatcher.held(start.worker, self.now)
            self.pass_time(150)
        [again] = self.starts()
        self.assertNotEqual(start.worker, again.worker)

    def test_a_worker_silent_for_long_may_run_it_for_another(self) -> None:
        """Two parts of the deployment have been cut off from each other.

        The cut heals, and jobs come over from the other part. Its workers
        have been silent here for seconds, so that nothing of ours runs
        there; the other dispatcher's tasks do. They must not be started
        again before the worker has told, or their leases have lapsed.
        """
        self.add_workers('w1', 'w2')
        self.take(self.dispatcher.silent('w1', 'cut off', self.now))
        self.pass_time(5_000)
        self._rehome(case.make_job(), 'w1')
        self.report('w2')
        self.pass_time(case.LEASE_MS)
        self.assertEqual([], self.starts())
        self.report('w1', running=((self._order('w1', 'job-1'), 40.0),))
        self.pass_time(200)
        self.assertEqual([], self.starts())

    def test_tasks_placed_nowhere_wait_a_moment(self) -> None:
        """A home is cut off before its dispatcher tells of a start.

        The dispatcher stops that start when it loses the home, as late as
        the home loses it; a job handed to another one at once would run
        beside it for that long.
        """
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self._rehome(case.make_job())
        self.take(self.dispatcher.silent('w1', 'cut off', self.now))
        self.report('w2')
        self.pass_time(250)
        self.assertEqual([], self.starts())
        self.pass_time(100)
        self.assertEqual(1, len(self.starts()))


class OtherDispatcherTest(case.DispatcherCase):
    """Tasks of a dispatcher that can't be heard run where ours should."""

    def _order(self, worker: str, job: str) -> dispatching.StartTask:
        task = model.TaskId(job, 0)
        return dispatching.StartTask(worker, '', task, 1, '', 0.0)

    def _act_as(self, deputy: bool) -> None:
        self.dispatcher = dispatching.JobDispatcher(
            dispatching.DispatchLimits(lease_ms=case.LEASE_MS),
            is_deputy=deputy,
        )
        self.list_workers(case.make_worker('w1'))
        self.foreign = self._order('w1', 'theirs')
        self.report('w1', running=((self.foreign, 10.0),))

    def test_a_deputy_lets_the_other_sides_tasks_lapse(self) -> None:
        """A failure domain is cut off, and a deputy takes its workers up.

        A lease covers all that runs on a worker. Were it prolonged for
        the deputy's tasks, those of the dispatcher on the other side
        would run on after it has taken them for lapsed and started them
        elsewhere.
        """
        self._act_as(deputy=True)
        self.submit(case.make_job('ours'))
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.assertEqual([], self.starts())
        self.pass_time(500)
        self.assertEqual([], self.starts())
        lapsed = (self.foreign, model.TaskEnd.LAPSED)
        self.report('w1', ended=(lapsed,))
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))
        self.assertEqual(1, len(self.starts()))

    def test_a_deputy_shares_a_worker_that_another_one_holds(self) -> None:
        """One VM alone is cut off from the others and reaches all workers.

        Tasks that outlive their leases are prolonged by the dispatcher,
        which reaches the worker as well, so that the deputy may use it.
        """
        self._act_as(deputy=True)
        self.submit(case.make_job('ours'), left_ms=6_000)
        for _ in range(6):
            self.pass_time(200)
            self.report('w1', running=((self.foreign, 50.0),))
        self.assertEqual(1, len(self.starts()))
        self.assertEqual([], self.stops())

    def test_a_new_dispatcher_stops_what_nobody_claims(self) -> None:
        """The dispatcher's VM dies, and with it clients' connections.

        Their tasks would run on for nobody. Those of the other homes are
        claimed within some milliseconds.
        """
        self._act_as(deputy=False)
        self.submit(
            case.make_job('theirs'),
            attempt=1,
            placed=(model.Placement(0, 'w1'),),
        )
        self.report('w1', running=((self.foreign, 20.0),))
        self.pass_time(300)
        self.assertEqual([], self.stops())

        self._act_as(deputy=False)
        self.pass_time(90)
        self.assertEqual([], self.stops())
        self.pass_time(120)
        [stop] = self.stops()
        self.assertEqual('theirs', stop.task.job)


class HandedAgainTest(case.DispatcherCase):
    """A home comes again with a job that it has had elsewhere meanwhile."""

    def test_a_job_that_was_elsewhere_meanwhile_is_looked_for(self) -> None:
        """The dispatcher was stopped, and didn't notice that the home left.

        A deputy has started the job; it would run twice at the same time.
        """
        job = case.make_job('ours')
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self.submit(job)
        self.now += 500
        placed = (model.Placement(0, 'w1'),)
        self.submit(job, attempt=2, placed=placed)
        self.report('w2')
        self.assertEqual([], self.starts())
        theirs = dispatching.StartTask(
            'w1', '', model.TaskId('ours', 0), 2, '', 0.0
        )
        self.report('w1', running=((theirs, 10.0),))
        self.assertEqual([], self.starts())
        self.assertEqual([], self.stops())
