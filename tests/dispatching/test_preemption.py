"""Tests of running tasks that are stopped for more urgent jobs."""

import unittest

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case
from tests.dispatching import played_load
from tests.dispatching import played_service

_LONG = 'long'
_URGENT = 'urgent'
_ENDS_MS = 60.0


def _limits(preempt: bool = True) -> dispatching.DispatchLimits:
    priorities = dispatching.PriorityPolicy(preempt=preempt)
    scheduling = dispatching.SchedulingPolicy(priorities=priorities)
    return dispatching.DispatchLimits(case.LEASE_MS, scheduling=scheduling)


def _terms(priority: int, **fields) -> model.JobTerms:
    usual = {'slack_factor': 1.6, 'target_ms': 60.0, 'max_attempts': 2}
    return model.JobTerms(priority, **(usual | fields))


class _PreemptionCase(case.DispatcherCase):
    """Long tasks fill a worker, and an urgent job comes.

    A long job is in time within 1,500 ms, of which it may wait 600. An urgent
    one is within 156 ms, of which it may wait 96.
    """

    def setUp(self) -> None:
        super().setUp()
        self.dispatcher = dispatching.JobDispatcher(_limits())

    def _run_long(
        self, job_id: str = 'l', tasks: int = 2, **fields
    ) -> list[dispatching.StartTask]:
        """Has a long job's tasks started, and their starts answered."""
        usual = {'queue': _LONG, 'estimate_ms': 900.0, 'terms': _terms(2)}
        self.submit(case.make_job(job_id, tasks, **(usual | fields)))
        starts = self.starts()
        self.assertEqual(tasks, len(starts))
        for start in starts:
            self.answer(start)
        return starts

    def _submit_urgent(self, job_id: str = 'u', **fields) -> None:
        usual = {'queue': _URGENT, 'estimate_ms': 60.0, 'terms': _terms(0)}
        self.submit(case.make_job(job_id, **(usual | fields)))

    def _preempt(self) -> dispatching.StopTask:
        """Has an urgent job come and a task stopped for it."""
        self._submit_urgent()
        self.pass_time(30)
        [stop] = self.stops()
        return stop

    def _report_gone(
        self,
        stop: dispatching.StopTask,
        end: model.TaskEnd = model.TaskEnd.STOPPED,
        running: tuple = (),
    ) -> None:
        rows = [(start, 3.0) for start in running]
        self.report(stop.worker, running=rows, ended=[(stop, end)])

    def _end(self, start: dispatching.StartTask, running: tuple = ()) -> None:
        self.answer(start)
        self.now += _ENDS_MS
        rows = [(item, 9.0) for item in running]
        ends = [(start, model.TaskEnd.DONE)]
        self.report(start.worker, running=rows, ended=ends)

    def _assert_no_stop(self, ms: float = 30.0, step: float = 30.0) -> None:
        self.pass_time(ms, step)
        self.assertEqual([], self.stops())


class ConditionsTest(_PreemptionCase):
    """A task is stopped only where that helps one job and costs none."""

    def test_a_task_is_stopped_and_the_log_says_for_whom(self) -> None:
        self.add_workers('w1')
        starts = self._run_long()
        self.report('w1', running=[(start, 3.0) for start in starts])
        self.pop(dispatching.Noted)
        stop = self._preempt()
        self.assertEqual('l', stop.task.job)
        self.assertEqual('preempted for job u', stop.cause)
        self.assertEqual(
            [
                dispatching.Noted(
                    'task_preempted',
                    'w1',
                    f'{stop.task} attempt 1 at 3 % after 30 of 900 ms, '
                    'for job u',
                )
            ],
            self.pop(dispatching.Noted),
        )
        context = self.dispatcher._context
        self.assertEqual({_LONG: 1}, dict(context.preemptions_by_queue))

    def test_nothing_is_stopped_without_the_setting(self) -> None:
        self.dispatcher = dispatching.JobDispatcher(_limits(preempt=False))
        self.add_workers('w1')
        self._run_long()
        self._submit_urgent()
        self._assert_no_stop(150)

    def test_a_job_that_can_still_wait_has_nothing_stopped(self) -> None:
        """Room that comes free by itself costs no work."""
        self.add_workers('w1')
        self._run_long()
        self._submit_urgent(estimate_ms=150.0)
        self._assert_no_stop(45, step=15)
        self.pass_time(15)
        self.assertEqual(1, len(self.stops()))

    def test_a_job_that_would_be_late_all_the_same(self) -> None:
        """The work of the stopped task would be lost for nothing."""
        self.add_workers('w1')
        self._run_long()
        self._submit_urgent()
        self._assert_no_stop(50, step=50)

    def test_a_worker_on_which_the_urgent_job_would_be_late(self) -> None:
        """Away from its data it takes three times as long."""
        self.add_workers('w1')
        self._run_long()
        self._submit_urgent(rack='r1')
        self._assert_no_stop()

    def test_a_job_that_could_not_end_in_time_again_is_spared(self) -> None:
        """One late answer would be paid for another."""
        self.add_workers('w1')
        terms = _terms(2, slack_factor=1.1, target_ms=45.0)
        self._run_long(terms=terms)
        self._submit_urgent()
        self._assert_no_stop()

    def test_a_task_that_has_run_for_long_is_spared(self) -> None:
        self.add_workers('w1')
        self._run_long(terms=_terms(2, slack_factor=5.0))
        self.pass_time(270)
        self.stops()
        self._submit_urgent()
        self._assert_no_stop()

    def test_a_task_that_has_come_far_is_spared(self) -> None:
        """The job is shorter than its estimate."""
        self.add_workers('w1')
        starts = self._run_long()
        self.report('w1', running=[(start, 31.0) for start in starts])
        self._submit_urgent()
        self._assert_no_stop()

    def test_a_job_of_the_same_priority_is_spared(self) -> None:
        self.add_workers('w1')
        self._run_long(terms=_terms(0))
        self._submit_urgent()
        self._assert_no_stop()

    def test_a_job_is_preempted_once(self) -> None:
        self.add_workers('w1')
        kept = self._run_long()
        stop = self._preempt()
        kept = [start for start in kept if start.task != stop.task]
        self._report_gone(stop, running=kept)
        [start] = self.starts()
        self._end(start, running=kept)
        [again] = self.starts()
        self.assertEqual(stop.task, again.task)
        self.answer(again)
        self._submit_urgent('u2')
        self._assert_no_stop(90)

    def test_room_that_is_too_small_is_not_made(self) -> None:
        self.add_workers('w1')
        self._run_long()
        self._submit_urgent(cores=37.5)
        self._assert_no_stop()

    def test_free_room_adds_to_what_a_stop_frees(self) -> None:
        self.add_workers('w1')
        self._run_long()
        self._submit_urgent(cores=37.0)
        self.pass_time(30)
        self.assertEqual(1, len(self.stops()))

    def test_the_least_work_is_lost(self) -> None:
        self.add_workers('w1', 'w2')
        self._run_long('early')
        self.pass_time(60)
        self._run_long('narrow', 1, cores=26.0)
        self._run_long('wide', 1, cores=28.0)
        self._submit_urgent()
        self.pass_time(30)
        [stop] = self.stops()
        self.assertEqual('narrow', stop.task.job)

    def test_no_more_tasks_are_stopped_than_wait(self) -> None:
        self.add_workers('w1', 'w2', 'w3')
        self._run_long(tasks=6)
        self._submit_urgent(tasks=2)
        self.pass_time(30)
        stops = self.stops()
        self.assertEqual(2, len(stops))
        self.assertEqual(2, len({stop.worker for stop in stops}))
        # Those of one job are one preemption.
        self.assertEqual({'l'}, {stop.task.job for stop in stops})
        self._assert_no_stop(30)

    def test_nothing_more_is_stopped_while_a_stop_is_in_progress(self) -> None:
        self.add_workers('w1', 'w2')
        self._run_long('l1')
        self._run_long('l2')
        self._submit_urgent(estimate_ms=150.0)
        self.pass_time(60)
        self.assertEqual(1, len(self.stops()))
        self._assert_no_stop(30)

    def test_room_that_has_just_come_is_taken_first(self) -> None:
        """A suspension ends, and the same look at the time would stop a task.

        The urgent job would have no use for the room.
        """
        self.add_workers('w1', 'w2')
        worker = self.dispatcher._context.workers_by_id['w2']
        worker.suspensions = 1
        worker.suspended_until = self.now + 20.0
        self._run_long()
        self._submit_urgent()
        self._assert_no_stop()
        self.assertEqual(['w2'], [start.worker for start in self.starts()])

    def test_a_second_urgent_job_has_another_one_stopped(self) -> None:
        self.add_workers('w1', 'w2')
        self._run_long('l1')
        self._run_long('l2')
        self._submit_urgent('u1')
        self._submit_urgent('u2')
        self.pass_time(30)
        stopped = {stop.task.job for stop in self.stops()}
        self.assertEqual({'l1', 'l2'}, stopped)

    def test_room_that_is_about_to_come_free_is_waited_for(self) -> None:
        self.add_workers('w1', 'w2', 'w3')
        self._run_long('short', 4, estimate_ms=80.0, terms=_terms(1))
        self.pass_time(30)
        self._run_long()
        self._submit_urgent()
        self._assert_no_stop()

    def test_a_job_of_which_tasks_wait_still_is_spared(self) -> None:
        """Its waiting tasks would end late behind those that go on coming."""
        self.add_workers('w1')
        terms = _terms(2)
        job = case.make_job('l', 3, estimate_ms=900.0, terms=terms)
        self.submit(job)
        for start in self.starts():
            self.answer(start)
        self._submit_urgent()
        self._assert_no_stop()

    def test_a_job_that_may_be_shorter_than_expected_is_spared(self) -> None:
        """By the expected run time alone there is just time for both."""
        self.add_workers('w1')
        terms = _terms(2, slack_factor=1.2, target_ms=0.0)
        self._run_long(terms=terms)
        self._submit_urgent()
        self._assert_no_stop()

    def test_room_that_others_wait_for_is_not_counted_on(self) -> None:
        self.add_workers('w1', 'w2', 'w3')
        self._run_long('short', 4, estimate_ms=80.0, terms=_terms(1))
        self.pass_time(30)
        self._run_long()
        self._submit_urgent('first', estimate_ms=50.0, terms=_terms(1))
        self._submit_urgent('second', estimate_ms=50.0, terms=_terms(1))
        self._submit_urgent()
        self.pass_time(30)
        self.assertEqual(1, len(self.stops()))

    def test_homes_have_to_record_first_that_the_job_waits(self) -> None:
        """Its tasks couldn't start, and the room would stand empty."""
        self.add_workers('w1')
        self._run_long()
        self.is_auto_recording = False
        self._submit_urgent()
        self._assert_no_stop()


class SparedAttemptsTest(_PreemptionCase):
    """Attempts of which too little is known are left alone."""

    def test_a_start_that_has_got_no_answer_yet(self) -> None:
        self.add_workers('w1')
        job = case.make_job('l', 2, estimate_ms=900.0, terms=_terms(2))
        self.submit(job)
        self._submit_urgent()
        self._assert_no_stop()

    def test_attempts_of_another_dispatcher(self) -> None:
        """It isn't known how long they have run."""
        self.list_workers(case.make_worker('w1'))
        found = [
            dispatching.StartTask('w1', '', model.TaskId('l', index), 1, '', 0)
            for index in range(2)
        ]
        self.report('w1', running=[(start, 3.0) for start in found])
        job = case.make_job('l', 2, estimate_ms=900.0, terms=_terms(2))
        placed = tuple(model.Placement(index, 'w1') for index in range(2))
        self.submit(job, attempt=1, placed=placed)
        self.report('w1', running=[(start, 4.0) for start in found])
        self._submit_urgent()
        self._assert_no_stop()

    def test_a_task_whose_end_may_be_lost(self) -> None:
        """Its job would be given up once its worker doesn't name it."""
        self.add_workers('w1')
        self._run_long()
        for order in self._orders():
            order.may_lack_end = True
        self._submit_urgent()
        self._assert_no_stop()

    def test_an_attempt_of_an_earlier_life(self) -> None:
        self.add_workers('w1')
        self._run_long()
        for order in self._orders():
            order.is_older = True
        self._submit_urgent()
        self._assert_no_stop()

    def test_a_worker_where_the_urgent_task_has_failed(self) -> None:
        """The task would not start in the room that is made there."""
        self.add_workers('w1')
        self._run_long()
        self._submit_urgent()
        [task] = self.dispatcher._context.jobs_by_id['u'].tasks
        task.failed_on.add('w1')
        self._assert_no_stop()

    def _orders(self) -> list:
        [worker] = self.dispatcher._context.workers_by_id.values()
        return list(worker.orders_by_key.values())


class SparedWorkersTest(_PreemptionCase):
    """Room is made only where tasks may start."""

    def setUp(self) -> None:
        super().setUp()
        self.add_workers('w1')
        self._run_long()
        self._submit_urgent()

    def test_a_silent_worker(self) -> None:
        self.take(self.dispatcher.silent('w1', 'no answer', self.now))
        self._assert_no_stop()

    def test_a_worker_that_leaves(self) -> None:
        self.list_workers(case.make_worker('w1', leaving=True))
        self._assert_no_stop()

    def test_a_worker_that_is_not_listed_any_more(self) -> None:
        self.list_workers(case.make_worker('w2'))
        self._assert_no_stop()

    def test_a_drained_worker(self) -> None:
        domains = frozenset({'szeged'})
        self.take(self.dispatcher.drain_domains(domains, self.now))
        self._assert_no_stop()

    def test_a_suspended_worker(self) -> None:
        context = self.dispatcher._context
        worker = context.workers_by_id['w1']
        worker.suspensions = 1
        worker.suspended_until = self.now + 1_000.0
        self._assert_no_stop()

    def test_a_worker_that_left_an_order_unanswered(self) -> None:
        context = self.dispatcher._context
        context.workers_by_id['w1'].unanswered_at = self.now
        self._assert_no_stop()


class FreedRoomTest(_PreemptionCase):
    """The room goes to the urgent job, and back after one task of it."""

    def setUp(self) -> None:
        super().setUp()
        self.add_workers('w1')
        self.kept = self._run_long()
        self.stop = self._preempt()
        self.kept = [x for x in self.kept if x.task != self.stop.task]

    def test_the_urgent_job_comes_before_one_that_is_due_earlier(self) -> None:
        """The work of the stopped task would be lost for the wrong job."""
        terms = _terms(1, slack_factor=1.0)
        self.submit(case.make_job('due', estimate_ms=5.0, terms=terms))
        self._report_gone(self.stop, running=self.kept)
        [start] = self.starts()
        self.assertEqual('u', start.task.job)

    def test_the_room_goes_back_before_others_get_it(self) -> None:
        """The stopped job would wait behind all that goes on coming."""
        self._report_gone(self.stop, running=self.kept)
        [start] = self.starts()
        self._submit_urgent('u2')
        self._end(start, running=self.kept)
        [again] = self.starts()
        self.assertEqual(self.stop.task, again.task)
        self.assertEqual(2, again.attempt)

    def test_it_goes_back_where_the_urgent_job_has_ended(self) -> None:
        """Another job would end in time at the cost of the stopped one."""
        self.take(self.dispatcher.withdraw(case.HOME, 'u', self.now))
        self._submit_urgent('u2')
        self._report_gone(self.stop, running=self.kept)
        [start] = self.starts()
        self.assertEqual(self.stop.task, start.task)

    def test_a_stopped_job_that_runs_elsewhere_needs_no_room(self) -> None:
        self._report_gone(self.stop, running=self.kept)
        [start] = self.starts()
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self.report('w2')
        [elsewhere] = self.starts()
        self.assertEqual(('w2', 'l'), (elsewhere.worker, elsewhere.task.job))
        self._end(start, running=self.kept)
        self.assertEqual([], self.starts())


class StopTest(_PreemptionCase):
    """A task that is stopped is neither doubled nor counted as failed."""

    def setUp(self) -> None:
        super().setUp()
        self.add_workers('w1')
        self.kept = self._run_long(terms=_terms(2, max_attempts=1))
        self.stop = self._preempt()
        self.kept = [x for x in self.kept if x.task != self.stop.task]

    def test_the_task_waits_until_its_worker_tells_that_it_is_gone(
        self,
    ) -> None:
        """Started at once, it would run twice at the same time."""
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self.report('w2')
        [urgent] = self.starts()
        self.assertEqual(('w2', 'u'), (urgent.worker, urgent.task.job))
        self.answer(self.stop)
        self.pass_time(40)
        rows = [(start, 3.0) for start in self.kept]
        self.report('w1', running=[*rows, (self.stop, 3.0)])
        self.assertEqual([], self.starts())
        self._report_gone(self.stop, running=self.kept)
        [again] = self.starts()
        self.assertEqual(self.stop.task, again.task)

    def test_a_report_without_the_attempt_tells_so_as_well(self) -> None:
        """Another dispatcher has acknowledged its end."""
        self.answer(self.stop)
        self.now += 5.0
        self.report('w1', running=[(start, 3.0) for start in self.kept])
        self.assertEqual(['u'], [start.task.job for start in self.starts()])

    def test_the_stop_counts_as_no_failure(self) -> None:
        """A job that may fail once would end as failed."""
        self._report_gone(self.stop, running=self.kept)
        context = self.dispatcher._context
        task = context.jobs_by_id['l'].tasks[self.stop.task.index]
        self.assertEqual((0, set()), (task.failures, task.failed_on))
        self.assertEqual(0, context.workers_by_id['w1'].bad)
        self.assertEqual(0, context.workers_by_id['w1'].suspensions)
        self.assertEqual([], self.settled())

    def test_the_stop_teaches_no_run_time(self) -> None:
        """A task that ran 30 ms of 900 would have its queue taken for short.

        Its worker would count as a fast one.
        """
        self._report_gone(self.stop, running=self.kept)
        run_times = self.dispatcher._context.run_times
        self.assertEqual(1.0, run_times.slowness('w1'))
        self.assertAlmostEqual(900.0, run_times.expected_ms(_LONG, 900.0))

    def test_a_task_that_has_ended_well_meanwhile_is_done(self) -> None:
        self._report_gone(self.stop, model.TaskEnd.DONE, self.kept)
        [start] = self.starts()
        self.assertEqual('u', start.task.job)
        self._end(start, running=self.kept)
        self.report('w1', ended=[(self.kept[0], model.TaskEnd.DONE)])
        self.assertEqual([], self.starts())
        ends = dict(self.settled())
        self.assertEqual(model.JobEnd.COMPLETED, ends['l'])

    def test_a_stop_without_an_answer_keeps_the_room(self) -> None:
        """The worker would get more than its capacity."""
        self.answer(self.stop, model.OrderResult.UNKNOWN)
        [second] = self.stops()
        self.assertEqual(self.stop.task, second.task)
        self.pass_time(30)
        self.assertEqual([], self.stops())
        self.pass_time(200)
        [third] = self.stops()
        self.assertEqual(self.stop.task, third.task)
        self.assertEqual([], self.starts())

    def test_the_urgent_job_takes_other_room_meanwhile(self) -> None:
        self.answer(self.stop, model.OrderResult.UNKNOWN)
        self.report(
            'w1',
            running=[(self.stop, 4.0)],
            ended=[(self.kept[0], model.TaskEnd.DONE)],
        )
        [start] = self.starts()
        self.assertEqual('u', start.task.job)

    def test_a_home_that_is_lost_meanwhile(self) -> None:
        """The room is still the urgent job's, and the task starts no more."""
        message = model.JobSubmitted(
            case.make_job('u3', estimate_ms=60.0, terms=_terms(0)), 0.0, 2_000
        )
        self.take(self.dispatcher.submit('entry-2', message, self.now))
        self.take(self.dispatcher.withdraw(case.HOME, 'u', self.now))
        self.take(self.dispatcher.home_lost(case.HOME, self.now))
        self._report_gone(self.stop, running=self.kept)
        [start] = self.starts()
        self.assertEqual('u3', start.task.job)

    def test_the_stopped_jobs_home_is_lost(self) -> None:
        self.take(self.dispatcher.withdraw(case.HOME, 'l', self.now))
        self._report_gone(self.stop, running=self.kept)
        [start] = self.starts()
        self.assertEqual('u', start.task.job)
        self._end(start)
        self.assertEqual([], self.starts())

    def test_an_answer_that_comes_to_another_dispatcher(self) -> None:
        """It matches no order there, and frees nothing."""
        self.dispatcher = dispatching.JobDispatcher(_limits())
        self.actions.clear()
        self.list_workers(case.make_worker('w1'))
        rows = [(start, 3.0) for start in (*self.kept, self.stop)]
        self.report('w1', running=rows)
        placed = tuple(model.Placement(index, 'w1') for index in range(2))
        job = case.make_job('l', 2, estimate_ms=900.0, terms=_terms(2))
        self.submit(job, attempt=1, placed=placed)
        stop = attrs.evolve(self.stop, attempt=7)
        self.answer(stop)
        self.assertEqual([], self.starts())

    def test_a_worker_that_starts_again_holds_nothing(self) -> None:
        """Its room is the new life's; both jobs go by the order of queue."""
        listed = case.make_worker('w1', born=2_000)
        self.list_workers(listed)
        self.report('w1', born=2_000)
        self.pass_time(10)
        self.answer(self.stop)
        self.report('w1', born=2_000)
        jobs = {start.task.job for start in self.starts()}
        self.assertIn('u', jobs)


_KINDS = (
    played_load.Kind(
        _URGENT,
        8.0,
        8,
        60.0,
        0.0291,
        0,
        2_300.0,
        load_at=lambda s: 3.0 if 2 < s < 6 else 1.0,
    ),
    played_load.Kind(_LONG, 8.5, 4, 900.0, 0.16, 2, 6_000.0),
    played_load.Kind('previews', 25.0, 2, 200.0, 0.01, 1, 2_300.0),
)
_SEEDS = range(16)


class PlayedLoadTest(unittest.TestCase):
    """Long tasks fill 24 workers while urgent jobs come in a burst."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.without = [cls._play(seed, False) for seed in _SEEDS]
        cls.preempting = [cls._play(seed, True) for seed in _SEEDS]

    @staticmethod
    def _play(seed: int, preempt: bool) -> list[played_load.PlayedJob]:
        """Returns the jobs in the order in which they came."""
        played = played_load.PlayedLoad(
            seed,
            seconds=8.0,
            kinds=_KINDS,
            limits=_limits(preempt),
            stop_ms=20.0,
        )
        played.play()
        return list(played.jobs.values())

    def _pairs(self):
        for without, preempting in zip(
            self.without, self.preempting, strict=True
        ):
            yield from zip(without, preempting, strict=True)

    def test_urgent_jobs_of_a_burst_end_in_time_more_often(self) -> None:
        pairs = [
            pair
            for pair in self._pairs()
            if pair[0].kind.queue == _URGENT
            and 2_000 < pair[0].arrived < 6_000
        ]
        before = sum(without.is_in_time for without, _ in pairs)
        after = sum(preempting.is_in_time for _, preempting in pairs)
        self.assertGreater(after, before)

    def test_preempted_jobs_end_in_time_as_often(self) -> None:
        """The same jobs are looked at in the plays without preemption."""
        pairs = [pair for pair in self._pairs() if pair[1].was_preempted]
        self.assertGreater(len(pairs), 50)
        before = sum(without.is_in_time for without, _ in pairs)
        after = sum(preempting.is_in_time for _, preempting in pairs)
        self.assertGreaterEqual(after, before)

    def test_nothing_is_preempted_without_the_setting(self) -> None:
        for jobs in self.without:
            self.assertFalse(any(job.was_preempted for job in jobs))


class PlayedServiceTest(unittest.IsolatedAsyncioTestCase):
    """Homes, a dispatcher and workers that take 50 ms to stop a task."""

    async def test_no_task_runs_twice_or_after_it_is_done(self) -> None:
        service = played_service.PlayedService(
            workers=3,
            limits=_limits(),
            stop_ms=50.0,
            tells_fenced_stops=True,
        )
        await service.run(4_000)
        for number in range(150):
            service.submit(
                'a1', f'l{number}', tasks=2, queue=_LONG, terms=_terms(2)
            )
            for urgent in range(3 if number % 10 == 0 else 0):
                service.submit(
                    'b1',
                    f'u{number}-{urgent}',
                    tasks=4,
                    run_ms=60.0,
                    estimate_ms=60.0,
                    queue=_URGENT,
                    terms=_terms(0),
                )
            await service.run(70)
        await service.run(3_000)
        await service.close()
        self.assertGreater(service.preemptions, 10)
        self.assertEqual([], service.doubled)
        self.assertEqual([], service.repeated)
