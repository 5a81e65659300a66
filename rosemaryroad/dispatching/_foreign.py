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
        _stop_older_than_lease(context, _shared_workers(context), now)


def stop_cancelled(
    context: _context.Context,
    job_ids: collections.abc.Set[str],
    now: float,
) -> None:
    """Stops what runs of cancelled jobs for another dispatcher."""
    for worker in _shared_workers(context):
        for order in _running(worker):
            if order.task.job in job_ids:
                context.stop(worker, order, 'cancelled', now)


def stop_unclaimed(context: _context.Context, now: float) -> None:
    """Stops attempts that no home claims and that must not be prolonged."""
    if context.is_outvoted:
        return
    workers = _shared_workers(context)
    for worker in workers:
        _stop_found(context, worker, now)
    _stop_older_than_lease(context, workers, now)


def _shared_workers(context: _context.Context) -> list[_state.WorkerState]:
    """Returns the workers that run what no home here waits for."""
    return [
        worker
        for worker in context.workers_by_id.values()
        if worker.unclaimed_by_key
    ]


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
    context: _context.Context,
    workers: list[_state.WorkerState],
    now: float,
) -> None:
    """Stops what another VM may start again, counting on its lease.

    What was found at take-up may be claimed yet; it isn't prolonged meanwhile.
    """
    if not workers:
        return
    begun_before = context.vm_lost_at
    if not _hears_all_domains(context):
        # The VMs of one that is cut off can't ask the workers elsewhere.
        begun_before = now
    begun_before = min(begun_before, now - context.limits.lease_ms)
    for worker in workers:
        for order in _running(worker):
            if order.begun_after <= begun_before and not order.was_found:
                context.stop(worker, order, 'may be started elsewhere', now)


def _hears_all_domains(context: _context.Context) -> bool:
    """Tells whether some worker of each failure domain is heard."""
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
