"""What an entry VM knows of one life of an endpoint."""

import enum

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _connections
from rosemaryroad.decisions import _health
from rosemaryroad.decisions import _reach
from rosemaryroad.decisions import _run_times

__all__ = ['EndpointPhase', 'EndpointState', 'EndpointView', 'mark_of']


# Run times that differ by less are taken as equal; the differences are
# mostly chance, and without ties the own failure domain would never count.
EQUAL_WITHIN = 1.3


class EndpointPhase(enum.StrEnum):
    """What an endpoint is given."""

    SERVING = 'serving'
    PAUSED = 'paused'
    QUARANTINED = 'quarantined'
    HINTED = 'hinted'
    CUT_OFF = 'cut_off'
    LEAVING = 'leaving'
    UNLISTED = 'unlisted'


@attrs.frozen
class EndpointView:
    """One endpoint as the status shows it.

    Attributes:
        id: The endpoint's id.
        state: What it is given.
        outstanding: This VM's tasks out there.
        run_ms: Its measured run time.
        failures: Jobs that failed there since the last success.
    """

    id: str
    state: EndpointPhase
    outstanding: int
    run_ms: float
    failures: int


@attrs.define(eq=False)
class EndpointState:
    """One incarnation of an endpoint.

    Attributes:
        endpoint: As its source listed it last.
        listed: Whether the source still lists it.
        health: Its health.
        run_time: Its run time against the service's.
        outstanding: This VM's tasks out there.
        progress_at: When a task last ended there, or the first of those
            outstanding was started.
        share: This VM's share of connections, the same for all endpoints.
        leaving: Whether this incarnation is known to be leaving.
        preference: Its place among equals, the lowest first.
        slowness: Its run time over the service's, as of late.
        reach: What is known of the way to its failure domain.
    """

    endpoint: model.Endpoint
    listed: bool = True
    health: _health.Health = attrs.field(factory=_health.Health)
    run_time: _run_times.EndpointRunTime = attrs.field(
        factory=_run_times.EndpointRunTime
    )
    outstanding: int = 0
    progress_at: float = 0.0
    share: _connections.ConnectionShare = attrs.field(
        factory=_connections.ConnectionShare
    )
    leaving: bool = False
    preference: int = 0
    slowness: float = 1.0
    reach: _reach.Reach = attrs.field(factory=_reach.Reach)

    def is_life_of(self, endpoint: model.Endpoint) -> bool:
        """Tells whether the record is of this life of an endpoint."""
        return (
            self.endpoint.incarnation == endpoint.incarnation
            and self.endpoint.address == endpoint.address
        )

    def may_take(
        self, needs: model.Needs, now: float, exclude: frozenset[str]
    ) -> bool:
        """Tells whether a task may go there now, however slow it is."""
        return (
            self.outstanding < self.share.of(self.endpoint.connections)
            and not self.leaving
            and self.health.is_willing(now)
            and self.reach.is_willing(now)
            and self.endpoint.id not in exclude
            and self.is_large_enough(needs)
        )

    def is_serving(self) -> bool:
        """Tells whether it takes ordinary work, be it after a pause."""
        return not self.leaving and not self.health.is_quarantined()

    def is_large_enough(self, needs: model.Needs) -> bool:
        """Tells whether a task fits there while nothing else runs."""
        endpoint = self.endpoint
        return (
            needs.cores <= endpoint.cores
            and needs.memory_mb <= endpoint.memory_mb
            and needs.accelerators <= endpoint.accelerators
        )

    def started(self, attempt: int, now: float) -> None:
        """Counts a task that goes out."""
        if self.outstanding == 0:
            self.progress_at = now
        self.outstanding += 1
        self.health.probes.started(attempt)
        self.reach.probes.started(attempt)

    def ended(self, now: float) -> None:
        """Counts a task that came back in whatever way."""
        self.outstanding -= 1
        self.progress_at = now

    def refresh_slowness(self, now: float) -> None:
        """Brings the figure that placement reads up to date."""
        ratio = self.run_time.ratio(now)
        alike = 1 / EQUAL_WITHIN < ratio < EQUAL_WITHIN
        self.slowness = 1.0 if alike else ratio

    def view(self, service_ms: float, now: float) -> EndpointView:
        """Returns how the status shows it.

        Args:
            service_ms: The service's mean run time.
            now: The time in milliseconds.
        """
        return EndpointView(
            id=self.endpoint.id,
            state=self.phase(now),
            outstanding=self.outstanding,
            run_ms=service_ms * self.run_time.ratio(now),
            failures=len(self.health.failed_jobs),
        )

    def phase(self, now: float) -> EndpointPhase:
        """Returns what the endpoint is given now."""
        if not self.listed:
            return EndpointPhase.UNLISTED
        if self.leaving:
            return EndpointPhase.LEAVING
        if self.reach.is_cut_off():
            return EndpointPhase.CUT_OFF
        if self.health.is_quarantined():
            return EndpointPhase.QUARANTINED
        if self.health.is_hinted(now):
            return EndpointPhase.HINTED
        if now < self.health.paused_until:
            return EndpointPhase.PAUSED
        return EndpointPhase.SERVING


def mark_of(endpoint: model.Endpoint) -> str:
    """Returns how peers name one incarnation of an endpoint."""
    return f'{endpoint.id}@{endpoint.incarnation}'
