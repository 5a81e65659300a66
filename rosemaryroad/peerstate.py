"""What this entry VM tells its peers, and what it takes from them."""

import asyncio

from rosemaryroad import clock as clock_module
from rosemaryroad import controllers
from rosemaryroad import decisions
from rosemaryroad import model
from rosemaryroad import runtime as runtime_module

__all__ = ['HeartbeatState', 'PeerReports']

# Heartbeats of all peers come about once a second; their demand is taken
# over together, not once for each of them.
SETTLE_MS = 50.0
_MS_PER_SECOND = 1000.0


class HeartbeatState(decisions.HeartbeatSource):
    """What this entry VM tells its peers of itself."""

    def __init__(
        self,
        dispatcher: decisions.Dispatcher,
        documents: controllers.DocumentsController,
    ) -> None:
        self._dispatcher = dispatcher
        self._documents = documents

    def draining(self) -> bool:
        """Tells whether this entry VM is shutting down."""
        return self._dispatcher.is_draining

    def demand(self) -> tuple[model.ServiceDemand, ...]:
        """Returns its own demand by service."""
        return self._dispatcher.demand()

    def spare(self, service: str) -> int:
        """Returns how much of a service's demand is no peer's concern."""
        return self._dispatcher.spare(service)

    def team_demand(self) -> tuple[model.TeamDemand, ...]:
        """Returns what it wants of teams' quotas."""
        return self._dispatcher.team_demand()

    def leaving(self) -> tuple[str, ...]:
        """Returns endpoints known to be leaving."""
        return self._dispatcher.leaving_marks()

    def quarantined(self) -> tuple[str, ...]:
        """Returns endpoints that it keeps out."""
        return self._dispatcher.quarantined_marks()

    def head(self) -> int:
        """Returns the number of the last document change that it has."""
        return self._documents.head

    def documents_since(self, head: int) -> decisions.Handover:
        """Returns the documents changed after a number."""
        return self._documents.handover_for(head)


class PeerReports(controllers.HeartbeatSink):
    """Takes what peers tell into the dispatcher and the documents."""

    def __init__(
        self,
        runtime: runtime_module.Runtime,
        documents: controllers.DocumentsController,
        membership: decisions.Membership,
        clock: clock_module.Clock,
    ) -> None:
        self._runtime = runtime
        self._documents = documents
        self._membership = membership
        self._clock = clock
        self._timer: asyncio.TimerHandle | None = None

    def documents(self, vm: str, handover: decisions.Handover) -> None:
        """Takes over documents that a peer has and this VM may lack."""
        self._documents.offer_handover(handover)

    def leaving(self, vm: str, marks: tuple[str, ...]) -> None:
        """Marks endpoints that a peer knows to be leaving."""
        for mark in marks:
            endpoint, _, incarnation = mark.rpartition('@')
            self._runtime.apply(
                model.EndpointLeaving('', endpoint, incarnation)
            )

    def quarantined(self, vm: str, marks: tuple[str, ...]) -> None:
        """Takes a peer's quarantine as a hint."""
        self._runtime.apply(model.QuarantineReported(marks))

    def members_changed(self) -> None:
        """Takes over the peers' demand soon, together with others'."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                SETTLE_MS / _MS_PER_SECOND, self._take_over
            )

    def heartbeat_sent(self, teams: tuple[model.TeamDemand, ...]) -> None:
        """Counts with this entry VM's own demand as peers know it."""
        self._runtime.apply(model.HeartbeatSent(teams))
        # Peers that have gone silent tell nothing that could lead here.
        # An entry VM that is cut off from all of them would keep its small
        # shares for as long as the cut lasts.
        self.members_changed()

    def _take_over(self) -> None:
        self._timer = None
        now = self._clock.now()
        self._runtime.apply(self._membership.team_demand(now))
        entry_vms = self._membership.entry_vms(now)
        for service in self._runtime.dispatcher.services():
            demand = self._membership.peer_demand(service, now)
            self._runtime.apply(
                model.DemandReported(service, demand, entry_vms)
            )
