"""What is due at a worker by the time alone."""

from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _holding
from rosemaryroad.dispatching import _reports
from rosemaryroad.dispatching import _state

# An order to stop that gets no answer is repeated after this long, an answer
# taking a few milliseconds, and more seldom each time.
_STOP_AGAIN_MS = 200.0
_MOST_DOUBLINGS = 3


def check_worker(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> None:
    """Does what is due at a worker by the time alone."""
    lapsed_orders = _holding.lapsed_orders(context, worker, now)
    if lapsed_orders:
        cause = 'silent until the leases lapsed'
        context.drop_orders(worker, lapsed_orders, cause, now)
        return
    looked = False
    for order in list(worker.orders_by_key.values()):
        if (
            order.phase is _state.OrderPhase.STOPPING
            and now - order.stop_sent_at >= _stop_again_ms(order)
        ):
            context.stop(worker, order, 'stop unanswered', now)
        elif order.phase in (
            _state.OrderPhase.IN_DOUBT,
            _state.OrderPhase.STOPPED,
        ):
            if now - order.stop_sent_at >= _STOP_AGAIN_MS:
                order.stop_sent_at = now
                context.ask(_actions.LookAt(worker.worker.id))
        elif not looked:
            looked = _reports.look_if_overdue(context, worker, order, now)


def _stop_again_ms(order: _state.Order) -> float:
    # The second follows the first at once, where its answer is lost.
    doublings = min(max(0, order.stops - 2), _MOST_DOUBLINGS)
    return _STOP_AGAIN_MS * 2**doublings
