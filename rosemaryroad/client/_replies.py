"""Reading of error replies into exceptions."""

import functools
import typing

import attrs

from rosemaryroad import errors
from rosemaryroad import structure

_Code = errors.ResultCode
_REFUSAL_CODES = range(2000, 4000)
_REQUEST_CODES = range(1000, 2000)


@attrs.frozen
class _Problem:
    path: str
    code: int
    detail: str


@attrs.frozen
class _Body:
    code: int
    name: str
    detail: str = ''
    run: errors.Run = errors.Run.UNKNOWN
    retry_after_ms: float | None = None
    problems: tuple[_Problem, ...] = ()


def error_from(raw: typing.Any) -> errors.RosemaryroadError | None:
    """Reads the JSON body of an error reply.

    Returns:
        The exception that it stands for, or None where it is not such a
        body; another program, such as a balancer, has answered then.
    """
    if not isinstance(raw, dict):
        return None
    # A newer daemon may say more than this client knows.
    names = {field.name for field in attrs.fields(_Body)}
    known = {key: value for key, value in raw.items() if key in names}
    try:
        body = structure.structure(known, _Body)
    except errors.CheckFailed:
        return None
    return _exception(body)


def _exception(body: _Body) -> errors.RosemaryroadError:
    code = _code(body.code)
    problems = tuple(
        errors.Problem(item.path, _code(item.code), item.detail)
        for item in body.problems
    )
    if problems:
        return errors.CheckFailed(problems, code)
    if code in _REFUSAL_CODES or code is _Code.DAEMON_UNREACHABLE:
        return errors.RefusedError(
            code, body.run, body.detail, body.retry_after_ms
        )
    return _class_of(code)(body.detail, code)


@functools.cache
def _class_of(code: errors.ResultCode) -> type[errors.RosemaryroadError]:
    if code in _REQUEST_CODES:
        return errors.InvalidRequest
    if code in (_Code.VERSION_CONFLICT, _Code.WRITE_UNKNOWN):
        return errors.DocumentRefused
    if code is _Code.PLATFORM_UNAVAILABLE:
        return errors.PlatformUnavailable
    return errors.RosemaryroadError


def _code(number: int) -> errors.ResultCode:
    try:
        return errors.ResultCode(number)
    except ValueError:
        return errors.ResultCode.INTERNAL
