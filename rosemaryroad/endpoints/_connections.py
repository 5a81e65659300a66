"""The connections to one address."""

import asyncio
import socket

import aiohappyeyeballs
import aiohttp

from rosemaryroad import model

__all__ = ['Connections', 'make_socket']

_MS_PER_SECOND = 1000.0

# A connection that a middlebox has forgotten swallows what is written on
# it; a new one costs a round trip, so none is used that was idle longer.
IDLE_REUSE_MS = 3_000.0

# Bytes that nobody acknowledges fail the connection after this time, in
# place of the kernel's quarter of an hour.
UNACKNOWLEDGED_MS = 5_000

# While an answer is awaited nothing is written, so only probes notice
# that the other end is gone: the first after 2 s, dead after 3 more.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3


class Connections:
    """The connections to one address.

    Args:
        address: ``IP:port``.

    Attributes:
        address: The same.
        session: What sends requests on them.
        cancelling: Held by the one cancellation that may be under way. A
            wave of them, each on a connection of its own, would take the
            connections that the endpoint has for other entry VMs.
        in_use: Requests that use them now.
        used_at: When the last request ended, in milliseconds.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.cancelling = asyncio.Lock()
        self.in_use = 0
        self.used_at = 0.0
        # The number of connections is bounded by the decision on where to
        # start a task. A wait in here would look like a slow endpoint.
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=IDLE_REUSE_MS / _MS_PER_SECOND,
            socket_factory=make_socket,
        )
        self.session = aiohttp.ClientSession(
            f'http://{_bracketed(address)}/',
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Closes every connection, also those in use."""
        await self.session.close()


def _bracketed(address: str) -> str:
    parsed = model.Address.parse(address)
    host = parsed.host.strip('[]')
    return f'[{host}]:{parsed.port}' if ':' in host else address


def make_socket(info: aiohappyeyeballs.AddrInfoType) -> socket.socket:
    """Returns a socket on which a dead path shows within seconds."""
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return sock
