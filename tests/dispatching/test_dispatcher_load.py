"""Tests of what a dispatcher tells operators of itself."""

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case

_Condition = dispatching.WorkerCondition


class DispatcherLoadTest(case.DispatcherCase):
    """The figures say what keeps jobs from starting."""

    def test_the_queue_and_its_age(self) -> None:
        self.add_workers('w1')
        self.submit(case.make_job('job-0', tasks=2, estimate_ms=5_000.0))
        self.submit(case.make_job('job-1'))
        self.pass_time(300)
        load = self.dispatcher.load(self.now)
        self.assertEqual((2, 1), (load.jobs, load.unstarted))
        self.assertAlmostEqual(300.0, load.oldest_ms)

    def test_every_condition_of_a_worker(self) -> None:
        """Workers stop taking tasks for reasons that ask for other mending."""
        names = ('quiet', 'doubtful', 'failing', 'tried', 'full', 'sound')
        workers = [case.make_worker(name, labels=(name,)) for name in names]
        workers += [
            case.make_worker('drained', failure_domain='bekes'),
            case.make_worker('sound-too'),
        ]
        self.list_workers(*workers)
        for worker in workers:
            self.report(worker.id)
        self.list_workers(
            *workers,
            case.make_worker('new'),
            case.make_worker('going', leaving=True),
            case.make_worker('returned', born=1),
        )
        self.report('returned', born=2)
        self.dispatcher.silent('quiet', 'no answer', self.now)
        self._let_fail('tried')
        self.now += 1_000.0
        self._place('tried', 'trial')
        self._let_fail('failing')
        self._refuse('full')
        self._leave_unanswered('doubtful')
        actions = self.dispatcher.drain_domains(frozenset({'bekes'}), self.now)
        self.take(actions)
        counts = self.dispatcher.load(self.now).workers_by_condition
        expected = {condition: 1 for condition in _Condition}
        expected[_Condition.SOUND] = 2
        del expected[_Condition.CONTENDED]
        self.assertEqual(expected, dict(counts))

    def test_a_worker_that_another_dispatcher_may_hold(self) -> None:
        self.add_workers('w1')
        self.submit(case.make_job())
        [start] = self.starts()
        self.answer(start)
        self.report('w1', running=[(start, 1.0)])
        self.dispatcher.withdraw(case.HOME, start.task.job, self.now)
        self.dispatcher.lead_most(False, self.now, self.now)
        counts = self.dispatcher.load(self.now).workers_by_condition
        self.assertEqual({_Condition.CONTENDED: 1}, dict(counts))

    def test_a_refusal_calls_no_worker_sound_that_gets_no_task(self) -> None:
        """It named a worker with room that had one task on trial."""
        self.add_workers('w1', 'w2', 'w3')
        self.list_workers(
            *[case.make_worker(name, labels=(name,)) for name in self._ids()]
        )
        for name in ('w2', 'w3'):
            self.submit(case.make_job(f'long-{name}', cores=64.0, label=name))
        self.starts()
        self._let_fail('w1')
        self.now += 1_000.0
        self._place('w1', 'trial')
        self.pop(dispatching.TellHome)
        self.submit(case.make_job('job-1'), left_ms=2_000)
        self.pass_time(950)
        [cause] = [
            item.cause
            for item in self.pop(dispatching.TellHome)
            if isinstance(item.message, model.JobSettled)
            and item.message.job == 'job-1'
        ]
        self.assertIn(
            '27 cores wanted, at most 0 free, 2 of 3 workers sound, '
            '1 on_trial',
            cause,
        )

    def test_a_refusal_says_what_room_there_was(self) -> None:
        """A job is refused though a worker has some cores free."""
        self.add_workers('w1', 'w2')
        self.dispatcher.silent('w2', 'no answer', self.now)
        self.submit(case.make_job('job-0', tasks=2, estimate_ms=5_000.0))
        self.pop(dispatching.TellHome)
        self.submit(case.make_job('job-1'), left_ms=2_000)
        self.pass_time(950)
        [told] = [
            item
            for item in self.pop(dispatching.TellHome)
            if isinstance(item.message, model.JobSettled)
        ]
        self.assertIn(
            '27 cores wanted, at most 10 free, 1 of 2 workers sound',
            told.cause,
        )

    def _place(self, worker: str, job: str, **fields) -> dispatching.StartTask:
        self.submit(case.make_job(job, label=worker, **fields))
        [start] = self.starts()
        return start

    def _ids(self) -> list[str]:
        return sorted(self.dispatcher.worker_ids)

    def _refuse(self, worker: str) -> None:
        start = self._place(worker, 'refused')
        self.answer(start, model.OrderResult.NO_ROOM)
        self.dispatcher.withdraw(case.HOME, start.task.job, self.now)

    def _let_fail(self, worker: str) -> None:
        for number in range(2):
            # Another attempt would take the worker's room.
            terms = model.JobTerms(max_attempts=1)
            job = f'{worker}-fails-{number}'
            start = self._place(worker, job, terms=terms)
            self.answer(start)
            self.report(worker, ended=((start, model.TaskEnd.FAILED),))

    def _leave_unanswered(self, worker: str) -> None:
        start = self._place(worker, 'lost')
        self.answer(start, model.OrderResult.UNKNOWN)
