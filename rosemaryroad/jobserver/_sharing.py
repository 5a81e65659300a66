"""Which of the VMs hands a peer what it can't read in the store itself."""

import collections
import collections.abc
import math

import attrs

# A peer that stays at one version for so long is helped by whichever VM hears
# it, not by the first one alone: that one may not hear it.
_ANYBODY_AFTER_MS = 1_200.0

# How long what was sent may take to arrive and to be taken in.
_SEND_AGAIN_MS = 400.0

# A VM that hasn't told of a version by then doesn't read the store either, and
# would hand on an old one.
_TOLD_AFTER_MS = 200.0


class _OwnVersions:
    """The versions that this VM has had lately, and since when."""

    def __init__(self) -> None:
        self._since: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, version: int, now: float) -> None:
        """Takes in which version this VM has now."""
        if not self._since or version > self._since[-1][0]:
            self._since.append((version, now))
        while len(self._since) > 1 and self._is_old(self._since[1][1], now):
            self._since.popleft()

    def newer_for_ms(self, version: int, now: float) -> float:
        """Returns for how long this VM has had a newer version."""
        return now - next(at for own, at in self._since if own > version)

    def newest_before(self, at: float) -> int:
        """Returns the version that this VM had at a time, or 0."""
        return max(
            (version for version, since in self._since if since <= at),
            default=0,
        )

    def _is_old(self, at: float, now: float) -> bool:
        return now - at >= _ANYBODY_AFTER_MS


@attrs.define
class _Peer:
    """What a peer has told.

    Attributes:
        version: The version that it has.
        since: When it was first heard to have it.
        sent_at: When it was last sent what it lacks.
    """

    version: int
    since: float
    sent_at: float = -math.inf


class Sharing:
    """Decides when this VM sends a peer what it lacks.

    Everybody hears at once that a peer lags. If all of them sent a large
    configuration, they would fill the links and processors of every VM for
    seconds; peers would count as silent, and callers would wait.

    While versions come in quick succession, a peer that reads each a little
    later than this VM lags at every sign. What counts is for how long it has
    lacked a version, not for how long it has lagged.

    Args:
        vm: This VM.
        patience_ms: For how long a peer may lack a version before it is
            helped. It usually reads the store itself some 100 ms later.
        first: Returns the VMs that are to help before the others, such as
            those that hear from all peers most often.
    """

    def __init__(
        self,
        vm: str,
        patience_ms: float,
        first: collections.abc.Callable[
            [], collections.abc.Collection[str]
        ] = lambda: (),
    ) -> None:
        self._vm = vm
        self._patience_ms = patience_ms
        self._first = first
        self._own = _OwnVersions()
        self._peer_by_vm: dict[str, _Peer] = {}

    def lost(self, peer: str) -> None:
        """Takes in that a peer can't be reached."""
        self._peer_by_vm.pop(peer, None)

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
        self._own.add(own_version, now)
        known = self._hear(peer, version, now)
        if version >= own_version or now - known.sent_at < _SEND_AGAIN_MS:
            return False
        lacks_ms = self._own.newer_for_ms(version, now)
        if min(lacks_ms, now - known.since) < _ANYBODY_AFTER_MS:
            # One without any serves nobody.
            patience_ms = self._patience_ms if version else 0.0
            if lacks_ms < patience_ms or not self._is_first(version, now):
                return False
        known.sent_at = now
        return True

    def _hear(self, peer: str, version: int, now: float) -> _Peer:
        known = self._peer_by_vm.get(peer)
        if known is None:
            known = self._peer_by_vm[peer] = _Peer(version, now)
        elif version != known.version:
            known.version = version
            known.since = now
        return known

    def _is_first(self, lagging: int, now: float) -> bool:
        """Tells whether no VM that comes before this one can help a peer."""
        wanted = max(
            lagging + 1, self._own.newest_before(now - _TOLD_AFTER_MS)
        )
        first = self._first()
        own_rank = (self._vm not in first, self._vm)
        return not any(
            known.version >= wanted and (vm not in first, vm) < own_rank
            for vm, known in self._peer_by_vm.items()
        )
