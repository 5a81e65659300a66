"""Addresses for processes that are told where to listen."""

import collections
import random
import socket

__all__ = ['free_addresses']

_LOOPBACK = '127.0.0.1'

# Below the range from which the system takes the ports of connections. One
# of those was taken between the choice and the process's start: beside other
# tests, 4 of 90 starts of three daemons ended with "address already in use".
_PORTS = range(12_000, 32_000)

# Nobody listens yet on what was chosen for the other processes of a
# deployment; more ports than one of those needs.
_given: collections.deque[int] = collections.deque(maxlen=1_000)


def free_addresses(count: int) -> list[str]:
    """Returns addresses on loopback that nobody listens on just now.

    None of the last thousand is returned again.
    """
    held: list[socket.socket] = []
    while len(held) < count:
        port = random.choice(_PORTS)
        if port in _given:
            continue
        candidate = socket.socket()
        try:
            candidate.bind((_LOOPBACK, port))
        except OSError:
            candidate.close()
        else:
            _given.append(port)
            held.append(candidate)
    addresses = [f'{_LOOPBACK}:{item.getsockname()[1]}' for item in held]
    for item in held:
        item.close()
    return addresses
