"""Tests of priorities and of fair shares of scarce room."""

import statistics
import unittest

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _sharing
from rosemaryroad.dispatching import _state
from rosemaryroad.dispatching import _waiting
from tests.dispatching import case
from tests.dispatching import played_load

_Key = dispatching.SharingKey
_Order = dispatching.PriorityOrder
# Not among those by which the figures of the module were chosen.
_SEEDS = (11, 12, 13, 14)
_BOUND = 0.02
_BURST = 2.5
_DOMAINS = ('szeged', 'bekes', 'gyula', 'makon')
_CORES = 100.0

# In proportion to the work that the queues usually send.
_WEIGHTS = {'lookups': 0.63, 'checks': 0.84, 'previews': 1.53}


def _in_burst(second: float) -> float:
    return _BURST if 6 < second < 12 else 1.0


def _limits(**fields) -> dispatching.DispatchLimits:
    policy = dispatching.SchedulingPolicy(**fields)
    return dispatching.DispatchLimits(scheduling=policy)


def _split(number: int, field: str, part: float) -> tuple:
    """Returns the usual kinds of one of four racks or failure domains."""
    name = _DOMAINS[number]
    return tuple(
        attrs.evolve(
            kind, per_s=part * kind.per_s, group=name, **{field: name}
        )
        for kind in played_load.KINDS
    )


def _with_burst(kinds: tuple, group: str, load_at=_in_burst) -> tuple:
    return tuple(
        attrs.evolve(kind, load_at=load_at) if kind.group == group else kind
        for kind in kinds
    )


def _in_time_of_others(
    tallies: dict[str, played_load.Tally], group: str
) -> float:
    others = played_load.total(
        {key: tally for key, tally in tallies.items() if key != group}
    )
    return others.in_time / others.jobs


class SharedLoadTest(unittest.TestCase):
    """One key bursts, and the others' jobs stay as they are."""

    def _play(self, kinds, seed, policy) -> dict[str, played_load.Tally]:
        return played_load.PlayedLoad(
            seed, kinds=kinds, limits=_limits(sharing=policy), is_paired=True
        ).play()

    def _check(self, quiet, burst, group, policy) -> None:
        """Plays both loads and weighs what the others get.

        The bursting one gets what is left where the workers do nearly as
        much work as without sharing; short of it are jobs that are refused.
        """
        lost = []
        for seed in _SEEDS:
            before, tallies = (
                self._play(kinds, seed, policy) for kinds in (quiet, burst)
            )
            lost.append(
                _in_time_of_others(before, group)
                - _in_time_of_others(tallies, group)
            )
        unshared = self._play(burst, seed, dispatching.SharingPolicy())
        work = played_load.total(unshared).work
        self.assertGreater(played_load.total(tallies).work, 0.97 * work)
        self.assertLessEqual(statistics.mean(lost), _BOUND, lost)

    def _check_queue(self, queue: str) -> None:
        """One queue sends 2.5 times its usual jobs for six seconds."""
        policy = dispatching.SharingPolicy(_Key.QUEUE, _WEIGHTS)
        burst = _with_burst(played_load.KINDS, queue)
        self._check(played_load.KINDS, burst, queue, policy)

    def test_the_queue_of_many_short_tasks_bursts(self) -> None:
        self._check_queue('lookups')

    def test_the_queue_of_long_tasks_bursts(self) -> None:
        self._check_queue('checks')

    def test_the_largest_queue_bursts(self) -> None:
        self._check_queue('previews')

    def test_a_rack_has_three_quarters_of_the_jobs(self) -> None:
        """One of four racks gets nine times as many jobs as each other.

        All together send 1.8 times the usual load. By due time alone, the
        other racks' share of jobs in time falls from 0.997 to 0.82.
        """
        quiet = sum((_split(n, 'rack', 0.15) for n in range(4)), ())
        burst = _with_burst(quiet, _DOMAINS[0], lambda _: 9.0)
        policy = dispatching.SharingPolicy(_Key.RACK)
        self._check(quiet, burst, _DOMAINS[0], policy)

    def test_a_failure_domain_bursts(self) -> None:
        """The clients of one send 2.5 times their jobs for six seconds.

        All together send 1.2 times the usual load before. At the usual load
        the others lose less than the bound without sharing, too.
        """
        quiet = sum((_split(n, 'home_domain', 0.3) for n in range(4)), ())
        burst = _with_burst(quiet, _DOMAINS[0])
        policy = dispatching.SharingPolicy(_Key.FAILURE_DOMAIN)
        self._check(quiet, burst, _DOMAINS[0], policy)


class StrictLoadTest(unittest.TestCase):
    """The least urgent jobs under ``strict``."""

    def test_the_least_urgent_are_not_starved(self) -> None:
        """The most urgent queue, or all of them, send more than usual."""
        for name, kinds, load_at in (
            ('urgent', _with_burst(played_load.KINDS, 'lookups'), None),
            (
                'all',
                played_load.KINDS,
                lambda s: 1.5 if 6 < s < 12 else 1.0,
            ),
        ):
            with self.subTest(name):
                jobs = served = 0
                for seed in _SEEDS:
                    tally = self._play(seed, kinds, load_at)['checks']
                    jobs += tally.jobs
                    served += tally.served
                self.assertGreater(served, 0.95 * jobs)

    def _play(self, seed, kinds, load_at) -> dict[str, played_load.Tally]:
        policy = dispatching.PriorityPolicy(_Order.STRICT)
        return played_load.PlayedLoad(
            seed,
            kinds=kinds,
            load_at=load_at,
            limits=_limits(priorities=policy),
            is_paired=True,
        ).play()


def _make_state(
    job_id: str = 'job-1',
    priority: int = 1,
    arrived: float = 0.0,
    queue: str = case.QUEUE,
    estimate_ms: float = 200.0,
) -> _state.JobState:
    terms = model.JobTerms(priority, 1.6, 400.0, 2)
    job = case.make_job(
        job_id, queue=queue, terms=terms, estimate_ms=estimate_ms
    )
    return _state.JobState(
        job=job,
        homes={case.HOME},
        arrived=arrived,
        came_at=arrived,
        deadline=arrived + 10_000.0,
        tasks=[_state.TaskState(model.TaskId(job_id, 0))],
        expected_ms=estimate_ms,
        waiting=1,
        left=1,
    )


class OrderTest(unittest.TestCase):
    """Which of the waiting jobs come first."""

    def setUp(self) -> None:
        self.shares = _sharing.Shares(dispatching.SharingPolicy(_Key.QUEUE))
        self.waiting = _waiting.WaitingJobs(
            _run_times.RunTimes(), dispatching.PriorityPolicy(), self.shares
        )

    def _order(self, now: float = 0.0, **fields) -> list[str]:
        self.waiting.priorities = dispatching.PriorityPolicy(**fields)
        self.waiting.refresh(now, _CORES)
        return [state.job.id for state in self.waiting]

    def test_priorities_apply_from_the_next_ranking(self) -> None:
        """They change in a burst, while jobs wait."""
        for name, priority, arrived in (
            ('first', 2, 0.0),
            ('second', 1, 10.0),
            ('third', 0, 60.0),
        ):
            self.waiting.add(_make_state(name, priority, arrived), 60.0)
        by_due = ['first', 'second', 'third']
        self.assertEqual(by_due, self._order())
        shifted = self._order(order=_Order.SHIFTED, shift_ms=40.0)
        self.assertEqual(['second', 'third', 'first'], shifted)
        self.assertEqual(by_due[::-1], self._order(order=_Order.STRICT))

    def test_strict_gives_way_to_a_long_wait(self) -> None:
        """Urgent jobs keep coming, so that the other never comes first."""
        self.waiting.add(_make_state('patient', 2), 0.0)
        self.waiting.add(_make_state('urgent', 0, 300.0), 300.0)
        strict = {'order': _Order.STRICT, 'longest_wait_ms': 320.0}
        self.assertEqual(['urgent', 'patient'], self._order(310.0, **strict))
        self.assertEqual(['patient', 'urgent'], self._order(320.0, **strict))

    def test_a_key_over_its_share_waits_behind_others_in_time(self) -> None:
        """Only those that can't end in time any more come after it."""
        self.shares.task_placed(_make_state(queue='bursts'), 1e6, 0.0)
        self.shares.refresh(0.0, _CORES, False)
        self.waiting.add(_make_state('bursts', 0, queue='bursts'), 0.0)
        self.waiting.add(_make_state('quiet', 2, 5.0), 0.0)
        late = _make_state('late', 0, -2_000.0)
        self.waiting.add(late, 0.0)
        for order in _Order:
            with self.subTest(order):
                found = self._order(order=order)
                self.assertEqual(['quiet', 'bursts', 'late'], found)


class RoomTest(case.DispatcherCase):
    """What happens to room that only one key wants."""

    def test_a_key_over_its_share_gets_what_is_left(self) -> None:
        """Held back, its jobs would wait beside empty workers."""
        policy = dispatching.SharingPolicy(_Key.QUEUE, burst_ms=1.0)
        self.dispatcher = dispatching.JobDispatcher(_limits(sharing=policy))
        self.add_workers('w1', 'w2')
        for number in range(4):
            self.submit(case.make_job(f'job-{number}', estimate_ms=5_000.0))
            self.take(self.dispatcher.tick(self.now))
        self.assertEqual(4, len(self.starts()))


class AccountTest(unittest.TestCase):
    """What the accounts of keys do."""

    def setUp(self) -> None:
        self.now = 0.0
        self.shares = self._make()
        self.bursting = _make_state(queue='bursting')
        self.quiet = _make_state(queue='quiet')

    def _make(self, **fields) -> _sharing.Shares:
        return _sharing.Shares(dispatching.SharingPolicy(_Key.QUEUE, **fields))

    def _pass(self, ms: float, works: int = 0, demands: int = 0) -> None:
        """Lets time pass while the bursting key has some tasks a step."""
        for _ in range(round(ms / 10.0)):
            self.now += 10.0
            for _ in range(demands):
                self.shares.job_arrived(self.bursting, self.now)
                self.shares.job_arrived(self.quiet, self.now)
            for _ in range(works):
                self.shares.task_placed(self.bursting, 200.0, self.now)
            self.shares.refresh(self.now, _CORES, False)

    def _rows(self) -> dict[str, dispatching.KeyShare]:
        return {row.name: row for row in self.shares.rows()}

    def test_a_burst_is_over_its_share_until_it_has_drained(self) -> None:
        self._pass(3_000.0, works=1, demands=1)
        rows = self._rows()
        self.assertTrue(rows['bursting'].is_over)
        self.assertFalse(rows['quiet'].is_over)
        self.assertAlmostEqual(0.5, rows['bursting'].share, 2)
        self._pass(1_000.0)
        self.assertFalse(self._rows()['bursting'].is_over)

    def test_what_a_key_leaves_is_the_others(self) -> None:
        """Held to half of the cores, one would wait beside empty ones."""
        self.shares.job_arrived(self.bursting, 0.0)
        self._pass(10.0)
        self.assertAlmostEqual(1.0, self._rows()['bursting'].share)
        self.assertFalse(self.shares.is_over(self.bursting))

    def test_an_idle_key_gains_no_credit(self) -> None:
        """Its burst after a pause would cost others more than one before."""
        self._pass(3_000.0, demands=1)
        work = 200.0 * case.make_job().needs.cores
        rate = 0.8 * _CORES / 2
        for _ in range(int(500.0 * rate / work) + 1):
            self.shares.task_placed(self.bursting, 200.0, self.now)
        self.shares.refresh(self.now, _CORES, False)
        self.assertTrue(self.shares.is_over(self.bursting))

    def test_a_successor_is_uneven_for_one_burst_at_most(self) -> None:
        """The dispatcher is lost while accounts are uneven."""
        self._pass(3_000.0, works=1, demands=1)
        self.shares = self._make()
        self._pass(10.0, demands=1)
        self.assertFalse(self.shares.is_over(self.bursting))
        # Tasks of 5,400 core-ms each 10 ms, against a share of some 40 cores.
        self._pass(100.0, works=1, demands=1)
        self.assertTrue(self.shares.is_over(self.bursting))

    def test_a_removed_queue_is_dropped_once_it_is_empty(self) -> None:
        """Its jobs wait still; accounts of old names would pile up."""
        self._pass(1_000.0, works=1, demands=1)
        self._pass(300.0)
        self.assertIn('bursting', self._rows())
        self._pass(15_000.0)
        self.assertEqual((), self.shares.rows())
        self.assertFalse(self.shares.is_over(self.bursting))

    def test_weights_apply_from_the_next_refresh(self) -> None:
        """They change during a burst."""
        self._pass(3_000.0, works=1, demands=1)
        self.shares.policy = dispatching.SharingPolicy(
            _Key.QUEUE, {'bursting': 3.0}
        )
        self._pass(10.0, demands=1)
        row = self._rows()['bursting']
        self.assertEqual(3.0, row.weight)
        self.assertAlmostEqual(0.75, row.share, 2)

    def test_a_burst_costs_little_after_its_end(self) -> None:
        """A key that took idle room for long would be behind for as long."""
        self._pass(30_000.0, works=5, demands=1)
        self.assertLessEqual(self._rows()['bursting'].ahead_ms, 1_001.0)

    def test_no_usable_worker_and_a_clock_that_stands(self) -> None:
        self.shares.job_arrived(self.bursting, 5.0)
        for now in (5.0, 5.0, 4.0):
            self.shares.refresh(now, 0.0, True)
        [row] = self.shares.rows()
        self.assertEqual((0.0, 0.0), (row.share, row.ahead_ms))

    def test_nothing_is_kept_without_the_setting(self) -> None:
        self.shares = _sharing.Shares(dispatching.SharingPolicy())
        self._pass(100.0, works=1, demands=1)
        self.assertEqual((), self.shares.rows())
