"""Tells whether a task is slow because of its job or of its worker.

Progress is known only when a worker reports. All tasks of a long job become
overdue together, and the first report that shows it comes before those of the
other tasks' workers. So these are asked, and the judgement waits for them.
"""

import collections.abc
import math
import statistics

import attrs

from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _ends
from rosemaryroad.dispatching import _learning
from rosemaryroad.dispatching import _state

# A worker is slow if the job's other tasks take less than this share of
# its task's time, and less than chance explains: tasks of one job differ by
# 0.15 in the logarithm, and paces are known with a doubt. Beyond 3 standard
# deviations, chance is an unlikely explanation.
_SIBLINGS_SHARE = 0.5
_TASK_VARIANCE = 0.15**2
_MOST_DEVIATIONS = 3.0

# Earlier in a run, the moments of starting tell too little.
_JUDGED_AFTER_MS = 40.0
_JUDGED_AFTER_SHARE = 0.3

# Where another task of its job has ended, it is known better than from the
# queue when a task should end. Tasks of one job differ by 0.15.
_OVERDUE_FACTOR = 1.3
_OVERDUE_MARGIN_MS = 10.0

# More tell no better how long a job's tasks are.
_MOST_SIBLINGS = 32

# Workers tell whole per cents; of fewer the time of a task can't be told.
_LEAST_PERCENT = 3.0

# All tasks of a job become suspect at the same time, and each would have the
# workers of all others asked.
_LOOK_AGAIN_MS = 100.0

# A slow task is worth starting again elsewhere if what is left of it takes
# more than twice a whole run there, and the time until its end is noticed.
_RESTART_GAIN = 2.0
_RESTART_MS = 150.0


@attrs.frozen
class _Sibling:
    """What is known of another task of a job, at another worker.

    Attributes:
        worker: The worker's id.
        time_ms: How long it would take on an ordinary worker.
    """

    worker: str
    time_ms: float


def judge(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    now: float,
) -> None:
    """Judges a worker by the progress that it has just told of a task."""
    suspicion = context.suspicion_by_key.pop((order.task, order.attempt), None)
    if _is_early(context, order):
        return
    if _factor(context, worker, order) < _learning.SLOW_FACTOR:
        _note_ordinary_pace(worker, order, now)
        return
    if worker.proved_from > order.at:
        # Another task began later and is at its pace.
        return
    known, unknown = _find_siblings(context, worker, order)
    if len(known) >= len(unknown) or suspicion is not None:
        _conclude(context, worker, order, known, now)
        return
    suspicion = _state.Suspicion(worker, order, set(unknown))
    context.suspicion_by_key[order.task, order.attempt] = suspicion
    _ask(context, unknown, now)


def overdue_ms(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
) -> float:
    """Returns after how long a task whose job has ended ones is overdue."""
    last = order.job.runs[-1]
    slowness = context.run_times.slowness
    ratio = slowness(worker.worker.id) / slowness(last.worker)
    return _OVERDUE_FACTOR * ratio * last.took_ms + _OVERDUE_MARGIN_MS


def take_report(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> None:
    """Judges the workers for which a report of another one was awaited."""
    for key, suspicion in list(context.suspicion_by_key.items()):
        suspicion.awaited.discard(worker.worker.id)
        if not suspicion.stands:
            del context.suspicion_by_key[key]
        elif not suspicion.awaited:
            del context.suspicion_by_key[key]
            suspect, order = suspicion.worker, suspicion.order
            known, _ = _find_siblings(context, suspect, order)
            _conclude(context, suspect, order, known, now)


def _conclude(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    known: collections.abc.Sequence[_Sibling],
    now: float,
) -> None:
    if known:
        if _is_long_job(context, worker, order, known):
            _note_ordinary_pace(worker, order, now)
            return
        usual_ms = _median_ms(known)
        others = f'{len(known)} other tasks of its job'
    else:
        if _is_first_slow_job(worker, order):
            worker.slow_job = order.task.job
            worker.slow_from = order.at
            return
        usual_ms = _expected_ms(context, order)
        others = 'a task of another job as well'
    factor = _factor(context, worker, order)
    cause = f'takes {factor:.1f} times as long, {others}'
    context.suspend(worker, now, cause)
    task = order.job.tasks[order.task.index]
    left_ms = order.whole_ms - (order.answered_at - order.at)
    gains = left_ms > _RESTART_GAIN * usual_ms + _RESTART_MS
    if gains and not task.failed_on:
        _ends.stood_still(context, worker, order, 'too slow', now)


def _is_early(context: _context.Context, order: _state.Order) -> bool:
    """Tells whether the progress of a task says too little of its pace."""
    if order.percent <= 0:
        return True
    expected = _expected_ms(context, order)
    least_ms = max(_JUDGED_AFTER_MS, _JUDGED_AFTER_SHARE * expected)
    return order.answered_at - order.at < least_ms


def _is_long_job(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
    known: collections.abc.Sequence[_Sibling],
) -> bool:
    """Tells whether the job's other tasks may be as long as this one."""
    own_ms = _ordinary_ms(context, worker, order.whole_ms)
    doubt = context.run_times.doubt
    doubts = statistics.fmean(doubt(sibling.worker) for sibling in known)
    variance = _TASK_VARIANCE + doubt(worker.worker.id)
    variance += (_TASK_VARIANCE + doubts) / len(known)
    chance = math.exp(-_MOST_DEVIATIONS * math.sqrt(variance))
    return _median_ms(known) >= min(_SIBLINGS_SHARE, chance) * own_ms


def _is_first_slow_job(
    worker: _state.WorkerState, order: _state.Order
) -> bool:
    if worker.slow_job in ('', order.task.job):
        return True
    return worker.slow_from < worker.proved_from


def _median_ms(known: collections.abc.Sequence[_Sibling]) -> float:
    return statistics.median(sibling.time_ms for sibling in known)


def _note_ordinary_pace(
    worker: _state.WorkerState, order: _state.Order, now: float
) -> None:
    worker.proved_at = now
    worker.proved_from = max(worker.proved_from, order.at)


def _ask(
    context: _context.Context,
    workers: collections.abc.Iterable[str],
    now: float,
) -> None:
    for worker_id in sorted(set(workers)):
        worker = context.workers_by_id[worker_id]
        if now - worker.looked_at >= _LOOK_AGAIN_MS:
            worker.looked_at = now
            context.ask(_actions.LookAt(worker_id))


def _find_siblings(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
) -> tuple[list[_Sibling], list[str]]:
    """Returns what the job's tasks on other workers tell.

    Returns:
        Those whose end or progress is known, and the workers of the others
        that run.
    """
    state = order.job
    known = [
        _Sibling(
            run.worker, run.took_ms / context.run_times.slowness(run.worker)
        )
        for run in state.runs
        if run.worker != worker.worker.id
    ]
    unknown = []
    for task in state.tasks:
        if len(known) + len(unknown) >= _MOST_SIBLINGS:
            break
        for worker_id, other in context.orders_by_task.get(
            task.id, {}
        ).items():
            there = context.workers_by_id.get(worker_id)
            if there in (None, worker) or not _is_comparable(there, other):
                continue
            if other.percent < _LEAST_PERCENT:
                unknown.append(worker_id)
            else:
                time_ms = _ordinary_ms(context, there, other.whole_ms)
                known.append(_Sibling(worker_id, time_ms))
    return known, unknown


def _is_comparable(worker: _state.WorkerState, order: _state.Order) -> bool:
    """Tells whether the pace of an attempt tells of its job."""
    if order.phase is not _state.OrderPhase.RUNNING or order.job is None:
        return False
    return not order.adopted and order.at >= worker.warms_up_until


def _factor(
    context: _context.Context,
    worker: _state.WorkerState,
    order: _state.Order,
) -> float:
    own_ms = _ordinary_ms(context, worker, order.whole_ms)
    return own_ms / _expected_ms(context, order)


def _ordinary_ms(
    context: _context.Context, worker: _state.WorkerState, ms: float
) -> float:
    """Returns what a task at a worker would take on an ordinary one."""
    return ms / context.run_times.slowness(worker.worker.id)


def _expected_ms(context: _context.Context, order: _state.Order) -> float:
    job = order.job.job
    return context.run_times.expected_ms(job.queue, job.estimate_ms)
