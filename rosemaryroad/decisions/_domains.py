"""The failure domains of a service's endpoints, and which are cut off."""

from rosemaryroad import model
from rosemaryroad.decisions import _reach

__all__ = ['FailureDomains']


class FailureDomains:
    """What attempts tell of the way to each failure domain.

    A failure domain that is cut off fails every task that is sent there,
    and its endpoints have nothing out, so they look free and draw the work
    of all. Judged one by one, each costs several jobs, and most of them
    may not be kept out, being over a third of the service's endpoints.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, _reach.Reach] = {}

    def reach_of(self, name: str) -> _reach.Reach:
        """Returns the way to a failure domain, the same one each time."""
        return self._by_name.setdefault(name, _reach.Reach())

    def keep(self, names: set[str]) -> None:
        """Forgets all failure domains but these."""
        for name in self._by_name.keys() - names:
            del self._by_name[name]

    def is_any_cut_off(self) -> bool:
        """Tells whether any is cut off."""
        return any(reach.is_cut_off() for reach in self._by_name.values())

    def probe_soon(self) -> None:
        """Tries those that are cut off as soon as there is work."""
        for reach in self._by_name.values():
            reach.probes.soon()

    def note(
        self,
        endpoint: model.Endpoint,
        outcome: model.Outcome,
        job: str,
        entry_vms: int,
        now: float,
    ) -> None:
        """Takes in how an attempt ended.

        Args:
            endpoint: Where it was made.
            outcome: How it ended.
            job: The submission's key as text.
            entry_vms: How many entry VMs there are now.
            now: The time in milliseconds.
        """
        reach = self.reach_of(endpoint.failure_domain)
        is_reached = _reach.is_reached(outcome)
        if is_reached:
            reach.reached(now)
        elif is_reached is False:
            reach.missed(endpoint.id, job, now)
            if not reach.is_cut_off() and self._looks_cut_off(reach):
                reach.cut_off(entry_vms, now)

    def _looks_cut_off(self, reach: _reach.Reach) -> bool:
        # Where no other domain has replied since, the service is at fault.
        return reach.is_suspicious() and any(
            other is not reach and other.reached_at >= reach.failing_since
            for other in self._by_name.values()
        )
