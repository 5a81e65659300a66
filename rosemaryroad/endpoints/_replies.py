"""What a minion's reply says of an attempt."""

import collections.abc
import math

import attrs

from rosemaryroad import model
from rosemaryroad.endpoints import _headers

__all__ = ['Reply', 'read_reply']

MOST_DETAIL_CHARACTERS = 200

_OK = 200
_UNAVAILABLE = 503
_ENDPOINT_ERROR = 500

_CAUSE_BY_WORD = {
    'busy': model.NotRunCause.BUSY,
    'leaving': model.NotRunCause.LEAVING,
}


@attrs.frozen
class Reply:
    """One whole HTTP reply.

    Attributes:
        status: The HTTP status.
        headers: The headers, by case-insensitive name.
        body: The whole body.
        length_known: Whether the reply says where its body ends.
    """

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes
    length_known: bool


def read_reply(reply: Reply, attempt: str, elapsed_ms: float) -> model.Outcome:
    """Judges a reply.

    Args:
        reply: The reply.
        attempt: The id that was sent with the attempt.
        elapsed_ms: Time from start to reply; it stands for the run time
            where the endpoint reports none.

    Returns:
        The outcome. What can't be matched to the attempt or has no
        agreed meaning is unknown: the request has been delivered.
    """
    if reply.headers.get(_headers.Header.ATTEMPT) != attempt:
        # The reply to this attempt is still to come. Called silent, the
        # connection is not used again; it would be one behind for good.
        return model.Unknown('the reply names another attempt or none', True)
    if not reply.length_known:
        # A cut connection would look like the end of the body, and the
        # caller would get part of a result as the whole.
        return model.Unknown('the reply does not tell its length')
    if reply.status == _OK:
        return _read_answer(reply, elapsed_ms)
    if reply.status == _UNAVAILABLE:
        word = reply.headers.get(_headers.Header.NOT_RUN, '')
        if word in _CAUSE_BY_WORD:
            return model.NotRun(_CAUSE_BY_WORD[word])
    if 400 <= reply.status <= _ENDPOINT_ERROR:
        text = reply.body[:MOST_DETAIL_CHARACTERS].decode('utf-8', 'replace')
        return model.Failed(f'status {reply.status}: {text}')
    return model.Unknown(f'unexpected status {reply.status}')


def _read_answer(reply: Reply, elapsed_ms: float) -> model.Answered:
    run_ms = _number(reply.headers.get(_headers.Header.RUN_MS))
    load = _number(reply.headers.get(_headers.Header.LOAD))
    return model.Answered(
        result=reply.body,
        run_ms=elapsed_ms if run_ms is None else run_ms,
        load=None if load is None else int(load),
    )


def _number(text: str | None) -> float | None:
    # These figures only guide placement; a bad one must not turn a whole
    # result into a failure, nor poison an average.
    try:
        value = float(text or '')
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None
