"""What follows from a worker's reply to an order to start."""

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _lives
from rosemaryroad.dispatching import _state

# How far the numbers of attempts jump when a worker knows a higher one: a
# job that came again has forgotten how often it was started before.
_ATTEMPT_JUMP = 16


def take_start(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    reply: model.OrderReply,
    now: float,
) -> None:
    """Takes in the reply to an order that takes room at its worker."""
    result = reply.result
    _lives.start_answered(order, reply, now)
    if result is model.OrderResult.DONE:
        if order.phase in (
            _state.OrderPhase.STARTING,
            _state.OrderPhase.IN_DOUBT,
        ):
            order.phase = _state.OrderPhase.RUNNING
        return
    if result is model.OrderResult.UNKNOWN:
        if order.phase is _state.OrderPhase.STARTING:
            order.phase = _state.OrderPhase.IN_DOUBT
            worker.unanswered_at = now
            order.stop_sent_at = now
            context.ask(_actions.LookAt(worker.worker.id))
        return
    if order.phase is _state.OrderPhase.RUNNING:
        # A report has shown it at work; an answer to a repetition.
        return
    order.may_lack_end = False
    context.remove_order(worker, order)
    context.requeue(order, now)
    _take_refusal(context, worker, order, result, now)


def _take_refusal(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    result: model.OrderResult,
    now: float,
) -> None:
    if result is model.OrderResult.STALE_ATTEMPT:
        if order.job is not None:
            task = order.job.tasks[order.task.index]
            task.attempt += _ATTEMPT_JUMP
    elif result is model.OrderResult.UNHEALTHY:
        if not order.is_older:
            context.blame(worker, now, 'refused as unhealthy')
        worker.full = True
    elif result is model.OrderResult.WRONG_LIFE:
        worker.listed = False
        orders = list(worker.orders_by_key.values())
        context.drop_orders(worker, orders, 'another life answers', now)
    else:
        # Until it has told what it runs, another try would only be
        # refused again.
        worker.full = True
        context.ask(_actions.LookAt(worker.worker.id))
