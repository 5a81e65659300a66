"""What follows from the end of an attempt."""

from rosemaryroad import model
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _learning
from rosemaryroad.dispatching import _state


def attempt_ended(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    end: model.TaskEnd,
    now: float,
) -> None:
    """Takes in the end of an attempt that took room at a worker."""
    context.remove_order(worker, order)
    state = order.job
    if state is None or context.jobs_by_id.get(state.job.id) is not state:
        return
    if end is model.TaskEnd.DONE:
        if not order.adopted and order.at >= worker.warms_up_until:
            _learning.task_ended(context, worker, order, now)
        context.praise(worker)
        worker.proved_at = now
        task_done(context, state, order.task.index, now)
    elif end is model.TaskEnd.FAILED:
        _failed(context, worker, order, state, now)
    else:
        context.requeue(order, now)


def task_done(
    context: _context.Context, state: _state.JobState, index: int, now: float
) -> None:
    """Takes in that a task has ended well."""
    task = state.tasks[index]
    if task.phase is _state.Phase.DONE:
        return
    if task.phase is _state.Phase.WAITING:
        state.waiting -= 1
    task.phase = _state.Phase.DONE
    task.order = None
    state.left -= 1
    if state.left == 0:
        context.settle(state, model.JobEnd.COMPLETED, 'all tasks done', now)
        return
    context.news_of(state).done.append(index)


def stood_still(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    cause: str,
    now: float,
) -> None:
    """Stops an attempt that makes no progress, to start it elsewhere."""
    state = order.job
    if state is not None:
        state.tasks[order.task.index].failed_on.add(worker.worker.id)
    context.stop(worker, order, cause, now)


def _failed(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    state: _state.JobState,
    now: float,
) -> None:
    task = state.tasks[order.task.index]
    task.failures += 1
    task.failed_on.add(worker.worker.id)
    _share_blame(context, worker, state, now)
    if task.failures >= state.job.terms.max_attempts:
        cause = f'task {task.id.index} failed {task.failures} times'
        context.settle(state, model.JobEnd.FAILED, cause, now)
        return
    context.requeue(order, now)


def _share_blame(
    context: _context.Context,
    worker: _state.WorkerState,
    state: _state.JobState,
    now: float,
) -> None:
    # A job that fails wherever it runs would otherwise have one sound
    # worker after another suspended, and its neighbours wait for room.
    worker_id = worker.worker.id
    others = state.blamed - {worker_id}
    if not others:
        state.blamed.add(worker_id)
        context.blame(worker, now, f'job {state.job.id} failed')
        return
    for other in others:
        cleared = context.workers_by_id.get(other)
        if cleared is not None and cleared.bad:
            cleared.bad -= 1
            cleared.suspended_until = 0.0
            cleared.suspensions = max(0, cleared.suspensions - 1)
            context.worker_changed(cleared)
    state.blamed.clear()
