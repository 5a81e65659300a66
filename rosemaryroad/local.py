"""Serves calls at the home of their session, the end of the chain."""

import functools
import secrets

from rosemaryroad import filters
from rosemaryroad import model
from rosemaryroad import runtime as runtime_module

__all__ = ['LocalHandler']

SECRET_BYTES = 9


class LocalHandler:
    """The last handler of the chain.

    Args:
        runtime: Where submissions run.
        idle_ms: How long a session lives without a call.
    """

    def __init__(
        self, runtime: runtime_module.Runtime, idle_ms: float
    ) -> None:
        self._runtime = runtime
        self._idle_ms = idle_ms

    async def __call__(self, call: filters.Call) -> filters.Reply:
        """Serves a call.

        Raises:
            errors.RosemaryroadError: It is refused.
        """
        return await self._serve(call)

    @functools.singledispatchmethod
    async def _serve(self, call: filters.Call) -> filters.Reply:
        raise TypeError(f'not a call: {call!r}')

    @_serve.register
    async def _(self, call: filters.OpenSession) -> filters.Reply:
        # URL-safe text may contain no "~", which separates the parts.
        secret = secrets.token_hex(SECRET_BYTES)
        session = self._runtime.open_session(secret)
        return filters.SessionOpened(session, self._idle_ms)

    @_serve.register
    async def _(self, call: filters.EndSession) -> filters.Reply:
        self._runtime.apply(model.SessionEnded(call.session))
        return filters.SessionClosed()

    @_serve.register
    async def _(self, call: filters.Submit) -> filters.Reply:
        return await self._runtime.submit(
            call.submission, call.wait_ms, call.context.request_id
        )

    @_serve.register
    async def _(self, call: filters.Wait) -> filters.Reply:
        return await self._runtime.wait(call.key, call.wait_ms)

    @_serve.register
    async def _(self, call: filters.Cancel) -> filters.Reply:
        return self._runtime.cancel(call.key)


def reply_to_answer(reply: filters.Reply) -> model.Answer | None:
    """Returns what a peer that forwarded a call is told."""
    if isinstance(reply, filters.Done):
        return reply.answer
    return None
