"""Tests of status, drain and the burn report."""

import json

from rosemaryroad import decisions
from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad import structure
from tests import cli_case

_NOBODY = '127.0.0.1:1'

# The plotting library alone is larger than this.
_LIBRARY_CHARS = 1_000_000


def _burn(answers: int, late: int) -> dict:
    refused = decisions.CodeCount(errors.ResultCode.QUEUE_FULL, 1)
    window = decisions.WindowBurn(
        window='5m', answers=answers, late=late, bad_by_code=(refused,)
    )
    objective = model.Objective(target=0.9)
    service = decisions.ServiceBurn('clips<', objective, (window,))
    return structure.unstructure(decisions.BurnSnapshot((service,)))


def _status(vm: str) -> dict:
    view = {
        'service': 'clips',
        'waiting': 5,
        'outstanding': 4,
        'window': 36,
        'endpoints': [{'state': 'serving'}, {'state': 'quarantined'}],
    }
    return {
        'vm': vm,
        'failure_domain': 'palermo',
        'draining': vm == 'entry-2',
        'head': 9,
        'peers': [{'heard': True}, {'heard': False}],
        'services': [{'view': view, 'version': 3}],
    }


def _scheduling(waiting: int) -> dict:
    drained = dispatching.RefusalCause.DRAINED
    queue = dispatching.QueueView(waiting, 27.0, {drained: 1}, 1, 150.0)
    share = dispatching.ShareView(1.0, 27.0, 0.125 * waiting - 0.0625, True)
    return structure.unstructure(
        dispatching.SchedulingView(
            100.0,
            0.0,
            dispatching.SharingKey.RACK,
            {'q': queue},
            {'rack-1': share},
        )
    )


class OperationsTest(cli_case.CliCase):
    """Reports come from all entry VMs and name those that are missing."""

    def setUp(self) -> None:
        super().setUp()
        for entry in (self.first, self.second):
            entry.replies['GET status'] = _status(entry.vm)
        self.first.replies['GET burn'] = _burn(10, 1)
        self.second.replies['GET burn'] = _burn(30, 1)
        self.all = (self.first.address, _NOBODY, self.second.address)

    def test_status_names_who_is_not_reached(self) -> None:
        done = self.run_well('status', addresses=self.all)
        for text in ('serving', 'draining', '1/2', '36', '1 quarantined'):
            self.assertIn(text, done.stdout)
        self.assertIn(f'not reached: {_NOBODY}', done.stdout)

    def test_nobody_reached_is_a_failure(self) -> None:
        for command in (('status',), ('report', 'burn')):
            with self.subTest(command):
                done = self.run_tool(*command, addresses=(_NOBODY,))
                self.assertEqual(16, done.exit_code)

    def test_burn_adds_up_and_names_who_is_missing(self) -> None:
        """One of the entry VMs can't be reached as the report is made.

        Its answers are missing from the sums. Without a word of it the
        operator would take the rest for the whole.
        """
        command = ('--output', 'json', 'report', 'burn')
        done = self.run_tool(*command, addresses=self.all)
        shown = json.loads(done.stdout)
        row = shown['rows'][0]
        counts = [row[key] for key in ('answers', 'bad', 'late', 'refused')]
        self.assertEqual([40, 4, 2, 2], counts)
        self.assertAlmostEqual(1.0, row['rate'])
        self.assertEqual(['2001 queue_full: 2'], row['by_code'])
        self.assertEqual(_NOBODY, shown['not_reached'][0]['address'])

    def test_burn_page_stands_alone(self) -> None:
        page = self.folder / 'burn.html'
        command = ('report', 'burn', '--html', str(page))
        self.run_well(*command, addresses=self.all)
        text = page.read_text()
        self.assertIn('Plotly', text)
        # Nothing is loaded from elsewhere, and names are no markup.
        self.assertNotRegex(text, r'<script[^>]*\ssrc=')
        self.assertGreater(len(text), _LIBRARY_CHARS)
        self.assertRegex(text, r'clips(&|\\u0026)lt;:')
        self.assertIn(f'Not reached:</strong> {_NOBODY}', text)

    def test_drains_shows_what_each_entry_vm_knows(self) -> None:
        """One that hasn't heard of a drain yet doesn't show it."""
        drained = {'failure_domain': 'szeged', 'age_ms': 12_345.0}
        self.first.replies['GET drains'] = {'drains': [drained]}
        self.second.replies['GET drains'] = {'drains': []}
        done = self.run_well('drains', addresses=self.all)
        self.assertIn('szeged', done.stdout)
        self.assertIn('12.3', done.stdout)
        self.assertIn(f'not reached: {_NOBODY}', done.stdout)
        self.assertNotIn(self.second.address, done.stdout)

    def test_scheduling_adds_up_what_all_dispatchers_do(self) -> None:
        """Each cell has its own dispatcher, on another entry VM."""
        for entry, waiting in ((self.first, 3), (self.second, 4)):
            entry.replies['GET scheduling'] = _scheduling(waiting)
        done = self.run_well('scheduling', addresses=self.all)
        self.assertRegex(done.stdout, r'\bq +7 +54.0 +2 drained +2 +150 *\n')
        self.assertIn('54.0 of 200.0 cores in use', done.stdout)
        self.assertRegex(done.stdout, r'rack-1 +54.0 +37.5% +yes')
        self.assertIn(f'not reached: {_NOBODY}', done.stdout)

    def test_scheduling_as_json(self) -> None:
        self.first.replies['GET scheduling'] = _scheduling(3)
        done = self.run_well('--output', 'json', 'scheduling')
        shown = json.loads(done.stdout)
        queue = shown['queue_by_name']['q']
        self.assertEqual({'drained': 1}, queue['refusals_by_cause'])
        self.assertEqual([self.first.address], shown['reached'])

    def test_drain_takes_one_address(self) -> None:
        self.first.replies['POST drain'] = {'state': 'draining'}
        done = self.run_tool('drain')
        self.assertEqual('draining\n', done.stdout)
        done = self.run_tool('drain', addresses=self.all)
        self.assertEqual(2, done.exit_code)
