"""Minions over HTTP."""

import asyncio
import errno
import logging
import math

import aiohttp

from rosemaryroad import clock as clocks
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.endpoints import _addresses
from rosemaryroad.endpoints import _client
from rosemaryroad.endpoints import _connections
from rosemaryroad.endpoints import _headers
from rosemaryroad.endpoints import _payload
from rosemaryroad.endpoints import _replies

__all__ = ['HttpEndpointClient']

CONNECT_TIMEOUT_MS = 1_000.0
CANCEL_TIMEOUT_MS = 2_000.0
DEADLINE_GRACE_MS = 100.0
MOST_RESULT_BYTES = 16 * 1024 * 1024
_MS_PER_SECOND = 1000.0
# What the kernel reports once probes or written bytes stay unanswered.
_SILENT_ERRNOS = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH))

_LOG = logging.getLogger(__name__)


class ResultTooLarge(Exception):
    """A reply's body is over the limit."""


class HttpEndpointClient(_client.EndpointClient):
    """Starts tasks at minions with one POST each.

    Args:
        incarnation: This daemon's incarnation. Attempts are numbered
            within it, so it goes into the id that the minion sees.
        clock: The clock.
    """

    def __init__(self, incarnation: str, clock: clocks.Clock) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._addresses = _addresses.Addresses(clock)
        self._payload_by_attempt: dict[int, _payload.TaskPayload] = {}
        self._closed = False

    async def start(
        self, start: model.StartAttempt, request_id: str
    ) -> model.Outcome:
        """Starts a task and waits for its end; see the base class."""
        if self._closed or start.deadline_ms <= 0:
            return model.NotRun(model.NotRunCause.NOT_SENT)
        payload = _payload.TaskPayload(
            start.task.payload,
            self._clock.now() + start.deadline_ms,
            self._clock,
        )
        self._payload_by_attempt[start.attempt] = payload
        connections = self._addresses.acquire(start.endpoint.address)
        try:
            outcome = await self._post(connections, start, payload, request_id)
            if isinstance(outcome, model.Unknown) and outcome.silent:
                self._addresses.retire(connections)
        finally:
            payload.abandoned = True
            del self._payload_by_attempt[start.attempt]
            await self._addresses.release(connections)
        if not isinstance(outcome, model.Answered):
            logs.event(
                _LOG,
                logging.INFO,
                'attempt_ended',
                request_id=request_id,
                attempt=start.attempt,
                endpoint=start.endpoint.id,
                outcome=outcome,
            )
        return outcome

    async def cancel(self, cancel: model.CancelAttempt) -> None:
        """Asks the minion to stop a task; see the base class."""
        payload = self._payload_by_attempt.get(cancel.attempt)
        if self._closed or payload is None:
            return
        if not payload.may_have_left:
            # Nothing has to be told; the request just never goes out.
            payload.abandoned = True
            return
        connections = self._addresses.acquire(cancel.endpoint.address)
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_MS / _MS_PER_SECOND):
                await self._delete(connections, cancel.attempt)
        except (aiohttp.ClientError, OSError) as error:
            logs.event(
                _LOG,
                logging.INFO,
                'cancel_lost',
                attempt=cancel.attempt,
                endpoint=cancel.endpoint.id,
                error=repr(error),
            )
        finally:
            await self._addresses.release(connections)

    async def forget(self, addresses: tuple[str, ...]) -> None:
        """Closes unused connections to addresses; see the base class."""
        await self._addresses.forget(addresses)

    async def close(self) -> None:
        """Closes all connections; what still waits ends as unknown."""
        self._closed = True
        await self._addresses.close()

    def _attempt_id(self, attempt: int) -> str:
        return f'{self._incarnation}.{attempt}'

    async def _post(
        self,
        connections: _connections.Connections,
        start: model.StartAttempt,
        payload: _payload.TaskPayload,
        request_id: str,
    ) -> model.Outcome:
        began = self._clock.now()
        attempt = self._attempt_id(start.attempt)
        try:
            # A redirect followed would start the task a second time.
            async with connections.session.post(
                'tasks',
                data=payload,
                headers=_request_headers(start, attempt, request_id),
                allow_redirects=False,
                timeout=_timeout(start.deadline_ms),
            ) as response:
                reply = await _read_whole(response)
        except ResultTooLarge:
            return model.Failed(f'result over {MOST_RESULT_BYTES} bytes')
        # An attempt without an outcome would hold its place at the
        # endpoint for good, hence no error may leave from here.
        except Exception as error:
            return _outcome_of_error(error, payload.may_have_left)
        elapsed = self._clock.now() - began
        return _replies.read_reply(reply, attempt, elapsed)

    async def _delete(
        self, connections: _connections.Connections, attempt: int
    ) -> None:
        path = f'tasks/{self._attempt_id(attempt)}'
        async with (
            connections.cancelling,
            connections.session.delete(
                path,
                allow_redirects=False,
                timeout=_timeout(CANCEL_TIMEOUT_MS),
            ) as response,
        ):
            await response.read()


def _timeout(ms: float) -> aiohttp.ClientTimeout:
    # The home gives a submission up at its deadline and cancels what is
    # out. Were the attempt to end in the same moment, it would often be
    # first, and pass for one that its endpoint left without an answer: in
    # an overload sound endpoints would be kept out.
    return aiohttp.ClientTimeout(
        total=(ms + DEADLINE_GRACE_MS) / _MS_PER_SECOND,
        connect=min(ms, CONNECT_TIMEOUT_MS) / _MS_PER_SECOND,
        ceil_threshold=math.inf,
    )


def _request_headers(
    start: model.StartAttempt, attempt: str, request_id: str
) -> dict[str, str]:
    header = _headers.Header
    return {
        header.ATTEMPT: attempt,
        header.SUBMISSION: str(start.key),
        header.TASK_INDEX: str(start.index),
        header.DEADLINE_MS: f'{start.deadline_ms:.3f}',
        header.DECLARED_RUN_MS: f'{start.task.run_ms:.3f}',
        header.IDEMPOTENT: 'true' if start.idempotent else 'false',
        header.REQUEST_ID: request_id,
    }


async def _read_whole(response: aiohttp.ClientResponse) -> _replies.Reply:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        # One endpoint must not fill the memory of a small entry VM; the
        # others' work there would be lost with the process.
        if len(body) > MOST_RESULT_BYTES:
            raise ResultTooLarge
    chunked = 'chunked' in response.headers.get('Transfer-Encoding', '')
    return _replies.Reply(
        status=response.status,
        headers=response.headers,
        body=bytes(body),
        length_known=chunked or 'Content-Length' in response.headers,
    )


def _outcome_of_error(error: Exception, may_have_left: bool) -> model.Outcome:
    silent = isinstance(error, TimeoutError)
    if isinstance(error, OSError) and error.errno in _SILENT_ERRNOS:
        silent = True
    if may_have_left:
        return model.Unknown(f'{type(error).__name__}: {error}', silent)
    refused = isinstance(error, aiohttp.ClientConnectorError) or silent
    if refused:
        return model.NotRun(model.NotRunCause.CONNECT_REFUSED)
    return model.NotRun(model.NotRunCause.NOT_SENT)
