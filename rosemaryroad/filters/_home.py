"""Hands calls to the home of their session.

Only the home of a session ever starts its tasks. Were another entry VM to
start them because the home seems to be gone, a home that is merely cut off
or paused would start them a second time.
"""

import collections.abc
import functools
import itertools
import logging

from rosemaryroad import clock as clock_module
from rosemaryroad import decisions
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import metrics as metrics_module
from rosemaryroad import model
from rosemaryroad import peers
from rosemaryroad.filters import _calls
from rosemaryroad.filters import _chain

_LOG = logging.getLogger(__name__)

# What the home may take beyond the caller's wait before its link counts as
# unreachable.
FORWARD_MARGIN_MS = 2_000.0
LINK_RETRY_MS = 1_000.0


OnLost = collections.abc.Callable[[str, errors.ResultCode], None]


class HomeFilter(_chain.Filter):
    """Routes each call by the incarnation that its session names.

    Args:
        membership: Tells where a session belongs.
        links: Reach other homes.
        clock: The time.
        metrics: Where forwards are counted.
        on_lost: Called with the service and the code of a submission whose
            home is gone or out of reach. Its home can't count it.
    """

    def __init__(
        self,
        membership: decisions.Membership,
        links: peers.PeerLinks,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics,
        on_lost: OnLost,
    ) -> None:
        self._membership = membership
        self._links = links
        self._clock = clock
        self._metrics = metrics
        self._on_lost = on_lost
        self._numbers = itertools.count(1)

    async def apply(
        self, call: _calls.Call, proceed: _chain.Handler
    ) -> _calls.Reply:
        """Hands the call on here, to the home, or refuses it at once."""
        session = _calls.session_of(call)
        if session is None:
            return await proceed(call)
        route = self._membership.route(session, self._clock.now())
        if isinstance(route, decisions.Local):
            return await proceed(call)
        if isinstance(route, decisions.Remote):
            return await self._forward(route.vm, call)
        if isinstance(route, decisions.Unreachable):
            return self._lost(
                call, errors.ResultCode.HOME_UNREACHABLE, route.retry_after_ms
            )
        return self._lost(call, errors.ResultCode.HOME_GONE, None)

    async def _forward(self, vm: str, call: _calls.Call) -> _calls.Reply:
        self._metrics.forwarded()
        try:
            return await _send(call, self._links, vm, next(self._numbers))
        except errors.PeerUnreachable as error:
            logs.event(
                _LOG,
                logging.WARNING,
                'forward_failed',
                peer=vm,
                detail=error.detail,
            )
            return self._lost(
                call, errors.ResultCode.HOME_UNREACHABLE, LINK_RETRY_MS
            )

    def _lost(
        self,
        call: _calls.Call,
        code: errors.ResultCode,
        retry_after_ms: float | None,
    ) -> _calls.Done:
        if isinstance(call, _calls.Submit):
            self._on_lost(call.submission.service, code)
        failure = model.Failure(code, errors.Run.UNKNOWN, retry_after_ms)
        return _calls.Done(model.Answer(failure=failure))


@functools.singledispatch
async def _send(
    call: _calls.Call, links: peers.PeerLinks, vm: str, number: int
) -> _calls.Reply:
    raise TypeError(f'cannot be forwarded: {call!r}')


@_send.register
async def _(
    call: _calls.Submit, links: peers.PeerLinks, vm: str, number: int
) -> _calls.Reply:
    return await _send_forward(call, call.submission, links, vm, number)


@_send.register
async def _(
    call: _calls.Wait, links: peers.PeerLinks, vm: str, number: int
) -> _calls.Reply:
    return await _send_forward(call, None, links, vm, number)


async def _send_forward(
    call: _calls.Submit | _calls.Wait,
    submission: model.Submission | None,
    links: peers.PeerLinks,
    vm: str,
    number: int,
) -> _calls.Reply:
    key = _calls.key_of(call)
    forward = model.Forward(
        request=number,
        session=str(key.session),
        name=key.name,
        submission=submission,
        wait_ms=call.wait_ms,
        request_id=call.context.request_id,
    )
    timeout_ms = call.wait_ms + FORWARD_MARGIN_MS
    return _reply(await links.forward(vm, forward, timeout_ms))


@_send.register
async def _(
    call: _calls.Cancel, links: peers.PeerLinks, vm: str, number: int
) -> _calls.Reply:
    message = model.CancelForward(number, str(call.key.session), call.key.name)
    return _reply(await links.cancel(vm, message))


@_send.register
async def _(
    call: _calls.EndSession, links: peers.PeerLinks, vm: str, number: int
) -> _calls.Reply:
    message = model.CancelForward(number, str(call.session), None)
    await links.cancel(vm, message)
    return _calls.SessionClosed()


def _reply(message: model.ForwardAnswer) -> _calls.Reply:
    if message.answer is None:
        return _calls.Running(message.done_tasks, message.tasks)
    return _calls.Done(message.answer)
