"""Which jobs are refused before they have waited in vain."""

import zlib

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _forecast
from rosemaryroad.dispatching import _load
from rosemaryroad.dispatching import _queue
from rosemaryroad.dispatching import _state
from rosemaryroad.dispatching import _view

# All waiting jobs are checked this often. What a check costs grows with the
# queue, and callers gain little from hearing sooner.
_REVIEW_MS = 100.0

# The shortest and the longest time after which callers are told to come
# back, without the part that differs between them.
_LEAST_RETRY_MS = 200.0
_MOST_RETRY_MS = 5_000.0

# How much longer at most a caller is told to stay away, as a share. Callers
# refused in the same moment would otherwise come back in the same moment.
_RETRY_JITTER = 0.5
_HASHES = 2.0**32

# The workers whose tasks end as expected.
_USABLE = (_load.WorkerCondition.SOUND, _load.WorkerCondition.REFUSING)


def review_arrival(
    context: _context.Context, state: _state.JobState, now: float
) -> None:
    """Refuses a job that has just come, if it can't start in time."""
    if not context.limits.scheduling.admission.forecast:
        return
    state.has_returned = context.refusals.has_returned(state.job.id, now)
    if context.forecast.is_known(now) and _may_be_refused(state):
        _review(context, state, now)
        if state.is_over:
            context.forecast.forget_outlooks()


def review_waiting(context: _context.Context, now: float) -> None:
    """Refuses the waiting jobs that can't start in time any more."""
    if not context.limits.scheduling.admission.forecast:
        return
    context.forecast.forget_outlooks()
    _count_heard(context, now)
    if not context.forecast.is_known(now) or now < context.next_review_at:
        return
    context.next_review_at = now + _REVIEW_MS
    for state in list(context.waiting):
        if _may_be_refused(state):
            _review(context, state, now)
    context.forecast.forget_outlooks()


def _may_be_refused(state: _state.JobState) -> bool:
    if state.started or state.is_over or state.has_returned:
        return False
    return bool(state.waiting) and not state.unseen


def _count_heard(context: _context.Context, now: float) -> None:
    listed = [
        worker for worker in context.workers_by_id.values() if worker.listed
    ]
    heard = sum(
        worker.reported and worker.silent_since is None for worker in listed
    )
    context.forecast.heard(heard, len(listed), now)


def _review(
    context: _context.Context, state: _state.JobState, now: float
) -> None:
    outlook = _outlook(context, state.job.service, now)
    timeout_ms = _queue.start_timeout(state) - now
    chance = outlook.chance(state, timeout_ms)
    if chance.probability >= _least_chance(context, state, now):
        return
    detail = (
        f'no room in time: chance {chance.probability:.3f},'
        f' {chance.cores_ahead:.0f} cores ahead,'
        f' {chance.cores_expected:.0f} expected'
        f' within {chance.within_ms:.0f} ms,'
        f' {timeout_ms:.0f} ms until the start timeout'
    )
    retry_ms = _retry_ms(outlook, state.job.id)
    outlook.refused(state)
    context.refusals.add(state.job.id, retry_ms, now)
    cause = _view.RefusalCause.NO_ROOM_IN_TIME
    _queue.refuse(context, state, cause, detail, now, retry_ms)


def _least_chance(
    context: _context.Context, state: _state.JobState, now: float
) -> float:
    """Returns the probability below which a job is refused now.

    A waiting job is checked many times, and the lowest of many estimates
    would refuse more jobs than the setting allows. All checks of the passes
    together refuse as many as one on arrival.
    """
    least = context.limits.scheduling.admission.least_chance
    if now <= state.came_at:
        return least
    longest_ms = _queue.start_timeout(state) - state.arrived
    return least * min(1.0, _REVIEW_MS / longest_ms)


def _outlook(
    context: _context.Context, service: str, now: float
) -> _forecast.Outlook:
    """Returns the outlook for a service, made at most once a tick."""
    outlook = context.forecast.outlook(service)
    if outlook is not None:
        return outlook
    workers = [
        worker
        for worker in context.workers_by_id.values()
        if worker.worker.service == service
        and _load.condition_of(context, worker, now) in _USABLE
    ]
    waiting = [
        state
        for state in context.waiting
        if state.job.service == service and state.waiting and not state.is_over
    ]
    return context.forecast.make_outlook(
        service,
        workers,
        waiting,
        context.run_times,
        context.limits.remote_factor,
        now,
    )


def _retry_ms(outlook: _forecast.Outlook, job_id: str) -> float:
    drained_ms = outlook.drained_ms(_LEAST_RETRY_MS, _MOST_RETRY_MS)
    jitter = _RETRY_JITTER * zlib.crc32(job_id.encode()) / _HASHES
    return drained_ms * (1 + jitter)
