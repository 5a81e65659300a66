"""Which jobs are refused before they have waited in vain."""

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _state


def review_arrival(
    context: _context.Context, state: _state.JobState, now: float
) -> None:
    """Refuses a job that has just come, if it can't start in time."""


def review_waiting(context: _context.Context, now: float) -> None:
    """Refuses the waiting jobs that can't start in time any more."""
