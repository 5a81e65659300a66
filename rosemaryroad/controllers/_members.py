"""The loop that tells peers how this entry VM is."""

import abc
import asyncio
import collections.abc
import functools
import logging
import random
import typing

from rosemaryroad import clock as clock_module
from rosemaryroad import decisions
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

# How often it looks whether there is something to tell.
PERIOD_MS = 1000.0
_JITTER = 0.1

# The same few texts come each second.
_parse = functools.lru_cache(maxsize=256)(model.Incarnation.parse)


class HeartbeatLinks(typing.Protocol):
    """The part of the peer links that the loop uses."""

    def broadcast(
        self,
        make_heartbeat: collections.abc.Callable[[str], model.Heartbeat],
    ) -> None:
        """Sends each linked peer its heartbeat."""

    def linked(self) -> tuple[str, ...]:
        """Returns the VM ids of the peers that a link stands to."""


class HeartbeatSink(abc.ABC):
    """Who takes in what peers tell, beside the membership."""

    @abc.abstractmethod
    def documents(self, vm: str, handover: decisions.Handover) -> None:
        """Documents that a peer handed over."""

    @abc.abstractmethod
    def leaving(self, vm: str, marks: tuple[str, ...]) -> None:
        """Endpoints that are leaving, as ``id@incarnation``."""

    @abc.abstractmethod
    def quarantined(self, vm: str, marks: tuple[str, ...]) -> None:
        """Endpoints that a peer has begun to keep out."""

    @abc.abstractmethod
    def members_changed(self) -> None:
        """Demand of peers, or their number, may have changed."""

    @abc.abstractmethod
    def heartbeat_sent(self, teams: tuple[model.TeamDemand, ...]) -> None:
        """All linked peers were told this of teams' quotas."""


class MembersController:
    """Owns the membership: feeds it and speaks for this entry VM."""

    def __init__(
        self,
        membership: decisions.Membership,
        links: HeartbeatLinks,
        source: decisions.HeartbeatSource,
        sink: HeartbeatSink,
        clock: clock_module.Clock,
        rng: random.Random,
        period_ms: float = PERIOD_MS,
    ) -> None:
        self._membership = membership
        self._links = links
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._period_ms = period_ms
        self._composer = decisions.HeartbeatComposer(
            membership.incarnation, source, rng
        )

    async def run(self) -> None:
        """Sends heartbeats until it is cancelled."""
        while True:
            try:
                self.beat_if_due()
            except Exception:
                # Without heartbeats every peer would take this VM for
                # silent, though it serves; one bad round must not end them.
                logs.fault(_LOG, 'heartbeat_failed')
            # The jitter keeps the VMs of a region, which start together
            # after an upgrade, from sending all at the same moment.
            factor = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            await asyncio.sleep(self._period_ms * factor / _MS_PER_SECOND)

    def beat(self) -> None:
        """Sends each linked peer one heartbeat, at once."""
        now = self._clock.now()
        heads = self._membership.heads()
        linked = len(self._links.linked())
        told = self._composer.start_beat(linked, now)
        self._links.broadcast(
            lambda vm: self._composer.compose(vm, heads.get(vm), now)
        )
        self._sink.heartbeat_sent(told)

    def beat_if_due(self) -> None:
        """Sends each linked peer a heartbeat if there is need for one."""
        head_by_vm = self._membership.heads()
        # A peer that has died lacks documents for good.
        linked = (head_by_vm.get(vm) for vm in self._links.linked())
        heads = [head for head in linked if head is not None]
        if self._composer.is_due(heads, self._clock.now()):
            self.beat()

    def peer_joined(self, vm: str, incarnation: model.Incarnation) -> None:
        """A link to a peer stands from now on."""
        self._composer.joined()
        self._membership.joined(vm, incarnation, self._clock.now())
        self._sink.members_changed()

    def peer_lost(self, vm: str) -> None:
        """No link to a peer is left."""
        self._composer.lost(vm)
        self._membership.link_lost(vm, self._clock.now())
        self._sink.members_changed()

    def heartbeat(self, vm: str, message: model.Heartbeat) -> None:
        """Takes in a peer's heartbeat."""
        try:
            incarnation = _parse(message.incarnation)
        except errors.InvalidRequest as error:
            logs.event(
                _LOG,
                logging.WARNING,
                'heartbeat_refused',
                vm=vm,
                detail=error.detail,
            )
            return
        self._membership.heard(
            vm,
            incarnation,
            message.draining,
            message.head,
            message.demand,
            self._clock.now(),
            message.teams,
        )
        # In a rolling upgrade a peer from before deletions still has the
        # version before one, and its "through" passes the deletion over.
        # An entry VM cut off from the table would bring the service back.
        if message.documents and message.tells_deleted:
            handover = decisions.Handover(
                message.documents_since,
                message.documents_through,
                message.documents,
            )
            self._sink.documents(vm, handover)
        if message.leaving:
            self._sink.leaving(vm, message.leaving)
        if message.quarantined:
            self._sink.quarantined(vm, message.quarantined)
        self._sink.members_changed()
