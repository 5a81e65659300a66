"""Tests of the log lines."""

import io
import logging
import pathlib
import re
import unittest

from rosemaryroad import logs

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_IN_CODE = re.compile(r"(?:logs\.(?:event|fault)|\bnote)\([^']*'([a-z_]+)'")
_IN_DOCS = re.compile(
    r'^\| `([a-z_]+)` \| (?:debug|info|warning|error) \|', re.M
)


class LogsTest(unittest.TestCase):
    """One event is one line of key=value pairs."""

    def setUp(self) -> None:
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.handlers.__setitem__, slice(None), handlers)
        self.stream = io.StringIO()
        logs.configure('info', 'entry-1', self.stream)
        self.logger = logging.getLogger('tests.logs')

    def _event(self, event: str, **fields: object) -> None:
        logs.event(self.logger, logging.INFO, event, **fields)

    def test_an_event_with_its_request_id(self) -> None:
        with logs.request_scope('r-1'):
            self._event('settled', tasks=3, wait_ms=1.5)
        expected = (
            'level=info entry_vm=entry-1 event=settled tasks=3 '
            'wait_ms=1.500 request_id=r-1\n'
        )
        self.assertIn(expected, self.stream.getvalue())
        self.assertEqual('', logs.request_id())

    def test_a_value_cannot_forge_a_line(self) -> None:
        """A caller's text with a newline would start a second log line.

        Whoever reads the log then sees an event that never was.
        """
        for break_ in ('\n', '\r\n', '\u2028', '\x85'):
            with self.subTest(repr(break_)):
                text = f'x{break_}event=drained'
                self._event('refused', name=text)
                lines = self.stream.getvalue().splitlines()
                self.assertEqual(1, len(lines))
                self.assertIn('name="x\\', lines[0])
                self.stream.seek(0)
                self.stream.truncate()

    def test_text_cannot_pass_for_an_event(self) -> None:
        """A peer's error text has pairs in it and is logged as it came.

        Whoever searches the log for an event finds one that never was.
        """
        for name in ('rosemaryroad.peers', 'websockets.server'):
            logging.getLogger(name).info('event=drained whole=%s', 'True')
        self._event('peer_refused', cause='x" event=drained')
        first, second, third = self.stream.getvalue().splitlines()
        for line in (first, second):
            self.assertIn(' event=log ', line)
            self.assertIn('message="event=drained whole=True"', line)
        self.assertIn('event=peer_refused cause="x\\" event=', third)

    def test_secrets_are_hidden(self) -> None:
        self._event('refused', team_token='abc', peer_secret='def')
        line = self.stream.getvalue()
        self.assertNotIn('abc', line)
        self.assertNotIn('def', line)

    def test_an_exception_stays_on_its_line(self) -> None:
        try:
            raise ValueError('broken')
        except ValueError:
            self.logger.exception('it failed')
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(1, len(lines))
        self.assertIn('event=log', lines[0])
        self.assertIn('ValueError: broken', lines[0])

    def test_a_fault_is_an_event_with_its_traceback(self) -> None:
        try:
            raise ValueError('broken')
        except ValueError as error:
            logs.fault(self.logger, 'call_fault', vm='entry-2')
            kept = error
        logs.fault(self.logger, 'call_fault', kept)
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(2, len(lines))
        self.assertIn('event=call_fault vm=entry-2', lines[0])
        for line in lines:
            self.assertIn('level=error', line)
            self.assertIn('ValueError: broken', line)

    def test_the_level_holds(self) -> None:
        logs.event(self.logger, logging.DEBUG, 'beat')
        self.assertEqual('', self.stream.getvalue())

    def test_every_event_is_in_the_docs(self) -> None:
        """An event that the page lacks can't be looked up when it matters.

        One that the code no longer has would be waited for in vain.
        """
        found = set()
        for path in (_ROOT / 'rosemaryroad').rglob('*.py'):
            found.update(_IN_CODE.findall(path.read_text()))
        text = (_ROOT / 'docs' / 'log-events.md').read_text()
        listed = _IN_DOCS.findall(text)
        self.assertEqual(sorted(found | {'log'}), sorted(listed))
