"""Addresses for processes that are told where to listen."""

import random
import socket

__all__ = ['free_addresses']

_LOOPBACK = '127.0.0.1'

# Below the range from which the system takes the ports of connections. One
# of those was taken between the choice and the process's start: beside other
# tests, 4 of 90 starts of three daemons ended with "address already in use".
_PORTS = range(12_000, 32_000)


def free_addresses(count: int) -> list[str]:
    """Returns addresses on loopback that nobody listens on just now."""
    held: list[socket.socket] = []
    while len(held) < count:
        candidate = socket.socket()
        try:
            candidate.bind((_LOOPBACK, random.choice(_PORTS)))
        except OSError:
            candidate.close()
        else:
            held.append(candidate)
    addresses = [f'{_LOOPBACK}:{item.getsockname()[1]}' for item in held]
    for item in held:
        item.close()
    return addresses
