"""Running tasks that are stopped for more urgent jobs."""

from rosemaryroad.dispatching import _context


def preempt(context: _context.Context, now: float) -> None:
    """Stops tasks where an urgent job would miss its objective otherwise."""
