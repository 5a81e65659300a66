"""Whether a submission that arrives is new, known, or refused."""

from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad.decisions import _admission
from rosemaryroad.decisions import _home_state
from rosemaryroad.decisions import _service
from rosemaryroad.decisions import _sessions

# When a caller may come back to a service without endpoints, or to
# another entry VM while this one shuts down.
NO_ENDPOINT_RETRY_MS = 2_000.0
DRAINING_RETRY_MS = 250.0

# When a caller may come back to an entry VM whose memory is used up.
FULL_RETRY_MS = 1_000.0

_Code = errors.ResultCode


def known_answer(
    submission: model.Submission, record: _sessions.NameRecord
) -> model.Refuse | model.Replay | None:
    """Answers a name that was used before.

    Returns:
        A refusal where the body is another one, the kept answer where
        there is one, and None while the submission is running.
    """
    if record.digest != submission.digest():
        failure = _not_run(_Code.NAME_CONFLICT)
        return model.Refuse(submission.key, submission.service, failure)
    if record.state is _sessions.NameState.RUNNING:
        return None
    return model.Replay(submission.key, kept_answer(record))


def kept_answer(record: _sessions.NameRecord) -> model.Answer:
    """Returns the answer of a name that is no longer running."""
    if record.answer is not None:
        return record.answer
    failure = model.Failure(_Code.ANSWER_DROPPED, errors.Run.UNKNOWN)
    return model.Answer(failure=failure)


def refusal(
    submission: model.Submission, state: _home_state.HomeState, now: float
) -> model.Failure | None:
    """Returns why a new submission is refused, or None."""
    # In a session that has ended the name may have run, and nobody
    # remembers; only in an open one is an unknown name a new one.
    if not state.sessions.is_open(submission.key.session):
        return model.Failure(_Code.UNKNOWN_SESSION, errors.Run.UNKNOWN)
    if not state.sessions.has_room(submission.key):
        return _not_run(_Code.SESSION_FULL)
    if state.sessions.is_full():
        return _come_back(_Code.TOO_MANY_NAMES, FULL_RETRY_MS, state)
    service = state.services_by_name.get(submission.service)
    if service is None or service.deleted:
        return _not_run(_Code.UNKNOWN_SERVICE)
    if state.draining:
        return _not_run(_Code.DRAINING, DRAINING_RETRY_MS)
    if not state.memory.has_room(submission):
        return _come_back(_Code.TOO_MANY_BYTES, FULL_RETRY_MS, state)
    return _no_place(submission, service, state) or _admission.refusal(
        submission,
        service.document,
        service.load_for(submission, now),
        state.rng,
    )


def _no_place(
    submission: model.Submission,
    service: _service.ServiceState,
    state: _home_state.HomeState,
) -> model.Failure | None:
    if not service.pool.is_serving():
        return _come_back(_Code.NO_ENDPOINT, NO_ENDPOINT_RETRY_MS, state)
    needs = set(task.needs for task in submission.tasks)
    if not all(service.pool.fits(need) for need in needs):
        return _not_run(_Code.FITS_NOWHERE)
    # Where all that are large enough leave, others may come in their
    # place. Let in now, the work would wait out its deadline.
    if not all(service.pool.is_served(need) for need in needs):
        return _come_back(_Code.NO_ENDPOINT, NO_ENDPOINT_RETRY_MS, state)
    return None


def _come_back(
    code: errors.ResultCode, wait_ms: float, state: _home_state.HomeState
) -> model.Failure:
    return _not_run(code, _admission.retry_after_ms(wait_ms, state.rng))


def _not_run(
    code: errors.ResultCode, retry_after_ms: float | None = None
) -> model.Failure:
    return model.Failure(code, errors.Run.NOT_RUN, retry_after_ms)
