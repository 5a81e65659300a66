"""Logs and counts each call."""

import logging

from rosemaryroad import clock as clock_module
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad.filters import _calls
from rosemaryroad.filters import _chain

_LOG = logging.getLogger(__name__)


class TraceFilter(_chain.Filter):
    """Gives all log lines of a call its request id, and logs its end."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock

    async def apply(
        self, call: _calls.Call, proceed: _chain.Handler
    ) -> _calls.Reply:
        """Logs ``call_done`` with the result code and the time taken."""
        started = self._clock.now()
        code = errors.ResultCode.OK
        with logs.request_scope(call.context.request_id):
            try:
                reply = await proceed(call)
                code = _code_of(reply)
            except errors.RosemaryroadError as error:
                code = error.code
                raise
            finally:
                logs.event(
                    _LOG,
                    logging.DEBUG,
                    'call_done',
                    call=type(call).__name__,
                    code=int(code),
                    ms=self._clock.now() - started,
                )
        return reply


def _code_of(reply: _calls.Reply) -> errors.ResultCode:
    if isinstance(reply, _calls.Done) and reply.answer.failure is not None:
        return reply.answer.failure.code
    return errors.ResultCode.OK
