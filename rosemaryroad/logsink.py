"""Log lines to a descriptor that may be slow, without ever waiting for it.

A reader that stops reading fills the pipe; a process that then waits in a
write answers nobody. Lines wait in a bounded buffer in its place, and those
that find it full are dropped and counted.
"""

import collections
import logging
import os

__all__ = ['BoundedHandler']

# About two seconds of lines at the usual load.
MOST_BYTES = 512 * 1024

# Refusals and changes of belief may use the last part as well; by them a
# failure is explained.
_KEPT_FREE_BYTES = 128 * 1024

# The most that a pipe takes whole. A longer write may be cut anywhere, and
# whoever collects the lines of several processes would mix their parts.
_PIPE_BYTES = 4_096

# The buffer is written when so much has gathered, or with the next flush;
# a write for each line would cost more than the line.
_WRITE_BYTES = _PIPE_BYTES


class BoundedHandler(logging.Handler):
    """Buffers lines and writes what the descriptor takes.

    Args:
        descriptor: Where the lines go; it is made non-blocking.
        most_bytes: The most bytes that wait.

    Attributes:
        dropped: Lines that were dropped since the start.
    """

    def __init__(self, descriptor: int, most_bytes: int = MOST_BYTES) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most_bytes = most_bytes
        self._chunks: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._unwritten = 0
        self._told = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Takes a line in, or drops and counts it."""
        try:
            line = (self.format(record) + '\n').encode(errors='replace')
        except Exception:
            self.handleError(record)
            return
        room = self._most_bytes - self._size - len(line)
        if record.levelno < logging.WARNING:
            room -= min(_KEPT_FREE_BYTES, self._most_bytes // 4)
        if room < 0:
            self.dropped += 1
            return
        self._append(line)
        if self._unwritten >= _WRITE_BYTES:
            self.flush()

    def flush(self) -> None:
        """Writes as much as the descriptor takes now."""
        self._unwritten = 0
        while self._chunks:
            data = self._take_chunk()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more. There is no other place to tell.
                self._size = 0
                self._chunks.clear()
                return
            self._size -= written
            if written < len(data):
                self._chunks.appendleft(data[written:])
                return
        self._tell_dropped()

    def _take_chunk(self) -> bytes:
        """Takes whole lines that a pipe takes in one piece or not at all."""
        lines = [self._chunks.popleft()]
        size = len(lines[0])
        while self._chunks and size + len(self._chunks[0]) <= _PIPE_BYTES:
            lines.append(self._chunks.popleft())
            size += len(lines[-1])
        return b''.join(lines)

    def _append(self, line: bytes) -> None:
        self._chunks.append(line)
        self._size += len(line)
        self._unwritten += len(line)

    def _tell_dropped(self) -> None:
        if self.dropped == self._told:
            return
        record = logging.LogRecord(
            __name__,
            logging.WARNING,
            __file__,
            0,
            'log_lines_dropped count=%d',
            (self.dropped - self._told,),
            None,
        )
        self._told = self.dropped
        self._append((self.format(record) + '\n').encode())
