"""Tests of the daemon's metrics."""

import pathlib
import re
import unittest

from rosemaryroad import errors
from rosemaryroad import metrics

_DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'


class MetricsTest(unittest.TestCase):
    """Each method shows in the text that monitoring reads."""

    def setUp(self) -> None:
        self.metrics = metrics.Metrics('entry-1')

    def test_counters(self) -> None:
        self.metrics.submission_arrived('clips', 3)
        self.metrics.submission_arrived('clips', 4)
        self.metrics.answered('clips', errors.ResultCode.QUEUE_FULL, 1.0)
        self.metrics.attempt_ended('clips', metrics.AttemptEnd.UNKNOWN)
        self.metrics.forwarded()
        sent = metrics.Direction.SENT
        self.metrics.set_peer_messages('heartbeat', sent, 1, 120)
        attempt_labels = 'end="unknown",service="clips",vm="entry-1"'
        bytes_labels = 'direction="sent",kind="heartbeat",vm="entry-1"'
        for name, labels, value in (
            ('submissions_total', 'service="clips",vm="entry-1"', 2),
            ('submitted_tasks_total', 'service="clips",vm="entry-1"', 7),
            ('answers_total', 'code="2001",service="clips",vm="entry-1"', 1),
            ('attempts_total', attempt_labels, 1),
            ('forwards_total', 'vm="entry-1"', 1),
            ('peer_message_bytes_total', bytes_labels, 120),
        ):
            with self.subTest(name):
                line = f'rosemaryroad_{name}{{{labels}}} {value}'
                self.assertIn(line, self._lines())

    def test_histograms_are_in_seconds_and_cumulative(self) -> None:
        ok = errors.ResultCode.OK
        self.metrics.answered('clips', ok, 310.0, 10.0)
        self.metrics.answered('clips', ok, 60.0, 0.0)
        name = 'rosemaryroad_response_seconds'
        labels = 'service="clips",vm="entry-1"'
        for bound, count in (('0.05', 0), ('0.3', 1), ('0.5', 2), ('+Inf', 2)):
            with self.subTest(bound):
                line = f'{name}_bucket{{le="{bound}",{labels}}} {count}.0'
                self.assertIn(line, self._lines())
        self.assertIn(f'{name}_sum{{{labels}}} 0.37', self._lines())

    def test_gauges(self) -> None:
        self.metrics.set_load(metrics.ServiceLoad('clips', 5, 4, 3, 2, 1))
        numbers = {'peers_heard': 2, 'head': 9, 'sessions': 4}
        self.metrics.set_state(draining=True, **numbers)
        lines = self._lines()
        names = ('queued', 'outstanding', 'window', 'endpoints', 'quarantined')
        for name, value in zip(names, (5, 4, 3, 2, 1), strict=True):
            labels = '{service="clips",vm="entry-1"}'
            line = f'rosemaryroad_service_{name}{labels} {value}'
            self.assertIn(line, lines)
        self.assertIn('rosemaryroad_draining{vm="entry-1"} 1', lines)
        self.assertIn('rosemaryroad_documents_head{vm="entry-1"} 9', lines)

    def test_two_daemons_in_one_process_stay_apart(self) -> None:
        self.metrics.forwarded()
        other = metrics.Metrics('entry-2').render().body.decode()
        self.assertNotIn('rosemaryroad_forwards_total{', other)

    def test_every_metric_is_in_the_docs(self) -> None:
        self.metrics.submission_arrived('clips', 1)
        self.metrics.answered('clips', errors.ResultCode.OK, 1.0, 1.0)
        self.metrics.attempt_ended('clips', metrics.AttemptEnd.UNKNOWN)
        self.metrics.forwarded()
        sent = metrics.Direction.SENT
        self.metrics.set_peer_messages('heartbeat', sent, 1, 1)
        self.metrics.set_load(metrics.ServiceLoad('clips', 5, 4, 3, 2, 1))
        numbers = {'peers_heard': 0, 'head': 0, 'sessions': 0}
        self.metrics.set_state(draining=False, **numbers)
        shown = re.findall(r'^# TYPE (\w+)', self._text(), re.MULTILINE)
        text = (_DOCS / 'OPERATIONS.md').read_text()
        listed = re.findall(r'^\| `(rosemaryroad_\w+)`', text, re.MULTILINE)
        self.assertEqual(sorted(shown), sorted(listed))

    def _text(self) -> str:
        return self.metrics.render().body.decode()

    def _lines(self) -> list[str]:
        return self._text().splitlines()
