"""Jobs that have ended, and come again."""

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _ended_jobs
from rosemaryroad.dispatching import _foreign


def answer_ended(
    context: _context.Context,
    home: str,
    message: model.JobSubmitted,
    now: float,
) -> bool:
    """Tells a home how a job has ended before, if it has.

    Returns:
        Whether it has.
    """
    job = message.job
    ended = context.ended.find(job.id, job.queue, now)
    if ended is None:
        return False
    settled = model.JobSettled(job.id, ended.end)
    context.ask(_actions.TellHome(home, settled, 'ended before'))
    return True


def cancel(
    context: _context.Context,
    home: str,
    message: model.JobCancelled,
    now: float,
) -> None:
    """Ends a job at all its homes, and remembers that it is cancelled."""
    known = context.ended.find(message.job, message.queue, now)
    was_cancelled = known is not None and known.is_cancelled
    was_at_work = _remember(context, _cancelled(message), now)
    _foreign.stop_cancelled(context, {message.job}, now)
    if message.number:
        answer = model.CancelAnswered(
            message.number,
            was_at_work or was_cancelled,
            not context.is_outvoted,
        )
        context.ask(_actions.TellHome(home, answer))


def take_ended(
    context: _context.Context, message: model.JobsEnded, now: float
) -> None:
    """Takes in which jobs must not run again."""
    for item in message.jobs:
        _remember(context, item, now)
    cancelled = {item.job for item in message.jobs if item.is_cancelled}
    _foreign.stop_cancelled(context, cancelled, now)


def _cancelled(message: model.JobCancelled) -> model.EndedJob:
    return model.EndedJob(
        message.job, message.queue, model.JobEnd.FAILED, True, 0.0
    )


def _remember(
    context: _context.Context, item: model.EndedJob, now: float
) -> bool:
    """Remembers a job and ends it; returns whether it was at work here."""
    ended = _ended_jobs.EndedJob(
        item.queue, item.end, item.is_cancelled, now - item.age_ms
    )
    context.ended.add(item.job, ended, now)
    state = context.jobs_by_id.get(item.job)
    if state is None or state.job.queue != item.queue:
        return False
    cause = 'cancelled' if item.is_cancelled else 'ended before'
    context.settle(state, item.end, cause, now)
    return True
