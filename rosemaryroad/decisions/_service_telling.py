"""What heartbeats tell of the demand on services."""

import collections.abc
import typing

from rosemaryroad import model

__all__ = ['ServiceTeller']

# A service's demand is told before its turn if it has changed by more than
# this share of itself; smaller changes hardly move a peer's window.
TOLD_CHANGE_SHARE = 0.25

_NUMBERS_BYTES = 10

# Outstanding and waiting tasks of a service.
_Numbers: typing.TypeAlias = tuple[int, int]
_NO_DEMAND: _Numbers = (0, 0)

_Demand: typing.TypeAlias = tuple[model.ServiceDemand, ...]


class ServiceTeller:
    """Chooses what is told, and remembers it."""

    def __init__(self) -> None:
        # None stands for numbers that not all peers have been told.
        self._told_by_service: dict[str, _Numbers | None] = {}
        self._repeated = 0

    def joined(self) -> None:
        """All is told again, bit by bit."""
        self._told_by_service = dict.fromkeys(self._told_by_service)

    def is_due(
        self, demand: _Demand, spare: collections.abc.Callable[[str], int]
    ) -> bool:
        """Tells whether a peer's window depends on what has changed.

        Args:
            demand: The present demand.
            spare: Returns how much demand on a service is no peer's
                concern.
        """
        numbers_by_service = _by_service(demand)
        told = self._told_by_service
        for service in numbers_by_service.keys() | told.keys():
            before = told.get(service, _NO_DEMAND)
            if before is None:
                return True
            old = sum(before)
            new = sum(numbers_by_service.get(service, _NO_DEMAND))
            # Peers that still count with much must hear that it is gone.
            most = max(old, new)
            changed = abs(new - old) > TOLD_CHANGE_SHARE * most
            if changed and most > spare(service):
                return True
        return False

    def choose(
        self, demand: _Demand, budget: int, at_least_one: bool
    ) -> _Demand:
        """Returns what is told now, the largest change first.

        Args:
            demand: The present demand.
            budget: Bytes that it may take.
            at_least_one: Whether one item goes, however small the budget.
        """
        numbers_by_service = _by_service(demand)
        chosen: list[model.ServiceDemand] = []
        for service in self._order(numbers_by_service):
            budget -= len(service) + _NUMBERS_BYTES
            if budget < 0 and (chosen or not at_least_one):
                break
            numbers = numbers_by_service.get(service)
            chosen.append(
                model.ServiceDemand(service, *(numbers or _NO_DEMAND))
            )
            if numbers is None:
                del self._told_by_service[service]
            else:
                self._told_by_service[service] = numbers
        return tuple(chosen)

    def _order(self, numbers_by_service: dict[str, _Numbers]) -> list[str]:
        told = self._told_by_service
        # A service that has gone is told as nothing, then forgotten.
        changed = [
            service for service in told if service not in numbers_by_service
        ]
        changed += [
            service
            for service, numbers in numbers_by_service.items()
            if told.get(service, _NO_DEMAND) != numbers
        ]

        def distance(service: str) -> int:
            now = numbers_by_service.get(service, _NO_DEMAND)
            before = told.get(service) or _NO_DEMAND
            return abs(now[0] - before[0]) + abs(now[1] - before[1])

        changed.sort(key=distance, reverse=True)
        return changed + self._next_repeated(list(numbers_by_service), changed)

    def _next_repeated(
        self, services: list[str], changed: list[str]
    ) -> list[str]:
        # Where two links stand and the one in use is lost, a heartbeat
        # goes with it unnoticed, and the peer would count with numbers
        # that are wrong until they change again. One service told again
        # in each heartbeat sets this right in time.
        if not services:
            return []
        self._repeated = (self._repeated + 1) % len(services)
        service = services[self._repeated]
        return [] if service in changed else [service]


def _by_service(demand: _Demand) -> dict[str, _Numbers]:
    return {item.service: (item.outstanding, item.waiting) for item in demand}
