"""Tests of uneven workers, and of jobs of uneven length."""

import math
import random
import statistics
import unittest

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad.dispatching import _paces
from rosemaryroad.dispatching import _run_times
from tests.dispatching import case
from tests.dispatching import played_load

_WORKERS = 58


def _make_limits(
    rule: str = 'pace', compares: bool = True
) -> dispatching.DispatchLimits:
    policy = dispatching.SchedulingPolicy(
        placement=dispatching.PlacementPolicy(dispatching.PlacementRule(rule)),
        paces=dispatching.PacePolicy(compares),
    )
    return dispatching.DispatchLimits(
        lease_ms=case.LEASE_MS, remote_factor=2.0, scheduling=policy
    )


def _make_kind(queue: str, per_s: float, *fields) -> played_load.Kind:
    # PlayedLoad takes rates for 24 workers.
    return played_load.Kind(queue, per_s * 24 / _WORKERS, *fields)


_KINDS = (
    _make_kind('forms', 30.0, 8, 51.0, 0.00485, 0, 2_300.0),
    _make_kind('lookups', 88.0, 2, 170.0, 0.00167, 1, 4_000.0),
    _make_kind('renders', 5.5, 4, 760.0, 0.0267, 2, 15_000.0),
)


def _play(
    seed: int,
    load: float,
    seconds: float,
    limits: dispatching.DispatchLimits,
    faults: tuple[played_load.Fault, ...] = (),
) -> played_load.PlayedLoad:
    """Plays a cell of which a third takes 2.4 times as long as the rest."""
    played = played_load.PlayedLoad(
        seed,
        load,
        seconds,
        kinds=_KINDS,
        workers=_WORKERS,
        limits=limits,
        paces=(1.43, 1.43, 0.59),
        cores=(32.0, 48.0),
        outliers=played_load.Outliers(0.03, 7.0),
        faults=faults,
        is_each_end_told=True,
    )
    played.play()
    return played


class PlayedSuspensionTest(unittest.TestCase):
    """Which workers are suspended under the load of a whole cell."""

    def test_long_jobs_have_no_healthy_worker_suspended(self) -> None:
        """30 and 127 times one was, with one job long on all its workers."""
        for load, rule in ((1.0, 'pace'), (1.5, 'expected_end')):
            with self.subTest(load=load, rule=rule):
                played = _play(1, load, 40.0, _make_limits(rule))
                self.assertLess(len(played.suspensions), 10)

    def test_slow_workers_are_found_no_later(self) -> None:
        """Waiting for the other tasks, each would lose one job after another.

        Six of the workers become 8.5 times as slow.
        """
        self._compare_delays(8.5)

    def test_workers_that_hang_are_found_no_later(self) -> None:
        self._compare_delays(math.inf)

    def _compare_delays(self, factor: float) -> None:
        before = self._find_delays(factor, compares=False)
        after = self._find_delays(factor, compares=True)
        self.assertLessEqual(
            statistics.median(after), statistics.median(before)
        )

    def _find_delays(self, factor: float, compares: bool) -> list[float]:
        """Returns after how long each faulty worker was suspended, in ms."""
        delays = []
        for seed in range(6):
            faults = _draw_faults(seed, factor)
            limits = _make_limits(compares=compares)
            played = _play(seed, 1.25, 10.0, limits, faults)
            for fault in faults:
                since = 1_000.0 * fault.since_s
                found = [
                    at - since
                    for at, worker in played.suspensions
                    if worker == fault.worker and at >= since
                ]
                delays.append(min(found, default=math.inf))
        return delays


def _draw_faults(seed: int, factor: float) -> tuple[played_load.Fault, ...]:
    rng = random.Random(seed)
    return tuple(
        played_load.Fault(
            f'w{number:03}', rng.uniform(3.0, 6.0), math.inf, factor
        )
        for number in rng.sample(range(_WORKERS), 6)
    )


class PlayedPlacementTest(unittest.TestCase):
    """Whether slow workers get what can bear them."""

    def test_more_jobs_end_in_time(self) -> None:
        """Short tasks filled the fast workers, and long ones ended late."""
        for load in (1.25, 1.5):
            counts = {
                rule: sum(
                    _count_in_time(_play(seed, load, 20.0, _make_limits(rule)))
                    for seed in (1, 2, 3)
                )
                for rule in ('pace', 'expected_end')
            }
            with self.subTest(load=load):
                self.assertGreater(counts['expected_end'], counts['pace'])


def _count_in_time(played: played_load.PlayedLoad) -> int:
    return sum(
        job.end is model.JobEnd.COMPLETED
        and job.ended - job.arrived <= job.objective_ms
        for job in played.jobs.values()
    )


class _ComparingCase(case.DispatcherCase):
    """Three workers of equal pace, with room for a task or two each."""

    rule = 'pace'

    def setUp(self) -> None:
        super().setUp()
        self.dispatcher = dispatching.JobDispatcher(_make_limits(self.rule))

    def _start(self, job_id: str, **fields) -> list[dispatching.StartTask]:
        job = case.make_job(job_id, cores=fields.pop('cores', 40.0), **fields)
        self.submit(job, left_ms=60_000.0)
        starts = self.starts()
        for start in starts:
            self.answer(start)
        return starts

    def _suspended(self) -> list[str]:
        return [
            item.subject
            for item in self.pop(dispatching.Noted)
            if item.event == 'worker_suspended'
        ]

    def _looks(self) -> set[str]:
        return {item.worker for item in self.pop(dispatching.LookAt)}


class SiblingTest(_ComparingCase):
    """The job's other tasks tell whose doing a long task is."""

    def setUp(self) -> None:
        super().setUp()
        self.add_workers('w1', 'w2', 'w3')

    def _show_first_sign(self) -> list[dispatching.StartTask]:
        starts = self._start('job-1', tasks=3)
        self.pop(dispatching.LookAt)
        self.now += 100
        self.report(starts[0].worker, running=((starts[0], 5.0),))
        self.assertEqual([], self._suspended())
        others = {start.worker for start in starts[1:]}
        self.assertEqual(others, self._looks())
        return starts

    def test_a_long_job_marks_no_worker(self) -> None:
        """Each worker with one of its tasks would stand idle for a second.

        It takes ten times as long as expected, wherever it runs.
        """
        starts = self._show_first_sign()
        for percent in (5.0, 10.0, 15.0):
            for start in starts:
                self.report(start.worker, running=((start, percent),))
            self.now += 100
        self.assertEqual([], self._suspended())
        self.assertEqual([], self.stops())

    def test_a_task_that_is_long_alone_marks_its_worker(self) -> None:
        first, *others = self._show_first_sign()
        self.now += 2
        for start in others:
            self.report(start.worker, running=((start, 50.0),))
        self.assertEqual([first.worker], self._suspended())
        [stop] = self.stops()
        self.assertEqual((first.task, 'too slow'), (stop.task, stop.cause))

    def test_lost_reports_mark_nobody(self) -> None:
        """Without evidence a long job would have its workers suspended."""
        first, *_ = self._show_first_sign()
        for percent in (10.0, 15.0, 20.0):
            self.now += 100
            self.report(first.worker, running=((first, percent),))
        self.assertEqual([], self._suspended())

    def test_tasks_of_two_jobs_mark_their_worker(self) -> None:
        """Jobs of one task have no others to be compared with."""
        [one] = self._start('job-1', cores=30.0)
        [two] = self._start('job-2', cores=30.0)
        self.assertEqual(one.worker, two.worker)
        self.now += 100
        self.report(one.worker, running=((one, 5.0), (two, 40.0)))
        self.assertEqual([], self._suspended())
        self.now += 300
        self.report(one.worker, running=((one, 20.0), (two, 41.0)))
        self.assertEqual([one.worker], self._suspended())

    def test_a_later_task_at_its_pace_clears_the_worker(self) -> None:
        [slow] = self._start('job-1', cores=30.0)
        self.now += 10
        [later] = self._start('job-2', cores=30.0)
        self.assertEqual(slow.worker, later.worker)
        self.now += 100
        for percent in (5.0, 10.0):
            running = ((later, 9 * percent), (slow, percent))
            self.report(slow.worker, running=running)
            self.now += 50
        self.assertEqual([], self._suspended())

    def test_a_task_without_progress_still_marks_its_worker(self) -> None:
        starts = self._start('job-1', tasks=3)
        self.now += 160
        for start in starts[:2]:
            self.report(start.worker, running=((start, 0.0),))
        self.assertEqual([starts[0].worker], self._suspended())


class PaceTest(unittest.TestCase):
    """What ends teach of workers, their kinds and their queues."""

    def setUp(self) -> None:
        self.run_times = _paces.ComparedRunTimes()
        self.workers = [
            case.make_worker(
                f'{kind}-{number}',
                labels=(kind, f'rack-{number}'),
                failure_domain=f'domain-{number % 2}',
            )
            for kind in ('small', 'large')
            for number in range(4)
        ]
        self.run_times.workers_known(self.workers)

    def _run_jobs(self, count: int) -> None:
        rng = random.Random(1)
        usual = {'small': 100.0, 'large': 240.0}
        for _ in range(count):
            length = 7.0 if rng.random() < 0.03 else 1.0
            runs = [
                _paces.EndedRun(item.id, length * usual[item.labels[0]])
                for item in rng.sample(self.workers, 4)
            ]
            self.run_times.learn('queue', 100.0, runs)

    def _ratio(self, one: str, other: str) -> float:
        slowness = self.run_times.slowness
        return slowness(one) / slowness(other)

    def test_a_new_worker_has_the_pace_of_its_kind(self) -> None:
        """Taken for an average one, it would get what it can't end in time.

        Racks are labels as well, and tell nothing of the pace.
        """
        self._run_jobs(60)
        new = [
            case.make_worker(f'new-{kind}', labels=(kind, 'rack-9'))
            for kind in ('small', 'large')
        ]
        self.run_times.workers_known([*self.workers, *new])
        ratio = self._ratio('new-large', 'new-small')
        self.assertAlmostEqual(2.4, ratio, delta=0.3)

    def test_a_worker_that_returns_as_another_kind(self) -> None:
        """The pace of its earlier life says nothing of the present one."""
        self._run_jobs(60)
        self.run_times.forget('small-0')
        self.workers[0] = attrs.evolve(self.workers[0], labels=('large',))
        self.run_times.workers_known(self.workers)
        ratio = self._ratio('small-0', 'small-1')
        self.assertAlmostEqual(2.4, ratio, delta=0.3)

    def test_a_long_job_is_not_blamed_on_its_workers(self) -> None:
        self._run_jobs(60)
        before = self._ratio('small-0', 'large-0')
        length = {'small-0': 700.0, 'small-1': 700.0}
        runs = [_paces.EndedRun(*item) for item in length.items()]
        self.run_times.learn('queue', 100.0, runs)
        self.assertAlmostEqual(
            before, self._ratio('small-0', 'large-0'), delta=0.02
        )

    def test_the_spread_of_a_queue(self) -> None:
        """Forecasts and placement take it for how sure a run time is."""
        for run_times in (_run_times.RunTimes(), self.run_times):
            rng = random.Random(2)
            for number in range(400):
                took = 100.0 * math.exp(rng.gauss(0.0, 0.3))
                worker = f'{("small", "large")[number % 2]}-0'
                if run_times is self.run_times:
                    run = _paces.EndedRun(worker, took)
                    run_times.learn('queue', 100.0, [run])
                else:
                    run_times.record('queue', 100.0, worker, took)
            self.assertAlmostEqual(0.3, run_times.spread('queue'), delta=0.1)
            self.assertEqual(0.4, run_times.spread('another'))


class ExpectedEndTest(_ComparingCase):
    """Slow workers get the tasks that can bear them."""

    rule = 'expected_end'

    def setUp(self) -> None:
        super().setUp()
        self.list_workers(
            *[
                case.make_worker(name, labels=labels, failure_domain=domain)
                for name, labels, domain in (
                    ('fast', ('here',), 'a'),
                    ('slow', ('here',), 'a'),
                    ('fast-far', ('there',), 'b'),
                )
            ]
        )
        for name in ('fast', 'slow', 'fast-far'):
            self.report(name)
        run_times = self.dispatcher._context.run_times
        for _ in range(20):
            runs = [
                _paces.EndedRun('fast', 100.0),
                _paces.EndedRun('fast-far', 100.0),
                _paces.EndedRun('slow', 240.0),
            ]
            run_times.learn(case.QUEUE, 100.0, runs)

    def _worker_of(self, estimate_ms: float, **fields) -> str:
        job = case.make_job(estimate_ms=estimate_ms, queue='new', **fields)
        self.submit(job, home_domain='a')
        [start] = self.starts()
        return start.worker

    def test_a_short_task_leaves_the_fast_workers_alone(self) -> None:
        self.assertEqual('slow', self._worker_of(20.0))

    def test_a_long_task_goes_to_a_fast_one(self) -> None:
        """It would miss its objective on the slow one."""
        self.assertEqual('fast', self._worker_of(1_000.0))

    def test_being_away_from_the_data_is_not_taken_for_slow(self) -> None:
        """Run there, it would take room for twice as long."""
        self.assertEqual('fast-far', self._worker_of(20.0, rack='there'))
