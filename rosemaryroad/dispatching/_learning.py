"""What tasks that have ended well teach of run times and paces."""

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _paces
from rosemaryroad.dispatching import _state

# A task that takes so many times as long as expected on its worker is slow.
SLOW_FACTOR = 3.0

# So many tasks tell how long a job's tasks are.
_MOST_RUNS = 32


def task_ended(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    now: float,
) -> None:
    """Learns from a task that has ended well.

    Args:
        context: All jobs and workers.
        worker: The worker that ran it.
        order: The attempt; its task counts as not done yet.
        now: The present time.
    """
    state = order.job
    job = state.job
    took_ms = now - order.at
    worker_id = worker.worker.id
    run_times = context.run_times
    if not isinstance(run_times, _paces.ComparedRunTimes):
        run_times.record(job.queue, job.estimate_ms, worker_id, took_ms)
        return
    expected = run_times.expected_ms(job.queue, job.estimate_ms)
    if took_ms < SLOW_FACTOR * expected * run_times.slowness(worker_id):
        worker.proved_from = max(worker.proved_from, order.at)
    state.runs.append(_paces.EndedRun(worker_id, took_ms))
    del state.runs[:-_MOST_RUNS]
    state.unlearned_runs += 1
    if state.left > 1 and state.unlearned_runs < _MOST_RUNS:
        return
    runs = state.runs[-state.unlearned_runs :]
    state.unlearned_runs = 0
    run_times.learn(job.queue, job.estimate_ms, runs)
