"""Tests of what a VM keeps when it stops giving orders."""

import unittest

from rosemaryroad import clock
from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad.jobserver import _dispatching
from rosemaryroad.jobserver import _metrics
from tests.dispatching import case


class CountsTest(unittest.TestCase):
    """Counters go on where an earlier turn of this VM left them.

    A VM that dispatches again begins with an empty dispatcher. Counters that
    fell with it would show a burst of refusals that never was.
    """

    def setUp(self) -> None:
        self.metrics = _metrics.JobMetrics('entry-1')
        time = clock.ManualClock(1_000.0)
        self.dispatching = _dispatching.Dispatching(
            dispatching.Leadership('entry-1', time.now(), 1.0, 1),
            None,
            dispatching.DispatchLimits(),
            time,
            lambda *_: True,
            self.metrics,
        )
        self.addCleanup(self.dispatching.close)

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
