"""Tests of the report on jobs that were not answered in time."""

import json
import pathlib
import tempfile
import unittest

from typer import testing

from rosemaryroad import cli
from rosemaryroad import logreader
from rosemaryroad import losses
from tests import log_lines

_JOB = 'abcdef0123456789'


class _Lines:
    """The lines of one job whose objective is 380 ms."""

    def __init__(self, job: str = _JOB, at: float = 1.0) -> None:
        self.lines: list[str] = []
        self._job = job
        self._at = at

    def add(
        self, after: float, event: str, vm: str = 'e1', **fields: object
    ) -> '_Lines':
        line = log_lines.line(
            self._at + after, vm, event, request_id=self._job, **fields
        )
        self.lines.append(line)
        return self

    def received(self, **fields: object) -> '_Lines':
        known = {
            'queue': 'q',
            'tasks': 1,
            'cores': 27.0,
            'estimate_ms': 200.0,
            'slack': 1.6,
            'target_ms': 60.0,
        }
        return self.add(0.0, 'job_received', **(known | fields))

    def handed(self, after: float = 0.001, to: str = 'd1') -> '_Lines':
        return self.add(after, 'job_handed', dispatcher=to, sent=True)

    def ordered(self, after: float, attempt: int = 1) -> '_Lines':
        return self.add(
            after,
            'task_ordered',
            'd1',
            task=0,
            attempt=attempt,
            waited_ms=1000.0 * after,
        )

    def ended(
        self, after: float, end: str = 'done', ran_ms: float = 200.0
    ) -> '_Lines':
        return self.add(
            after,
            'task_ended',
            'd1',
            task=0,
            attempt=1,
            end=end,
            ran_ms=ran_ms,
        )

    def settled(self, after: float, end: str, cause: str) -> '_Lines':
        return self.add(after, 'job_settled', 'd1', end=end, cause=cause)

    def answered(
        self, after: float, end: str = 'completed', cause: str = 'settled'
    ) -> '_Lines':
        return self.add(after, 'job_answered', end=end, cause=cause)


def _refused(cause: str) -> list[str]:
    return (
        _Lines()
        .received()
        .handed()
        .settled(0.9, 'not_run', cause)
        .answered(0.9, 'not_run')
        .lines
    )


def _begun() -> _Lines:
    return _Lines().received().handed().ordered(0.002)


_CASES: tuple[tuple[losses.Cause, list[str]], ...] = (
    (
        losses.Cause.VM_STARTING,
        _Lines().add(0.0, 'job_refused', cause='no configuration').lines,
    ),
    (
        losses.Cause.DRAINING,
        _Lines().add(0.0, 'job_refused', cause='about to end').lines,
    ),
    (
        losses.Cause.NOT_SERVED,
        _Lines().add(0.0, 'job_refused', cause='not served: gang').lines,
    ),
    (
        losses.Cause.HOME_LOST,
        [
            *_begun().lines,
            log_lines.line(3.0, 'e1', 'started', failure_domain='z'),
        ],
    ),
    (
        losses.Cause.CLIENT_LEFT,
        _begun().add(0.5, 'job_withdrawn', cause='client left').lines,
    ),
    (losses.Cause.TOO_LARGE, _refused('no worker is large enough; 90 cores')),
    (
        losses.Cause.DOMAIN_DRAINED,
        _refused('all workers that are large enough are drained; 27 cores'),
    ),
    (losses.Cause.REFUSED_WAITING, _refused('waited 900 ms of 2000; 27')),
    (
        losses.Cause.REFUSED_FORECAST,
        _refused('no room in time: chance 0.012, 340 cores ahead'),
    ),
    (losses.Cause.REFUSED_DEADLINE, _refused('100 ms left of 140; 27 cores')),
    (
        losses.Cause.DISPATCHER_ABSENT,
        _Lines()
        .received()
        .handed()
        .handed(0.6, 'd2')
        .ordered(0.7)
        .ended(0.9)
        .answered(0.9)
        .lines,
    ),
    (
        losses.Cause.ORDER_UNANSWERED,
        _begun()
        .add(0.13, 'order_failed', 'd1', order='start', result='unknown')
        .ordered(0.4, 2)
        .ended(0.6)
        .answered(0.6)
        .lines,
    ),
    (
        losses.Cause.ATTEMPT_LAPSED,
        _begun().ordered(1.1, 2).ended(1.3).answered(1.3).lines,
    ),
    (
        losses.Cause.WORKER_FAILED,
        _begun().ended(0.2, 'failed').ordered(0.21, 2).answered(0.5).lines,
    ),
    (
        losses.Cause.WORKER_SLOW,
        _begun()
        .add(0.3, 'task_stopped', 'd1', cause='no progress')
        .answered(0.7)
        .lines,
    ),
    (
        losses.Cause.PREEMPTED,
        _begun()
        .add(0.05, 'task_stopped', 'd1', cause='preempted for job 1')
        .ordered(0.4, 2)
        .ended(0.6)
        .answered(0.6)
        .lines,
    ),
    (
        losses.Cause.NO_ROOM,
        _Lines()
        .received()
        .handed()
        .ordered(0.4)
        .ended(0.6)
        .answered(0.6)
        .lines,
    ),
    (losses.Cause.LONG_RUN, _begun().answered(0.6).lines),
    (
        losses.Cause.UNKNOWN,
        _Lines().received().handed().answered(0.6).lines,
    ),
)


class CauseTest(unittest.TestCase):
    """Each lost job has one cause, which its lines tell."""

    def _find(self, lines: list[str]) -> losses.LossReport:
        return losses.find(logreader.read(lines))

    def test_every_cause_is_told_from_its_lines(self) -> None:
        self.assertEqual(set(losses.Cause), {cause for cause, _ in _CASES})
        for cause, lines in _CASES:
            with self.subTest(cause):
                [loss] = self._find(lines).losses
                self.assertEqual((_JOB, cause), (loss.job, loss.cause))

    def test_a_job_in_time_is_no_loss(self) -> None:
        lines = _begun().ended(0.2).answered(0.2).lines
        report = self._find(lines)
        self.assertEqual((1, ()), (report.jobs, report.losses))

    def test_late_answers_of_use_are_served(self) -> None:
        """The objective is 380 ms; three times that is of some use."""
        for after, is_served in ((0.5, True), (1.2, False)):
            with self.subTest(after):
                lines = _begun().ended(0.2).answered(after).lines
                [loss] = self._find(lines).losses
                self.assertEqual(is_served, loss.is_served)

    def test_the_second_of_two_answers_counts(self) -> None:
        """The first home gave a job up, and its client came again.

        The client got its answer in the end.
        """
        lines = _begun().answered(0.1, 'given_up').lines
        lines += _Lines().add(0.15, 'job_received', 'e2', queue='q').lines
        lines += (
            _Lines()
            .ended(0.3)
            .add(0.3, 'job_answered', 'e2', end='completed')
            .lines
        )
        self.assertEqual((), self._find(lines).losses)

    def test_damaged_lines_are_counted(self) -> None:
        report = self._find([*_begun().lines, 'time=never level=info\n'])
        self.assertEqual((1, 1), (report.jobs, report.skipped))


class GroupTest(unittest.TestCase):
    """Lost jobs are told apart by what they have in common."""

    def setUp(self) -> None:
        lines = [log_lines.line(0.0, 'e1', 'started', failure_domain='zilina')]
        for number in range(20):
            job = _Lines(f'{number:016x}', 1.0 + 0.1 * number)
            job.received(queue='ab'[number % 2], tasks=1 + number)
            after = 0.2 if number < 10 else 1.5
            lines += job.handed().ordered(0.002).ended(0.2).lines
            lines += (
                _Lines(f'{number:016x}', 1.0 + 0.1 * number)
                .answered(after)
                .lines
            )
        self.lines = lines
        self.report = losses.find(logreader.read(lines))

    def _counts(self, by: losses.Dimension) -> dict[str, int]:
        groups = losses.group(self.report, by)
        return {item.value: item.jobs for item in groups}

    def test_by_each_dimension(self) -> None:
        expected = {
            losses.Dimension.QUEUE: {'a': 5, 'b': 5},
            losses.Dimension.DOMAIN: {'zilina': 10},
            losses.Dimension.SECOND: {'1': 10},
            losses.Dimension.SIZE: {'5': 2, '6': 2, '7': 2, '8': 2, '9': 2},
            losses.Dimension.CAUSE: {losses.Cause.LONG_RUN.value: 10},
        }
        for by, counts in expected.items():
            with self.subTest(by):
                self.assertEqual(counts, self._counts(by))

    def test_a_group_names_three_examples_and_its_share(self) -> None:
        [group] = losses.group(self.report, losses.Dimension.DOMAIN)
        self.assertEqual(3, len(group.examples))
        self.assertEqual(10, group.unserved)
        # The larger half of the jobs has more than half of the work.
        self.assertGreater(group.share, 0.5)
        self.assertLess(group.share, 1.0)

    def test_the_tool_prints_tables_json_and_a_page(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / 'all.log'
            page = pathlib.Path(folder) / 'losses.html'
            log.write_text(''.join(self.lines))
            runner = testing.CliRunner()
            shown = runner.invoke(
                cli.app, ['losses', '--by', 'queue', str(log)]
            )
            self.assertEqual(0, shown.exit_code, shown.output)
            self.assertIn('10 of 20 jobs', shown.output)
            told = runner.invoke(
                cli.app,
                ['--output', 'json', 'losses', '--html', str(page), str(log)],
            )
            self.assertEqual(10, json.loads(told.output)['groups'][0]['jobs'])
            self.assertIn('10 of 20 jobs', page.read_text())
