"""Attempts that run for another dispatcher beside those of this one.

An entry VM that is cut off from the others but not from the workers starts
tasks there for its own clients. The dispatcher that most VMs follow sees them
in reports, and prolongs them with its own, since a lease covers all that runs
on a worker. That is sound while only their own dispatcher can start these
tasks: a client that leaves it and comes to a VM that follows this one is told
where they run.

If another VM is lost as well, a client may come to that one, and it may hear
neither. It counts on the leases of the first run, which its dispatcher can't
prolong any more once it is gone or cut off from the worker. Prolonged here,
the first run would go on beside the second, and the client would find its work
done twice. So such attempts are stopped here once they are older than a lease.
"""

import collections.abc

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _state

# Homes hand their jobs to a new dispatcher as soon as they hear of it, some
# milliseconds after it has; what runs for none of them runs for nobody. It
# must be gone before its own dispatcher, if that lives on behind a cut,
# takes it for lapsed.
_CLAIM_MS = 150.0


def vm_lost(context: _context.Context, now: float) -> None:
    """Takes in that clients may come to one more VM that isn't heard."""
    context.vm_lost_at = now
    if not context.is_outvoted:
        for worker in context.workers_by_id.values():
            _stop_older_than_lease(context, worker, now)


def stop_cancelled(context: _context.Context, job_id: str, now: float) -> None:
    """Stops what runs of a cancelled job for another dispatcher."""
    for worker in context.workers_by_id.values():
        for order in _running(worker):
            if order.task.job == job_id:
                context.stop(worker, order, 'cancelled', now)


def stop_unclaimed(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> None:
    """Stops attempts that no home claims and that must not be prolonged."""
    if context.is_outvoted or not worker.unclaimed_by_key:
        return
    _stop_found(context, worker, now)
    _stop_older_than_lease(context, worker, now)


def _stop_found(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> None:
    """Stops what a worker ran when it was taken up, and no home claims."""
    if not worker.reported:
        return
    since = max(worker.taken_up_at, context.led_since)
    if now - since < _CLAIM_MS:
        return
    for order in _running(worker):
        if order.was_found:
            context.stop(worker, order, 'nobody claims it', now)


def _stop_older_than_lease(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> None:
    """Stops what another VM may start again, counting on its lease."""
    for order in _running(worker):
        if now - order.begun_after < context.limits.lease_ms:
            continue
        if _may_start_elsewhere(context, order):
            context.stop(worker, order, 'may be started elsewhere', now)


def _may_start_elsewhere(
    context: _context.Context, order: _state.Order
) -> bool:
    """Tells whether a VM that isn't heard may start a task again."""
    if order.was_found:
        # A home may claim it yet; it isn't prolonged meanwhile.
        return False
    if order.begun_after <= context.vm_lost_at:
        return True
    return not _hears_all_domains(context)


def _hears_all_domains(context: _context.Context) -> bool:
    """Tells whether some worker of each failure domain is heard.

    The VMs of one that is cut off can't ask the workers elsewhere.
    """
    domains = set()
    heard = set()
    for worker in context.workers_by_id.values():
        domains.add(worker.worker.failure_domain)
        if worker.reported and worker.silent_since is None:
            heard.add(worker.worker.failure_domain)
    return domains == heard


def _running(
    worker: _state.WorkerState,
) -> collections.abc.Iterator[_state.Order]:
    for order in list(worker.unclaimed_by_key.values()):
        if order.phase is _state.OrderPhase.RUNNING:
            yield order
