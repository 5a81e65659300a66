"""What follows for a dispatcher's workers from drained failure domains.

Nothing new starts there. What runs ends by itself, and its leases are
prolonged as before.
"""

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _state


def set_domains(
    context: _context.Context, domains: frozenset[str], now: float
) -> None:
    """Takes in which failure domains are drained.

    Args:
        context: All jobs and workers.
        domains: Their names.
        now: The present time.
    """
    began = domains - context.drained_domains
    ended = context.drained_domains - domains
    context.drained_domains = domains
    for worker in context.workers_by_id.values():
        domain = worker.worker.failure_domain
        if domain in began:
            _cancel_planned(context, worker, now)
        elif domain in ended:
            # It may have been restarted, or serve others meanwhile.
            context.run_times.forget(worker.worker.id)
            context.worker_changed(worker)


def _cancel_planned(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> None:
    for order in list(worker.orders_by_key.values()):
        if order.phase is _state.OrderPhase.PLANNED:
            context.remove_order(worker, order)
            context.requeue(order, now)
