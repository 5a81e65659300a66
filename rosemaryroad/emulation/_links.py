"""Links between emulated entry VMs."""

import asyncio
import collections
import collections.abc
import contextlib

from rosemaryroad import model
from rosemaryroad import peers
from rosemaryroad.emulation import _lives
from rosemaryroad.emulation import _network

_MS_PER_SECOND = 1000.0
_HANDSHAKE_MS = 5.0
_DIAL_TIMEOUT_MS = 400.0
_BACKOFF_MS = 60.0
_MAX_BACKOFF_MS = 500.0


class _Link:
    """Tells one link between two VMs from those before and after it."""


class Fabric:
    """All links of a service.

    Args:
        network: What lies between the VMs.
    """

    def __init__(self, network: _network.Network) -> None:
        self.network = network
        self.links_by_vm: dict[str, EmulatedLinks] = {}

    def vanish(self, vm: str, silently: bool) -> None:
        """Takes out a VM that was killed.

        Args:
            vm: The VM.
            silently: Whether its peers hear nothing of it.
        """
        gone = self.links_by_vm.pop(vm, None)
        if gone is not None and not silently:
            gone.break_off()


class EmulatedLinks:
    """The links of one entry VM.

    Args:
        fabric: All links.
        incarnation: This VM.
        life: This VM's process.
        handler: Who hears what peers tell.
    """

    def __init__(
        self,
        fabric: Fabric,
        incarnation: model.Incarnation,
        life: _lives.Life,
        handler: peers.PeerHandler,
    ) -> None:
        self.incarnation = incarnation
        self.life = life
        self._fabric = fabric
        self._handler = handler
        self._link_by_vm: dict[str, _Link] = {}
        self._hurry_by_vm: dict[str, asyncio.Event] = {}
        self._lost_by_vm: dict[str, asyncio.Event] = collections.defaultdict(
            asyncio.Event
        )

    async def serve(self, host: str, port: int) -> int:
        """Lets peers link to this VM."""
        self._fabric.links_by_vm[self.incarnation.vm] = self
        return port

    def set_peers(
        self, addresses: collections.abc.Mapping[str, model.Address]
    ) -> None:
        """Sets whom to link to."""
        for vm in addresses:
            if vm != self.incarnation.vm and vm not in self._hurry_by_vm:
                self._hurry_by_vm[vm] = asyncio.Event()
                if self.incarnation.vm < vm:
                    self.life.spawn(self._keep(vm))

    def tell(self, vm: str, message: model.JobMessage) -> bool:
        """Sends a peer a message."""
        link = self._link_by_vm.get(vm)
        if link is None:
            return False
        other = self._fabric.links_by_vm.get(vm)
        if other is not None:
            own = self.incarnation.vm
            self._send(other, other.take, own, link, message)
        return True

    def broadcast(
        self,
        make_message: collections.abc.Callable[[str], model.JobMessage],
    ) -> None:
        """Sends each linked peer its message."""
        for vm in list(self._link_by_vm):
            self.tell(vm, make_message(vm))

    def drop(self, vm: str) -> None:
        """Ends the link to a peer."""
        link = self._link_by_vm.get(vm)
        if link is None:
            return
        self.lose(vm, link)
        other = self._fabric.links_by_vm.get(vm)
        if other is not None:
            self._send(other, other.lose, self.incarnation.vm, link)

    def hurry(self, vm: str) -> None:
        """Has a peer dialed soon."""
        hurry = self._hurry_by_vm.get(vm)
        if hurry is not None:
            hurry.set()

    def hurry_all(self) -> None:
        """Has all absent peers dialed soon."""
        for vm in self._hurry_by_vm:
            if vm not in self._link_by_vm:
                self.hurry(vm)

    def linked(self) -> tuple[str, ...]:
        """Returns the peers that a link stands to."""
        return tuple(self._link_by_vm)

    async def close(self) -> None:
        """Ends all links."""
        self._fabric.vanish(self.incarnation.vm, silently=False)

    # What the other ends do.

    def open(self, peer: model.Incarnation, link: _Link) -> None:
        """Takes in that a link to a peer stands."""
        self._link_by_vm[peer.vm] = link
        self._handler.peer_joined(peer.vm, peer)

    def take(self, vm: str, link: _Link, message: model.JobMessage) -> None:
        """Takes in a message, if its link still stands here."""
        if self._link_by_vm.get(vm) is link:
            self._handler.job_message(vm, message)

    def lose(self, vm: str, link: _Link) -> None:
        """Takes in that a link has ended."""
        if self._link_by_vm.get(vm) is link:
            del self._link_by_vm[vm]
            self._lost_by_vm[vm].set()
            self._handler.peer_lost(vm)

    def break_off(self) -> None:
        """Has all peers hear that their links have ended."""
        for vm, link in self._link_by_vm.items():
            other = self._fabric.links_by_vm.get(vm)
            if other is not None:
                self._send(other, other.lose, self.incarnation.vm, link)

    # Parts of the above.

    def _send(
        self,
        other: 'EmulatedLinks',
        deliver: collections.abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        self._fabric.network.send(
            self.incarnation.vm, other.life, deliver, *arguments
        )

    async def _keep(self, vm: str) -> None:
        failures = 0
        while True:
            if await self._dial(vm):
                failures = 0
                await self._lost_by_vm[vm].wait()
            else:
                failures += 1
            await self._pause(vm, failures)

    async def _dial(self, vm: str) -> bool:
        other = self._fabric.links_by_vm.get(vm)
        own = self.incarnation
        if not self._fabric.network.are_joined(own.vm, vm):
            await asyncio.sleep(_DIAL_TIMEOUT_MS / _MS_PER_SECOND)
            return False
        await asyncio.sleep(_HANDSHAKE_MS / _MS_PER_SECOND)
        if other is None or not other.life.is_alive:
            return False
        link = _Link()
        self._lost_by_vm[vm].clear()
        self.open(other.incarnation, link)
        self._send(other, other.open, own, link)
        return True

    async def _pause(self, vm: str, failures: int) -> None:
        pause_ms = min(_MAX_BACKOFF_MS, _BACKOFF_MS * 2**failures)
        hurry = self._hurry_by_vm[vm]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / _MS_PER_SECOND):
                await hurry.wait()
        hurry.clear()
