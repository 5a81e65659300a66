"""Tests of the soak: its checks can fail, and a few seeds pass."""

import asyncio
import types
import unittest

from soak import checks
from soak import clients
from soak import plan
from soak import run
from soak import world as world_module
from tests.standins import job_minion

# Short seeds for each run of the suite; longer ones are run by hand.
_SHAPE = plan.Shape(daemons=3, workers=6, seconds=4.0)
_SEEDS = (7, 8)


def _run(task: str, began: float, ended: float | None, end: str = 'done'):
    return job_minion.Run(task, 1, began, 40.0, ended, end)


class PlanTest(unittest.TestCase):
    """A seed always plays the same."""

    def test_a_seed_gives_the_same_faults(self) -> None:
        for seed in range(20):
            one, other = (plan.draw(seed, _SHAPE) for _ in range(2))
            self.assertEqual(one, other)

    def test_every_kind_comes(self) -> None:
        found = {
            fault.kind
            for seed in range(40)
            for fault in plan.draw(seed, plan.Shape())
        }
        self.assertEqual(set(plan.Kind), found)


class ChecksTest(unittest.TestCase):
    """Each promise is found broken when it is."""

    def setUp(self) -> None:
        self.worker = types.SimpleNamespace(runs=[], running=list)
        self.daemon = types.SimpleNamespace(number=0, ended=[], all_lines=list)
        self.world = types.SimpleNamespace(
            workers=[self.worker], gone=[], daemons=[self.daemon]
        )
        self.asked = [clients.Asked('j1', 1)]
        self.faults: list[plan.Fault] = []

    def _broken(self) -> list[str]:
        found = checks.judge(self.world, self.asked, self.faults, 0.0)
        return [item.promise for item in found]

    def _answer(self, status: int, state: str = '') -> clients.Try:
        answer = clients.Try(0, 1.0, 2.0, status, state)
        self.asked[0].tries.append(answer)
        return answer

    def test_a_sound_job(self) -> None:
        self.worker.runs.append(_run('j1.0.0.0', 1.0, 1.1))
        self._answer(200, 'completed')
        self.assertEqual([], self._broken())

    def test_two_runs_at_a_time(self) -> None:
        other = types.SimpleNamespace(runs=[_run('j1.0.0.0', 1.05, 1.2)])
        self.worker.runs.append(_run('j1.0.0.0', 1.0, 1.1))
        self.world.gone.append(other)
        self.assertEqual(['no task runs twice at a time'], self._broken())

    def test_a_completed_job_without_a_run(self) -> None:
        self._answer(200, 'completed')
        self.assertEqual(['a completed job is whole'], self._broken())

    def test_a_refused_job_that_has_run(self) -> None:
        self.worker.runs.append(_run('j1.0.0.0', 1.0, 1.1))
        self._answer(503)
        self.assertEqual(['what was refused has not run'], self._broken())

    def test_a_job_that_nobody_sent(self) -> None:
        self.worker.runs.append(_run('other.0.0.0', 1.0, 1.1))
        self._answer(503)
        self.assertEqual(['only what was asked for runs'], self._broken())

    def test_a_daemon_that_ends_by_itself(self) -> None:
        self.daemon.ended.append(world_module.Ended(0, 1.5, 1, None, 0.0))
        self._answer(503)
        self.assertEqual(['no daemon ends by itself'], self._broken())

    def test_an_internal_fault(self) -> None:
        self.daemon.all_lines = lambda: ['level=error event=claim_failed']
        self._answer(503)
        self.assertEqual(['no internal fault'], self._broken())

    def test_a_leave_that_cuts_a_client_off(self) -> None:
        self._let_leave()
        self.assertEqual(['a daemon leaves without harm'], self._broken())

    def test_a_cut_beside_other_faults_does_not_count(self) -> None:
        self._let_leave()
        self.faults.append(plan.Fault(0.0, 1.0, plan.Kind.CUT))
        self.assertEqual([], self._broken())

    def test_what_still_runs_in_the_end(self) -> None:
        self.worker.running = lambda: [_run('j1.0.0.0', 1.0, None)]
        self.assertEqual(1, len(checks.nothing_runs(self.world)))

    def test_jobs_that_are_not_served_after_the_faults(self) -> None:
        self._answer(504)
        self.assertEqual(1, len(checks.served(self.asked)))

    def _let_leave(self) -> None:
        told = world_module.signal.SIGTERM
        self.daemon.ended.append(world_module.Ended(0, 2.0, 0, told, 1.5))
        self.faults.append(plan.Fault(1.5, 0.5, plan.Kind.LEAVE))
        self._answer(0)


class SeedsTest(unittest.TestCase):
    """Daemons under faults that overlap keep what they promise."""

    def test_short_seeds(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed):
                outcome = asyncio.run(run.play(seed, _SHAPE))
                self.assertEqual([], outcome.broken)
                self.assertGreater(outcome.completed, 0)
