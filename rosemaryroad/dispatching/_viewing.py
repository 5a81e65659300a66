"""Puts together what operators are shown of a dispatcher's room."""

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _scheduling
from rosemaryroad.dispatching import _sharing
from rosemaryroad.dispatching import _state
from rosemaryroad.dispatching import _view


def measure(context: _context.Context, now: float) -> _view.SchedulingView:
    """Returns what a dispatcher does with its room."""
    view = _view.SchedulingView()
    _add_shares(context, view, now)
    _add_cores(context, view)
    _add_waiting(context, view, now)
    for name, counts in context.refusals_by_queue.items():
        view.queue(name).refusals_by_cause = dict(counts)
    for name, count in context.preemptions_by_queue.items():
        view.queue(name).preempted_tasks = count
    return view


def count(context: _context.Context) -> _view.DecisionCounts:
    """Returns what a dispatcher has decided since its start."""
    counts = _view.DecisionCounts()
    counts.add(
        _view.DecisionCounts(
            context.refusals_by_queue, context.preemptions_by_queue
        )
    )
    return counts


def _add_shares(
    context: _context.Context, view: _view.SchedulingView, now: float
) -> None:
    view.sharing = context.limits.scheduling.sharing.key
    if view.sharing is _scheduling.SharingKey.NONE:
        return
    for row in context.shares.rows():
        view.share_by_name[row.name] = _view.ShareView(
            weight=row.weight, share=row.share, is_over=row.is_over
        )


def _add_cores(context: _context.Context, view: _view.SchedulingView) -> None:
    view.cores = context.cores()
    for worker in context.workers_by_id.values():
        for order in worker.orders_by_key.values():
            _add_order(context, view, order)


def _add_order(
    context: _context.Context,
    view: _view.SchedulingView,
    order: _state.Order,
) -> None:
    if order.job is None:
        view.unassigned_cores += order.needs.cores
        return
    view.queue(order.job.job.queue).cores += order.needs.cores
    if view.sharing is _scheduling.SharingKey.NONE:
        return
    name = _sharing.NAME_BY_KEY[view.sharing](order.job)
    share = view.share_by_name.get(name)
    if share is None:
        # Its account may be empty while its last tasks still run.
        weights = context.limits.scheduling.sharing.weights
        share = _view.ShareView(weight=weights.get(name, 1.0))
        view.share_by_name[name] = share
    share.cores += order.needs.cores


def _add_waiting(
    context: _context.Context, view: _view.SchedulingView, now: float
) -> None:
    for state in context.jobs_by_id.values():
        if not state.waiting:
            continue
        queue = view.queue(state.job.queue)
        queue.waiting_tasks += state.waiting
        queue.expected_wait_ms = max(
            queue.expected_wait_ms, now - state.arrived
        )
