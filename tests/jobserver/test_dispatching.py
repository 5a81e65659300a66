"""Tests of carrying out what the dispatcher decides."""

import unittest

from rosemaryroad import clock
from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad.jobserver import _dispatching
from rosemaryroad.jobserver import _metrics
from tests.dispatching import case


class DispatchingCase(unittest.TestCase):
    """Has a VM that may dispatch, and no workers."""

    def setUp(self) -> None:
        self.metrics = _metrics.JobMetrics('entry-1')
        time = clock.ManualClock(1_000.0)
        self.leadership = dispatching.Leadership('entry-1', time.now(), 1.0, 1)
        self.dispatching = _dispatching.Dispatching(
            self.leadership,
            None,
            dispatching.DispatchLimits(),
            time,
            lambda *_: True,
            self.metrics,
        )
        self.addCleanup(self.dispatching.close)


class CountsTest(DispatchingCase):
    """Counters go on where an earlier turn of this VM left them.

    A VM that dispatches again begins with an empty dispatcher. Counters that
    fell with it would show a burst of refusals that never was.
    """

    def _refuse(self, job_id: str) -> None:
        # Asked directly, so that no session to a worker is opened.
        job = case.make_job(job_id)
        message = model.JobSubmitted(job, 0.0, 2_000.0)
        domains = frozenset({'bekes'})
        dispatcher = self.dispatching._dispatcher
        dispatcher.workers_listed(
            [case.make_worker('w1', failure_domain='bekes')], 0.0
        )
        dispatcher.drain_domains(domains, 0.0)
        dispatcher.submit(case.HOME, message, 0.0)

    def _refused(self) -> str:
        self.metrics.set_scheduling(
            self.dispatching.view(), self.dispatching.counts()
        )
        [line] = [
            line
            for line in self.metrics.render().splitlines()
            if line.startswith('rosemaryroad_queue_refusals_total{')
        ]
        return line.rpartition(' ')[2]

    def test_counters_never_fall(self) -> None:
        found = []
        for turn in range(2):
            self.dispatching.act(True)
            self._refuse(f'job-{turn}')
            found.append(self._refused())
            self.dispatching.act(False)
            found.append(self._refused())
        self.assertEqual(['1', '1', '2', '2'], found)

    def test_the_view_is_of_the_present_turn(self) -> None:
        self.dispatching.act(True)
        self._refuse('job-1')
        self.dispatching.act(False)
        self.assertEqual(dispatching.SchedulingView(), self.dispatching.view())


class FencesTest(DispatchingCase):
    """A worker knows a higher fence, and many calls to it are under way."""

    def test_calls_of_one_fence_raise_it_once(self) -> None:
        """Two dispatchers would outbid each other, and neither get through."""
        self.leadership.peers_known({'entry-1': 1.0})
        self.leadership.inform(1_000.0)
        row = dispatching.LeaseRow(1, 'entry-1')
        self.leadership.claim_won(row, 1_000.0)
        self.dispatching.act(True)
        for fence in (1, 1, 1, 2, 1, 2):
            self.dispatching.fenced('w1', fence)
        self.assertEqual(3, self.dispatching.fence())

    def test_many_that_are_down_are_asked_more_seldom(self) -> None:
        """A lost rack would take the dispatcher's processor."""
        self.assertEqual(50.0, self.dispatching.down('w1'))
        for number in range(200):
            pause_ms = self.dispatching.down(f'w{number}')
        self.assertEqual(400.0, pause_ms)
