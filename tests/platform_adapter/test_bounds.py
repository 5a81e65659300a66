"""Tests that a value of another writer does no more than name nothing.

Numbers that no float holds, texts that can't be encoded and rows of odd
shapes come in; each is refused where it is decoded, and the rest holds.
"""

import json
import unittest

from rosemaryroad import _json_values
from rosemaryroad import clock
from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad import platform
from rosemaryroad.platform import _http
from rosemaryroad.platform import _job_bodies
from rosemaryroad.platform import _report_bodies
from rosemaryroad.platform import _row_reader
from rosemaryroad.platform import _store
from tests.platform_adapter import entries

# JSON allows it, and no float holds it.
_HUGE = 10**400
_HALF_PAIR = '\ud800'
_REPORT = {
    'clock_ms': 482_113,
    'running': [['0123456789abcdef.0.0.3', 2, '', 41]],
    'finished': [[58, '0123456789abcdef.0.0.9', 1, 'done', '']],
    'born': 1_700_000_000_123,
}
_STEP = {'count': 2, 'cpu': 27_000, 'mem_mb': 256, 'est_ms': 60}
_JOB = {'spec': 'text', 'steps': [_STEP], 'best_effort': True}


class EntriesTest(unittest.IsolatedAsyncioTestCase):
    """Entries of the store; one kept every VM from learning of any worker."""

    async def asyncSetUp(self) -> None:
        self.adapter = platform.JobPlatformAdapter(
            '127.0.0.1:9', 100.0, 1_000.0, clock.Clock()
        )
        self.addAsyncCleanup(self.adapter.close)

    def _names(self, entry: object) -> list[str]:
        texts = {'bad': json.dumps(entry), 'good': json.dumps(entries.WORKER)}
        rows = {key: platform.Row(key, text, 1) for key, text in texts.items()}
        return [worker.id for worker in self.adapter.read_workers(rows)]

    def test_an_entry_out_of_bounds_hides_no_other(self) -> None:
        """After a loss of all VMs, none knew any worker, nor served."""
        capacity = entries.WORKER['capacity']
        for change in (
            {'warmup_left_ms': _HUGE},
            {'warmup_left_ms': 1e300},
            {'warmup_left_ms': float('nan')},
            {'warmup_left_ms': float('inf')},
            {'capacity': capacity | {'cpu': _HUGE}},
            {'capacity': capacity | {'mem_mb': _HUGE}},
            {'capacity': capacity | {'gpu': _HUGE}},
            {'born': _HUGE},
            {'service': _HALF_PAIR},
            {'zone': _HALF_PAIR},
            {'labels': ['a', _HALF_PAIR]},
            {'address': f'{_HALF_PAIR}:80'},
            {'address': '10.0.0.9:65536'},
            {'address': '10.0.0.9:0'},
            {'address': '10.0.0.9:-1'},
            {'address': '10.0.0.9:' + '9' * 5_000},
            {'address': '10.0.0.9:\u0661\u0662'},
            {'address': '10.0.0.9]:80'},
            {'address': '[fe80::1%a b]:80'},
        ):
            with self.subTest(repr(change)[:60]):
                self.assertEqual(
                    ['good'], self._names(entries.WORKER | change)
                )

    def test_an_id_that_no_call_can_name_hides_no_other(self) -> None:
        """Each call to it failed, with a traceback in the log."""
        text = json.dumps(entries.WORKER)
        for key in ('a\nb', 'a\x00', '\x7f', ' a', 'a\u2028b'):
            rows = {
                name: platform.Row(name, text, 1) for name in (key, 'good')
            }
            with self.subTest(repr(key)):
                found = self.adapter.read_workers(rows)
                self.assertEqual(['good'], [item.id for item in found])

    def test_one_that_is_written_again_is_complained_of_once(self) -> None:
        """Its writer renews it every second, and the log would be full."""
        with self.assertLogs('rosemaryroad', 'WARNING') as logged:
            for sequence in range(5):
                entry = {'address': 'x' * 60_000, 'sequence': sequence}
                text = json.dumps(entries.WORKER | entry)
                rows = {'bad': platform.Row('bad', text, sequence)}
                self.assertEqual((), self.adapter.read_workers(rows))
        [record] = logged.records
        self.assertLess(len(record.getMessage()), 300)

    def test_one_that_was_put_right_is_complained_of_again(self) -> None:
        with self.assertLogs('rosemaryroad', 'WARNING') as logged:
            for state in ('odd', 'ready', 'odd'):
                text = json.dumps(entries.WORKER | {'state': state})
                self.adapter.read_workers({'w': platform.Row('w', text, 1)})
        self.assertEqual(2, len(logged.records))

    def test_a_fault_of_the_decoder_hides_no_other(self) -> None:
        """A kind of damage that nobody thought of comes in."""

        def decode(key: str, text: str) -> str:
            if key == 'bad':
                raise OverflowError(text)
            return key

        reader = _row_reader.RowReader(decode)
        rows = {key: platform.Row(key, '{}', 1) for key in ('bad', 'good')}
        with self.assertLogs('rosemaryroad', 'ERROR') as logged:
            for _ in range(3):
                self.assertEqual(('good',), reader.read(rows))
        self.assertEqual(1, len(logged.records))

    def test_a_route_out_of_bounds_hides_no_other(self) -> None:
        for change in (
            {'priority': _HUGE},
            {'max_attempts': _HUGE},
            {'slack_factor': _HUGE},
            {'target_latency_ms': _HUGE},
            {'host': _HALF_PAIR},
        ):
            routes = [entries.ROUTE | change, entries.ROUTE | {'name': 'r2'}]
            text = json.dumps({'version': 7, 'routes': routes})
            rows = {'config': platform.Row('config', text, 1)}
            with self.subTest(repr(change)[:60]):
                table = self.adapter.read_queues(rows)
                self.assertEqual(['r2'], [item.name for item in table.routes])

    def test_a_version_out_of_bounds_is_no_configuration(self) -> None:
        """No later one would come into force."""
        text = json.dumps({'version': _HUGE, 'routes': [entries.ROUTE]})
        rows = {'config': platform.Row('config', text, 1)}
        self.assertIsNone(self.adapter.read_queues(rows))


class StoreAnswersTest(unittest.TestCase):
    """Rows of the store's answers."""

    def test_a_damaged_row_hides_no_other(self) -> None:
        good = {'key': 'good', 'value': 'e30=', 'schema_version': 3}
        for change in (
            {'key': _HALF_PAIR},
            {'schema_version': _HUGE},
            {'value': 'ő'},
            {'value': 7},
        ):
            body = {'rows': [good | {'key': 'bad'} | change, good]}
            with self.subTest(repr(change)[:60]):
                rows = _store._read_rows(body)
                self.assertIn(platform.Row('good', '{}', 3), rows)
                self.assertNotIn('{}', [row.value for row in rows[:-1]])

    def test_an_answer_that_is_nested_too_deep_counts_as_none(self) -> None:
        """Any other error ends what follows the table."""
        reply = _http.Reply(200, b'[' * 100_000)
        with self.assertRaises(errors.PlatformUnavailable):
            _store._read_body(reply)


class ReportsTest(unittest.TestCase):
    """What minions tell of themselves; a damaged report is none."""

    def _read(self, body: dict) -> model.WorkerReport:
        data = json.dumps(body).encode()
        return _report_bodies.read_report(_report_bodies.read_body(data), 5.0)

    def test_a_sound_report(self) -> None:
        report = self._read(_REPORT)
        [running], [ended] = report.running, report.ended
        self.assertEqual((2, 41.0), (running.attempt, running.percent))
        self.assertEqual((58, 9), (ended.number, ended.task.index))

    def test_a_report_of_no_sense_is_refused_whole(self) -> None:
        """An attempt that it lacks would start again beside itself.

        Any other error than the one that is expected ends what holds the
        minion, which then stays idle for good.
        """
        run, end = _REPORT['running'][0], _REPORT['finished'][0]
        for change in (
            {'clock_ms': _HUGE},
            {'clock_ms': float('nan')},
            {'born': _HUGE},
            {'running': None},
            {'running': [run, 7]},
            {'running': [run, []]},
            {'running': [[7, *run[1:]]]},
            {'running': [[run[0], _HUGE, '', 41]]},
            {'running': [[run[0], 2, '', _HUGE]]},
            {'running': [[run[0], 2, '', float('inf')]]},
            {'finished': [end[:2]]},
            {'finished': [[_HUGE, *end[1:]]]},
            {'finished': [[58, None, 1, 'done', '']]},
            {'finished': [[58, end[1], 1, ['done'], '']]},
        ):
            with (
                self.subTest(repr(change)[:60]),
                self.assertRaises(ValueError),
            ):
                self._read(_REPORT | change)

    def test_a_report_that_is_nested_too_deep_is_none(self) -> None:
        deep = b'[' * 100_000 + b']' * 100_000
        sound = json.dumps(_REPORT).encode()
        for data in (deep, sound[:-1] + b', "more": ' + deep + b'}'):
            body = _report_bodies.read_body(data)
            self.assertRaises(ValueError, _report_bodies.read_report, body, 5)

    def test_a_refusal_of_no_sense_has_no_reason(self) -> None:
        """A list can't be looked up; the order's task waited for good."""
        self.assertEqual('', _report_bodies.read_reason({'reason': ['room']}))


class JobsTest(unittest.TestCase):
    """Jobs of callers."""

    def _read(self, body: dict) -> model.Job:
        terms = model.JobTerms()
        route = model.QueueRoute('r1', 'h', '/p/', 'archive', terms)
        return _job_bodies.read_job('j1', route, json.dumps(body).encode())

    def test_a_job_out_of_bounds_is_malformed(self) -> None:
        """It stayed in its home and kept others from being moved."""
        for job, step in (
            ({'spec': _HALF_PAIR}, {}),
            ({}, {'cpu': _HUGE}),
            ({}, {'mem_mb': _HUGE}),
            ({}, {'est_ms': _HUGE}),
            ({}, {'count': _HUGE}),
            ({}, {'requires': _HALF_PAIR}),
            ({}, {'affinity': _HALF_PAIR}),
        ):
            body = _JOB | {'steps': [_STEP | step]} | job
            with self.subTest(repr((job, step))[:60]):
                self.assertRaises(_job_bodies.Malformed, self._read, body)

    def test_a_job_with_too_many_tasks_is_not_served(self) -> None:
        """A state for each would take the memory of all other jobs."""
        body = _JOB | {'steps': [_STEP | {'count': 10_000_000}]}
        self.assertRaises(_job_bodies.Unserved, self._read, body)


class ValuesTest(unittest.TestCase):
    """The bounds themselves."""

    def test_numbers_up_to_the_bound_are_read(self) -> None:
        for value in (0, 1.5, _json_values.MOST):
            self.assertTrue(_json_values.is_number(value))
        for value in (_json_values.MOST + 1, -1, True, '1', None):
            self.assertFalse(_json_values.is_number(value))
