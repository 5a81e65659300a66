"""How a server ends kept connections that nobody uses any more.

An HTTP library closes such a connection by a timer. On a loop that was held
up, the timer may run before a request is read that came in time: the
connection is reset, and the caller can't tell whether its work has run.
"""

import asyncio
import collections.abc
import contextlib
import functools
import logging

from rosemaryroad import _background
from rosemaryroad import _connections
from rosemaryroad import _loops
from rosemaryroad import logs

_LOG = logging.getLogger(__name__)

_MAX_INTERVAL_S = 1.0
_LOOKS_PER_LIMIT = 4

# A request's handler begins two turns of the loop after the request is read.
_SETTLE_TURNS = 4


class UnusedConnections:
    """Knows since when no request is being answered on connections."""

    def __init__(self) -> None:
        self._in_use: set[_connections.KeptConnection] = set()
        self._since_s: dict[_connections.KeptConnection, float] = {}

    @contextlib.contextmanager
    def using(
        self, connection: _connections.KeptConnection
    ) -> collections.abc.Iterator[None]:
        """Marks a connection as used while a request is handled."""
        self._in_use.add(connection)
        try:
            yield
        finally:
            self._in_use.discard(connection)
            self._since_s[connection] = _now_s()

    def find(
        self,
        connections: collections.abc.Iterable[_connections.KeptConnection],
        limit_s: float,
    ) -> list[_connections.KeptConnection]:
        """Returns those that have been unused for some time.

        A new connection counts as unused since the first call that names it.

        Args:
            connections: All that are open; the others are forgotten.
            limit_s: How long they have been unused at least.
        """
        now_s = _now_s()
        self._since_s = {
            item: self._unused_since_s(item, now_s) for item in connections
        }
        return [
            item
            for item, since_s in self._since_s.items()
            if now_s - since_s >= limit_s
        ]

    def _unused_since_s(
        self, connection: _connections.KeptConnection, now_s: float
    ) -> float:
        if connection in self._in_use or _connections.has_unsent(connection):
            return now_s
        return self._since_s.get(connection, now_s)


class IdleReaper:
    """Ends unused connections by a reply.

    Args:
        unused: Knows which connections are unused.
        find_open: Returns all open connections.
        reply: What is sent, see ``_connections.refusal``.
        close_ms: How long callers may take to close their ends.
    """

    def __init__(
        self,
        unused: UnusedConnections,
        find_open: collections.abc.Callable[
            [], list[_connections.KeptConnection]
        ],
        reply: bytes,
        close_ms: float,
    ) -> None:
        self._unused = unused
        self._find_open = find_open
        self._reply = reply
        self._close_ms = close_ms
        self._task: asyncio.Task | None = None
        self._ending = _background.BackgroundTasks(
            lambda error: logs.fault(_LOG, 'idle_end_failed', error)
        )

    def start(self, limit_s: float) -> None:
        """Begins to end connections.

        Args:
            limit_s: How long a connection may be unused.
        """
        run = functools.partial(self._run, limit_s)
        self._task = asyncio.create_task(_loops.keep_running(run))

    def close(self) -> None:
        """Ends no more connections."""
        if self._task is not None:
            self._task.cancel()

    async def wait_closed(self) -> None:
        """Waits for the callers whose connections are being ended."""
        await self._ending.wait()

    async def _run(self, limit_s: float) -> None:
        interval_s = min(limit_s / _LOOKS_PER_LIMIT, _MAX_INTERVAL_S)
        while True:
            await asyncio.sleep(interval_s)
            if self._unused.find(self._find_open(), limit_s):
                await self._reap(limit_s)

    async def _reap(self, limit_s: float) -> None:
        # Requests that came while the loop was held up are read and served.
        await _settle()
        with _paused(self._unused.find(self._find_open(), limit_s)) as paused:
            # Requests that were read just before reach their handlers.
            await _settle()
            unused = self._unused.find(self._find_open(), limit_s)
            self._end([item for item in unused if item in paused])

    def _end(self, connections: list[_connections.KeptConnection]) -> None:
        if not connections:
            return
        detached = [_connections.Detached(item) for item in connections]
        closing = _connections.end_idle(detached, self._reply, self._close_ms)
        self._ending.spawn(self._wait_for(closing))

    async def _wait_for(
        self, closing: collections.abc.Awaitable[_connections.IdleEnded]
    ) -> None:
        ended = await closing
        logs.event(
            _LOG,
            logging.INFO,
            'idle_connections_ended',
            idle=ended.count,
            crossed=ended.crossed,
            unclosed=ended.unclosed,
        )


@contextlib.contextmanager
def _paused(
    connections: collections.abc.Iterable[_connections.KeptConnection],
) -> collections.abc.Iterator[set[_connections.KeptConnection]]:
    """Reads nothing from connections meanwhile; yields which they are.

    One that isn't read from at the beginning is left to whoever paused it.
    """
    transports = {
        item: item.transport
        for item in connections
        if item.transport.is_reading()
    }
    for transport in transports.values():
        transport.pause_reading()
    try:
        yield set(transports)
    finally:
        for connection, transport in transports.items():
            # Detached connections read on when their reply is written.
            if connection.transport is transport:
                transport.resume_reading()


async def _settle() -> None:
    for _ in range(_SETTLE_TURNS):
        await asyncio.sleep(0)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
