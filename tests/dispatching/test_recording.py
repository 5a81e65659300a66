"""Tests that no task starts before its homes have recorded it."""

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case

_SILENCE_MS = 240.0
_ORDER_VALIDITY_MS = 300.0

# The length of a lease by a worker's clock that is 2 % slow, plus a margin.
_LAPSE_MS = case.LEASE_MS * 1.02 + 50.0


class RecordingTest(case.DispatcherCase):
    """Homes record placements or queued jobs before tasks start."""

    def setUp(self) -> None:
        super().setUp()
        self.is_auto_recording = False
        self.dispatcher = dispatching.JobDispatcher(
            dispatching.DispatchLimits(lease_ms=case.LEASE_MS),
            silence_ms=_SILENCE_MS,
        )

    def _pop_numbered(self) -> list[dispatching.TellHome]:
        """Returns the messages to answer since the last call."""
        return [
            item
            for item in self.pop(dispatching.TellHome)
            if isinstance(item.message, model.JobProgress)
            and item.message.number
        ]

    def _answer_all(self) -> list[dispatching.TellHome]:
        told = self._pop_numbered()
        for item in told:
            self.record(item.vm, item.message)
        return told

    def _queue_job(self) -> None:
        """Submits a job that waits while another fills the only worker."""
        self.add_workers('w1', cores=30.0)
        self.submit(case.make_job('first'))
        self._answer_all()
        [self.first] = self.starts()
        self.answer(self.first)
        self.submit(case.make_job('second'))

    def _end_first(self) -> None:
        self.report('w1', ended=((self.first, model.TaskEnd.DONE),))

    def test_a_start_waits_for_the_answer(self) -> None:
        """A home that is cut off would not know of the start."""
        self.add_workers('w1', 'w2')
        self.submit(case.make_job())
        [told] = self._pop_numbered()
        [placed] = told.message.placed
        self.assertEqual([], self.starts())
        self.pass_time(60)
        self.assertEqual([], self.starts())
        self.record(case.HOME, told.message)
        [start] = self.starts()
        self.assertEqual(placed.worker, start.worker)

    def test_a_start_waits_for_all_homes(self) -> None:
        """One of two homes hands the job on without the placement."""
        self.add_workers('w1')
        self.submit(case.make_job())
        self.submit(case.make_job(), home='entry-2')
        told = self._pop_numbered()
        self.assertEqual(
            {case.HOME, 'entry-2'}, {item.vm for item in told[:2]}
        )
        self.record(case.HOME, told[0].message)
        self.assertEqual([], self.starts())
        self.take(self.dispatcher.home_lost('entry-2', self.now))
        self.assertEqual(1, len(self.starts()))

    def test_nothing_starts_for_a_lost_home(self) -> None:
        """An answer arrives after another dispatcher has got the job."""
        self.add_workers('w1')
        self.submit(case.make_job())
        [told] = self._pop_numbered()
        self.take(self.dispatcher.home_lost(case.HOME, self.now))
        self.record(case.HOME, told.message)
        self.assertEqual([], self.starts())
        self.assertEqual([], self.stops())
        self.assertFalse(self.dispatcher.has_work('w1'))

    def test_an_unanswered_message_is_sent_again(self) -> None:
        """A message is lost when its link is replaced by a new one."""
        self.add_workers('w1')
        self.submit(case.make_job())
        [lost] = self._pop_numbered()
        self.pass_time(_SILENCE_MS)
        [again] = [
            item for item in self._pop_numbered() if item.message.placed
        ]
        self.assertEqual(lost.message.placed, again.message.placed)
        self.record(case.HOME, lost.message)
        self.assertEqual([], self.starts())
        self.record(case.HOME, again.message)
        self.assertEqual(1, len(self.starts()))

    def test_a_late_answer_starts_nothing(self) -> None:
        """The home has handed the job on before its answer is read."""
        self.add_workers('w1')
        self.submit(case.make_job())
        [told] = self._pop_numbered()
        self.now += _SILENCE_MS
        self.record(case.HOME, told.message)
        self.assertEqual([], self.starts())

    def test_a_task_found_running_is_not_started(self) -> None:
        """Another dispatcher has started the task at another worker."""
        self.add_workers('w1', 'w2')
        self.submit(case.make_job())
        [told] = self._pop_numbered()
        [placed] = told.message.placed
        [other] = {'w1', 'w2'} - {placed.worker}
        task = model.TaskId('job-1', 0)
        found = dispatching.StartTask(other, '', task, 9, '', 0.0)
        self.report(other, running=((found, 10.0),))
        self.record(case.HOME, told.message)
        self.assertEqual([], self.starts())
        self.assertEqual([], self.stops())

    def test_a_recorded_queued_job_starts_at_once(self) -> None:
        """Free cores would be idle until the home has answered."""
        self._queue_job()
        [told] = self._answer_all()
        self.assertTrue(told.message.queued)
        self.now += 60
        self._end_first()
        self.assertEqual(['second'], [item.task.job for item in self.starts()])

    def test_a_queued_job_of_a_silent_home_is_recorded_first(self) -> None:
        """A home hears nothing, and hands its job on unnoticed."""
        self._queue_job()
        self._answer_all()
        self.now += _SILENCE_MS + 1
        self._end_first()
        self.assertEqual([], self.starts())
        self._answer_all()
        self.assertEqual(['second'], [item.task.job for item in self.starts()])

    def test_leases_for_a_silent_home_are_not_prolonged(self) -> None:
        """Another dispatcher counts on the lapse of these leases."""
        self.add_workers('w1')
        self.submit(case.make_job(estimate_ms=5_000.0), 60_000.0)
        self._answer_all()
        self.answer(*self.starts())
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))
        self.pass_time(_SILENCE_MS + 30)
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self._answer_all()
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))

    def test_an_answer_from_before_a_resubmission_is_ignored(self) -> None:
        """A home hands its job to another dispatcher and back."""
        self.add_workers('w1')
        self.submit(case.make_job())
        [before] = self._pop_numbered()
        placed = (model.Placement(0, 'w1'),)
        self.submit(case.make_job(), attempt=3, placed=placed)
        self.record(case.HOME, before.message)
        self.assertEqual([], self.starts())

    def test_a_job_queued_before_waits_for_silent_workers(self) -> None:
        """The last dispatcher may have started it at a silent worker."""
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self.report('w2')
        self.take(self.dispatcher.silent('w1', 'cut off', self.now))
        self.submit(case.make_job(), 6_000.0, attempt=1, queued=True)
        self._answer_all()
        self.pass_time(_ORDER_VALIDITY_MS + 30)
        self.report('w2')
        self.pass_time(_LAPSE_MS - _ORDER_VALIDITY_MS - 60)
        self._answer_all()
        self.assertEqual([], self.starts())
        self.pass_time(60)
        self._answer_all()
        self.assertEqual(['w2'], [item.worker for item in self.starts()])

    def test_a_job_queued_before_waits_for_orders_in_transit(self) -> None:
        """An order of the last dispatcher arrives after the first report."""
        self.add_workers('w1')
        self.submit(case.make_job(), 6_000.0, attempt=1, queued=True)
        self._answer_all()
        self.now += 10
        self.report('w1')
        self.pass_time(_ORDER_VALIDITY_MS - 40)
        self.report('w1')
        self._answer_all()
        self.assertEqual([], self.starts())
        self.pop(dispatching.LookAt)
        self.pass_time(60)
        self.assertTrue(self.pop(dispatching.LookAt))
        self.report('w1')
        self._answer_all()
        self.assertEqual(1, len(self.starts()))
