"""A kept connection to a daemon, used as a careful HTTP client uses it."""

import asyncio
import http.client
import io
import select
import time

import attrs

_END_OF_HEAD = b'\r\n\r\n'


@attrs.frozen
class Answer:
    """A whole HTTP answer.

    Attributes:
        status: Its status.
        is_last: Whether the server said that it ends the connection.
        body: Its body.
    """

    status: int
    is_last: bool
    body: bytes


@attrs.frozen
class NoAnswer:
    """The connection ended before a whole answer.

    Attributes:
        at: When, by the monotonic clock.
        cause: How it ended.
    """

    at: float
    cause: str


class KeptConnection:
    """Sends one request after another and reads the answers.

    It reads all the time, so that it notices an end before the next request.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._readable = select.poll()
        self._readable.register(
            writer.get_extra_info('socket').fileno(), select.POLLIN
        )
        self._next = asyncio.create_task(_read_answer(reader))

    @classmethod
    async def open(cls, address: str) -> 'KeptConnection':
        """Connects to ``IP:port``.

        Raises:
            ConnectionError: Nobody listens there.
        """
        host, _, port = address.rpartition(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    @property
    def may_send(self) -> bool:
        """Whether neither the end has come nor an answer that isn't read.

        What the kernel has received counts though it has not been read.
        After an answer with ``Connection: close`` nothing may be sent.
        """
        if self._next.done() or self._writer.is_closing():
            return False
        return not self._readable.poll(0)

    def send(self, data: bytes) -> None:
        """Writes a request, or a part of one."""
        self._writer.write(data)

    async def answer(self) -> Answer | NoAnswer:
        """Returns the answer to the request that was sent last."""
        answer = await self._next
        if isinstance(answer, Answer) and not answer.is_last:
            self._next = asyncio.create_task(_read_answer(self._reader))
        return answer

    async def close(self) -> None:
        """Ends the connection, in whatever state it is."""
        self._next.cancel()
        await asyncio.wait([self._next])
        self._writer.transport.abort()


async def _read_answer(reader: asyncio.StreamReader) -> Answer | NoAnswer:
    try:
        head = await reader.readuntil(_END_OF_HEAD)
        status_line, _, fields = head.partition(b'\r\n')
        headers = http.client.parse_headers(io.BytesIO(fields))
        body = await reader.readexactly(int(headers['Content-Length']))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return NoAnswer(time.monotonic(), repr(error))
    is_last = headers.get('Connection', '').lower() == 'close'
    return Answer(int(status_line.split()[1]), is_last, body)
