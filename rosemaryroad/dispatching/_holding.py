"""Whose calls prolong a worker's leases, and when they have lapsed.

A lease covers all that runs on a worker, whoever ordered it. A dispatcher
takes its attempts for lapsed when its own calls have found no answer for long
enough, and starts the tasks elsewhere. That is true only if no other
dispatcher prolongs the same worker's leases meanwhile; callers would find
their work done twice. So between two that don't hear each other

- the one that most VMs follow prolongs what it likes, but for attempts that it
  has found or given up and that aren't known to be gone. Found are those that
  had begun before most VMs followed it;
- the other one prolongs no worker that runs an attempt which none of its homes
  waits for, and infers nothing from the silence of a worker that both may have
  reached.
"""

import math

from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _state

# What another dispatcher has started since a worker last told isn't known
# here. A dispatcher that most VMs don't follow prolongs leases only within
# this time of a report, and makes them shorter by this time and the validity
# of an order to start. So it keeps no task of the other one running for
# longer than a lease after the order that started it.
_FRESH_MS = 150.0

# The validity of an order to start that must not prolong leases: little more
# than its delivery takes.
_ORDER_WAY_MS = 40.0

# With less than this share of a lease left, a start has the leases prolonged
# at once. A busy worker, which is asked every 300 ms, has more left; an idle
# one is asked a third as often.
_MIN_LEASE_SHARE = 0.6

# The longest time that a sign of life takes from one VM to another.
_MAX_SIGN_DELAY_MS = 100.0


def may_prolong(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> bool:
    """Tells whether calls of this dispatcher may prolong a worker's leases."""
    if not worker.is_surveyed:
        return False
    if context.is_outvoted and now - worker.heard_at > _FRESH_MS:
        return False
    if not _have_all_homes_answered(context, worker, now):
        return False
    return not any(
        _may_lapse_elsewhere(context, worker, order)
        for order in worker.unclaimed_by_key.values()
    )


def have_homes_answered(
    context: _context.Context, state: _state.JobState, now: float
) -> bool:
    """Tells whether all homes of a job have answered a recent message.

    A home hands a job on only after it has heard nothing for the silence
    time. Only an answer shows that it hears this dispatcher; its other
    messages don't.
    """
    since = now - context.silence_ms
    return all(
        context.acked_sent_at_by_home.get(home, 0.0) >= since
        for home in state.homes
    )


def _have_all_homes_answered(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> bool:
    """Tells whether the homes of all attempts at a worker have answered.

    If a home has handed its job on, the next dispatcher may be waiting for
    the leases to lapse.
    """
    if math.isinf(context.silence_ms):
        return True
    return all(
        order.job is None
        or order.phase is _state.OrderPhase.PLANNED
        or have_homes_answered(context, order.job, now)
        for order in worker.orders_by_key.values()
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
    return context.is_outvoted or order.was_found


def spare_ms(context: _context.Context) -> float:
    """Returns how much sooner leases end than the longest ones would."""
    if not context.is_outvoted:
        return 0.0
    return _FRESH_MS + context.limits.order_validity_ms


def order_validity_ms(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> float:
    """Returns how long an order to start that is sent now is valid."""
    if may_prolong(context, worker, now):
        return context.limits.order_validity_ms
    return _ORDER_WAY_MS


def held(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> None:
    """Notes that a call which prolongs leases is sent now."""
    worker.held_at = now
    worker.leased_until = now + context.limits.lease_ms - spare_ms(context)


def needs_prolonging(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> bool:
    """Tells whether leases should be prolonged for a task that starts now.

    An order to start prolongs them only until it expires.
    """
    if not may_prolong(context, worker, now):
        return False
    longest_ms = context.limits.lease_ms - spare_ms(context)
    return worker.leased_until - now < _MIN_LEASE_SHARE * longest_ms


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
        if worker.reported:
            _survey(context, worker)
    context.outvoted_since = None
    context.led_since = now


def _survey(context: _context.Context, worker: _state.WorkerState) -> None:
    """Has a worker tell what it runs, and takes what is known for found.

    The dispatcher that most VMs followed so far expects that none of its
    attempts is prolonged any more.
    """
    worker.is_surveyed = False
    for order in worker.unclaimed_by_key.values():
        order.was_found = True
    context.ask(_actions.LookAt(worker.worker.id))


def lose_majority(
    context: _context.Context, followed_at: float, now: float
) -> None:
    """Takes in that another dispatcher may prolong leases from now on.

    Args:
        context: All jobs and workers.
        followed_at: A time at which most VMs still followed this one, by
            messages that were on their way then.
        now: The present time.
    """
    context.outvoted_since = now
    context.followed_until = followed_at - _MAX_SIGN_DELAY_MS


def lapsed_orders(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> list[_state.Order]:
    """Returns the attempts that no longer run at a silent worker."""
    if worker.silent_since is None:
        return []
    if now - worker.held_at <= context.limits.lapse_ms:
        return []
    orders = list(worker.orders_by_key.values())
    since = context.outvoted_since
    if since is None:
        return orders
    if worker.heard_at >= since:
        return []
    # Another dispatcher stops the attempts that had begun before most VMs
    # followed it, but may prolong the leases of attempts that begin later.
    return [
        order
        for order in orders
        if _latest_begin_time(context, order) <= context.followed_until
    ]


def _latest_begin_time(
    context: _context.Context, order: _state.Order
) -> float:
    """Returns the latest time at which an attempt can have begun."""
    if order.phase is _state.OrderPhase.PLANNED:
        return -math.inf
    if order.begun_at is not None:
        return order.begun_at
    return order.at + context.limits.order_validity_ms
