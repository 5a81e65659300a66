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
    """One other entry VM that a link stands to.

    Attributes:
        heard_at: When its last message was read.
        pulse: Its last sign of life.
        pulse_at: When that was read.
        waited_since: Since when its last message may have waited to be read.
    """

    heard_at: float
    pulse: model.Pulse | None = None
    pulse_at: float = 0.0
    waited_since: float = -math.inf


class Signs:
    """The signs of life of the VMs that a link stands to.

    Args:
        limit_ms: Returns for how long a peer may be silent.
    """

    def __init__(self, limit_ms: _Limit) -> None:
        self._limit_ms = limit_ms
        self._reading_since = -math.inf
        self._claiming_vms: set[str] = set()
        self._none_silent_until = -math.inf
        self._peer_by_vm: dict[str, _Peer] = {}

    def reading_since(self, at: float) -> None:
        """Takes in that what is read from now on may have waited for long.

        After a pause of this VM its clock alone would make old messages look
        new.

        Args:
            at: Since when they may have waited.
        """
        self._reading_since = at

    def joined(self, vm: str, now: float) -> None:
        """Takes in that a link to a peer stands."""
        self._peer_by_vm[vm] = _Peer(now)
        self._claiming_vms.discard(vm)
        self.limits_changed()

    def lost(self, vm: str) -> None:
        """Takes in that no link to a peer stands."""
        self._peer_by_vm.pop(vm, None)
        self._claiming_vms.discard(vm)

    def limits_changed(self) -> None:
        """Takes in that peers may count as silent sooner than before."""
        self._none_silent_until = -math.inf

    def heard(self, vm: str, pulse: model.Pulse, now: float) -> None:
        """Takes in a sign of life."""
        known = self.pulse_of(vm)
        self._peer_by_vm[vm] = _Peer(now, pulse, now, self._reading_since)
        if known is not None and known.claim is pulse.claim:
            return
        self.limits_changed()
        if pulse.claim is model.Claim.NONE:
            self._claiming_vms.discard(vm)
        else:
            self._claiming_vms.add(vm)

    def is_newer(self, vm: str, at: float) -> bool:
        """Tells whether what a peer has told last came after a time."""
        return self._peer_by_vm[vm].pulse_at > at

    def heard_from(self, vm: str, now: float) -> None:
        """Takes in any other message of a peer."""
        peer = self._peer_by_vm.get(vm)
        if peer is not None:
            peer.heard_at = now
            peer.waited_since = self._reading_since

    def pulse_of(self, vm: str) -> model.Pulse | None:
        """Returns what a peer has told last, if anything."""
        peer = self._peer_by_vm.get(vm)
        return None if peer is None else peer.pulse

    def renew(self, at: float) -> None:
        """Counts all peers as heard at a time, or later."""
        for peer in self._peer_by_vm.values():
            peer.heard_at = max(peer.heard_at, at)

    def known_at(
        self, vms: collections.abc.Collection[str], count: int
    ) -> float:
        """Returns the latest time for which the word of some VMs holds.

        Their last messages may have waited since then.

        Args:
            vms: The VMs.
            count: How many of them have to have told.
        """
        times = sorted(
            (self._peer_by_vm[vm].waited_since for vm in vms), reverse=True
        )
        return times[count - 1]

    def claiming(self, now: float) -> dict[str, model.Pulse]:
        """Returns what the peers have told that give orders."""
        return {
            vm: self._peer_by_vm[vm].pulse
            for vm in self._claiming_vms
            if not self._is_silent(vm, self._peer_by_vm[vm], now)
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
        if now < self._none_silent_until:
            # What is heard meanwhile only puts the first silence off.
            return ()
        silent_at_by_vm = {
            vm: peer.heard_at + self._limit_ms(vm)
            for vm, peer in self._peer_by_vm.items()
        }
        self._none_silent_until = min(
            silent_at_by_vm.values(), default=math.inf
        )
        return tuple(vm for vm, at in silent_at_by_vm.items() if now >= at)

    def _is_silent(self, vm: str, peer: _Peer, now: float) -> bool:
        # Nearly all have been heard just now, and their limits cost more to
        # find than all the rest.
        silence_ms = now - peer.heard_at
        return silence_ms >= _LEAST_MS and silence_ms >= self._limit_ms(vm)
