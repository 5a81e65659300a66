"""The connections to every address in use."""

from rosemaryroad import clock as clocks
from rosemaryroad.endpoints import _connections

__all__ = ['Addresses']

# A VM that is replaced comes back under another address; records of the
# old ones would pile up. It also tells how often they are looked through.
FORGET_AFTER_MS = 60_000.0


class Addresses:
    """Keeps the connections of each address apart from the others'.

    Args:
        clock: The clock.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_address: dict[str, _connections.Connections] = {}
        self._retired: set[_connections.Connections] = set()
        self._looked_through_at = clock.now()

    def acquire(self, address: str) -> _connections.Connections:
        """Returns the connections to an address for one request."""
        connections = self._by_address.get(address)
        if connections is not None and self._is_stale(connections):
            self.retire(connections)
            connections = None
        if connections is None:
            connections = _connections.Connections(address)
            self._by_address[address] = connections
        connections.in_use += 1
        return connections

    async def release(self, connections: _connections.Connections) -> None:
        """Gives them back after the request, however it ended."""
        connections.in_use -= 1
        connections.used_at = self._clock.now()
        await self._close_retired()
        await self._forget_unused(connections.used_at)

    def retire(self, connections: _connections.Connections) -> None:
        """Keeps new requests off connections of which one went silent.

        What has lost track of one has mostly lost the others too, and each
        would cost an attempt to find out. Those in use may still bring an
        answer, so they end by themselves.
        """
        if self._by_address.get(connections.address) is connections:
            del self._by_address[connections.address]
            self._retired.add(connections)

    async def forget(self, addresses: tuple[str, ...]) -> None:
        """Closes the connections to addresses that no request uses."""
        unused = [
            self._by_address.pop(address)
            for address in addresses
            if address in self._by_address
            and self._by_address[address].in_use == 0
        ]
        for connections in unused:
            await connections.close()

    async def close(self) -> None:
        """Closes every connection, also those in use."""
        for connections in (*self._by_address.values(), *self._retired):
            await connections.close()
        self._by_address.clear()
        self._retired.clear()

    def _is_stale(self, connections: _connections.Connections) -> bool:
        # The library closes idle connections by a clock that stands still
        # while the VM is suspended. It would use them after hours; what
        # is written on them is lost, as nobody at the other end is left.
        if connections.in_use:
            return False
        idle = self._clock.now() - connections.used_at
        return idle > _connections.IDLE_REUSE_MS

    async def _close_retired(self) -> None:
        unused = [c for c in self._retired if c.in_use == 0]
        self._retired.difference_update(unused)
        for connections in unused:
            await connections.close()

    async def _forget_unused(self, now: float) -> None:
        if now - self._looked_through_at < FORGET_AFTER_MS:
            return
        self._looked_through_at = now
        unused = [
            connections
            for connections in self._by_address.values()
            if connections.in_use == 0
            and now - connections.used_at >= FORGET_AFTER_MS
        ]
        for connections in unused:
            del self._by_address[connections.address]
        for connections in unused:
            await connections.close()
