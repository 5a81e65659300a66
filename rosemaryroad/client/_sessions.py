"""The sessions that a client has open."""

import asyncio
import random

import attrs

from rosemaryroad import clock as clock_module
from rosemaryroad import errors
from rosemaryroad.client import _retries
from rosemaryroad.client import _transport

# Used for this share of its idle time only, so that it has not ended when
# the next name arrives.
_FRESH_SHARE = 0.5

# Sessions whose address is remembered, the newest ones.
_MAX_REMEMBERED = 64


@attrs.define(eq=False)
class Session:
    """A session at one entry VM.

    Attributes:
        id: Its id.
        vm: The entry VM that opened it, its home.
        address: Where that was reached.
        idle_ms: It ends when it is not used for so long.
        used: When it was used last, in milliseconds.
    """

    id: str
    vm: str
    address: str
    idle_ms: float
    used: float


class Sessions:
    """Opens sessions and chooses the one for a new name.

    A name is best sent to the home of its session: any other VM has to
    forward it. So new names go into a session of the VM that answered
    last, and older sessions are only used to repeat their own names.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        transport: _transport.Transport,
        policy: _retries.RetryPolicy,
        clock: clock_module.Clock,
        rng: random.Random,
    ) -> None:
        self._addresses = list(addresses)
        rng.shuffle(self._addresses)
        self._transport = transport
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._current: Session | None = None
        self._opening: asyncio.Task[Session] | None = None
        self._by_id: dict[str, Session] = {}

    async def close(self) -> None:
        """Stops opening a session."""
        if self._opening is not None:
            self._opening.cancel()
            await asyncio.gather(self._opening, return_exceptions=True)

    async def current(self) -> Session:
        """Returns the session for a new name; opens one if need be.

        Raises:
            errors.RosemaryroadError: No entry VM opens one in time.
        """
        if self._current is None or not self._is_fresh(self._current):
            self._current = await self._open_once()
        self._current.used = self._clock.now()
        return self._current

    def drop(self, session: Session) -> None:
        """Sends no new name into a session."""
        if self._current is session:
            self._current = None

    def answered(self, session: Session, vm: str) -> None:
        """Notes which VM answered a call in a session."""
        session.used = self._clock.now()
        if vm and vm != session.vm:
            self.drop(session)

    def address_after(self, address: str) -> str:
        """Returns another address to repeat a call at, if there is one."""
        if address not in self._addresses:
            return self._addresses[0]
        following = self._addresses.index(address) + 1
        return self._addresses[following % len(self._addresses)]

    def address_of(self, session_id: str) -> str:
        """Returns where the home of a session is best reached.

        A call at any other VM would have to be forwarded.
        """
        session = self._by_id.get(session_id)
        return self._addresses[0] if session is None else session.address

    def _is_fresh(self, session: Session) -> bool:
        idle = self._clock.now() - session.used
        return idle < session.idle_ms * _FRESH_SHARE

    async def _open_once(self) -> Session:
        # Submissions that arrive together share one session. Each opening
        # its own in turn, the last of many would hear only after as many
        # times the limit that nobody is there.
        if self._opening is None:
            self._opening = asyncio.create_task(self._open())
            self._opening.add_done_callback(self._opened)
        return await asyncio.shield(self._opening)

    def _opened(self, opening: asyncio.Task[Session]) -> None:
        self._opening = None
        if opening.cancelled() or opening.exception() is not None:
            return
        session = opening.result()
        self._by_id[session.id] = session
        if len(self._by_id) > _MAX_REMEMBERED:
            del self._by_id[next(iter(self._by_id))]

    async def _open(self) -> Session:
        patience = _retries.Patience(self._policy, self._clock, self._rng)
        while True:
            address = self._addresses[0]
            try:
                reply = await self._transport.call(
                    address,
                    'POST',
                    '/v1/sessions',
                    timeout_ms=self._policy.margin_ms,
                )
            except _transport.Unanswered as error:
                self._rotate()
                # A session that was opened but not heard of stays empty
                # and ends by itself, so nothing ran.
                await patience.pause(_unreachable(error))
                continue
            if reply.error is None:
                return self._read(address, reply)
            self._rotate()
            await patience.pause(reply.error, retry_after_ms(reply.error))

    def _read(self, address: str, reply: _transport.HttpReply) -> Session:
        body = reply.body
        return Session(
            id=body['session'],
            vm=body['vm'],
            address=address,
            idle_ms=body['idle_ms'],
            used=self._clock.now(),
        )

    def _rotate(self) -> None:
        self._addresses.append(self._addresses.pop(0))


def retry_after_ms(error: errors.RosemaryroadError) -> float | None:
    """Returns the time that a refusal gave for coming back.

    Raises:
        errors.RosemaryroadError: The error itself, where it is final.
    """
    if not errors.DETAIL_BY_CODE[error.code].retry:
        raise error
    return getattr(error, 'retry_after_ms', None)


def _unreachable(error: _transport.Unanswered) -> errors.RefusedError:
    return errors.RefusedError(error.code, errors.Run.NOT_RUN, error.detail)
