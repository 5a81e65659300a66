"""Where the next task goes."""

import collections.abc
import math

from rosemaryroad import model
from rosemaryroad.decisions import _endpoint_state

__all__ = ['best']

# An endpoint with work out that has ended nothing for this many usual run
# times is taken to be as slow as that.
STALLED_AFTER = 3.0


def best(
    states: collections.abc.Iterable[_endpoint_state.EndpointState],
    needs: model.Needs,
    now: float,
    exclude: frozenset[str],
    service_ms: float,
) -> _endpoint_state.EndpointState | None:
    """Returns the endpoint at which a task should end first.

    It runs for each task over all endpoints, so the cheap comparison of
    scores stands before the question whether the endpoint may be used.

    Args:
        states: The endpoints; of equals the one preferred is taken, and
            of these the first.
        needs: What the task needs.
        now: The time in milliseconds.
        exclude: Ids of endpoints that have refused the task.
        service_ms: The service's usual run time.
    """
    chosen = None
    least = math.inf
    for state in states:
        score = (state.outstanding + 1) * _slowness(state, now, service_ms)
        if score > least:
            continue
        if score == least and state.preference >= chosen.preference:
            continue
        if state.may_take(needs, now, exclude):
            chosen = state
            least = score
    return chosen


def _slowness(
    state: _endpoint_state.EndpointState, now: float, service_ms: float
) -> float:
    if not state.outstanding:
        return state.slowness
    # An endpoint that stands still reports no run times, so it would keep
    # its good average and be given work until its share is full.
    stalled = (now - state.progress_at) / service_ms
    if stalled < STALLED_AFTER:
        return state.slowness
    return max(state.slowness, stalled)
