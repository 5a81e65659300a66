"""What other entry VMs have told last, and when."""

import collections.abc
import math

import attrs

from rosemaryroad import model

_Limit = collections.abc.Callable[[str], float]

# No limit is shorter.
_LEAST_MS = 240.0


@attrs.define(eq=False)
class _Peer:
    """One other entry VM that a link stands to."""

    heard_at: float
    pulse: model.Pulse | None = None
    pulse_at: float = 0.0
    read_after: float = -math.inf


class Signs:
    """The signs of life of the VMs that a link stands to.

    Args:
        limit_ms: Returns for how long a peer may be silent.
    """

    def __init__(self, limit_ms: _Limit) -> None:
        self._limit_ms = limit_ms
        self._read_after = -math.inf
        self._peer_by_vm: dict[str, _Peer] = {}

    def read_after(self, at: float) -> None:
        """Takes in that messages from now on were not read before a time.

        A VM that was stopped reads what has waited for it; its clock alone
        would make these messages look new.
        """
        self._read_after = at

    def joined(self, vm: str, now: float) -> None:
        """Takes in that a link to a peer stands."""
        self._peer_by_vm[vm] = _Peer(now)

    def lost(self, vm: str) -> None:
        """Takes in that no link to a peer stands."""
        self._peer_by_vm.pop(vm, None)

    def heard(self, vm: str, pulse: model.Pulse, now: float) -> None:
        """Takes in a sign of life."""
        self._peer_by_vm[vm] = _Peer(now, pulse, now, self._read_after)

    def is_newer(self, vm: str, at: float) -> bool:
        """Tells whether what a peer has told last came after a time."""
        return self._peer_by_vm[vm].pulse_at > at

    def heard_from(self, vm: str, now: float) -> None:
        """Takes in any other message of a peer."""
        peer = self._peer_by_vm.get(vm)
        if peer is not None:
            peer.heard_at = now
            peer.read_after = self._read_after

    def pulse_of(self, vm: str) -> model.Pulse | None:
        """Returns what a peer has told last, if anything."""
        peer = self._peer_by_vm.get(vm)
        return None if peer is None else peer.pulse

    def renew(self, at: float) -> None:
        """Counts all peers as heard at a time, or later."""
        for peer in self._peer_by_vm.values():
            peer.heard_at = max(peer.heard_at, at)

    def nth_read_after(
        self, vms: collections.abc.Collection[str], count: int
    ) -> float:
        """Returns a time after which messages of so many VMs were read."""
        times = sorted(
            (self._peer_by_vm[vm].read_after for vm in vms), reverse=True
        )
        return times[count - 1]

    def claiming(self, now: float) -> dict[str, model.Pulse]:
        """Returns what the peers have told that give orders."""
        return {
            vm: peer.pulse
            for vm, peer in self._peer_by_vm.items()
            if peer.pulse is not None
            and peer.pulse.claim is not model.Claim.NONE
            and not self._is_silent(vm, peer, now)
        }

    def fresh(self, now: float) -> dict[str, model.Pulse]:
        """Returns what the peers have told that aren't silent."""
        return {
            vm: peer.pulse
            for vm, peer in self._peer_by_vm.items()
            if peer.pulse is not None and not self._is_silent(vm, peer, now)
        }

    def silent(self, now: float) -> tuple[str, ...]:
        """Returns the peers whose links stand but carry nothing."""
        return tuple(
            vm
            for vm, peer in self._peer_by_vm.items()
            if self._is_silent(vm, peer, now)
        )

    def _is_silent(self, vm: str, peer: _Peer, now: float) -> bool:
        # Nearly all have been heard just now, and their limits cost more to
        # find than all the rest.
        silence_ms = now - peer.heard_at
        return silence_ms >= _LEAST_MS and silence_ms >= self._limit_ms(vm)
