"""Which links stand to which peer, and which of them is used."""

import asyncio
import logging

from rosemaryroad import clock as clock_module
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.peers import _handler
from rosemaryroad.peers import _link

_LOG = logging.getLogger(__name__)


class LinkTable:
    """The open links by VM; only those of one incarnation for each VM."""

    def __init__(
        self, handler: _handler.PeerHandler, clock: clock_module.Clock
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._joined_by_vm: dict[str, float] = {}
        self._links_by_vm: dict[str, list[_link.Link]] = {}
        self._unlinked_by_vm: dict[str, asyncio.Event] = {}
        self._is_closed = False

    async def run(self, link: _link.Link) -> None:
        """Keeps a link in the table for as long as it is open."""
        if self._is_closed or self.is_stale(link.incarnation):
            # While the hello on this link was being answered, the table was
            # closed, or a newer life of the peer said hello.
            link.abort()
            return
        try:
            self._add(link)
            await link.run()
        finally:
            self._remove(link)

    def current(self, vm: str) -> _link.Link:
        """Returns the link to use for a peer, the one opened last.

        Raises:
            errors.PeerUnreachable: There is none.
        """
        links = self._links_by_vm.get(vm)
        if not links:
            raise errors.PeerUnreachable(f'there is no link to {vm}')
        return links[-1]

    def all_current(self) -> tuple[_link.Link, ...]:
        """Returns the link to use for each peer that has one."""
        return tuple(links[-1] for links in self._links_by_vm.values())

    def incarnation_of(self, vm: str) -> model.Incarnation | None:
        """Returns who is at the other end, or None without a link."""
        links = self._links_by_vm.get(vm)
        return links[-1].incarnation if links else None

    def is_linked(self, vm: str) -> bool:
        """Tells whether a link to the peer stands."""
        return vm in self._links_by_vm

    def is_stale(self, incarnation: model.Incarnation) -> bool:
        """Tells whether a newer life of the same VM is linked."""
        known = self.incarnation_of(incarnation.vm)
        return known is not None and known.started > incarnation.started

    async def wait_unlinked(self, vm: str) -> None:
        """Returns as soon as no link to the peer stands."""
        if vm in self._links_by_vm:
            event = self._unlinked_by_vm.setdefault(vm, asyncio.Event())
            await event.wait()

    def drop(self, vm: str) -> None:
        """Ends all links to a peer."""
        links = list(self._links_by_vm.get(vm, ()))
        for link in links:
            self._remove(link)
            link.abort()

    def close(self) -> int:
        """Closes all links, and takes in no others.

        The handler doesn't hear of the losses: it would tell each of them to
        all peers that are still linked, which grows with the square of their
        number.

        Returns:
            How many links there were.
        """
        self._is_closed = True
        links = [link for each in self._links_by_vm.values() for link in each]
        self._links_by_vm.clear()
        self._joined_by_vm.clear()
        for link in links:
            link.close()
        return len(links)

    def _add(self, link: _link.Link) -> None:
        known = self.incarnation_of(link.vm)
        if known is not None and known != link.incarnation:
            # The VM was replaced under the same id while the old link
            # looked alive: a reset that never arrived, for one. Forwards
            # would go on into the dead link and callers of the new life's
            # sessions would wait for nothing.
            self.drop(link.vm)
        links = self._links_by_vm.setdefault(link.vm, [])
        links.append(link)
        if len(links) > 1:
            return
        self._joined_by_vm[link.vm] = self._clock.now()
        logs.event(
            _LOG,
            logging.INFO,
            'peer_joined',
            vm=link.vm,
            incarnation=link.incarnation,
            failure_domain=link.failure_domain,
        )
        self._handler.peer_joined(link.vm, link.incarnation)

    def _remove(self, link: _link.Link) -> None:
        links = self._links_by_vm.get(link.vm, [])
        if link not in links:
            return
        links.remove(link)
        if links:
            return
        del self._links_by_vm[link.vm]
        event = self._unlinked_by_vm.pop(link.vm, None)
        if event is not None:
            event.set()
        stood_ms = self._clock.now() - self._joined_by_vm.pop(link.vm)
        logs.event(
            _LOG, logging.INFO, 'peer_lost', vm=link.vm, stood_ms=stood_ms
        )
        self._handler.peer_lost(link.vm)
