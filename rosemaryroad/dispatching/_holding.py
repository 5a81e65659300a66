"""Whose calls prolong a worker's leases, and when they have lapsed.

A lease covers all that runs on a worker, whoever ordered it. A dispatcher
takes its attempts for lapsed when its own calls have found no answer for long
enough, and starts the tasks elsewhere. That is true only if no other
dispatcher prolongs the same worker's leases meanwhile; callers would find
their work done twice. So between two that don't hear each other

- the one that most VMs follow prolongs what it likes, but for attempts that it
  has found or given up and that aren't known to be gone;
- the other one prolongs no worker that runs an attempt which none of its homes
  waits for, and infers nothing from the silence of a worker that both may have
  reached.
"""

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _state

# What another dispatcher has started since a worker last told isn't known
# here. One that most VMs don't follow prolongs on fresh news only, and by so
# much less than a lease: the other's tasks last no longer by it than by the
# call that started them.
_FRESH_MS = 150.0


def may_prolong(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> bool:
    """Tells whether calls of this dispatcher may prolong a worker's leases."""
    if not worker.reported:
        return False
    if context.is_outvoted and now - worker.heard_at > _FRESH_MS:
        return False
    return not any(
        _may_lapse_elsewhere(context, worker, order)
        for order in worker.unclaimed_by_key.values()
    )


def _may_lapse_elsewhere(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
) -> bool:
    if order.phase is _state.OrderPhase.STOPPING:
        return True
    if order.phase is not _state.OrderPhase.RUNNING:
        return False
    return context.is_outvoted or order.at == worker.taken_up_at


def spare_ms(context: _context.Context) -> float:
    """Returns how much sooner leases end than the longest ones would."""
    return _FRESH_MS if context.is_outvoted else 0.0


def keeps_tasks(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> bool:
    """Tells whether a task that is started at a worker is likely to end.

    Where this dispatcher may not prolong the leases, it runs under those
    that are there: until an order to stop has come through, or for as long
    as another dispatcher, which can't be heard, prolongs them. That one is
    at work if its attempts have outlived the leases that were found.
    """
    if not context.is_outvoted or may_prolong(context, worker, now):
        return worker.reported
    if not worker.reported:
        return False
    return now - worker.taken_up_at >= context.limits.lapse_ms


def trust_again(context: _context.Context, now: float) -> None:
    """Takes in that no other dispatcher prolongs leases from now on."""
    for worker in context.workers_by_id.values():
        if worker.heard_at >= context.outvoted_since:
            # The other one may have done so until just now.
            worker.held_at = now
    context.outvoted_since = None


def has_lapsed(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> bool:
    """Tells whether nothing runs any more at a worker that is silent."""
    if worker.silent_since is None:
        return False
    if now - worker.held_at <= context.limits.lapse_ms:
        return False
    since = context.outvoted_since
    return since is None or worker.heard_at < since
