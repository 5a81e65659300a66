"""Which entry VMs serve, and where the submissions of a session belong.

What stands here decides how fast an answer comes and how well work is
spread, never whether a task may start: only a session's home starts its
tasks, whatever anybody believes about that home.
"""

import collections
import typing

import attrs

from rosemaryroad import model

_v = attrs.validators


@attrs.frozen
class MembershipLimits:
    """Times in milliseconds.

    Attributes:
        silence_ms: How long ago a live peer was heard at most. It is
            longer than a link takes to notice that it is dead.
        list_lag_ms: How far the VM list may lag behind.
        list_fresh_ms: The age at which a list that was read is no longer
            used to call a peer gone, such as in an outage.
        forget_ms: How long a silent peer that has left the list is kept.
        retry_after_ms: When a caller is told to come back.
    """

    silence_ms: float = attrs.field(default=6000.0, validator=_v.gt(0))
    list_lag_ms: float = attrs.field(default=30_000.0, validator=_v.ge(0))
    list_fresh_ms: float = attrs.field(default=30_000.0, validator=_v.gt(0))
    forget_ms: float = attrs.field(default=600_000.0, validator=_v.gt(0))
    retry_after_ms: float = attrs.field(default=1000.0, validator=_v.gt(0))


@attrs.frozen
class EntryVm:
    """One entry VM in the platform's VM list.

    Attributes:
        vm: Its id.
        incarnation: Its daemon's life, where the list knows it.
        leaving: Whether it is about to be taken away.
    """

    vm: str
    incarnation: model.Incarnation | None = None
    leaving: bool = False


@attrs.frozen
class Local:
    """This process is the home."""


@attrs.frozen
class Remote:
    """The home can be reached by its link.

    Attributes:
        vm: Where to forward.
    """

    vm: str


@attrs.frozen
class Unreachable:
    """The home may be alive, but not within reach of this entry VM.

    Attributes:
        vm: The home's VM.
        retry_after_ms: When the caller should come back.
    """

    vm: str
    retry_after_ms: float


@attrs.frozen
class Gone:
    """The home is gone, and what was in progress there with it."""


Route: typing.TypeAlias = Local | Remote | Unreachable | Gone


@attrs.define
class _Peer:
    incarnation: model.Incarnation
    first_heard: float
    last_heard: float
    linked: bool = True
    draining: bool = False
    head: int | None = None
    demand_by_service: dict[str, int] = attrs.field(factory=dict)
    team_demand_by_key: dict[bytes, model.TeamDemand] = attrs.field(
        factory=dict
    )


class Membership:
    """What this entry VM knows of the others.

    Attributes:
        incarnation: This process.
        failure_domain: Where it stands; shown in the status report.
    """

    def __init__(
        self,
        self_incarnation: model.Incarnation,
        failure_domain: str,
        limits: MembershipLimits | None = None,
    ) -> None:
        self.incarnation = self_incarnation
        self.failure_domain = failure_domain
        self._limits = limits or MembershipLimits()
        self._peer_by_vm: dict[str, _Peer] = {}
        self._listed_by_vm: dict[str, EntryVm] = {}
        self._rejoined = 0
        self._first_listed: float | None = None
        self._last_listed: float | None = None

    def joined(
        self, vm: str, incarnation: model.Incarnation, now: float
    ) -> None:
        """A link to a peer stands from now on.

        The peer tells all its demand anew on a new link; what it told on
        the last one may be out of date in parts, so it is dropped.
        """
        known = self._peer_by_vm.get(vm)
        if known is None or known.incarnation != incarnation:
            # The links admit only the newest life of a VM, so another
            # one than before has taken its place.
            self._peer_by_vm[vm] = _Peer(incarnation, now, now)
            return
        known.linked = True
        known.last_heard = now
        known.demand_by_service.clear()
        known.team_demand_by_key.clear()
        self._rejoined += 1

    def heard(
        self,
        vm: str,
        incarnation: model.Incarnation,
        draining: bool,
        head: int,
        demand: tuple[model.ServiceDemand, ...],
        now: float,
        teams: tuple[model.TeamDemand, ...] = (),
    ) -> None:
        """Takes in a heartbeat.

        Args:
            vm: The peer.
            incarnation: Its life; a heartbeat of an older one is ignored.
            draining: Whether it is shutting down.
            head: The number of the last document change that it has.
            demand: What changed since its last heartbeat; a service that
                is not named stays as it was.
            now: The present time.
            teams: What it wants of teams' quotas, told in the same way.
        """
        peer = self._peer_by_vm.get(vm)
        if peer is None or peer.incarnation != incarnation:
            if peer is not None and incarnation.started < (
                peer.incarnation.started
            ):
                return
            self.joined(vm, incarnation, now)
            peer = self._peer_by_vm[vm]
        peer.linked = True
        peer.last_heard = now
        peer.draining = draining
        peer.head = head
        for item in demand:
            tasks = item.outstanding + item.waiting
            if tasks:
                peer.demand_by_service[item.service] = tasks
            else:
                # Kept as zeros, deleted services would pile up here.
                peer.demand_by_service.pop(item.service, None)
        for team in teams:
            if team.running or team.queued:
                peer.team_demand_by_key[team.key] = team
            else:
                peer.team_demand_by_key.pop(team.key, None)

    def link_lost(self, vm: str, now: float) -> None:
        """No link to a peer is left; it may be alive all the same.

        Args:
            vm: The peer.
            now: The present time.
        """
        peer = self._peer_by_vm.get(vm)
        if peer is not None:
            peer.linked = False

    def listed(self, entry_vms: tuple[EntryVm, ...], now: float) -> None:
        """Takes in a VM list that was read just now.

        Args:
            entry_vms: All entry VMs that it names.
            now: When it was asked for.
        """
        if self._first_listed is None:
            self._first_listed = now
        self._last_listed = now
        self._listed_by_vm = {item.vm: item for item in entry_vms}
        # VM ids may be new after each of hundreds of replacements a day,
        # so peers that are gone must not be kept for ever.
        kept_since = now - self._limits.forget_ms
        for vm, peer in list(self._peer_by_vm.items()):
            if (
                not peer.linked
                and peer.last_heard < kept_since
                and vm not in self._listed_by_vm
            ):
                del self._peer_by_vm[vm]

    def alive(self, now: float) -> tuple[str, ...]:
        """Returns the VM ids of the peers that were heard lately."""
        return tuple(
            vm
            for vm, peer in self._peer_by_vm.items()
            if not self._is_silent(peer, now)
        )

    def entry_vms(self, now: float) -> int:
        """Returns how many entry VMs take new work, this one included."""
        return 1 + sum(
            not peer.draining and not self._is_silent(peer, now)
            for peer in self._peer_by_vm.values()
        )

    def peer_demand(self, service: str, now: float) -> int:
        """Returns the tasks that live peers have out or waiting."""
        return sum(
            peer.demand_by_service.get(service, 0)
            for peer in self._peer_by_vm.values()
            if not self._is_silent(peer, now)
        )

    def team_demand(self, now: float) -> model.TeamDemandReported:
        """Returns what live peers want of teams' quotas."""
        found = collections.defaultdict(tuple)
        for peer in self._peer_by_vm.values():
            if not self._is_silent(peer, now):
                for key, item in peer.team_demand_by_key.items():
                    found[key] += (item,)
        return model.TeamDemandReported(
            self.entry_vms(now), dict(found), self._rejoined
        )

    def heads(self) -> dict[str, int]:
        """Returns the change number that each heard peer has, by VM id."""
        return {
            vm: peer.head
            for vm, peer in self._peer_by_vm.items()
            if peer.head is not None
        }

    def route(self, session: model.SessionId, now: float) -> Route:
        """Tells where the submissions of a session belong.

        Args:
            session: The session; its id names its home.
            now: The present time.
        """
        home = session.home
        if home == self.incarnation:
            return Local()
        if home.vm == self.incarnation.vm:
            # One VM runs one daemon, so an older life of this VM is gone.
            # A newer one means that this process was taken for dead.
            older = home.started < self.incarnation.started
            return Gone() if older else self._unreachable(home)
        peer = self._peer_by_vm.get(home.vm)
        if peer is None:
            gone = self._has_left_list(home, self._first_listed, now)
        elif home.started < peer.incarnation.started:
            gone = True
        elif peer.incarnation == home and peer.linked:
            return Remote(home.vm)
        else:
            gone = self._is_silent(peer, now) and self._has_left_list(
                home, peer.first_heard, now
            )
        return Gone() if gone else self._unreachable(home)

    def _unreachable(self, home: model.Incarnation) -> Unreachable:
        return Unreachable(home.vm, self._limits.retry_after_ms)

    def _is_silent(self, peer: _Peer, now: float) -> bool:
        return now - peer.last_heard > self._limits.silence_ms

    def _has_left_list(
        self, home: model.Incarnation, known_since: float | None, now: float
    ) -> bool:
        # The list lags in both directions. A home that it doesn't name
        # may be too new for it, and a list read long ago, before an
        # outage, names none of the VMs that have started since. Callers
        # would be told that live work is lost.
        if self._last_listed is None or known_since is None:
            return False
        if now - self._last_listed > self._limits.list_fresh_ms:
            return False
        if now - known_since <= self._limits.list_lag_ms:
            return False
        listed = self._listed_by_vm.get(home.vm)
        if listed is None:
            return True
        named = listed.incarnation
        return named is not None and named.started > home.started
