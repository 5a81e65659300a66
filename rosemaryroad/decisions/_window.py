"""How many tasks of a service one entry VM lets out at once.

Work that is held at home can still change its order; work that is out
can't. Too small a window leaves slots idle, too large a one turns the
endpoints' own queues into a plain first-come queue.
"""

import math

# Slots alone would leave each slot idle for a round trip between tasks.
HEADROOM = 1.1

# While all entry VMs together want less than this share of the slots, each
# gets what it wants, whatever it knows of the others.
CONTENDED_SHARE = 0.8


class Window:
    """Sizes the window from the demand of all entry VMs.

    Each entry VM takes of all slots the share that its own outstanding and
    waiting tasks have in the sum over all entry VMs, but at least an even
    share, so that it can begin at once after having been idle.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._entry_vms = 1
        self._peer_demand = 0
        self._own_at_report = 0

    def set_slots(self, slots: int) -> None:
        """Sets the slots of all endpoints that take work."""
        self._slots = slots

    def set_peers(
        self, peer_demand: int, entry_vms: int, own_demand: int
    ) -> None:
        """Takes over what the peers' last heartbeats say.

        Args:
            peer_demand: Outstanding and waiting tasks of all peers.
            entry_vms: How many entry VMs serve, this one included.
            own_demand: Outstanding and waiting tasks here meanwhile.
        """
        self._own_at_report = own_demand
        self._peer_demand = peer_demand
        self._entry_vms = max(1, entry_vms)

    @property
    def spare(self) -> int:
        """How much this entry VM may want before slots are contended."""
        return int(CONTENDED_SHARE * self._slots) - self._peer_demand

    def demand_share(self, own_demand: int) -> float | None:
        """Returns this VM's part of all demand, None where there is none.

        Args:
            own_demand: Outstanding and waiting tasks of this entry VM.
        """
        total = own_demand + self._peer_demand
        return own_demand / total if total > 0 else None

    def size(self, own_demand: int) -> int:
        """Returns the window.

        Args:
            own_demand: Outstanding and waiting tasks of this entry VM.
        """
        return self._size(own_demand, self._peer_demand)

    def expected_size(self, own_demand: int, arriving: int) -> int:
        """Returns the window that a submission can count on if let in.

        Callers are spread over the entry VMs, so a burst comes to all of
        them, and what the peers have told is from before. Counted on at
        each, all slots would be promised as often as there are entry VMs,
        and much of what was let in would pass its deadline. So the peers
        are taken to have gained as much as this one since then.

        The submission itself counts for them no more than what came here
        before it: a large one that comes while all are idle has all slots.

        Args:
            own_demand: Outstanding and waiting tasks of this entry VM.
            arriving: Tasks of the submission.
        """
        gained = max(0, own_demand - self._own_at_report)
        gained += min(gained, arriving)
        peer_demand = self._peer_demand + gained * (self._entry_vms - 1)
        return self._size(own_demand + arriving, peer_demand)

    def _size(self, own_demand: int, peer_demand: int) -> int:
        floor = math.ceil(self._slots / self._entry_vms)
        total = own_demand + peer_demand
        share = own_demand / total if total > 0 else 0.0
        return max(floor, math.ceil(HEADROOM * share * self._slots))
