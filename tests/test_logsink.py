"""Tests of log lines on a descriptor that may be slow."""

import logging
import os
import select
import unittest
from unittest import mock

from rosemaryroad import logs
from rosemaryroad import logsink


class SinkTest(unittest.TestCase):
    """Lines come whole or are counted as dropped; nothing waits."""

    def setUp(self) -> None:
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.handlers.__setitem__, slice(None), handlers)
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.sink = logsink.BoundedHandler(writer, most_bytes=200_000)
        logs.configure('info', 'entry-1', self.sink)
        self.logger = logging.getLogger('tests.logsink')

    def _log(self, count: int, level: int = logging.INFO) -> None:
        for number in range(count):
            logs.event(self.logger, level, 'job_received', number=number)

    def _read(self) -> str:
        os.set_blocking(self.reader, False)
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 65_536))
            except BlockingIOError:
                return b''.join(parts).decode()
            self.sink.flush()

    def test_lines_come_in_order(self) -> None:
        self._log(500)
        self.sink.flush()
        lines = self._read().splitlines()
        numbers = [line.rpartition('=')[2] for line in lines]
        self.assertEqual([str(number) for number in range(500)], numbers)

    def test_a_reader_that_stops_holds_nobody_up(self) -> None:
        """Whoever collects the logs stops reading.

        A process that waits in a write answers nobody. Lines beyond the
        bound are dropped, and how many is told once somebody reads again.
        """
        self._log(20_000)
        self.assertGreater(self.sink.dropped, 10_000)
        text = self._read()
        self.sink.flush()
        text += self._read()
        whole = [line for line in text.splitlines() if 'event=job_rec' in line]
        self.assertEqual(20_000, len(whole) + self.sink.dropped)
        self.assertIn(f'log_lines_dropped count={self.sink.dropped}', text)

    def test_warnings_have_room_of_their_own(self) -> None:
        """By what comes last a failure is explained."""
        self._log(20_000)
        dropped = self.sink.dropped
        self._log(100, logging.WARNING)
        self.assertEqual(dropped, self.sink.dropped)

    def test_a_pipe_takes_whole_lines(self) -> None:
        """Several processes write into one pipe.

        A line that is cut could be mixed with another process's.
        """
        written = []

        def write(_: int, data: bytes) -> int:
            written.append(data)
            return len(data)

        with mock.patch.object(logsink.os, 'write', write):
            self._log(2_000)
            self.sink.flush()
        self.assertGreater(len(written), 10)
        for piece in written:
            self.assertLessEqual(len(piece), select.PIPE_BUF)
            self.assertTrue(piece.endswith(b'\n'))
            self.assertTrue(piece.startswith(b'time='))

    def test_a_closed_descriptor_is_no_fault(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        sink = logsink.BoundedHandler(writer)
        logs.configure('info', 'entry-1', sink)
        self._log(1_000)
        sink.flush()
        os.close(writer)
