"""What goes into the heartbeats, within a byte budget.

A link keeps order and loses nothing while it stands, so peers are told
only what changed since the last heartbeat. What doesn't fit waits for the
next one, the largest change first. All peers are told the same, so that
it is worked out and encoded once a beat: with hundreds of services that
was most of the cost. Only the documents that a peer lacks are its own.
"""

import abc
import collections.abc
import random

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _service_telling
from rosemaryroad.decisions import _team_telling
from rosemaryroad.decisions import _versions

# The users allow 8 KB a second for all of control, in both directions.
# Peers send as much as they receive; the rest is left for pings, framing
# and reads of the platform's service.
CONTROL_BYTES_PER_BEAT = 3500
DOCUMENT_BYTES_PER_BEAT = 2048
MARKS_PER_BEAT = 8

# Peers hear something within this time, however little there is to tell.
# It is half of the time after which they take this VM for silent.
MAX_QUIET_MS = 3000.0

HANDOVER_MIN_MS = 400.0
HANDOVER_MAX_MS = 900.0
_FIXED_BYTES = 66

_NO_HANDOVER = _versions.Handover(0, 0, ())


class HeartbeatSource(abc.ABC):
    """What this entry VM has to tell its peers."""

    @abc.abstractmethod
    def draining(self) -> bool:
        """Tells whether it is shutting down."""

    @abc.abstractmethod
    def demand(self) -> tuple[model.ServiceDemand, ...]:
        """Returns its own demand, one item for each service."""

    @abc.abstractmethod
    def spare(self, service: str) -> int:
        """Returns how much demand concerns this entry VM alone.

        Below it, the sizes of the peers' windows don't depend on what
        this one has out and waiting.
        """

    @abc.abstractmethod
    def team_demand(self) -> tuple[model.TeamDemand, ...]:
        """Returns what it wants of teams' quotas."""

    @abc.abstractmethod
    def leaving(self) -> tuple[str, ...]:
        """Returns endpoints known to be leaving, as ``id@incarnation``."""

    @abc.abstractmethod
    def quarantined(self) -> tuple[str, ...]:
        """Returns endpoints that it keeps out, as ``id@incarnation``."""

    @abc.abstractmethod
    def head(self) -> int:
        """Returns the number of the last document change that it has."""

    @abc.abstractmethod
    def documents_since(self, head: int) -> _versions.Handover:
        """Returns the documents changed after a number."""


class HeartbeatComposer:
    """Builds the heartbeats and remembers what the peers were told."""

    def __init__(
        self,
        self_incarnation: model.Incarnation,
        source: HeartbeatSource,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._rng = rng
        self._services = _service_telling.ServiceTeller()
        self._told_leaving: set[str] = set()
        self._told_quarantined: set[str] = set()
        self._sent_at: float | None = None
        self._teams = _team_telling.TeamTeller()
        self._teams_first = False
        self._common = model.Heartbeat(str(self_incarnation), False, 0)
        self._handover_by_vm: dict[str, float] = {}
        self._document_bytes_left = 0

    def joined(self) -> None:
        """A link to a peer was opened: all is told again, bit by bit.

        Telling the old peers again as well costs no more than a part of
        the budget, and links are seldom opened.
        """
        self._sent_at = None
        self._services.joined()
        self._teams.joined()
        self._told_leaving.clear()
        self._told_quarantined.clear()

    def lost(self, vm: str) -> None:
        """No link to a peer is left."""
        self._handover_by_vm.pop(vm, None)

    def is_due(self, heads: collections.abc.Iterable[int], now: float) -> bool:
        """Tells whether peers should hear something now.

        A heartbeat that changes nothing at its receiver is a wasted
        message, and with a few entry VMs nearly all wasted messages were
        of that kind.

        Args:
            heads: The last document change that each peer has.
            now: The present time in milliseconds.
        """
        if self._sent_at is None or now - self._sent_at >= MAX_QUIET_MS:
            return True
        source, common = self._source, self._common
        if source.draining() != common.draining:
            return True
        # A peer that lacks a document may be cut off from the table; it
        # has to have it within seconds.
        head = source.head()
        if head != common.head or any(other < head for other in heads):
            return True
        if not self._told_leaving.issuperset(source.leaving()):
            return True
        if not self._told_quarantined.issuperset(source.quarantined()):
            return True
        # Shares of a quota follow the demand in two beats, and peers reckon
        # with that; while a team wants more than its even share, none is
        # left out.
        if self._teams.is_telling or source.team_demand():
            return True
        return self._services.is_due(source.demand(), source.spare)

    def start_beat(
        self, peers: int, now: float
    ) -> tuple[model.TeamDemand, ...]:
        """Starts a round of heartbeats, all of the present state.

        Args:
            peers: How many peers share the budget in this round.
            now: The present time in milliseconds.

        Returns:
            What this round tells of teams' quotas.
        """
        self._sent_at = now
        budget = CONTROL_BYTES_PER_BEAT // max(1, peers) - _FIXED_BYTES
        leaving = _new_marks(self._told_leaving, self._source.leaving())
        quarantined = _new_marks(
            self._told_quarantined, self._source.quarantined()
        )
        budget -= sum(len(mark) + 2 for mark in leaving + quarantined)
        # With 55 peers there is room for one item of either kind; they
        # take turns, or the other kind would never be told.
        self._teams_first = not self._teams_first
        teams = self._teams.choose(
            self._source.team_demand(),
            budget // 2,
            at_least_one=self._teams_first,
        )
        budget -= _team_telling.size_of(teams)
        self._common = model.Heartbeat(
            self._common.incarnation,
            self._source.draining(),
            self._source.head(),
            self._services.choose(
                self._source.demand(), budget, at_least_one=not teams
            ),
            leaving,
            quarantined,
            teams=teams,
        )
        self._document_bytes_left = DOCUMENT_BYTES_PER_BEAT
        return teams

    def compose(
        self, vm: str, head: int | None, now: float
    ) -> model.Heartbeat:
        """Returns this round's heartbeat for one peer.

        Args:
            vm: The peer.
            head: The peer's last document change number, None before its
                first heartbeat.
            now: The present time.
        """
        handover = self._handover(vm, head, now)
        if not handover.documents:
            return self._common
        return attrs.evolve(
            self._common,
            documents=handover.documents,
            documents_since=handover.since,
            documents_through=handover.through,
            tells_deleted=True,
        )

    def _handover(
        self, vm: str, head: int | None, now: float
    ) -> _versions.Handover:
        # Each change makes every peer lag until its own read of the table.
        # The wait until the next beat spares most of them a document that
        # they are about to read; whoever is cut off from the table has the
        # change in force within the 4 s that the users allow.
        if head is None or head >= self._common.head:
            self._handover_by_vm.pop(vm, None)
            return _NO_HANDOVER
        due = self._handover_by_vm.get(vm)
        if due is None:
            wait = self._rng.uniform(HANDOVER_MIN_MS, HANDOVER_MAX_MS)
            due = self._handover_by_vm[vm] = now + wait
        if now < due or self._document_bytes_left <= 0:
            return _NO_HANDOVER
        return self._within_budget(self._source.documents_since(head))

    def _within_budget(
        self, handover: _versions.Handover
    ) -> _versions.Handover:
        count = 0
        for stored in handover.documents:
            # A document over the budget still goes, alone: cut to nothing,
            # it would never arrive.
            if self._document_bytes_left <= 0:
                break
            count += 1
            self._document_bytes_left -= _document_bytes(stored.document)
        return handover.first(count)


def _new_marks(told: set[str], marks: tuple[str, ...]) -> tuple[str, ...]:
    # A mark that was lifted is told again when it is set again.
    told.intersection_update(marks)
    new = tuple(mark for mark in marks if mark not in told)
    new = new[:MARKS_PER_BEAT]
    told.update(new)
    return new


def _document_bytes(document: model.Document) -> int:
    # Near enough for a budget; encoding it here would do the work twice.
    listed = len(document.endpoints.listed)
    return 120 + 80 * listed + 40 * len(document.quotas)
