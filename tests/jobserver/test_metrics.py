"""Tests of what a daemon that serves jobs counts."""

import pathlib
import re
import unittest

from rosemaryroad import model
from rosemaryroad.jobserver import _metrics

_DOCS = pathlib.Path(__file__).resolve().parent.parent.parent / 'docs'


class JobMetricsTest(unittest.TestCase):
    """Every collector is served and stands on the operators' page."""

    def setUp(self) -> None:
        self.metrics = _metrics.JobMetrics('entry-1')
        self.metrics.answered(model.JobEnd.COMPLETED, 120.0)
        self.metrics.answered(model.JobEnd.NOT_RUN, 5.0)
        self.metrics.task_ended(model.TaskEnd.DONE)
        self.metrics.ordered('start', model.OrderResult.UNKNOWN)
        self.metrics.waited(30.0)
        self.metrics.store_called('op', 'answered')
        self.metrics.dispatcher_changed()
        self.metrics.set_jobs(3, 1)
        self.metrics.set_state(7, 4, model.Claim.DEPUTY, 2)

    def test_labels_are_bounded(self) -> None:
        """An id as a label would grow the page without end."""
        text = self.metrics.render()
        found = set(re.findall(r'[{,](\w+)="', text))
        expected = {'vm', 'end', 'order', 'result', 'table', 'outcome', 'le'}
        self.assertEqual(expected, found)

    def test_figures_come_out(self) -> None:
        text = self.metrics.render()
        for line in (
            'rosemaryroad_job_answers_total{end="not_run",vm="entry-1"} 1',
            'rosemaryroad_dispatcher_claim{vm="entry-1"} 1',
            'rosemaryroad_job_seconds_sum{vm="entry-1"} 0.12',
            'rosemaryroad_log_lines_dropped{vm="entry-1"} 2',
        ):
            self.assertIn(line, text)

    def test_every_metric_is_in_the_docs(self) -> None:
        """A metric that the page leaves out is looked at by nobody."""
        shown = re.findall(
            r'^# TYPE rosemaryroad_(\w+)', self.metrics.render(), re.M
        )
        page = (_DOCS / 'OPERATIONS.md').read_text()
        jobs = page[page.index('## The daemon that serves jobs') :]
        rows = re.findall(r'^\| (`.*?) \|', jobs, re.M)
        listed = [name for row in rows for name in re.findall(r'`(\w+)`', row)]
        for name in shown:
            self.assertIn(name, listed)
