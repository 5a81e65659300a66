"""How two entry VMs come to trust a connection between them."""

import asyncio
import hmac
import http
import logging
import socket

from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server
import websockets.http11

from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.peers import _codec
from rosemaryroad.peers import _handler

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0


class HelloRefused(Exception):
    """The other end is not the peer that a link may be opened to."""


class SharedSecret:
    """The secret that all entry VMs have; it reaches no log.

    Raises:
        ValueError: It is empty, or can't stand in a header.
    """

    def __init__(self, secret: str) -> None:
        if not secret.isascii() or not secret.isprintable() or not secret:
            raise ValueError('the shared secret must be printable ASCII')
        self._authorization = f'Bearer {secret}'

    def headers(self) -> dict[str, str]:
        """Returns the request headers that prove it."""
        return {'Authorization': self._authorization}

    def check(
        self,
        connection: server.ServerConnection,
        request: websockets.http11.Request,
    ) -> websockets.http11.Response | None:
        """Refuses a handshake that doesn't prove it.

        Returns:
            The refusal, or None where the handshake may go on.
        """
        given = request.headers.get_all('Authorization')
        # compare_digest takes the same time wherever the texts differ, so
        # that the time of a refusal doesn't tell how much was right.
        if len(given) == 1 and hmac.compare_digest(
            given[0].encode(), self._authorization.encode()
        ):
            return None
        logs.event(
            _LOG,
            logging.WARNING,
            'peer_refused',
            cause='secret',
            remote=connection.remote_address[0],
        )
        return connection.respond(http.HTTPStatus.UNAUTHORIZED, '')


async def connect(
    address: model.Address, limits: _handler.LinkLimits
) -> socket.socket:
    """Connects to a peer.

    Raises:
        OSError: It refused.
        TimeoutError: It gave no answer.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    connected = socket.socket(family, socket.SOCK_STREAM)
    connected.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(limits.open_timeout_ms / _MS_PER_SECOND):
            await loop.sock_connect(connected, (address.host, address.port))
    except BaseException:
        connected.close()
        raise
    return connected


async def send(
    connection: ws_connection.Connection, hello: model.Hello
) -> None:
    """Says who this entry VM is."""
    await connection.send(_codec.encode(hello))


async def receive(
    connection: ws_connection.Connection, limits: _handler.LinkLimits
) -> model.Hello:
    """Hears who is at the other end.

    Raises:
        HelloRefused: Something else came first.
        MalformedMessage: Something came that is no message.
        TimeoutError: Nothing came in time.
    """
    async with asyncio.timeout(limits.open_timeout_ms / _MS_PER_SECOND):
        hello = _codec.decode(await connection.recv())
    if not isinstance(hello, model.Hello):
        raise HelloRefused('no hello came first')
    return hello


def set_user_timeout(
    connection: ws_connection.Connection, limits: _handler.LinkLimits
) -> None:
    """Lets the kernel give up on bytes that the peer never acknowledges.

    A cut swallows what is written. The pings notice this too, but while
    the write buffer is full they wait behind it; the kernel's own timer
    ends the connection in either case.
    """
    raw = connection.transport.get_extra_info('socket')
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(limits.silence_ms)
    )
