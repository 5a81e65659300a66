"""In which order jobs start their tasks, and which can't be served."""

import collections.abc

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _placement
from rosemaryroad.dispatching import _state

# A job is given up for its deadline only where even a run shorter than
# expected would miss it: run times spread by 0.4 in the logarithm.
_OPTIMISM = 0.7

# A job of which nothing has started by then is refused while its client
# has time to go elsewhere.
_PATIENCE = 0.45

# When to come back where nothing better is known: about one round of the
# longest tasks.
_RETRY_MS = 500.0


def fill(context: _context.Context, now: float) -> None:
    """Starts waiting tasks for as long as there is room."""
    pool = [
        worker
        for worker in context.workers_by_id.values()
        if worker.reported
        and not worker.full
        and worker.unanswered_at is None
        and not context.must_wait(worker, now)
    ]
    most = _most_free(pool)
    for state in context.waiting:
        if most <= 0:
            return
        if not state.waiting or state.is_over or state.unseen:
            continue
        if state.job.needs.cores <= most:
            _fill_job(context, state, pool, now)
            most = _most_free(pool)


def _most_free(pool: collections.abc.Iterable[_state.WorkerState]) -> float:
    return max((worker.free_cores for worker in pool), default=0.0)


def refuse_hopeless(context: _context.Context, now: float) -> None:
    """Ends the jobs that can't be answered before their clients leave."""
    for state in list(context.jobs_by_id.values()):
        if state.started:
            if now >= state.deadline:
                context.settle(
                    state, model.JobEnd.GIVEN_UP, 'deadline passed', now
                )
            continue
        expected = state.expected_ms * _OPTIMISM
        window = state.deadline - state.arrived
        if now + expected > state.deadline:
            cause = f'{state.deadline - now:.0f} ms left of {expected:.0f}'
            refuse(context, state, cause, now)
        elif now - state.arrived > _PATIENCE * window:
            cause = f'waited {now - state.arrived:.0f} ms of {window:.0f}'
            refuse(context, state, cause, now)
        elif not could_ever_run(context, state):
            refuse(context, state, 'no worker is large enough', now)


def refuse(
    context: _context.Context, state: _state.JobState, cause: str, now: float
) -> None:
    """Ends a job none of whose tasks was ever told to start."""
    retry_ms = _RETRY_MS + state.expected_ms
    context.settle(state, model.JobEnd.NOT_RUN, cause, now, retry_ms)


def could_ever_run(context: _context.Context, state: _state.JobState) -> bool:
    """Tells whether any worker, were it empty, has room for a task.

    While no worker is known at all, any may come.
    """
    job = state.job
    known = [
        worker
        for worker in context.workers_by_id.values()
        if worker.listed and worker.worker.service == job.service
    ]
    if not known:
        return True
    return any(
        worker.could_fit(job.needs)
        and (not job.label or job.label in worker.worker.labels)
        for worker in known
    )


def _fill_job(
    context: _context.Context,
    state: _state.JobState,
    pool: collections.abc.Sequence[_state.WorkerState],
    now: float,
) -> None:
    candidates = [
        worker for worker in pool if _placement.may_run(worker, state.job, now)
    ]
    for task in state.tasks:
        if task.phase is not _state.Phase.WAITING:
            continue
        if task.id in context.orders_by_task:
            # An attempt that was given up may still run somewhere.
            continue
        worker = _placement.choose(
            candidates,
            state,
            task,
            context.run_times,
            context.limits.remote_factor,
        )
        if worker is None:
            return
        if worker.suspensions:
            candidates.remove(worker)
        _start(context, state, task, worker, now)


def _start(
    context: _context.Context,
    state: _state.JobState,
    task: _state.TaskState,
    worker: _state.WorkerState,
    now: float,
) -> None:
    task.attempt += 1
    task.phase = _state.Phase.PLACED
    state.waiting -= 1
    order = _state.Order(
        task.id, task.attempt, state.job.needs, state, now, moved_at=now
    )
    task.order = order
    context.add_order(worker, order)
    state.started = True
    placed = model.Placement(task.id.index, worker.worker.id)
    context.news_of(state).placed.append(placed)
    context.ask(
        _actions.StartTask(
            worker.worker.id,
            worker.worker.address,
            task.id,
            task.attempt,
            state.job.payload,
            now - state.arrived,
        )
    )
