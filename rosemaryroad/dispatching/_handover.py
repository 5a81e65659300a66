"""Jobs and attempts that come over from another dispatcher."""

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _reports
from rosemaryroad.dispatching import _state


def make_state(
    home: str, message: model.JobSubmitted, now: float
) -> _state.JobState:
    """Makes the state of a job that a home hands over."""
    job = message.job
    tasks = [
        _state.TaskState(model.TaskId(job.id, index), attempt=message.attempt)
        for index in range(job.tasks)
    ]
    for index in message.done:
        if 0 <= index < len(tasks):
            tasks[index].phase = _state.Phase.DONE
    left = sum(task.phase is _state.Phase.WAITING for task in tasks)
    return _state.JobState(
        job=job,
        homes={home},
        arrived=now - message.age_ms,
        came_at=now,
        deadline=now + message.left_ms,
        tasks=tasks,
        started=message.attempt > 0,
        waiting=left,
        left=left,
        home_domain=message.home_domain,
    )


def find_earlier(
    context: _context.Context,
    state: _state.JobState,
    message: model.JobSubmitted,
    now: float,
) -> None:
    """Looks for attempts of a job that came from another dispatcher.

    Args:
        context: All jobs and workers.
        state: The job.
        message: The home's submission, with what it has recorded.
        now: The present time.
    """
    for task in state.tasks:
        orders = list(context.orders_by_task.get(task.id, {}).items())
        for worker_id, order in orders:
            _adopt(context, state, worker_id, order, now)
    if state.started:
        _expect_reports(context, state, message, now)


def take_again(
    context: _context.Context,
    state: _state.JobState,
    message: model.JobSubmitted,
    now: float,
) -> None:
    """Looks for attempts that another dispatcher gave while a job was here.

    Its home left, and this VM didn't notice: it was stopped, or a new link
    stood before the old one was gone.
    """
    for task in state.tasks:
        task.attempt = max(task.attempt, message.attempt)
    state.started = True
    state.came_at = now
    _expect_reports(context, state, message, now)


def _expect_reports(
    context: _context.Context,
    state: _state.JobState,
    message: model.JobSubmitted,
    now: float,
) -> None:
    """Has all workers asked before the job's tasks start again.

    The dispatcher before this one may still have prolonged the leases
    of those that it placed tasks on, whether or not they can be
    reached from here.
    """
    if state not in context.expecting:
        context.expecting.append(state)
    lapsed = now + context.limits.lapse_ms
    state.looked_at = now
    state.reports_valid_from = now
    # A home that joined the job late may not know all placements.
    wait_until = now + context.limits.order_validity_ms
    if message.queued:
        # Queued tasks are started without a recorded placement, so an order
        # may still be in transit to any worker.
        state.reports_valid_from = wait_until
        wait_until = lapsed
    for key in context.workers_by_id:
        state.unseen[key] = wait_until
        context.ask(_actions.LookAt(key))
    for item in message.placed:
        known = item.index < len(state.tasks)
        if known and state.tasks[item.index].phase is _state.Phase.WAITING:
            state.unseen[item.worker] = lapsed
            state.placed_by_worker.setdefault(item.worker, []).append(
                item.index
            )


def _adopt(
    context: _context.Context,
    state: _state.JobState,
    worker_id: str,
    order: _state.Order,
    now: float,
) -> None:
    worker = context.workers_by_id[worker_id]
    if order.phase is not _state.OrderPhase.RUNNING:
        return
    # Whoever had the job may have prolonged the lease just now.
    worker.held_at = now
    if not _reports.adopt(state, worker, order):
        context.stop(worker, order, 'a second attempt', now)


def stop_expecting(
    context: _context.Context, state: _state.JobState, now: float
) -> None:
    """Gives up waiting for workers whose time has passed."""
    if state.looked_at < state.reports_valid_from < now:
        # Answers to the first request don't rule out an order in transit.
        state.looked_at = now
        for key in state.unseen:
            context.ask(_actions.LookAt(key))
    for key, until in list(state.unseen.items()):
        if now >= until:
            del state.unseen[key]
