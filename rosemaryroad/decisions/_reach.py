"""Whether the endpoints of a failure domain can be reached at all."""

import functools
import math

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _probing

__all__ = ['Reach', 'is_reached']

# One endpoint may have died and one job may kill each minion that runs it;
# neither speaks of the network.
LEAST_ENDPOINTS = 3
LEAST_JOBS = 2

# A probe costs one job where the cut resets connections, and a second where
# it drops packets. The longest wait is how late a healed domain comes back.
LAST_PROBE_MS = 10_000.0


@attrs.define(eq=False)
class Reach:
    """What attempts tell of the way to one failure domain.

    Attributes:
        job_by_endpoint: The endpoints that were not reached since any of
            the domain was, each with the job that tried last.
        failing_since: When the first of them was not.
        reached_at: When any of the domain replied last.
        entry_vms: How many entry VMs there were when it was cut off.
        probes: When it is tried again once it is cut off.
    """

    job_by_endpoint: dict[str, str] = attrs.field(factory=dict)
    failing_since: float = math.inf
    reached_at: float = -math.inf
    entry_vms: int = 0
    probes: _probing.ProbeSchedule = attrs.field(
        factory=lambda: _probing.ProbeSchedule(LAST_PROBE_MS)
    )

    def is_cut_off(self) -> bool:
        """Tells whether ordinary work stays away."""
        return self.probes.is_on

    def is_willing(self, now: float) -> bool:
        """Tells whether a task may go there, be it as a probe."""
        return not self.probes.is_on or self.probes.is_due(now)

    def is_suspicious(self) -> bool:
        """Tells whether the failures look like those of a network."""
        endpoints = len(self.job_by_endpoint)
        jobs = len(set(self.job_by_endpoint.values()))
        return endpoints >= LEAST_ENDPOINTS and jobs >= LEAST_JOBS

    def has_slots(self, entry_vms: int) -> bool:
        """Tells whether its slots count in the window.

        The entry VMs behind a cut count until they have been silent for
        seconds, and count again before the first probe. Were the slots to
        go before them and come after them, each VM on this side would
        take a part of the slots that is far too small, and work would
        wait, or be refused, beside slots that stand idle.

        Args:
            entry_vms: How many entry VMs there are now.
        """
        return not self.probes.is_on or entry_vms >= self.entry_vms

    def cut_off(self, entry_vms: int, now: float) -> None:
        """Keeps work away until a probe reaches an endpoint."""
        self.entry_vms = entry_vms
        self.probes.begin(now)

    def missed(self, endpoint_id: str, job: str, now: float) -> None:
        """Takes in that an endpoint was not reached."""
        if not self.job_by_endpoint:
            self.failing_since = now
        self.job_by_endpoint[endpoint_id] = job

    def reached(self, now: float) -> None:
        """Takes in that an endpoint has replied."""
        self.job_by_endpoint.clear()
        self.reached_at = now
        self.probes.stop()


@functools.singledispatch
def is_reached(outcome: model.Outcome) -> bool | None:
    """Tells whether an attempt got through, None where it doesn't show.

    Args:
        outcome: How the attempt ended.
    """
    raise TypeError(f'not an outcome: {outcome!r}')


@is_reached.register(model.Answered)
@is_reached.register(model.Failed)
def _(outcome: model.Outcome) -> bool | None:
    return True


@is_reached.register
def _(outcome: model.Unknown) -> bool | None:
    return False


@is_reached.register
def _(outcome: model.NotRun) -> bool | None:
    if outcome.cause is model.NotRunCause.NOT_SENT:
        return None
    return outcome.cause is not model.NotRunCause.CONNECT_REFUSED
