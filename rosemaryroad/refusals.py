"""Refusals as exceptions and as the failures that travel in answers."""

import functools

from rosemaryroad import errors
from rosemaryroad import model

__all__ = ['run_of', 'to_error', 'to_failure']

_NOT_RUN_CODES = frozenset(
    {
        errors.ResultCode.VERSION_CONFLICT,
        errors.ResultCode.NAME_CONFLICT,
        errors.ResultCode.FORBIDDEN,
    }
)


@functools.singledispatch
def run_of(_: Exception) -> errors.Run:
    """Returns what an error says of the execution of its request."""
    # Saying "not run" of what may have run would make a caller repeat it.
    return errors.Run.UNKNOWN


@run_of.register
def _(error: errors.RefusedError) -> errors.Run:
    return error.run


@run_of.register(errors.InvalidRequest)
@run_of.register(errors.CheckFailed)
@run_of.register(errors.PlatformUnavailable)
def _(_: errors.RosemaryroadError) -> errors.Run:
    return errors.Run.NOT_RUN


@run_of.register
def _(error: errors.DocumentRefused) -> errors.Run:
    if error.code in _NOT_RUN_CODES:
        return errors.Run.NOT_RUN
    return errors.Run.UNKNOWN


def to_error(failure: model.Failure) -> errors.RefusedError:
    """Returns a failure as the error that a caller is told."""
    return errors.RefusedError(
        failure.code, failure.run, failure.detail, failure.retry_after_ms
    )


def to_failure(error: errors.RosemaryroadError) -> model.Failure:
    """Returns an error in the form in which it travels in an answer."""
    retry_after_ms = getattr(error, 'retry_after_ms', None)
    return model.Failure(
        error.code, run_of(error), retry_after_ms, error.detail
    )
