"""Tests of workers that start again under the id that they had."""

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case

_FIRST = 1_700_000_000_000
_SECOND = _FIRST + 60_000


class LivesCase(case.DispatcherCase):
    """Has one worker that tells its lives, and others that don't."""

    def setUp(self) -> None:
        super().setUp()
        self.workers = {'w1': case.make_worker('w1', born=_FIRST)}
        self._list()
        self.report('w1', born=_FIRST)

    def list_born(self, born: int | None, **fields) -> None:
        """Lists the worker with a life."""
        self.workers['w1'] = case.make_worker('w1', born=born, **fields)
        self._list()

    def add_other(self) -> None:
        """Lists a second worker that has told that it runs nothing."""
        self.workers['w2'] = case.make_worker('w2')
        self._list()
        self.report('w2')

    def start(self, **fields) -> dispatching.StartTask:
        """Has a job of one task started at the first worker."""
        self.submit(case.make_job(**fields), left_ms=6_000)
        [start] = self.starts()
        self.assertEqual('w1', start.worker)
        return start

    def run_in_first(self) -> dispatching.StartTask:
        """Has a task run in the first life, as a report of it has told."""
        start = self.start()
        self.answer(start)
        self.now += 5
        self.report('w1', running=((start, 10.0),), born=_FIRST)
        return start

    def noted(self, event: str) -> list[str]:
        """Returns the details of the events of a name noted so far."""
        found = self.pop(dispatching.Noted)
        return [item.detail for item in found if item.event == event]

    def lapse(self) -> None:
        """Lets more time pass than any lease holds."""
        self.pass_time(1_500)

    def _list(self) -> None:
        self.list_workers(*self.workers.values())


class LearningTest(LivesCase):
    """A new life is learned from whatever tells of it first."""

    def test_what_ran_before_starts_elsewhere_at_once(self) -> None:
        """A worker has started again; its entry tells so first.

        Its tasks are gone. Waited for until leases lapse, their jobs would
        miss their objectives.
        """
        self.run_in_first()
        self.add_other()
        self.list_born(_SECOND)
        [again] = self.starts()
        self.assertEqual(('w2', 2), (again.worker, again.attempt))
        self.assertEqual(1, len(self.noted('worker_restarted')))

    def test_a_report_tells_of_the_new_life_first(self) -> None:
        self.run_in_first()
        self.add_other()
        self.report('w1', born=_SECOND, worker_clock=7.0)
        [again] = self.starts()
        self.assertEqual(('w2', 2), (again.worker, again.attempt))

    def test_a_new_life_gets_nothing_before_it_has_told(self) -> None:
        """What another dispatcher may run there is not known."""
        self.list_born(_SECOND)
        self.submit(case.make_job())
        self.assertEqual([], self.starts())
        self.assertEqual(['w1'], [i.worker for i in self.pop(_LOOK)])
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.assertEqual(1, len(self.starts()))

    def test_a_stale_list_changes_nothing(self) -> None:
        """Lists lag, and the report of the new life came before.

        Taken for a further life, each would have all tasks there started
        elsewhere, again and again.
        """
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.list_born(_SECOND)
        start = self.start()
        self.answer(start)
        self.noted('')
        for _ in range(3):
            self.list_born(_FIRST)
            self.report('w1', running=((start, 5.0),), born=_SECOND)
            self.now += 5
        self.assertEqual(_SECOND, self.dispatcher.worker('w1').born)
        self.assertEqual([], self.starts())
        details = self.noted('earlier_life_dropped')
        self.assertEqual(1, len(details))
        self.assertIn('entry', details[0])

    def test_a_list_that_tells_no_life_changes_nothing(self) -> None:
        """A peer of an older version lists the workers."""
        start = self.run_in_first()
        self.list_born(None)
        self.assertEqual(_FIRST, self.dispatcher.worker('w1').born)
        self.report('w1', running=((start, 15.0),), born=_FIRST)
        self.assertEqual([], self.starts())

    def test_a_life_first_told_is_no_new_one(self) -> None:
        """An older peer's list came first; the report tells more."""
        self.workers['w2'] = case.make_worker('w2')
        self._list()
        self.report('w2')
        self.submit(case.make_job(tasks=4))
        starts = [item for item in self.starts() if item.worker == 'w2']
        for start in starts:
            self.answer(start)
        self.now += 5
        running = tuple((item, 5.0) for item in starts)
        self.report('w2', running=running, born=_FIRST)
        self.assertEqual([], self.starts())
        self.assertEqual([], self.noted('worker_restarted'))
        self.assertEqual(_FIRST, self.dispatcher.worker('w2').born)

    def test_a_late_report_of_an_earlier_life_is_dropped(self) -> None:
        """It was on its way while the worker started again.

        Believed, it would show tasks at work that are gone, and hide those
        that have started since.
        """
        old = self.run_in_first()
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.list_born(_SECOND)
        [again] = self.starts()
        self.answer(again)
        self.now += 5
        self.report('w1', running=((old, 50.0),), born=_FIRST)
        self.assertEqual([], self.starts() + self.stops())
        self.assertEqual(1, len(self.noted('earlier_life_dropped')))
        done = (old, model.TaskEnd.DONE)
        self.report('w1', ended=(done,), born=_FIRST)
        self.assertEqual([], self.settled())
        self.report('w1', running=((again, 5.0),), born=_SECOND)
        done = (again, model.TaskEnd.DONE)
        self.report('w1', ended=(done,), born=_SECOND)
        self.assertEqual([('job-1', model.JobEnd.COMPLETED)], self.settled())

    def test_the_new_life_listens_elsewhere(self) -> None:
        """The worker has another address and another room."""
        worker = case.make_worker('w1', cores=28.0, born=_SECOND)
        self.workers['w1'] = worker
        self._list()
        self.assertEqual(worker, self.dispatcher.worker('w1'))
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.submit(case.make_job(tasks=2))
        self.assertEqual(1, len(self.starts()))


_LOOK = dispatching.LookAt
_READ = dispatching.ReadEntry


class OtherKindTest(LivesCase):
    """A worker returns as another kind, at the same address."""

    def _return(self, cores: float) -> None:
        """Has a report tell of the new life before its entry is read."""
        self.report('w1', born=_SECOND)
        self.list_born(_SECOND, cores=cores, labels=('b',))
        self.report('w1', born=_SECOND)

    def test_room_follows_the_new_capacity(self) -> None:
        """It would get tasks beyond it, and refuse them one after another."""
        self._return(32.0)
        self.submit(case.make_job(tasks=3, cores=16.0))
        self.assertEqual(2, len(self.starts()))
        self.assertEqual(1, len(self.noted('worker_resized')))

    def test_a_larger_one_is_used_whole(self) -> None:
        self._return(96.0)
        self.submit(case.make_job(tasks=4, cores=32.0))
        self.assertEqual(3, len(self.starts()))

    def test_a_shrunk_one_starts_nothing_until_it_fits(self) -> None:
        """Its capacity falls below what runs there already."""
        start = self.start(cores=40.0)
        self.answer(start)
        self.list_born(_FIRST, cores=32.0)
        self.submit(case.make_job('job-2', cores=16.0))
        self.assertEqual([], self.starts())
        self.report('w1', ended=((start, model.TaskEnd.DONE),), born=_FIRST)
        self.assertEqual(1, len(self.starts()))

    def test_its_label_counts(self) -> None:
        """A task would fail on a kind of worker that it isn't made for."""
        self._return(64.0)
        self.submit(case.make_job('job-a', label='a'))
        self.submit(case.make_job('job-b', label='b'))
        self.assertEqual(['job-b'], [item.task.job for item in self.starts()])


class UnknownKindTest(LivesCase):
    """A report tells of a new life, and its entry hasn't been read.

    By the entry of the earlier life, a task would start on a worker that lacks
    its label, serves other tasks or is too small.
    """

    def setUp(self) -> None:
        super().setUp()
        self.list_born(_FIRST, labels=('a',))

    def _restart(self) -> None:
        self.report('w1', born=_SECOND, worker_clock=7.0)

    def test_it_gets_no_task_by_the_earlier_entry(self) -> None:
        self._restart()
        self.submit(case.make_job('job-1', label='a'))
        self.submit(case.make_job('job-2'))
        self.list_born(_FIRST, labels=('a',))
        self.pass_time(300)
        self.assertEqual([], self.starts())
        self.assertEqual([], self.settled())

    def test_it_is_used_as_soon_as_its_entry_is_read(self) -> None:
        """A sound worker would stand idle after each crash."""
        self._restart()
        self.submit(case.make_job('job-a', label='a'))
        self.submit(case.make_job('job-b', label='b'))
        self.assertEqual(['w1'], [i.worker for i in self.pop(_READ)])
        self.now += 6
        self.list_born(_SECOND, labels=('b',))
        self.assertEqual(['job-b'], [item.task.job for item in self.starts()])
        [detail] = self.noted('worker_entry_read')
        self.assertIn('6 ms', detail)

    def test_an_entry_that_comes_first_is_not_waited_for(self) -> None:
        self.list_born(_SECOND, labels=('b',))
        self._restart()
        self.assertEqual([], self.pop(_READ))
        self.start(label='b')

    def test_a_list_that_names_no_life_tells_nothing_of_it(self) -> None:
        """A peer of an older version lists the earlier entry."""
        self._restart()
        self.list_born(None, labels=('a',))
        self.submit(case.make_job(label='a'))
        self.assertEqual([], self.starts())

    def test_a_list_that_names_no_life_came_first(self) -> None:
        """A VM begins with what a peer of an older version knows."""
        self.workers['w2'] = case.make_worker('w2', labels=('a',))
        self._list()
        self.report('w2', born=_SECOND)
        self.submit(case.make_job(tasks=3, label='a'))
        self.assertEqual({'w1'}, {item.worker for item in self.starts()})

    def test_a_list_that_names_no_life_is_not_believed_later(self) -> None:
        self.list_born(None, labels=('b',))
        self.submit(case.make_job(label='b'))
        self.assertEqual([], self.starts())
        self.start(job_id='job-2', label='a')

    def test_a_worker_that_leaves_is_believed_of_any_list(self) -> None:
        self.list_born(None, labels=('a',), leaving=True)
        self.submit(case.make_job(label='a'))
        self.assertEqual([], self.starts())

    def test_a_second_new_life_waits_for_its_own_entry(self) -> None:
        self._restart()
        self.report('w1', born=_SECOND + 5, worker_clock=2.0)
        self.list_born(_SECOND, labels=('a',))
        self.submit(case.make_job(label='a'))
        self.assertEqual([], self.starts())
        self.list_born(_SECOND + 5, labels=('a',))
        self.assertEqual(1, len(self.starts()))

    def test_a_start_that_was_planned_goes_elsewhere(self) -> None:
        """Its home's answer comes after the report of the new life."""
        self.is_auto_recording = False
        self.submit(case.make_job(label='a'))
        [planned] = [
            item
            for item in self.pop(dispatching.TellHome)
            if isinstance(item.message, model.JobProgress)
            and item.message.placed
        ]
        self._restart()
        self.is_auto_recording = True
        self.record(case.HOME, planned.message)
        self.assertEqual([], self.starts())
        self.workers['w2'] = case.make_worker('w2', labels=('a',))
        self._list()
        self.report('w2')
        self.assertEqual(['w2'], [item.worker for item in self.starts()])

    def test_a_start_that_was_not_sent_yet_is_not_wanted(self) -> None:
        start = self.start(label='a')
        self.assertTrue(self.dispatcher.is_wanted(start))
        self._restart()
        self.assertFalse(self.dispatcher.is_wanted(start))

    def test_another_service_or_domain_counts(self) -> None:
        self._restart()
        self.take(self.dispatcher.drain_domains(frozenset({'buda'}), self.now))
        self.list_born(_SECOND, labels=('a',), failure_domain='buda')
        self.submit(case.make_job(label='a'))
        self.assertEqual([], self.starts())
        self.report('w1', born=_SECOND + 5, worker_clock=2.0)
        worker = case.make_worker('w1', born=_SECOND + 5, labels=('a',))
        self.workers['w1'] = attrs.evolve(worker, service='other')
        self._list()
        self.submit(case.make_job('job-2', label='a'))
        self.assertEqual([], self.starts())

    def test_refusals_don_t_go_by_the_earlier_kind(self) -> None:
        """A job that it may serve would be refused as too large."""
        self._restart()
        self.submit(case.make_job('job-1', label='b'))
        self.submit(case.make_job('job-2', cores=80.0))
        self.assertEqual([], self.settled())
        self.list_born(_SECOND, labels=('a',))
        self.pass_time(30)
        not_run = model.JobEnd.NOT_RUN
        self.assertEqual(
            [('job-1', not_run), ('job-2', not_run)], self.settled()
        )

    def test_operators_see_that_its_kind_is_unknown(self) -> None:
        self._restart()
        counts = self.dispatcher.load(self.now).workers_by_condition
        self.assertEqual(1, counts[dispatching.WorkerCondition.UNKNOWN])


class ForgettingTest(LivesCase):
    """What was known of an earlier life counts no more."""

    def test_attempts_that_vanish_free_their_room(self) -> None:
        """The worker's clock has started anew.

        Were its reports compared with the clock of before, each would seem
        older than what is known; what vanishes would keep its room for good
        and workers would fill up with tasks that don't run.
        """
        start = self.start()
        self.answer(start)
        self.now += 5
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.list_born(_SECOND)
        [again] = self.starts()
        self.assertEqual(2, again.attempt)

    def test_attempts_vanish_from_a_worker_that_tells_no_life(self) -> None:
        """It starts again, and only its clock is behind.

        Its room would stay full until that clock has caught up.
        """
        self.workers['w1'] = case.make_worker('w1')
        self._list()
        start = self.start()
        self.answer(start)
        self.now += 5
        self.report('w1', worker_clock=7.0)
        [again] = self.starts()
        self.assertEqual(2, again.attempt)

    def test_an_answer_of_before_does_not_hold_the_room(self) -> None:
        """An order to start was answered by the earlier life.

        Its answer comes after the new life is known, with the clock of
        before.
        """
        start = self.start()
        self.list_born(_SECOND)
        self.answer(start)
        self.now += 5
        self.report('w1', born=_SECOND, worker_clock=7.0)
        [again] = self.starts()
        self.assertEqual(2, again.attempt)

    def test_a_report_from_before_an_answer_says_nothing(self) -> None:
        """It is on its way while the new life begins a task.

        Taken for its absence, the task would start a second time.
        """
        start = self.start()
        self.list_born(_SECOND)
        asked_at = self.now
        self.now += 5
        self.answer(start)
        self.report('w1', born=_SECOND, worker_clock=7.0, asked_at=asked_at)
        self.assertEqual([], self.starts())
        self.now += 5
        running = ((start, 5.0),)
        self.report('w1', running, born=_SECOND, worker_clock=17.0)
        self.assertEqual([], self.starts() + self.stops())

    def test_it_is_suspended_no_more(self) -> None:
        """The worker failed what it started, and has been put right."""
        self.add_other()
        for number in range(2):
            self.submit(case.make_job(f'job-{number}', tasks=3))
            for start in self.starts():
                self.answer(start)
                end = model.TaskEnd.DONE
                if start.worker == 'w1':
                    end = model.TaskEnd.FAILED
                self.report(start.worker, ended=((start, end),))
        self.assertTrue(self.noted('worker_suspended'))
        self.starts()
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.list_born(_SECOND)
        self.submit(case.make_job('job-9', tasks=4))
        workers = [item.worker for item in self.starts()]
        self.assertEqual(2, workers.count('w1'))

    def test_it_is_silent_no_more(self) -> None:
        """Its entry tells that a silent worker has started again."""
        self.take(self.dispatcher.silent('w1', 'no answer', self.now))
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.list_born(_SECOND)
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))
        self.submit(case.make_job())
        self.assertEqual(1, len(self.starts()))

    def test_an_order_left_unanswered_before_counts_no_more(self) -> None:
        start = self.start()
        self.answer(start, model.OrderResult.UNKNOWN)
        self.now += 5
        self.list_born(_SECOND)
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.submit(case.make_job('job-2'))
        self.assertEqual(['job-2'], [i.task.job for i in self.starts()])

    def test_its_old_pace_is_forgotten(self) -> None:
        """The worker was slow, and its new life is of another kind.

        By the pace of before it would be the last to get anything.
        """
        self.add_other()
        for number in range(20):
            self.submit(
                case.make_job(f'job-{number}', tasks=4, estimate_ms=100.0),
                left_ms=60_000,
            )
            starts = self.starts()
            for start in starts:
                self.answer(start)
            for worker, ms in (('w2', 100.0), ('w1', 60.0)):
                self.now += ms
                ended = tuple(
                    (item, model.TaskEnd.DONE)
                    for item in starts
                    if item.worker == worker
                )
                self.report(worker, ended=ended)
        del self.workers['w2']
        self.workers['w3'] = case.make_worker('w3')
        self._list()
        self.report('w3')
        self.assertEqual('w3', self._try_one('job-a'))
        self.report('w1', born=_SECOND, worker_clock=7.0)
        self.list_born(_SECOND)
        self.assertEqual('w1', self._try_one('job-b'))

    def _try_one(self, job: str) -> str:
        """Returns where a job starts; its client gives it up at once."""
        self.submit(case.make_job(job))
        [start] = self.starts()
        self.answer(start)
        self.take(self.dispatcher.withdraw(case.HOME, job, self.now))
        [stop] = self.stops()
        self.answer(stop)
        self.now += 5
        self.report(start.worker)
        return start.worker


class DoubtTest(LivesCase):
    """What the new life may yet begin holds its task back."""

    def _restart(self) -> None:
        self.list_born(_SECOND)
        self.now += 5
        self.report('w1', born=_SECOND, worker_clock=7.0)

    def test_a_start_in_doubt_is_stopped_in_the_new_life(self) -> None:
        """A start without an answer may be carried out seconds later.

        The new life has the same id, and its clock is behind that of the
        lease which the order carries: it would begin.
        """
        self.add_other()
        start = self.start()
        self.answer(start, model.OrderResult.UNKNOWN)
        self.now += 5
        self._restart()
        self.assertEqual([], self.starts())
        [stop] = self.stops()
        self.assertEqual(_SECOND, stop.born)
        self.now += 5
        self.answer(stop)
        self.assertEqual([], self.starts())
        self.now += 5
        self.report('w1', born=_SECOND)
        [again] = self.starts()
        self.assertEqual(2, again.attempt)

    def test_a_start_in_doubt_that_the_new_life_began(self) -> None:
        self.add_other()
        start = self.start()
        self.answer(start, model.OrderResult.UNKNOWN)
        self.now += 5
        running = ((start, 1.0),)
        self.report('w1', running, born=_SECOND, worker_clock=7.0)
        self.lapse_reporting(start)
        self.assertEqual([], self.starts())

    def lapse_reporting(self, start: dispatching.StartTask) -> None:
        """Lets time pass while the second life tells of a task."""
        for percent in range(2, 30):
            self.now += 10
            running = ((start, float(percent)),)
            self.report('w1', running, born=_SECOND, worker_clock=percent)

    def test_a_start_under_way_waits_for_its_answer(self) -> None:
        """The new life's report was made before the start came there."""
        self.add_other()
        start = self.start()
        self._restart()
        self.assertEqual([], self.starts())
        self.answer(start)
        self.now += 5
        running = ((start, 1.0),)
        self.report('w1', running, born=_SECOND, worker_clock=17.0)
        self.assertEqual([], self.starts() + self.stops())

    def test_a_start_that_the_new_life_refuses(self) -> None:
        self.add_other()
        start = self.start()
        self._restart()
        self.answer(start, model.OrderResult.TOO_LATE)
        [again] = self.starts()
        self.assertEqual(2, again.attempt)

    def test_another_id_answers(self) -> None:
        """A worker of another id listens at the address by now."""
        self.add_other()
        start = self.start()
        self.answer(start, model.OrderResult.WRONG_LIFE)
        [again] = self.starts()
        self.assertEqual('w2', again.worker)

    def test_a_stop_by_the_earlier_life_binds_no_other(self) -> None:
        """A start got no answer, and its stop was carried out.

        Only the life that stopped it refuses the start; it may come late
        and begin in the next one, beside the task started elsewhere.
        """
        self.add_other()
        start = self.start()
        self.answer(start, model.OrderResult.UNKNOWN)
        self.now += 5
        self.report('w1', born=_FIRST)
        [stop] = self.stops()
        self.answer(stop)
        self.now += 5
        self._restart()
        self.assertEqual([], self.starts())
        [stop] = self.stops()
        self.now += 5
        self.answer(stop)
        self.now += 5
        self.report('w1', born=_SECOND)
        self.assertEqual(1, len(self.starts()))

    def test_a_stop_answered_late_binds_no_other(self) -> None:
        """The earlier life stopped it; the answer was long on its way."""
        self.add_other()
        start = self.start()
        self.answer(start, model.OrderResult.UNKNOWN)
        self.now += 5
        self.report('w1', born=_FIRST)
        [earlier] = self.stops()
        self._restart()
        [stop] = self.stops()
        self.answer(earlier)
        self.now += 5
        self.report('w1', born=_SECOND, worker_clock=17.0)
        self.assertEqual([], self.starts())
        self.answer(stop)
        self.now += 5
        self.report('w1', born=_SECOND, worker_clock=self.now + 1)
        self.assertEqual(1, len(self.starts()))

    def _give_up_a_start(self) -> dispatching.StartTask:
        """Has a start in doubt stopped, and its task started elsewhere."""
        start = self.start()
        self.answer(start, model.OrderResult.UNKNOWN)
        self.now += 5
        self.report('w1', born=_FIRST)
        [stop] = self.stops()
        self.answer(stop)
        self.workers['w2'] = case.make_worker('w2', cores=200.0)
        self.take(self.dispatcher.silent('w2', 'new', self.now))
        self._list()
        self.now += 5
        self.list_born(_FIRST, leaving=True)
        self.report('w2')
        self.report('w1', born=_FIRST)
        [again] = self.starts()
        self.assertEqual('w2', again.worker)
        self.answer(again)
        return start

    def test_a_start_given_up_is_stopped_in_the_next_life(self) -> None:
        """It was stopped, its task runs elsewhere, and it comes late.

        The next life has not stopped it and would begin it as well.
        """
        start = self._give_up_a_start()
        self.now += 1_000
        self.list_born(_SECOND)
        [stop] = self.stops()
        given = (stop.worker, stop.task, stop.attempt, stop.born)
        self.assertEqual(('w1', start.task, 1, _SECOND), given)
        self.answer(stop, model.OrderResult.UNKNOWN)
        [stop] = self.stops()
        self.now += 5
        self.answer(stop)
        self.now += 5
        self.report('w1', born=_SECOND)
        self.assertFalse(self.dispatcher.has_work('w1'))
        # It may come in a third life as well.
        self.list_born(_SECOND + 1)
        self.assertEqual(1, len(self.stops()))

    def _lose_a_start(self, start: dispatching.StartTask) -> None:
        """Has a start given up, and its task started again."""
        self.answer(start, model.OrderResult.UNKNOWN)
        self.now += 5
        self.report('w1', born=_FIRST)
        [stop] = self.stops()
        self.answer(stop)
        self.now += 5
        self.report('w1', born=_FIRST)

    def test_several_starts_given_up_at_one_worker(self) -> None:
        """All starts to a worker are late, and its task is tried there.

        A stop bars the lower attempts alone.
        """
        self._lose_a_start(self.start())
        [second] = self.starts()
        self._lose_a_start(second)
        [third] = self.starts()
        self.list_born(_SECOND)
        self.assertIn(2, [item.attempt for item in self.stops()])
        # The third is still wanted.
        self.answer(third)
        self.now += 5
        running = ((third, 1.0),)
        self.report('w1', running, born=_SECOND, worker_clock=7.0)
        self.assertEqual([], self.starts() + self.stops())

    def test_the_last_of_several_starts_given_up_is_stopped(self) -> None:
        self._lose_a_start(self.start())
        [second] = self.starts()
        self._lose_a_start(second)
        [third] = self.starts()
        self.answer(third, model.OrderResult.NO_ROOM)
        self.list_born(_SECOND)
        self.assertEqual([2], [item.attempt for item in self.stops()])

    def test_a_start_withdrawn_before_its_answer_was_lost(self) -> None:
        """Its client left, and it was stopped before it was answered.

        Its end was seen before the answer to the start counted as lost.
        """
        start = self.start()
        self.take(self.dispatcher.withdraw(case.HOME, 'job-1', self.now))
        [stop] = self.stops()
        self.answer(stop)
        self.now += 5
        self.report('w1', born=_FIRST)
        self.answer(start, model.OrderResult.UNKNOWN)
        self.list_born(_SECOND)
        self.assertEqual([1], [item.attempt for item in self.stops()])

    def test_a_refused_start_is_stopped_nowhere(self) -> None:
        start = self.start()
        self.answer(start, model.OrderResult.NO_ROOM)
        self.list_born(_SECOND)
        self.assertEqual([], self.stops())

    def test_a_start_given_up_long_ago_is_forgotten(self) -> None:
        self._give_up_a_start()
        self.now += 20_000
        self.list_born(_SECOND)
        self.assertEqual([], self.stops())

    def test_what_was_being_stopped_and_is_gone_starts_at_once(self) -> None:
        """A task stood still, and its worker has crashed meanwhile."""
        start = self.run_in_first()
        self.add_other()
        self.now += 200
        self.report('w1', running=((start, 10.0),), born=_FIRST)
        self.assertEqual(1, len(self.stops()))
        self.list_born(_SECOND)
        [again] = self.starts()
        self.assertEqual('w2', again.worker)

    def test_an_answered_start_of_no_known_life_is_asked_for(self) -> None:
        """The answer came from either life, just before its entry did.

        Started elsewhere at once, the task may run twice.
        """
        self.add_other()
        start = self.start()
        self.answer(start)
        self.list_born(_SECOND)
        self.assertEqual([], self.starts())
        self.now += 5
        running = ((start, 1.0),)
        self.report('w1', running, born=_SECOND, worker_clock=7.0)
        self.assertEqual([], self.starts() + self.stops())


class LostEndTest(LivesCase):
    """Ends of the new life were acknowledged by a number of before."""

    def test_what_may_have_ended_well_is_given_up(self) -> None:
        """A quick restart, and the next question carries an old number.

        A task that has begun in the new life may have ended well unseen;
        started again, it would be done twice. Its client hears at once that
        the job is given up, and sends it again.
        """
        start = self.start()
        self.answer(start)
        self.now += 5
        self.report('w1', born=_SECOND, may_lack_ends=True, worker_clock=7.0)
        self.assertEqual([], self.starts())
        self.assertEqual([('job-1', model.JobEnd.GIVEN_UP)], self.settled())

    def test_what_the_earlier_life_ran_starts_again(self) -> None:
        self.run_in_first()
        self.report('w1', born=_SECOND, may_lack_ends=True, worker_clock=7.0)
        self.list_born(_SECOND)
        self.assertEqual([2], [item.attempt for item in self.starts()])
        self.assertEqual([], self.settled())

    def test_what_is_listed_goes_on(self) -> None:
        start = self.start()
        self.answer(start)
        self.now += 5
        self.report(
            'w1',
            ((start, 5.0),),
            born=_SECOND,
            may_lack_ends=True,
            worker_clock=7.0,
        )
        self.list_born(_SECOND)
        ended = (start, model.TaskEnd.FAILED)
        self.report('w1', ended=(ended,), born=_SECOND, worker_clock=9.0)
        self.assertEqual([], self.settled())
        self.assertEqual(1, len(self.starts()))

    def test_a_refused_start_has_not_run(self) -> None:
        self.add_other()
        start = self.start()
        self.report('w1', born=_SECOND, may_lack_ends=True, worker_clock=7.0)
        self.answer(start, model.OrderResult.NO_ROOM)
        self.assertEqual([], self.settled())
        self.assertEqual(1, len(self.starts()))

    def test_a_start_in_doubt_may_have_run(self) -> None:
        start = self.start()
        self.answer(start, model.OrderResult.UNKNOWN)
        self.now += 5
        self.report('w1', born=_SECOND, may_lack_ends=True, worker_clock=7.0)
        [stop] = self.stops()
        self.now += 5
        self.answer(stop)
        self.now += 5
        self.report('w1', born=_SECOND)
        self.assertEqual([], self.starts())
        self.assertEqual([('job-1', model.JobEnd.GIVEN_UP)], self.settled())


class TakeoverTest(LivesCase):
    """A dispatcher that takes over tells lives apart by reports alone."""

    def test_a_job_placed_in_an_earlier_life(self) -> None:
        """The dispatcher and a worker are lost at once.

        The home tells where its tasks were placed; the worker has started
        again and runs none of them.
        """
        placed = (model.Placement(0, 'w1'),)
        self.submit(case.make_job(), attempt=1, placed=placed)
        self.assertEqual([], self.starts())
        self.list_born(_SECOND)
        self.assertEqual([], self.starts())
        self.now += 5
        self.report('w1', born=_SECOND, worker_clock=7.0)
        # The first dispatcher's order may come to the new life yet.
        self.assertEqual([], self.starts())
        [stop] = self.stops()
        self.answer(stop)
        self.now += 5
        self.report('w1', born=_SECOND, worker_clock=self.now)
        self.assertEqual([2], [item.attempt for item in self.starts()])

    def test_a_report_of_before_says_nothing_of_the_new_life(self) -> None:
        """It shows no task; the first dispatcher has begun one since."""
        asked_at = self.now
        self.list_born(_SECOND)
        self.now += 5
        placed = (model.Placement(0, 'w1'),)
        self.submit(case.make_job(), attempt=1, placed=placed)
        self.report('w1', born=_FIRST, asked_at=asked_at)
        self.report('w1', born=_FIRST)
        self.assertEqual([], self.starts())

    def test_a_task_taken_over_that_is_gone(self) -> None:
        """Its worker starts again just after it was taken over."""
        placed = (model.Placement(0, 'w1'),)
        self.submit(case.make_job(), attempt=1, placed=placed)
        task = model.TaskId('job-1', 0)
        theirs = dispatching.StartTask('w1', '', task, 1, '', 0.0)
        self.report('w1', running=((theirs, 40.0),), born=_FIRST)
        self.assertEqual([], self.starts())
        self.add_other()
        self.list_born(_SECOND)
        self.assertEqual(['w2'], [item.worker for item in self.starts()])
