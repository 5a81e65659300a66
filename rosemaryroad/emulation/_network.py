"""The network between emulated processes: delays and cuts."""

import asyncio
import collections.abc

import attrs

from rosemaryroad.emulation import _lives

_MS_PER_SECOND = 1000.0

# Two messages on one way must not arrive at the same moment, since timers
# that are due together come in any order.
_NEXT_MESSAGE_S = 1e-6


@attrs.frozen
class Delays:
    """How long a message takes one way, in milliseconds.

    Attributes:
        within_domain_ms: Within a failure domain.
        across_domains_ms: Between failure domains.
    """

    within_domain_ms: float = 0.1
    across_domains_ms: float = 1.4


@attrs.frozen(eq=False)
class Cut:
    """A way that nothing gets through.

    Attributes:
        senders: From these.
        receivers: To these.
    """

    senders: frozenset[str]
    receivers: frozenset[str]

    def holds_back(self, sender: str, receiver: str) -> bool:
        """Tells whether a message is lost by it."""
        return sender in self.senders and receiver in self.receivers


class Network:
    """Carries messages between processes, by their names.

    Args:
        delays: How long a message takes.
        domain_by_name: The failure domain of each process.
    """

    def __init__(
        self,
        delays: Delays,
        domain_by_name: collections.abc.Mapping[str, str],
    ) -> None:
        self._delays = delays
        self._domain_by_name = domain_by_name
        self._cuts: list[Cut] = []
        self._last_by_way: dict[tuple[str, str], float] = {}

    def cut(
        self,
        names: collections.abc.Iterable[str],
        others: collections.abc.Iterable[str],
    ) -> tuple[Cut, Cut]:
        """Lets nothing through between some and others, either way."""
        one, other = frozenset(names), frozenset(others)
        made = Cut(one, other), Cut(other, one)
        self._cuts += made
        return made

    def heal(self, cuts: collections.abc.Iterable[Cut]) -> None:
        """Ends cuts."""
        for cut in cuts:
            self._cuts.remove(cut)

    def reaches(self, sender: str, receiver: str) -> bool:
        """Tells whether a message gets through now."""
        return not any(cut.holds_back(sender, receiver) for cut in self._cuts)

    def are_joined(self, one: str, other: str) -> bool:
        """Tells whether messages get through both ways."""
        return self.reaches(one, other) and self.reaches(other, one)

    def delay_s(self, sender: str, receiver: str) -> float:
        """Returns how long a message takes, in seconds."""
        domains = self._domain_by_name
        delays = self._delays
        delay_ms = delays.across_domains_ms
        if domains.get(sender) == domains.get(receiver):
            delay_ms = delays.within_domain_ms
        return delay_ms / _MS_PER_SECOND

    def send(
        self,
        sender: str,
        receiver: _lives.Life,
        deliver: collections.abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        """Has something called at a process when a message arrives there.

        Messages on one way arrive in their order; what is cut off is lost.
        """
        if not self.reaches(sender, receiver.name):
            return
        now_s = asyncio.get_running_loop().time()
        way = (sender, receiver.name)
        arrival_s = max(
            now_s + self.delay_s(*way),
            self._last_by_way.get(way, 0.0) + _NEXT_MESSAGE_S,
        )
        self._last_by_way[way] = arrival_s
        receiver.call_at(arrival_s, deliver, *arguments)
