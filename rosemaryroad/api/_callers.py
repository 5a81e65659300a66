"""The callers' interface over HTTP; ``docs/api.md`` describes it."""

import json
import math
import secrets
import typing

import attrs
import sanic
import sanic.response

from rosemaryroad import errors
from rosemaryroad import filters
from rosemaryroad import model
from rosemaryroad import refusals
from rosemaryroad import structure
from rosemaryroad.api import _replies

DEFAULT_WAIT_MS = 30_000.0
HEADER_REQUEST_ID = 'Rosemaryroad-Request-Id'
HEADER_SESSION = 'Rosemaryroad-Session'
HEADER_NAME = 'Rosemaryroad-Name'
HEADER_VM = 'Rosemaryroad-Vm'
HEADER_DEADLINE = 'Rosemaryroad-Deadline-Ms'
HEADER_IDEMPOTENT = 'Rosemaryroad-Idempotent'
_BEARER = 'Bearer '
_REQUEST_ID_BYTES = 8
_BOOLEANS = {'true': True, 'false': False}


@attrs.frozen
class SubmitBody:
    """The JSON body of a submission.

    Attributes:
        service: The service that is to run it.
        tasks: The tasks.
        deadline_ms: The time until the answer is of no more use; the
            service's default where it is left out.
        idempotent: Whether running it twice does no harm.
        kind: Job or single request.
    """

    service: str
    tasks: tuple[model.Task, ...]
    deadline_ms: float | None = None
    idempotent: bool = True
    kind: model.Kind = model.Kind.JOB


class CallersApi:
    """Turns HTTP requests into calls and replies into HTTP.

    Args:
        vm: The id of this entry VM, told in each reply.
        handler: The filter chain.
    """

    def __init__(self, vm: str, handler: filters.Handler) -> None:
        self._vm = vm
        self._handler = handler

    def blueprint(self) -> sanic.Blueprint:
        """Returns the routes."""
        routes = sanic.Blueprint('callers', version_prefix='/v')
        submission = '/v1/sessions/<session:str>/submissions/<name:str>'
        add = routes.add_route
        add(self.open_session, '/v1/sessions', methods=['POST'])
        add(self.end_session, '/v1/sessions/<session:str>', methods=['DELETE'])
        add(self.submit, submission, methods=['PUT'])
        add(self.wait, submission, methods=['GET'])
        add(self.cancel, submission, methods=['DELETE'])
        add(self.request, '/v1/requests/<service:str>', methods=['POST'])
        return routes

    async def open_session(self, request: sanic.Request) -> typing.Any:
        """Opens a session here."""
        return await self._call(filters.OpenSession(_context(request)))

    async def end_session(
        self, request: sanic.Request, session: str
    ) -> sanic.HTTPResponse:
        """Ends a session."""
        return await self._call(
            filters.EndSession(
                _context(request), model.SessionId.parse(session)
            )
        )

    async def submit(
        self, request: sanic.Request, session: str, name: str
    ) -> sanic.HTTPResponse:
        """Submits, or attaches to the submission of that name."""
        key = _key(session, name)
        body = structure.structure(_json(request), SubmitBody)
        deadline = body.deadline_ms
        if deadline is not None and not deadline > 0:
            raise _invalid('deadline_ms', 'over 0')
        submission = model.Submission(
            key=key,
            service=body.service,
            team=filters.PUBLIC_TEAM,
            tasks=body.tasks,
            deadline_ms=deadline or 0.0,
            idempotent=body.idempotent,
            kind=body.kind,
        )
        return await self._call(
            filters.Submit(_context(request), submission, _wait_ms(request))
        )

    async def wait(
        self, request: sanic.Request, session: str, name: str
    ) -> sanic.HTTPResponse:
        """Waits for the answer to a submission."""
        return await self._call(
            filters.Wait(
                _context(request), _key(session, name), _wait_ms(request)
            )
        )

    async def cancel(
        self, request: sanic.Request, session: str, name: str
    ) -> sanic.HTTPResponse:
        """Cancels a submission."""
        return await self._call(
            filters.Cancel(_context(request), _key(session, name))
        )

    async def request(
        self, request: sanic.Request, service: str
    ) -> sanic.HTTPResponse:
        """Serves a single request: the body is its payload."""
        context = _context(request)
        key = await self._request_key(request, context)
        submission = model.Submission(
            key=key,
            service=service,
            team=filters.PUBLIC_TEAM,
            tasks=(model.Task(request.body),),
            deadline_ms=_deadline_ms(request),
            idempotent=_is_idempotent(request),
            kind=model.Kind.REQUEST,
        )
        wait_ms = _wait_ms(request)
        reply = await self._handle(
            filters.Submit(context, submission, wait_ms)
        )
        if isinstance(reply, filters.Done) and reply.answer.failure is None:
            response = sanic.response.raw(reply.answer.results[0])
        else:
            response = _replies.call_reply(reply)
        response.headers[HEADER_SESSION] = str(key.session)
        response.headers[HEADER_NAME] = key.name
        return response

    async def _request_key(
        self, request: sanic.Request, context: filters.Context
    ) -> model.SubmissionKey:
        session = request.headers.get(HEADER_SESSION)
        name = request.headers.get(HEADER_NAME)
        if session is not None and name is not None:
            return _key(session, name)
        if session is not None or name is not None:
            raise _invalid(HEADER_NAME, 'session and name go together')
        opened = await self._handler(filters.OpenSession(context))
        return model.SubmissionKey(opened.session, 'request')

    async def _handle(self, call: filters.Call) -> filters.Reply:
        try:
            return await self._handler(call)
        except errors.RefusedError as error:
            failure = refusals.to_failure(error)
            return filters.Done(model.Answer(failure=failure))

    async def _call(self, call: filters.Call) -> sanic.HTTPResponse:
        return _replies.call_reply(await self._handler(call))


def _context(request: sanic.Request) -> filters.Context:
    token = None
    authorization = request.headers.get('Authorization')
    if authorization is not None:
        if not authorization.startswith(_BEARER):
            raise errors.Unauthenticated()
        token = authorization[len(_BEARER) :]
    return filters.Context(request.ctx.request_id, token)


def set_request_id(request: sanic.Request) -> None:
    """Takes over the caller's request id, or makes one."""
    given = request.headers.get(HEADER_REQUEST_ID, '')
    request.ctx.request_id = (
        given if model.is_name(given) else secrets.token_hex(_REQUEST_ID_BYTES)
    )


def _key(session: str, name: str) -> model.SubmissionKey:
    if not model.is_name(name):
        raise errors.InvalidRequest(
            f'not a valid name: {name[:80]!r}',
            errors.ResultCode.INVALID_IDENTIFIER,
        )
    return model.SubmissionKey(model.SessionId.parse(session), name)


def _json(request: sanic.Request) -> object:
    try:
        return json.loads(request.body)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRequest(
            'the body is not valid JSON', errors.ResultCode.MALFORMED_BODY
        ) from error


def _wait_ms(request: sanic.Request) -> float:
    text = request.args.get('wait_ms')
    if text is None:
        return DEFAULT_WAIT_MS
    return _number('wait_ms', text)


def _deadline_ms(request: sanic.Request) -> float:
    text = request.headers.get(HEADER_DEADLINE)
    if text is None:
        return 0.0
    value = _number(HEADER_DEADLINE, text)
    if value <= 0:
        raise _invalid(HEADER_DEADLINE, 'over 0')
    return value


def _is_idempotent(request: sanic.Request) -> bool:
    # Left out, it means no: a caller that says nothing may not be able to
    # bear a repeat.
    text = request.headers.get(HEADER_IDEMPOTENT, 'false').lower()
    if text not in _BOOLEANS:
        raise _invalid(HEADER_IDEMPOTENT, 'true or false')
    return _BOOLEANS[text]


def _number(name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise _invalid(name, 'a number of milliseconds') from None
    if not math.isfinite(value) or value < 0:
        raise _invalid(name, 'a number of milliseconds, at least 0')
    return value


def _invalid(name: str, detail: str) -> errors.CheckFailed:
    problem = errors.Problem(name, errors.ResultCode.INVALID_FIELD, detail)
    return errors.CheckFailed((problem,))
