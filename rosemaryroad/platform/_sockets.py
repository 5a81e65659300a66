"""Sockets on which a silent connection is noticed within two seconds."""

import socket
import typing

# A connection may go silent for good while new ones get through; a reader
# that waits for changes on it would miss them until its request times out.
# Probes on a connection that is idle find out, at no request.
_PROBE_AFTER_S = 1
_PROBE_EVERY_S = 1
_PROBES = 1

# Written bytes that stay unacknowledged for longer end the connection.
_UNACKNOWLEDGED_MS = 2_000


def make(address: typing.Any) -> socket.socket:
    """Makes a socket for an address as ``getaddrinfo`` returns it."""
    family, kind, proto, _, _ = address
    made = socket.socket(family, kind, proto)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, _PROBE_EVERY_S),
        (socket.TCP_KEEPCNT, _PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    ):
        made.setsockopt(socket.IPPROTO_TCP, option, value)
    return made
