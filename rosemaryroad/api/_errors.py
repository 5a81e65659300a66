"""The one form in which errors leave over HTTP."""

import functools

import attrs

from rosemaryroad import errors
from rosemaryroad import refusals

DEFAULT_RETRY_MS = 1000.0


@attrs.frozen
class ErrorBody:
    """The JSON body of every reply that is an error.

    Attributes:
        code: The numbered result code.
        name: Its name in lower case.
        detail: A sentence for a person; it holds no secret.
        problems: Each single thing that is wrong in what was sent.
        run: What is known about the execution of the request.
        retry_after_ms: When coming back makes sense, or None for never.
    """

    code: int
    name: str
    detail: str
    problems: tuple[errors.Problem, ...] = ()
    run: errors.Run = errors.Run.UNKNOWN
    retry_after_ms: float | None = None


def http_status(error: Exception) -> int:
    """Returns the HTTP status of the reply that tells of an error."""
    return errors.DETAIL_BY_CODE[_code(error)].http_status


def error_body(error: Exception) -> ErrorBody:
    """Tells of an error in the form in which callers read it.

    An exception that is not of this package becomes an internal error
    without its text, since that might hold a secret.
    """
    code = _code(error)
    return ErrorBody(
        code=int(code),
        name=code.name.lower(),
        detail=_detail(error),
        problems=getattr(error, 'problems', ()),
        run=refusals.run_of(error),
        retry_after_ms=_retry_after_ms(error),
    )


def _code(error: Exception) -> errors.ResultCode:
    if isinstance(error, errors.RosemaryroadError):
        return error.code
    return errors.ResultCode.INTERNAL


def _detail(error: Exception) -> str:
    detail = ''
    if isinstance(error, errors.RosemaryroadError):
        detail = error.detail
    return detail or errors.DETAIL_BY_CODE[_code(error)].meaning


@functools.singledispatch
def _retry_after_ms(error: Exception) -> float | None:
    return DEFAULT_RETRY_MS if _may_retry(error) else None


@_retry_after_ms.register
def _(error: errors.RefusedError) -> float | None:
    return error.retry_after_ms


def _may_retry(error: Exception) -> bool:
    return errors.DETAIL_BY_CODE[_code(error)].retry
