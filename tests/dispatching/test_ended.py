"""Tests that a job that has ended never runs again."""

import unittest

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case

_KEEP_MS = 1_000.0
_FAILED = model.JobEnd.FAILED
_COMPLETED = model.JobEnd.COMPLETED


def _ended(
    at: float, queue: str = case.QUEUE, is_cancelled: bool = False
) -> dispatching.EndedJob:
    return dispatching.EndedJob(queue, _FAILED, is_cancelled, at)


class EndedJobsTest(unittest.TestCase):
    """What has ended is remembered, within bounds."""

    def test_it_is_forgotten_after_its_time(self) -> None:
        """Memory would grow for as long as the VM lives."""
        jobs = dispatching.EndedJobs(_KEEP_MS)
        jobs.add('j1', _ended(0.0), 0.0)
        self.assertIsNotNone(jobs.find('j1', case.QUEUE, _KEEP_MS - 1.0))
        self.assertIsNone(jobs.find('j1', case.QUEUE, _KEEP_MS))
        jobs.add('j2', _ended(_KEEP_MS), _KEEP_MS)
        self.assertEqual(1, len(jobs))

    def test_the_oldest_are_forgotten_beyond_the_number(self) -> None:
        """A wave of cancels would take the memory of all jobs."""
        jobs = dispatching.EndedJobs(_KEEP_MS, most=10)
        for number in range(30):
            jobs.add(f'j{number}', _ended(0.0), 0.0)
        self.assertEqual(10, len(jobs))
        self.assertIsNotNone(jobs.find('j29', case.QUEUE, 0.0))

    def test_the_first_word_counts(self) -> None:
        jobs = dispatching.EndedJobs(_KEEP_MS)
        jobs.add('j1', _ended(0.0, is_cancelled=True), 0.0)
        completed = dispatching.EndedJob(case.QUEUE, _COMPLETED, False, 1.0)
        jobs.add('j1', completed, 1.0)
        self.assertTrue(jobs.is_cancelled('j1', 1.0))

    def test_the_same_id_on_another_queue_is_another_job(self) -> None:
        """Its client would be told the end of a job that isn't its own."""
        jobs = dispatching.EndedJobs(_KEEP_MS)
        jobs.add('j1', _ended(0.0), 0.0)
        self.assertIsNone(jobs.find('j1', 'others', 0.0))


class DispatcherTest(case.DispatcherCase):
    """Copies and cancels that come to another VM than the job's home."""

    def setUp(self) -> None:
        super().setUp()
        self.add_workers('w1', 'w2')

    def _cancel(
        self, home: str = 'entry-2', job: str = 'job-1', number: int = 1
    ) -> list[model.CancelAnswered]:
        message = model.JobCancelled(job, case.QUEUE, number)
        self.take(self.dispatcher.cancel(home, message, self.now))
        return [
            item.message
            for item in self.actions
            if isinstance(item, dispatching.TellHome)
            and isinstance(item.message, model.CancelAnswered)
        ]

    def _run(self) -> None:
        self.submit(case.make_job(estimate_ms=5_000.0))
        [start] = self.starts()
        self.answer(start)
        self.start = start

    def test_a_copy_of_a_cancelled_job_starts_nothing(self) -> None:
        """It comes to another VM, seconds after the cancel was answered."""
        self._run()
        self.take(self.dispatcher.withdraw(case.HOME, 'job-1', self.now))
        self._cancel(case.HOME, number=0)
        self.now += 4_000
        self.submit(case.make_job(), home='entry-2')
        self.assertEqual([], self.starts())
        self.assertEqual([('job-1', _FAILED)], self.settled())

    def test_a_copy_of_a_completed_job_is_told_its_end(self) -> None:
        self._run()
        self.report('w1', ended=((self.start, model.TaskEnd.DONE),))
        self.report('w2', ended=((self.start, model.TaskEnd.DONE),))
        self.assertEqual([('job-1', _COMPLETED)], self.settled())
        self.submit(case.make_job(), home='entry-2')
        self.assertEqual([], self.starts())
        self.assertEqual([('job-1', _COMPLETED)], self.settled())

    def test_a_job_that_was_withdrawn_may_run_again(self) -> None:
        """Its client left without an answer, and sends it once more."""
        self._run()
        self.take(self.dispatcher.withdraw(case.HOME, 'job-1', self.now))
        [stop] = self.stops()
        self.answer(stop)
        self.now += 10
        self.report(self.start.worker)
        self.submit(case.make_job())
        self.assertEqual(1, len(self.starts()))

    def test_a_job_that_was_refused_may_run_again(self) -> None:
        big = case.make_job(cores=10_000.0)
        self.submit(big)
        self.assertEqual([('job-1', model.JobEnd.NOT_RUN)], self.settled())
        self.submit(case.make_job())
        self.assertEqual(1, len(self.starts()))

    def test_a_cancel_at_another_vm_ends_the_job(self) -> None:
        """It was answered 410, and the job ran on to its end."""
        self._run()
        [answer] = self._cancel()
        self.assertTrue(answer.is_known)
        self.assertEqual([('job-1', _FAILED)], self.settled())
        self.assertEqual([self.start.task], [s.task for s in self.stops()])

    def test_a_cancel_before_the_job_comes_counts(self) -> None:
        [answer] = self._cancel()
        self.assertFalse(answer.is_known)
        self.assertTrue(answer.is_certain)
        self.submit(case.make_job())
        self.assertEqual([], self.starts())

    def test_without_most_an_unknown_job_is_uncertain(self) -> None:
        """The dispatcher that can't be heard may have it."""
        self.dispatcher.lead_most(False, self.now, self.now)
        [answer] = self._cancel()
        self.assertFalse(answer.is_certain)

    def test_what_a_deputy_runs_of_a_cancelled_job_is_stopped(self) -> None:
        """Its dispatcher hears of no cancel behind a cut."""
        theirs = dispatching.StartTask(
            'w1', '', model.TaskId('job-1', 0), 1, '', 0.0
        )
        self.report('w1', running=((theirs, 10.0),))
        self._cancel()
        [stop] = self.stops()
        self.assertEqual(theirs.task, stop.task)

    def test_one_that_is_told_later_is_stopped_as_well(self) -> None:
        self._cancel()
        theirs = dispatching.StartTask(
            'w1', '', model.TaskId('job-1', 0), 1, '', 0.0
        )
        self.report('w1', running=((theirs, 10.0),))
        self.assertEqual([theirs.task], [s.task for s in self.stops()])

    def test_a_new_dispatcher_is_told_what_has_ended(self) -> None:
        """The one before it is gone, with all that it remembered."""
        item = model.EndedJob('job-1', case.QUEUE, _FAILED, True, 2_000.0)
        self.take(
            self.dispatcher.jobs_ended(model.JobsEnded(0, (item,)), self.now)
        )
        self.submit(case.make_job(), home='entry-2')
        self.assertEqual([], self.starts())

    def test_a_job_that_has_ended_elsewhere_is_ended_here(self) -> None:
        """A home tells of it after a copy has come by another one."""
        self._run()
        item = model.EndedJob('job-1', case.QUEUE, _COMPLETED, False, 10.0)
        self.take(
            self.dispatcher.jobs_ended(model.JobsEnded(0, (item,)), self.now)
        )
        self.assertEqual([('job-1', _COMPLETED)], self.settled())
        self.assertEqual(1, len(self.stops()))
