"""What other entry VMs have told last, and when."""

import collections.abc

import attrs

from rosemaryroad import model

_Limit = collections.abc.Callable[[str], float]


@attrs.define(eq=False)
class _Peer:
    """One other entry VM that a link stands to."""

    heard_at: float
    pulse: model.Pulse | None = None


class Signs:
    """The signs of life of the VMs that a link stands to."""

    def __init__(self) -> None:
        self._peer_by_vm: dict[str, _Peer] = {}

    def joined(self, vm: str, now: float) -> None:
        """Takes in that a link to a peer stands."""
        self._peer_by_vm[vm] = _Peer(now)

    def lost(self, vm: str) -> None:
        """Takes in that no link to a peer stands."""
        self._peer_by_vm.pop(vm, None)

    def heard(self, vm: str, pulse: model.Pulse, now: float) -> None:
        """Takes in a sign of life."""
        self._peer_by_vm[vm] = _Peer(now, pulse)

    def pulse_of(self, vm: str) -> model.Pulse | None:
        """Returns what a peer has told last, if anything."""
        peer = self._peer_by_vm.get(vm)
        return None if peer is None else peer.pulse

    def renew(self, at: float) -> None:
        """Counts all peers as heard at a time, or later."""
        for peer in self._peer_by_vm.values():
            peer.heard_at = max(peer.heard_at, at)

    def claiming(self, now: float, limit_ms: float) -> dict[str, model.Pulse]:
        """Returns what the peers have told that give orders.

        Args:
            now: The present time.
            limit_ms: For how long such a peer may be silent.
        """
        return {
            vm: peer.pulse
            for vm, peer in self._peer_by_vm.items()
            if peer.pulse is not None
            and peer.pulse.claim is not model.Claim.NONE
            and now - peer.heard_at < limit_ms
        }

    def fresh(
        self, now: float, least_ms: float, limit_ms: _Limit
    ) -> dict[str, model.Pulse]:
        """Returns what the peers have told that aren't silent.

        Args:
            now: The present time.
            least_ms: For how long any peer may be silent.
            limit_ms: Returns for how long a peer may be silent.
        """
        return {
            vm: peer.pulse
            for vm, peer in self._peer_by_vm.items()
            if peer.pulse is not None
            and (
                now - peer.heard_at < least_ms
                or now - peer.heard_at < limit_ms(vm)
            )
        }

    def silent(
        self, now: float, least_ms: float, limit_ms: _Limit
    ) -> tuple[str, ...]:
        """Returns the peers whose links stand but carry nothing.

        Args:
            now: The present time.
            least_ms: For how long any peer may be silent.
            limit_ms: Returns for how long a peer may be silent.
        """
        return tuple(
            vm
            for vm, peer in self._peer_by_vm.items()
            if now - peer.heard_at >= least_ms
            and now - peer.heard_at >= limit_ms(vm)
        )
