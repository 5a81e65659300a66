"""Which life of a worker is held, and what ends with an earlier one.

A worker may start again under its id; it then runs nothing and knows of
nothing that was before. Of two lives the one born later is the present one,
whatever comes first: the worker's entry, a peer's list or a report.
"""

import operator

import attrs

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _state

# A call without an answer may be carried out seconds later.
_LATE_CALL_MS = 10_000.0

_ATTEMPT = operator.attrgetter('attempt')


def take_entry(
    context: _context.Context,
    worker: _state.WorkerState,
    entry: model.Worker,
    now: float,
) -> None:
    """Takes in a worker's entry, unless it is of an earlier life."""
    present = worker.worker.born
    if model.is_earlier_life(entry.born, present):
        if worker.dropped_born != entry.born:
            worker.dropped_born = entry.born
            _note_dropped(context, worker, 'entry', entry.born)
        return
    if entry.leaving and not worker.worker.leaving:
        context.note('worker_leaving', entry.id, 'by its own entry')
    if model.is_earlier_life(present, entry.born):
        _begin(context, worker, entry, now)
    elif entry.born is None and present is not None:
        # An older peer lists no lives: it may be the entry of another one.
        leaving = worker.worker.leaving or entry.leaving
        worker.worker = attrs.evolve(worker.worker, leaving=leaving)
        return
    else:
        _update(context, worker, entry, now)
    take_warm_up(context, worker, entry, now)


def _update(
    context: _context.Context,
    worker: _state.WorkerState,
    entry: model.Worker,
    now: float,
) -> None:
    """Takes in a newer entry of the present life.

    A report tells of a new life before its entry is read. The life may be of
    another kind, so all that the entry tells counts from then on.
    """
    before = worker.worker
    worker.update(entry)
    if worker.entry_due_since is not None:
        waited_ms = now - worker.entry_due_since
        worker.entry_due_since = None
        context.note(
            'worker_entry_read',
            entry.id,
            f'{waited_ms:.0f} ms after the first report of this life',
        )
        context.worker_changed(worker)
    if entry.capacity == before.capacity:
        return
    context.note(
        'worker_resized',
        entry.id,
        f'{before.capacity.cores:g} cores before,'
        f' {entry.capacity.cores:g} now, {worker.free_cores:g} free',
    )
    context.run_times.forget(entry.id)
    context.worker_changed(worker)


def take_warm_up(
    context: _context.Context,
    worker: _state.WorkerState,
    entry: model.Worker,
    now: float,
) -> None:
    """Takes in until when a worker's tasks may take longer than usual."""
    if entry.warm_up_left_ms <= 0:
        return
    if worker.warms_up_until <= now:
        # The pace that was learnt is that of a warm worker.
        context.run_times.forget(entry.id)
    worker.warms_up_until = now + entry.warm_up_left_ms


def take_report(
    context: _context.Context,
    worker: _state.WorkerState,
    report: model.WorkerReport,
    now: float,
) -> bool:
    """Takes in which life a report is of.

    Returns:
        Whether it is of the present life.
    """
    if is_outdated(worker, report):
        _note_dropped(context, worker, 'report', report.born)
        return False
    if report.born not in (None, worker.worker.born):
        told = attrs.evolve(worker.worker, born=report.born)
        if worker.worker.born is None:
            worker.worker = told
        else:
            _begin(context, worker, told, now)
        worker.entry_due_since = now
        context.ask(_actions.ReadEntry(worker.worker.id))
    worker.told_asked_at = max(worker.told_asked_at, report.asked_at)
    if report.may_lack_ends:
        for order in worker.orders_by_key.values():
            order.may_lack_end = True
    return True


def is_outdated(
    worker: _state.WorkerState, report: model.WorkerReport
) -> bool:
    """Tells whether a report is of an earlier life of a worker."""
    return model.is_earlier_life(report.born, worker.worker.born)


def told_of(order: _state.Order, report: model.WorkerReport) -> None:
    """Notes that a report names an attempt; its end will be told."""
    order.may_lack_end = False
    order.may_begin_late = False
    order.was_named = True
    if order.begun_at is None:
        order.begun_at = report.asked_at


def start_answered(
    order: _state.Order, reply: model.OrderReply, now: float
) -> None:
    """Notes from when on reports tell of an attempt."""
    if reply.result is model.OrderResult.DONE and order.begun_at is None:
        order.begun_at = now
    is_unknown = reply.result is model.OrderResult.UNKNOWN
    order.may_begin_late = is_unknown and order.begun_at is None
    if order.is_older:
        # It is not known whose clock the reply tells.
        order.since_asked = now
    else:
        order.told(reply.worker_clock, now)


def binds(worker: _state.WorkerState, stop: _actions.StopTask) -> bool:
    """Tells whether the present life has answered an order to stop.

    What an earlier one has stopped may yet start in this one, where the
    order to start is still under way. Another stop was sent to it.
    """
    return not model.is_earlier_life(stop.born, worker.worker.born)


def _begin(
    context: _context.Context,
    worker: _state.WorkerState,
    entry: model.Worker,
    now: float,
) -> None:
    orders = list(worker.orders_by_key.values())
    gone = [order for order in orders if _ended_with_it(worker, order)]
    context.note(
        'worker_restarted',
        entry.id,
        f'born {entry.born}, before {worker.worker.born}; '
        f'{len(gone)} attempts gone, {len(orders) - len(gone)} in doubt',
    )
    bar_earlier_orders(context, worker, 'a worker has started again')
    for order in gone:
        context.remove_order(worker, order)
    late = worker.late_orders
    worker.begin_anew(entry, now)
    # A stop bars all lower attempts of its task as well.
    for order in sorted(late, key=_ATTEMPT, reverse=True):
        if now - order.at < _LATE_CALL_MS:
            _keep_out(context, worker, order, now)
    for order in worker.orders_by_key.values():
        _carry_over(context, worker, order, now)
    for order in gone:
        context.requeue(order, now)
    _forget_blame(context, entry.id)
    context.worker_changed(worker)
    context.ask(_actions.LookAt(entry.id))


def bar_earlier_orders(
    context: _context.Context, worker: _state.WorkerState, cause: str
) -> None:
    """Has a worker's later lives refuse the orders that it was given.

    A start without an answer may be carried out seconds later, in whichever
    life comes then; only the fence tells that it was meant for another one.
    Where most VMs don't follow this one, others may have ordered as well.
    """
    if worker.was_ordered or context.is_outvoted:
        context.raise_fence(cause)


def _ended_with_it(worker: _state.WorkerState, order: _state.Order) -> bool:
    """Tells whether an attempt can't begin in the new life any more."""
    if order.was_named:
        return True
    if order.phase is _state.OrderPhase.PLANNED:
        # Nothing was sent; the new life may be of another kind.
        return True
    # The earlier life has reported since; the attempt began there, then.
    begun_at = order.begun_at
    return begun_at is not None and begun_at < worker.told_asked_at


def _carry_over(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    now: float,
) -> None:
    """Keeps an attempt that the new life may have begun, or may yet begin."""
    order.is_older = True
    order.was_named = False
    order.since_clock = 0.0
    order.since_asked = order.begun_at or 0.0
    order.moved_at = now
    order.stops = 0
    if order.phase in (
        _state.OrderPhase.STOPPING,
        _state.OrderPhase.STOPPED,
    ):
        order.phase = _state.OrderPhase.STOPPING
        context.stop(worker, order, 'its worker has started again', now)


def _keep_out(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    now: float,
) -> None:
    """Stops an attempt that was given up before it can begin late.

    An earlier life would have refused it, for its stop or for its lease;
    it would run beside the attempt that followed.
    """
    by_worker = context.orders_by_task.get(order.task, {})
    present = by_worker.get(worker.worker.id)
    if present is None:
        order.phase = _state.OrderPhase.STOPPING
        context.add_order(worker, order)
    elif present.phase is not _state.OrderPhase.STOPPING:
        # The next attempt is on its way to the same worker.
        worker.late_orders.append(order)
        context.stop(worker, order, 'its worker has started again', now)


def _forget_blame(context: _context.Context, worker_id: str) -> None:
    context.run_times.forget(worker_id)
    for state in context.jobs_by_id.values():
        state.blamed.discard(worker_id)
        for task in state.tasks:
            task.failed_on.discard(worker_id)


def _note_dropped(
    context: _context.Context,
    worker: _state.WorkerState,
    what: str,
    born: int | None,
) -> None:
    context.note(
        'earlier_life_dropped',
        worker.worker.id,
        f'{what} of the life born {born}, now {worker.worker.born}',
    )
