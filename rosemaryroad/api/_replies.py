"""Replies to callers over HTTP."""

import functools
import math

import attrs
import sanic
import sanic.response

from rosemaryroad import filters
from rosemaryroad import refusals
from rosemaryroad import structure
from rosemaryroad.api import _errors

_MS_PER_SECOND = 1000.0
_ACCEPTED = 202
_CREATED = 201


@attrs.frozen
class SessionBody:
    """The reply to a session that was opened.

    Attributes:
        session: Its id.
        vm: The entry VM that is its home.
        idle_ms: How long it lives without a call.
    """

    session: str
    vm: str
    idle_ms: float


@attrs.frozen
class DoneBody:
    """The reply with a whole answer.

    Attributes:
        results: One result a task, in the order submitted, as base64.
        state: Always ``done``.
    """

    results: tuple[bytes, ...]
    state: str = 'done'


@attrs.frozen
class RunningBody:
    """The reply while there is no answer yet.

    Attributes:
        done_tasks: Tasks with a result, or null where it is not known.
        tasks: Tasks in all, or null where it is not known.
        state: Always ``running``.
    """

    done_tasks: int | None
    tasks: int | None
    state: str = 'running'


@attrs.frozen
class ClosedBody:
    """The reply to a session that was ended."""

    state: str = 'ended'


def json_reply(body: object, status: int = 200) -> sanic.HTTPResponse:
    """Returns a reply with an attrs object as its JSON body."""
    return sanic.response.json(structure.unstructure(body), status=status)


def error_reply(error: Exception) -> sanic.HTTPResponse:
    """Returns the reply that tells of an error.

    ``Retry-After`` counts whole seconds, so it is rounded up: a caller
    that follows it must not come before the time in the body.
    """
    body = _errors.error_body(error)
    reply = json_reply(body, _errors.http_status(error))
    if body.retry_after_ms is not None:
        seconds = math.ceil(body.retry_after_ms / _MS_PER_SECOND)
        reply.headers['Retry-After'] = str(seconds)
    return reply


@functools.singledispatch
def call_reply(reply: filters.Reply) -> sanic.HTTPResponse:
    """Returns the HTTP reply for a reply of the filter chain."""
    raise TypeError(f'not a reply: {reply!r}')


@call_reply.register
def _(reply: filters.SessionOpened) -> sanic.HTTPResponse:
    body = SessionBody(
        str(reply.session), reply.session.home.vm, reply.idle_ms
    )
    return json_reply(body, _CREATED)


@call_reply.register
def _(reply: filters.SessionClosed) -> sanic.HTTPResponse:
    return json_reply(ClosedBody())


@call_reply.register
def _(reply: filters.Done) -> sanic.HTTPResponse:
    if reply.answer.failure is not None:
        return error_reply(refusals.to_error(reply.answer.failure))
    return json_reply(DoneBody(reply.answer.results))


@call_reply.register
def _(reply: filters.Running) -> sanic.HTTPResponse:
    return json_reply(RunningBody(reply.done_tasks, reply.tasks), _ACCEPTED)
