"""Tests of the story of one job, told from log lines."""

import json
import pathlib
import tempfile
import unittest

from typer import testing

from rosemaryroad import cli
from rosemaryroad import explain
from rosemaryroad import logreader
from tests import log_lines

_JOB = 'abcdef0123456789'


def _of_job(second: float, vm: str, event: str, **fields: object) -> str:
    return log_lines.line(second, vm, event, request_id=_JOB, **fields)


def _whole() -> list[str]:
    return [
        _of_job(1.0, 'e1', 'job_received', queue='q', tasks=1),
        _of_job(1.001, 'e1', 'job_handed', dispatcher='e2', sent=True),
        _of_job(1.002, 'e2', 'task_ordered', task=0, attempt=1, worker='w1'),
        _of_job(1.2, 'e2', 'task_ended', task=0, attempt=1, end='done'),
        _of_job(1.201, 'e2', 'job_settled', end='completed', cause='done'),
        _of_job(1.202, 'e1', 'job_answered', end='completed', took_ms=202.0),
    ]


class ExplainTest(unittest.TestCase):
    """The story is in causal order and names the first fault."""

    def _explain(self, lines: list[str]) -> explain.Explanation:
        return explain.explain(logreader.read(lines), _JOB)

    def test_a_job_without_faults(self) -> None:
        found = self._explain(_whole()[::-1])
        self.assertEqual(
            [
                'job_received',
                'job_handed',
                'task_ordered',
                'task_ended',
                'job_settled',
                'job_answered',
            ],
            [entry.event for entry in found.entries],
        )
        self.assertIsNone(found.first_fault)
        self.assertEqual(
            'answered completed after 202.0 ms: done', found.outcome
        )

    def test_clocks_that_differ(self) -> None:
        """The dispatcher's clock is half a second behind the home's.

        By the times alone its order came before the job.
        """
        lines = [
            _of_job(1.0, 'e1', 'job_received'),
            _of_job(1.001, 'e1', 'job_handed', dispatcher='e2', sent=True),
            _of_job(0.502, 'e2', 'task_ordered', task=0, worker='w1'),
            _of_job(0.6, 'e2', 'order_failed', result='no_room', worker='w1'),
            _of_job(1.6, 'e1', 'job_answered', end='given_up', cause='late'),
        ]
        events = [entry.event for entry in self._explain(lines).entries]
        self.assertEqual(
            [
                'job_received',
                'job_handed',
                'task_ordered',
                'order_failed',
                'job_answered',
            ],
            events,
        )

    def test_the_first_fault_is_the_worker(self) -> None:
        """A task's worker falls silent; its job is answered too late."""
        lines = _whole()[:3] + [
            log_lines.line(
                1.5, 'e2', 'worker_silent', subject='w1', detail='timeout'
            ),
            log_lines.line(
                1.5, 'e2', 'worker_silent', subject='w9', detail='timeout'
            ),
            log_lines.line(
                2.6, 'e2', 'attempts_lost', subject='w1', detail='lapsed'
            ),
            _of_job(3.0, 'e1', 'job_answered', end='given_up', took_ms=2000.0),
        ]
        found = self._explain(lines)
        self.assertEqual('worker_silent', found.first_fault.event)
        self.assertIn('w1', found.first_fault.detail)
        self.assertNotIn('w9', str(found.entries))

    def test_a_refusal_names_its_cause(self) -> None:
        lines = [
            _of_job(1.0, 'e1', 'job_received'),
            _of_job(1.0, 'e1', 'job_handed', dispatcher='e1', sent=True),
            _of_job(
                1.9,
                'e1',
                'job_settled',
                end='not_run',
                cause='waited 900 ms of 2000',
            ),
            _of_job(1.9, 'e1', 'job_answered', end='not_run', took_ms=900.0),
        ]
        found = self._explain(lines)
        self.assertEqual(
            'answered not_run after 900.0 ms: waited 900 ms of 2000',
            found.outcome,
        )
        self.assertEqual('job_settled', found.first_fault.event)

    def test_a_preemption_is_shown_with_its_cause(self) -> None:
        """Its job would seem to have run twice for no reason."""
        lines = _whole()
        stop = {'task': 0, 'attempt': 1, 'cause': 'preempted for job 1'}
        lines[3:3] = [
            _of_job(1.05, 'e2', 'task_stopped', worker='w1', **stop),
            _of_job(1.1, 'e2', 'task_ordered', task=0, attempt=2, worker='w1'),
        ]
        found = self._explain(lines)
        self.assertEqual('task_stopped', found.first_fault.event)
        self.assertIn('preempted for job 1', found.first_fault.detail)

    def test_a_preemption_is_told_for_both_jobs(self) -> None:
        """A task is stopped and nothing failed: its owner asks who came first.

        Preemptions for and of others at the same worker don't belong there.
        """
        lines = _whole()
        for number, (stopped, urgent) in enumerate(
            ((f'{_JOB}/0', 'urgent'), ('long/1', _JOB), ('long/2', 'urgent'))
        ):
            lines.append(
                log_lines.line(
                    1.1 + number / 100,
                    'e2',
                    'task_preempted',
                    subject='w1',
                    detail=f'{stopped} attempt 1 at 3 % after 30 of 900 ms,'
                    f' for job {urgent}',
                )
            )
        found = [
            entry.detail
            for entry in self._explain(lines).entries
            if entry.event == 'task_preempted'
        ]
        self.assertEqual(2, len(found))
        self.assertIn(f'{_JOB}/0 attempt 1 at 3 %', found[0])
        self.assertIn(f'for job {_JOB}', found[1])

    def test_a_home_that_died_leaves_no_end(self) -> None:
        found = self._explain(_whole()[:3])
        self.assertIn('no end is logged', found.outcome)

    def test_damaged_lines_are_skipped_and_counted(self) -> None:
        """Logs are cut in half, mixed, and of other programs."""
        whole = _whole()
        lines = [
            *whole,
            whole[0][:40],
            whole[0][:70] + whole[1],
            'Started some.service\n',
            '\n',
            whole[0].replace('2026-03-04', '2026-99-99'),
            '\x00\xff nonsense \n',
        ]
        reading = logreader.read(lines)
        # The second half of the mixed line is whole.
        self.assertEqual(7, len(reading.lines))
        self.assertEqual(5, reading.skipped)
        prefixed = logreader.read([f'12.5 e1 {line}' for line in whole])
        self.assertEqual(6, len(prefixed.lines))

    def test_the_command_reads_several_files(self) -> None:
        runner = testing.CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, lines in (('a', _whole()[:2]), ('b', _whole()[2:])):
                path = pathlib.Path(folder) / name
                path.write_text(''.join(lines))
                paths.append(str(path))
            arguments = ['--output', 'json', 'explain', _JOB, *paths]
            result = runner.invoke(cli.app, arguments)
            self.assertEqual(0, result.exit_code, result.output)
            found = json.loads(result.output)
            self.assertEqual(6, len(found['entries']))
            shown = runner.invoke(cli.app, ['explain', _JOB, *paths])
            self.assertIn('outcome: answered completed', shown.output)
            missing = runner.invoke(cli.app, ['explain', 'other', *paths])
            self.assertEqual(1, missing.exit_code)
