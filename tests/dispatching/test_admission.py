"""Tests of refusals by the forecast."""

import unittest

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad.dispatching import _scheduling
from tests.dispatching import case
from tests.dispatching import played_load

_CAUSE = 'no room in time'
_KNOWN_AFTER_MS = 500.0
_PROMPT_MS = 50.0
_SEEDS = range(1, 6)

# A task runs to the end of these tests, beside clients that wait for 2 s.
_LONG_MS = 20_000.0


def _limits(forecast: bool) -> dispatching.DispatchLimits:
    admission = _scheduling.AdmissionPolicy(forecast=forecast)
    scheduling = dispatching.SchedulingPolicy(admission=admission)
    return dispatching.DispatchLimits(scheduling=scheduling)


class _Outcomes:
    """The same loads without and with the forecast.

    Args:
        known_ms: From when on the forecast is known. Earlier refusals count
            among all refused, and nowhere else.
        fields: The load.

    Attributes:
        without: How many jobs are refused without it.
        refused: How many are with it.
        decided: Of these, once the forecast was known.
        prompt: Of these, within 50 ms of the arrival, or of that time.
        on_arrival: Of these, by the forecast.
        needless: Of these, started in time without it.
    """

    def __init__(self, known_ms: float, **fields) -> None:
        self.without = self.refused = self.decided = self.prompt = 0
        self.on_arrival = self.needless = 0
        self._known_ms = known_ms
        for seed in _SEEDS:
            before, after = (
                played_load.PlayedLoad(seed, limits=_limits(on), **fields)
                for on in (False, True)
            )
            before.play()
            after.play()
            pairs = zip(before.jobs.values(), after.jobs.values(), strict=True)
            for one, other in pairs:
                self._count(one, other)

    def _count(self, before, after) -> None:
        was_refused = before.end is model.JobEnd.NOT_RUN
        self.without += was_refused
        if after.end is not model.JobEnd.NOT_RUN:
            return
        self.refused += 1
        if after.ended < self._known_ms:
            return
        self.decided += 1
        if after.ended - max(after.arrived, self._known_ms) > _PROMPT_MS:
            return
        self.prompt += 1
        if after.cause.startswith(_CAUSE):
            self.on_arrival += 1
            self.needless += not was_refused


def _burst(second: float) -> float:
    return 2.5 if 2 < second < 8 else 1.0


_BURSTING = tuple(
    attrs.evolve(kind, load_at=_burst) if kind.queue == 'checks' else kind
    for kind in played_load.KINDS
)


class CriteriaTest(unittest.TestCase):
    """What the forecast promises to callers, on 24 workers.

    Callers used to wait for half their time for a refusal. One that is
    refused at once and would have started in time has lost by the forecast.
    """

    def _check(self, outcomes: _Outcomes) -> None:
        self.assertGreater(outcomes.without, 0)
        with self.subTest('prompt'):
            self.assertGreaterEqual(outcomes.prompt, 0.95 * outcomes.decided)
        with self.subTest('no more in all'):
            self.assertLessEqual(outcomes.refused, outcomes.without)
        with self.subTest('needed'):
            self.assertLessEqual(outcomes.needless, 0.1 * outcomes.on_arrival)

    def test_a_burst_of_the_longest_kind(self) -> None:
        """It comes at 2.5 times its rate, on a third more load."""
        fields = {'load': 1.35, 'seconds': 12.0, 'kinds': _BURSTING}
        self._check(_Outcomes(_KNOWN_AFTER_MS, **fields))

    def test_the_backlog_of_a_new_dispatcher(self) -> None:
        """Nobody has dispatched for 1.5 s."""
        fields = {'load': 1.0, 'seconds': 6.0, 'away': (0.0, 1.5)}
        self._check(_Outcomes(1_500.0 + _KNOWN_AFTER_MS, **fields))


class AdmissionTest(case.DispatcherCase):
    """The only worker is full of long tasks."""

    def setUp(self) -> None:
        super().setUp()
        self.dispatcher = dispatching.JobDispatcher(_limits(True))
        self.add_workers('w1')
        self.take(self.dispatcher.tick(self.now))

    def _fill(self) -> None:
        for number in range(2):
            job = case.make_job(
                f'long-{number}', cores=32.0, estimate_ms=_LONG_MS
            )
            self.submit(job, left_ms=100_000.0)
        for start in self.starts():
            self.answer(start)
        self.pop(dispatching.TellHome)

    def _refusals(self) -> list[dispatching.TellHome]:
        return [
            item
            for item in self.pop(dispatching.TellHome)
            if isinstance(item.message, model.JobSettled)
        ]

    def _refuse(self, job_id: str) -> model.JobSettled:
        self.submit(case.make_job(job_id))
        [told] = self._refusals()
        self.assertTrue(told.cause.startswith(_CAUSE), told.cause)
        return told.message

    def test_a_new_dispatcher_refuses_nothing_at_first(self) -> None:
        """Jobs that would have started are lost to a wrong first picture."""
        self._fill()
        self.pass_time(_KNOWN_AFTER_MS - 30.0)
        self.submit(case.make_job('early'))
        self.assertEqual([], self.settled())
        # One pass over the backlog follows.
        self.pass_time(120.0)
        self.assertEqual([('early', model.JobEnd.NOT_RUN)], self.settled())

    def test_nothing_is_refused_with_half_the_workers_unheard(self) -> None:
        """They may have room that nothing is known of."""
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self._fill()
        self.pass_time(2 * _KNOWN_AFTER_MS)
        self.submit(case.make_job('job'))
        self.assertEqual([], self.settled())

    def test_a_refusal_tells_when_to_come_back_and_why(self) -> None:
        """Callers refused together came back together, and were again."""
        self._fill()
        self.pass_time(_KNOWN_AFTER_MS)
        times = {
            self._refuse(f'job-{number}').retry_after_ms for number in range(4)
        }
        self.assertEqual(4, len(times))
        for retry_ms in times:
            self.assertTrue(200.0 <= retry_ms <= 7_500.0, retry_ms)

    def test_a_job_that_comes_back_when_told_is_let_in(self) -> None:
        """Refused again and again, it would never be served."""
        self._fill()
        self.pass_time(_KNOWN_AFTER_MS)
        self.now += self._refuse('early').retry_after_ms - 1.0
        self._refuse('early')
        retry_ms = self._refuse('job').retry_after_ms
        self.now += retry_ms
        self.take(self.dispatcher.tick(self.now))
        self.report('w1')
        self._fill()
        self.submit(case.make_job('job'))
        self.pass_time(300.0)
        self.assertEqual([], self.settled())

    def test_a_refused_job_never_starts(self) -> None:
        """Its caller was told that it has not run, and sends it elsewhere."""
        self._fill()
        self.pass_time(_KNOWN_AFTER_MS)
        self._refuse('job')
        self.report('w1')
        self.pass_time(3_000.0)
        jobs = {start.task.job for start in self.starts()}
        self.assertNotIn('job', jobs)

    def test_a_job_that_has_begun_is_not_refused(self) -> None:
        """It has run, and calling it "not run" would be false."""
        self._fill()
        self.pass_time(_KNOWN_AFTER_MS)
        self.submit(case.make_job('begun'), attempt=1)
        self.pass_time(300.0)
        self.assertEqual([], self.settled())

    def test_without_the_setting_nothing_is_refused_early(self) -> None:
        self.dispatcher = dispatching.JobDispatcher(_limits(False))
        self.add_workers('w1')
        self._fill()
        self.pass_time(_KNOWN_AFTER_MS)
        self.submit(case.make_job('job'))
        self.pass_time(300.0)
        self.assertEqual([], self.settled())
