"""Brings one submission to its home, in spite of lost replies."""

import asyncio
import base64
import typing

import attrs

from rosemaryroad import clock as clock_module
from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad import structure
from rosemaryroad.client import _results
from rosemaryroad.client import _retries
from rosemaryroad.client import _sessions
from rosemaryroad.client import _transport

_Code = errors.ResultCode
_MS_PER_SECOND = 1000.0

# After these, a session is of no more use for new names.
_CLOSED_CODES = frozenset(
    {
        _Code.DRAINING,
        _Code.HOME_GONE,
        _Code.SESSION_ENDED,
        _Code.UNKNOWN_SESSION,
    }
)


@attrs.frozen
class Work:
    """A submission before it has a session.

    Attributes:
        name: The caller's name for it.
        service: The service.
        tasks: The tasks, as the API takes them.
        idempotent: Whether running it twice does no harm.
        kind: Job or single request.
        expires: The clock's time of its deadline, or None.
    """

    name: str
    service: str
    tasks: tuple[dict[str, typing.Any], ...]
    idempotent: bool
    kind: model.Kind
    expires: float | None

    def body(self, now: float) -> dict[str, typing.Any]:
        """Returns the body of a call that is made now."""
        body = {
            'service': self.service,
            'tasks': self.tasks,
            'idempotent': self.idempotent,
            'kind': self.kind.value,
        }
        if self.expires is not None:
            body['deadline_ms'] = self.expires - now
        return body


def raw_task(task: model.Task) -> dict[str, typing.Any]:
    """Returns a task as the API takes it."""
    return {
        'payload': base64.b64encode(task.payload).decode(),
        'run_ms': task.run_ms,
        'needs': structure.unstructure(task.needs),
    }


class Delivery:
    """Sends one submission until there is an answer to the call.

    A reply may be lost after the submission has been started. Sent again
    under another name, or in another session, it would run a second time;
    one would notice results twice. So once a call may have arrived, only
    the very same name in the very same session is sent again.
    """

    def __init__(
        self,
        work: Work,
        sessions: _sessions.Sessions,
        transport: _transport.Transport,
        clock: clock_module.Clock,
        patience: _retries.Patience,
    ) -> None:
        self._work = work
        self._sessions = sessions
        self._transport = transport
        self._clock = clock
        self._patience = patience
        self._may_have_arrived = False

    async def deliver(
        self, wait_ms: float, timeout_ms: float
    ) -> _results.Whole | _results.Running:
        """Sends it.

        Args:
            wait_ms: How long the entry VM may hold the call.
            timeout_ms: When the reply counts as lost.

        Raises:
            errors.RosemaryroadError: It failed or was refused for good.
        """
        session = await self._session()
        address = session.address
        while True:
            handle = _results.Handle(session.id, self._work.name)
            try:
                reply = await self._transport.call(
                    address,
                    'PUT',
                    handle.path,
                    timeout_ms=timeout_ms,
                    body=self._body(),
                    params={'wait_ms': str(wait_ms)},
                )
            except _transport.Unanswered as error:
                closed = await self._after_loss(session, error)
            else:
                self._sessions.answered(session, reply.vm)
                if reply.error is None:
                    return _results.read(handle, reply.body, reply.request_id)
                closed = await self._after_error(session, reply)
            if closed:
                session = await self._session()
                address = session.address
            else:
                address = self._sessions.address_after(address)

    async def _session(self) -> _sessions.Session:
        expires = self._work.expires
        left_s = None
        if expires is not None:
            left_s = (expires - self._clock.now()) / _MS_PER_SECOND
        try:
            async with asyncio.timeout(left_s):
                return await self._sessions.current()
        except TimeoutError:
            raise self._too_late() from None

    def _body(self) -> dict[str, typing.Any]:
        body = self._work.body(self._clock.now())
        if body.get('deadline_ms', 1) <= 0:
            raise self._too_late()
        return body

    def _too_late(self) -> errors.RefusedError:
        return errors.RefusedError(_Code.DEADLINE_PASSED, self._run())

    def _run(self) -> errors.Run:
        if self._may_have_arrived:
            return errors.Run.UNKNOWN
        return errors.Run.NOT_RUN

    async def _after_loss(
        self, session: _sessions.Session, error: _transport.Unanswered
    ) -> bool:
        """Pauses, and tells whether to go on in another session."""
        self._may_have_arrived |= error.may_have_arrived
        final = errors.RefusedError(error.code, self._run(), error.detail)
        await self._patience.pause(final)
        if self._may_have_arrived:
            return False
        self._sessions.drop(session)
        return True

    async def _after_error(
        self, session: _sessions.Session, reply: _transport.HttpReply
    ) -> bool:
        """Pauses, and tells whether to go on in another session."""
        error = typing.cast(errors.RosemaryroadError, reply.error)
        closed = error.code in _CLOSED_CODES
        if closed:
            self._sessions.drop(session)
        # Only the home knows what became of an earlier call.
        sure = not self._may_have_arrived or reply.vm == session.vm
        if closed and sure and _not_run(error):
            await self._patience.pause(error)
            return True
        if not sure:
            error = _unsure(error)
        after = _sessions.retry_after_ms(error)
        await self._patience.pause(error, after)
        return False


def _not_run(error: errors.RosemaryroadError) -> bool:
    if isinstance(error, errors.InvalidRequest):
        return True
    return getattr(error, 'run', None) is errors.Run.NOT_RUN


def _unsure(error: errors.RosemaryroadError) -> errors.RosemaryroadError:
    if not isinstance(error, errors.RefusedError):
        return error
    return errors.RefusedError(
        error.code, errors.Run.UNKNOWN, error.detail, error.retry_after_ms
    )
