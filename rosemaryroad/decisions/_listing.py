"""Which endpoints a service has, by all that has been told of them."""

import math

from rosemaryroad import model
from rosemaryroad.decisions import _connections
from rosemaryroad.decisions import _domains
from rosemaryroad.decisions import _endpoint_state
from rosemaryroad.decisions import _leaving

__all__ = ['Listing']

# Records of endpoints that are kept in case a list names them again.
MOST_UNLISTED = 64

# Needs for which the endpoints that fit are kept; tasks mostly say one of
# a few, but a caller may say another one each time.
MOST_NEEDS = 256


class Listing:
    """The listed endpoints of one service.

    Args:
        failure_domain: Where this entry VM stands.

    Attributes:
        by_id: The listed endpoints by their ids.
        states: The same, for the choice that runs for each task.
        share: This VM's share of their connections.
        domains: The failure domains that they stand in.
    """

    def __init__(self, failure_domain: str) -> None:
        self.by_id: dict[str, _endpoint_state.EndpointState] = {}
        self.states: tuple[_endpoint_state.EndpointState, ...] = ()
        self.domains = _domains.FailureDomains()
        self.share = _connections.ConnectionShare()
        self._failure_domain = failure_domain
        self._unlisted: dict[str, _endpoint_state.EndpointState] = {}
        self._leaving = _leaving.LeavingMarks()
        self._fitting: dict[
            model.Needs, tuple[_endpoint_state.EndpointState, ...]
        ] = {}

    def replace(self, endpoints: tuple[model.Endpoint, ...]) -> None:
        """Takes the list of endpoints from their source."""
        before = self.by_id
        self.by_id = {}
        for endpoint in endpoints:
            if endpoint.leaving:
                self._leaving.add(_endpoint_state.mark_of(endpoint))
            state = before.pop(endpoint.id, None)
            if state is None or not state.is_life_of(endpoint):
                self._put_by(state)
                state = self._bring_back(endpoint)
            state.endpoint = endpoint
            state.listed = True
            self.by_id[endpoint.id] = state
        for state in before.values():
            self._put_by(state)
        self.states = tuple(self.by_id.values())
        self._fitting.clear()
        self._set_preferences()
        self._fill_in()
        self.domains.keep(
            {state.endpoint.failure_domain for state in self.states}
        )

    def fitting(
        self, needs: model.Needs
    ) -> tuple[_endpoint_state.EndpointState, ...]:
        """Returns the endpoints that are large enough for a task."""
        fitting = self._fitting.get(needs)
        if fitting is None:
            fitting = tuple(
                state for state in self.states if state.is_large_enough(needs)
            )
            if len(self._fitting) >= MOST_NEEDS:
                self._fitting.clear()
            self._fitting[needs] = fitting
        return fitting

    def mark_leaving(self, mark: str) -> None:
        """Notes that one incarnation leaves; see ``mark_of``."""
        self._leaving.add(mark)
        self._fill_in()

    def _put_by(self, state: _endpoint_state.EndpointState | None) -> None:
        if state is None:
            return
        state.listed = False
        self._unlisted[_endpoint_state.mark_of(state.endpoint)] = state
        if len(self._unlisted) > MOST_UNLISTED:
            del self._unlisted[next(iter(self._unlisted))]

    def _bring_back(
        self, endpoint: model.Endpoint
    ) -> _endpoint_state.EndpointState:
        # A list that lags may drop an endpoint and name it again. What is
        # out there still counts, and a quarantine still holds.
        mark = _endpoint_state.mark_of(endpoint)
        state = self._unlisted.pop(mark, None)
        if state is not None and state.is_life_of(endpoint):
            return state
        return _endpoint_state.EndpointState(endpoint)

    def _set_preferences(self) -> None:
        rooms = sorted({_room(state.endpoint) for state in self.states})
        place_by_room = {room: place for place, room in enumerate(rooms)}
        for state in self.states:
            endpoint = state.endpoint
            # Work that fits anywhere would take the few large endpoints as
            # often as the others, and what fits only there would wait
            # beside free slots. So the smaller ones go first, and of these
            # the ones in the own failure domain.
            far = endpoint.failure_domain != self._failure_domain
            state.preference = 2 * place_by_room[_room(endpoint)] + far

    def _fill_in(self) -> None:
        for state in self.states:
            endpoint = state.endpoint
            state.share = self.share
            state.reach = self.domains.reach_of(endpoint.failure_domain)
            state.leaving = _endpoint_state.mark_of(endpoint) in self._leaving


def _room(endpoint: model.Endpoint) -> tuple[int, int, int]:
    # Doublings, since VMs of one kind differ by a little.
    return (
        endpoint.accelerators,
        math.frexp(endpoint.cores)[1],
        endpoint.memory_mb.bit_length(),
    )
