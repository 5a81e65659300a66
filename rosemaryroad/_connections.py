"""How a server ends its HTTP connections.

A caller may keep its connection open and send its next request at any moment,
also after whoever answers on it has gone. It would then hear nothing until
the process ends, and couldn't tell whether its work has run. So each
connection is ended by a reply.
"""

import asyncio
import collections.abc
import logging
import select
import socket
import typing

import attrs

from rosemaryroad import logs

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

# A connection that was accepted is served some turns of the loop later.
_QUIET_TURNS = 4

# Callers who connect all the time must not keep a daemon from ending.
_MOST_TURNS = 1_000


class Connection(typing.Protocol):
    """What serves a connection.

    Attributes:
        transport: The connection, or None once it is lost.
    """

    transport: asyncio.Transport | None


class KeptConnection(Connection, typing.Protocol):
    """What serves a connection that is kept between requests."""

    def connection_lost(self, error: Exception | None) -> None:
        """Takes in that the connection is closed."""


class Detached:
    """A connection that its server takes for closed.

    A request that was read, and that no handler has got yet, never runs.

    Args:
        connection: What serves it.

    Attributes:
        transport: The connection.
    """

    def __init__(self, connection: KeptConnection) -> None:
        self.transport = connection.transport
        # Servers close the transport of a connection that they lose.
        connection.transport = None
        connection.connection_lost(None)


@attrs.frozen
class IdleEnded:
    """How idle connections have ended.

    Attributes:
        count: How many there were.
        crossed: On how many a request came that the reply has crossed.
        unclosed: How many callers had not closed their ends in time.
    """

    count: int = 0
    crossed: int = 0
    unclosed: int = 0


def is_open(connection: Connection) -> bool:
    """Tells whether more may be read and written."""
    transport = connection.transport
    return transport is not None and not transport.is_closing()


def has_unsent(connection: Connection) -> bool:
    """Tells whether part of an answer has yet to leave."""
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0


def refusal(
    headers: collections.abc.Mapping[str, str], body: bytes = b''
) -> bytes:
    """Returns a reply by which a connection is ended.

    A request that crosses it hasn't been read, and never runs.

    Args:
        headers: When to come again, and what the body is.
        body: The body.
    """
    lines = [
        'HTTP/1.1 503 Service Unavailable',
        'Connection: close',
        f'Content-Length: {len(body)}',
        *(f'{name}: {value}' for name, value in headers.items()),
    ]
    head = '\r\n'.join((*lines, '', ''))
    return head.encode() + body


async def accept_waiting(listener: socket.socket) -> None:
    """Has the loop accept what the kernel holds for a listener.

    Closed with a listener that still holds them, connections are reset with
    what their callers have sent. The listener has to be closed before the loop
    has another turn.
    """
    poll = select.poll()
    poll.register(listener.fileno(), select.POLLIN)
    quiet = 0
    for _ in range(_MOST_TURNS):
        quiet = 0 if poll.poll(0) else quiet + 1
        if quiet > _QUIET_TURNS:
            return
        await asyncio.sleep(0)


def end_idle(
    connections: collections.abc.Iterable[Connection],
    reply: bytes,
    limit_ms: float,
    answered: collections.abc.Iterable[Connection] = (),
) -> collections.abc.Coroutine[typing.Any, typing.Any, IdleEnded]:
    """Ends connections on which nothing is being answered.

    What serves them reads no more; it isn't told that they are closed. The
    replies are sent before this returns: a turn of the loop later, a request
    that has come meanwhile may have its answer already.

    Args:
        connections: The connections, all of them open.
        reply: What each of them is sent, see ``refusal``.
        limit_ms: How long to wait for callers to close their ends.
        answered: Others, whose last answers have been sent already. They are
            ended without a reply, and count only where they stay unclosed.

    Returns:
        Waits for that, and tells how the connections have ended.
    """
    connections = list(connections)
    idle = list(_begin_to_end(connections, reply))
    silent = list(_begin_to_end(answered, b''))
    return _end(idle, silent, len(connections), limit_ms)


async def _end(
    idle: list['_Ending'], silent: list['_Ending'], count: int, limit_ms: float
) -> IdleEnded:
    ending = idle + silent
    if not ending:
        return IdleEnded(count)
    _, still_open = await asyncio.wait(
        [item.closed for item in ending], timeout=limit_ms / _MS_PER_SECOND
    )
    for item in ending:
        item.transport.abort()
    crossed = sum(item.has_read for item in idle)
    return IdleEnded(count, crossed, len(still_open))


def _begin_to_end(
    connections: collections.abc.Iterable[Connection], reply: bytes
) -> collections.abc.Iterator['_Ending']:
    for connection in connections:
        try:
            yield _Ending(connection.transport, reply)
        except (OSError, RuntimeError) as error:
            # The other end has reset it, for one. All others have to be sent
            # their replies.
            logs.event(
                _LOG, logging.INFO, 'connection_lost_at_end', cause=error
            )
            connection.transport.abort()


class _Ending(asyncio.Protocol):
    """A connection that gets its last reply.

    Reading goes on until the other end has closed. Closed with unread bytes,
    the connection would be reset, and the reply lost on its way.

    Attributes:
        transport: The connection.
        closed: Done once it is closed.
        has_read: Whether anything came after the reply was written.
    """

    def __init__(self, transport: asyncio.Transport, reply: bytes) -> None:
        self.transport = transport
        self.closed = asyncio.get_running_loop().create_future()
        self.has_read = False
        transport.set_protocol(self)
        # Servers stop reading while they handle a request.
        transport.resume_reading()
        if reply:
            transport.write(reply)
        transport.write_eof()

    def data_received(self, data: bytes) -> None:
        """Drops what the last reply has answered already."""
        self.has_read = True

    def connection_lost(self, error: Exception | None) -> None:
        """Takes in that the connection is closed."""
        if not self.closed.done():
            self.closed.set_result(None)
