"""Which of the VMs hands a peer what it can't read in the store itself."""

import attrs

# A peer that lags for so long is helped by whichever VM hears it, not by the
# first one alone: that one may not hear it.
_ANYBODY_AFTER_MS = 1_200.0

# How long what was sent may take to arrive and to be taken in.
_SEND_AGAIN_MS = 400.0


@attrs.define
class _Lag:
    """A peer that has an older version.

    Attributes:
        since: When it was first seen to lag.
        sent_at: When it was last sent what it lacks, or None.
    """

    since: float
    sent_at: float | None = None


class Sharing:
    """Decides when this VM sends a peer what it lacks.

    Everybody hears at once that a peer lags. If all of them sent a large
    configuration, they would fill the links and processors of every VM for
    seconds; peers would count as silent, and callers would wait.

    Args:
        vm: This VM.
        patience_ms: How long a peer may lag before it is helped. It usually
            reads the store itself some 100 ms later.
    """

    def __init__(self, vm: str, patience_ms: float) -> None:
        self._vm = vm
        self._patience_ms = patience_ms
        self._version_by_peer: dict[str, int] = {}
        self._lag_by_peer: dict[str, _Lag] = {}

    def lost(self, peer: str) -> None:
        """Takes in that a peer can't be reached."""
        self._version_by_peer.pop(peer, None)
        self._lag_by_peer.pop(peer, None)

    def is_due(
        self, peer: str, version: int, own_version: int, now: float
    ) -> bool:
        """Takes a peer's version in, and tells whether to send ours now.

        Args:
            peer: The peer.
            version: What it has, or 0 for none.
            own_version: What this VM has.
            now: The present time.
        """
        self._version_by_peer[peer] = version
        if version >= own_version:
            self._lag_by_peer.pop(peer, None)
            return False
        lag = self._lag_by_peer.setdefault(peer, _Lag(now))
        # One without any serves nobody.
        patience_ms = self._patience_ms if version else 0.0
        lagged_ms = now - lag.since
        if lagged_ms < patience_ms:
            return False
        if lag.sent_at is not None and now - lag.sent_at < _SEND_AGAIN_MS:
            return False
        if lagged_ms < _ANYBODY_AFTER_MS and not self._is_first(own_version):
            return False
        lag.sent_at = now
        return True

    def _is_first(self, own_version: int) -> bool:
        return not any(
            peer < self._vm and version >= own_version
            for peer, version in self._version_by_peer.items()
        )
