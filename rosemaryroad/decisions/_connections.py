"""How many of an endpoint's connections one entry VM may use.

An endpoint accepts a bounded number from all entry VMs together. One part
is shared out evenly, so that each can begin at once; the rest goes by
demand. By even shares alone, a home with a large job would use a few
connections of each endpoint while the slots behind the others idle.
"""

import attrs

# The even part takes this share of the connections at most.
EVEN_PART = 0.5


@attrs.define
class ConnectionShare:
    """This entry VM's share of each endpoint's connections.

    Attributes:
        entry_vms: How many entry VMs share them.
        demand_share: This one's part of the demand of all of them, or None
            while nothing is known of demand.
    """

    entry_vms: int = 1
    demand_share: float | None = None

    def of(self, connections: int) -> int:
        """Returns how many tasks may be out at an endpoint.

        The shares of all entry VMs together stay within the connections,
        so long as they agree on their demand and are no more than these.

        Args:
            connections: What the endpoint accepts from all.
        """
        even = max(1, int(EVEN_PART * connections / self.entry_vms))
        free = max(0, connections - even * self.entry_vms)
        mine = self.demand_share
        if mine is None:
            mine = 1 / self.entry_vms
        return even + int(free * mine)
