"""The client that callers use."""

import collections.abc
import random
import types
import uuid

from rosemaryroad import clock as clock_module
from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad.client import _delivery
from rosemaryroad.client import _results
from rosemaryroad.client import _retries
from rosemaryroad.client import _sessions
from rosemaryroad.client import _transport


class Client:
    """Submits to rosemaryroad; use it in ``async with``.

    It opens a session before it submits, repeats a call whose reply was
    lost under the same name, and waits as long as it takes.

    Args:
        addresses: Entry VMs or balancers, as ``IP:port``; at least one.
        token: The team's bearer token, or None for the team "public".
        policy: How patient it is.
        clock: The time; for tests.
        rng: Spreads retries; for tests.
    """

    def __init__(
        self,
        addresses: collections.abc.Sequence[str],
        token: str | None = None,
        policy: _retries.RetryPolicy | None = None,
        clock: clock_module.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        if not addresses:
            raise ValueError('at least one address is needed')
        self._policy = policy or _retries.RetryPolicy()
        self._clock = clock or clock_module.Clock()
        self._rng = rng or random.Random()
        self._transport = _transport.Transport(token)
        self._sessions = _sessions.Sessions(
            tuple(addresses),
            self._transport,
            self._policy,
            self._clock,
            self._rng,
        )

    async def __aenter__(self) -> 'Client':
        await self._transport.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._sessions.close()
        await self._transport.__aexit__(kind, error, trace)

    async def start(
        self,
        service: str,
        tasks: collections.abc.Iterable[model.Task],
        *,
        deadline_ms: float | None = None,
        idempotent: bool = True,
        kind: model.Kind = model.Kind.JOB,
        name: str | None = None,
        wait_ms: float = 0.0,
    ) -> _results.Whole | _results.Running:
        """Submits without waiting for the answer.

        Args:
            service: The service that is to run it.
            tasks: The tasks; results come back in their order.
            deadline_ms: When the answer is of no more use, from now.
            idempotent: Whether running it twice does no harm.
            kind: A job of many tasks, or a single request.
            name: The name in the session; a random one by default.
            wait_ms: How long to wait all the same.

        Raises:
            errors.RosemaryroadError: It was refused or failed.
        """
        expires = None
        if deadline_ms is not None:
            expires = self._clock.now() + deadline_ms
        work = _delivery.Work(
            name=name or uuid.uuid4().hex,
            service=service,
            tasks=tuple(_delivery.raw_task(task) for task in tasks),
            idempotent=idempotent,
            kind=kind,
            expires=expires,
        )
        delivery = _delivery.Delivery(
            work,
            self._sessions,
            self._transport,
            self._clock,
            self._patience(expires),
        )
        return await delivery.deliver(wait_ms, self._timeout_ms(wait_ms))

    async def submit(
        self,
        service: str,
        tasks: collections.abc.Iterable[model.Task],
        *,
        deadline_ms: float | None = None,
        idempotent: bool = True,
        kind: model.Kind = model.Kind.JOB,
        name: str | None = None,
        on_progress: _results.Progress | None = None,
    ) -> _results.Whole:
        """Submits and waits for the whole answer; see ``start``.

        Args:
            service: See ``start``.
            tasks: See ``start``.
            deadline_ms: See ``start``.
            idempotent: See ``start``.
            kind: See ``start``.
            name: See ``start``.
            on_progress: Called each time it is found still running.

        Raises:
            errors.RosemaryroadError: It was refused or failed.
        """
        state = await self.start(
            service,
            tasks,
            deadline_ms=deadline_ms,
            idempotent=idempotent,
            kind=kind,
            name=name,
            wait_ms=self._policy.wait_ms,
        )
        if isinstance(state, _results.Whole):
            return state
        if on_progress is not None:
            on_progress(state)
        return await self.wait(state.handle, on_progress)

    async def request(
        self,
        service: str,
        payload: bytes,
        *,
        deadline_ms: float | None = None,
        idempotent: bool = True,
        needs: model.Needs | None = None,
    ) -> bytes:
        """Submits a single request and returns its result.

        Args:
            service: See ``start``.
            payload: What the endpoint is given.
            deadline_ms: See ``start``.
            idempotent: See ``start``.
            needs: What it needs of an endpoint.

        Raises:
            errors.RosemaryroadError: It was refused or failed.
        """
        task = model.Task(payload, needs=needs or model.Needs())
        whole = await self.submit(
            service,
            (task,),
            deadline_ms=deadline_ms,
            idempotent=idempotent,
            kind=model.Kind.REQUEST,
        )
        return whole.results[0]

    async def wait(
        self,
        handle: _results.Handle,
        on_progress: _results.Progress | None = None,
    ) -> _results.Whole:
        """Waits for the whole answer, by one call after another.

        Args:
            handle: The submission.
            on_progress: Called each time it is found still running.

        Raises:
            errors.RosemaryroadError: It failed, or there is no such one.
        """
        patience = self._patience()
        while True:
            state = await self._ask(handle, 'GET', patience)
            if isinstance(state, _results.Whole):
                return state
            patience.renew()
            if on_progress is not None:
                on_progress(state)

    async def cancel(self, handle: _results.Handle) -> bool:
        """Cancels a submission.

        Returns:
            False where its whole answer had been given before.

        Raises:
            errors.RosemaryroadError: It had failed before, or there is no
                such one.
        """
        try:
            await self._ask(handle, 'DELETE', self._patience())
        except errors.RefusedError as error:
            if error.code is errors.ResultCode.CANCELLED:
                return True
            raise
        return False

    async def _ask(
        self,
        handle: _results.Handle,
        method: str,
        patience: _retries.Patience,
    ) -> _results.Whole | _results.Running:
        address = self._sessions.address_of(handle.session)
        wait_ms = self._policy.wait_ms if method == 'GET' else 0.0
        while True:
            try:
                reply = await self._transport.call(
                    address,
                    method,
                    handle.path,
                    timeout_ms=self._timeout_ms(wait_ms),
                    params={'wait_ms': str(wait_ms)},
                )
            except _transport.Unanswered as error:
                final = errors.RefusedError(
                    error.code, errors.Run.UNKNOWN, error.detail
                )
                await patience.pause(final)
            else:
                if reply.error is None:
                    return _results.read(handle, reply.body, reply.request_id)
                after = _sessions.retry_after_ms(reply.error)
                await patience.pause(reply.error, after)
            address = self._sessions.address_after(address)

    def _patience(self, expires: float | None = None) -> _retries.Patience:
        return _retries.Patience(self._policy, self._clock, self._rng, expires)

    def _timeout_ms(self, wait_ms: float) -> float:
        return wait_ms + self._policy.margin_ms
