"""Jobs over the platform's interface for callers."""

import asyncio
import collections.abc
import contextlib
import http
import json
import logging
import math
import socket
import typing

from aiohttp import web
import attrs

from rosemaryroad import _connections
from rosemaryroad import _idle_connections
from rosemaryroad import jobservice
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import structure
from rosemaryroad.platform import _job_bodies

_LOG = logging.getLogger(__name__)

# The library logs a traceback for each call that is no HTTP.
logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)

_MS_PER_SECOND = 1000.0
_BACKLOG = 1024
_IDLE_S = 75.0

# The library closes idle connections without an answer, and takes 0 for at
# once: its limit is out of reach.
_LIBRARY_IDLE_S = 86_400.0
_DEADLINE_HEADER = 'x-deadline-ms'

# How long the last answers may take to leave.
_LAST_ANSWERS_MS = 300.0
_POLL_S = 0.01
_LINGER_S = 0.03

# How long callers may take to close their ends of idle connections.
_CLOSE_MS = 200.0

# When to come back to a VM that can't take a job itself: another one can, or
# this one within a second of its start.
_RETRY_MS = 500.0

# How long a client waits that doesn't say so, and the longest that one waits.
_DEFAULT_LEFT_MS = 2_000.0
_MOST_LEFT_MS = 3_600_000.0

# What is left of it when the answer has travelled back, and a margin for
# this VM being slow.
_ANSWER_MS = 15.0

_STATUS_BY_END = {
    model.JobEnd.COMPLETED: http.HTTPStatus.OK,
    model.JobEnd.FAILED: http.HTTPStatus.OK,
    model.JobEnd.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
    model.JobEnd.GIVEN_UP: http.HTTPStatus.GATEWAY_TIMEOUT,
}

_Handle = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.Response]
]


@attrs.frozen
class _Listener:
    """An address that is listened on.

    Attributes:
        bound: The listening socket.
        accepting: What accepts connections there.
        server: What serves them.
    """

    bound: socket.socket
    accepting: asyncio.Server
    server: web.Server

    @classmethod
    async def open(cls, address: str, server: web.Server) -> '_Listener':
        """Listens.

        Raises:
            OSError: The address can't be bound.
        """
        host, _, port = address.rpartition(':')
        bound = socket.create_server((host, int(port)), backlog=_BACKLOG)
        loop = asyncio.get_running_loop()
        accepting = await loop.create_server(
            server, sock=bound, backlog=_BACKLOG
        )
        return cls(bound, accepting, server)

    async def close(self) -> None:
        """Stops listening, and serves what the kernel has accepted."""
        await _connections.accept_waiting(self.bound)
        self.accepting.close()


class CallersServer:
    """Serves callers, readiness and metrics on their addresses."""

    def __init__(self) -> None:
        self._listeners: list[_Listener] = []
        self._in_progress: set[web.RequestHandler] = set()
        self._answered: set[web.RequestHandler] = set()
        self._unused = _idle_connections.UnusedConnections()
        self._reaper = _idle_connections.IdleReaper(
            self._unused, self._open, _LAST_REPLY, _CLOSE_MS
        )
        self._front: jobservice.JobService | None = None
        self._render: collections.abc.Callable[[], str] | None = None

    async def serve(
        self,
        front: jobservice.JobService,
        render: collections.abc.Callable[[], str],
        callers: str,
        status: tuple[str, ...],
    ) -> None:
        """Listens on all addresses.

        Args:
            front: Takes the jobs.
            render: Returns the metrics as text.
            callers: Where callers come, as ``IP:port``.
            status: Where readiness and metrics are asked for.

        Raises:
            OSError: An address can't be bound.
        """
        self._front = front
        self._render = render
        for address in status:
            await self._listen(address, self._serve_status)
        await self._listen(callers, self._serve_caller)
        self._reaper.start(_IDLE_S)

    @property
    def connections(self) -> int:
        """How many connections of callers and operators are open."""
        return len(self._open())

    async def stop(self) -> None:
        """Stops listening and ends each connection by an answer."""
        self._reaper.close()
        before = self.connections
        for listener in self._listeners:
            await listener.close()
        accepted = self.connections - before
        # What has been sent may still be on its way to its handler.
        await asyncio.sleep(_LINGER_S)
        ended, cut = await asyncio.gather(
            self._end_unused(), self._finish_answers()
        )
        # Others were in use only since their callers read slowly.
        drained = await self._end_unused()
        await self._reaper.wait_closed()
        logs.event(
            _LOG,
            logging.INFO,
            'connections_ended',
            before=before,
            accepted=accepted,
            idle=ended.count + drained.count,
            crossed=ended.crossed + drained.crossed,
            unclosed=ended.unclosed + drained.unclosed,
            cut=cut,
        )

    def _end_unused(
        self,
    ) -> collections.abc.Awaitable[_connections.IdleEnded]:
        """Ends the connections on which nothing is being answered."""
        unused = {item for item in self._open() if not self._is_in_use(item)}
        answered = unused & self._answered
        return _connections.end_idle(
            map(_connections.Detached, unused - answered),
            _LAST_REPLY,
            _CLOSE_MS,
            map(_connections.Detached, answered),
        )

    async def _listen(self, address: str, handle: _Handle) -> None:
        # Whoever waits for a client that has left has to hear of it.
        server = web.Server(
            self._ending_connections(
                self._marking_use(_reporting_faults(handle))
            ),
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=_LIBRARY_IDLE_S,
        )
        self._listeners.append(await _Listener.open(address, server))

    def _marking_use(self, handle: _Handle) -> _Handle:
        """Keeps connections from being ended while a call is handled."""

        async def handle_in_use(request: web.BaseRequest) -> web.Response:
            with self._unused.using(request.protocol):
                return await handle(request)

        return handle_in_use

    @contextlib.contextmanager
    def _answering(
        self, request: web.BaseRequest
    ) -> collections.abc.Iterator[None]:
        """Keeps in mind that what is asked may be done."""
        self._in_progress.add(request.protocol)
        try:
            yield
        finally:
            self._in_progress.discard(request.protocol)

    def _ending_connections(self, handle: _Handle) -> _Handle:
        """Has each answer of a leaving VM be the last on its connection.

        A client that kept its connection would send its next job into a
        process that is about to end.
        """

        async def handle_last(request: web.BaseRequest) -> web.Response:
            response = await handle(request)
            if self._front.is_leaving:
                response.force_close()
                self._answered.add(request.protocol)
            return response

        return handle_last

    async def _finish_answers(self) -> int:
        """Waits for answers; returns how many connections were cut off."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LAST_ANSWERS_MS / _MS_PER_SECOND):
                while self._in_use():
                    await asyncio.sleep(_POLL_S)
        cut = self._in_use()
        for connection in cut:
            connection.force_close()
        return len(cut)

    def _all(self) -> collections.abc.Iterator[web.RequestHandler]:
        for listener in self._listeners:
            yield from listener.server.connections

    def _open(self) -> list[web.RequestHandler]:
        return [item for item in self._all() if _connections.is_open(item)]

    def _in_use(self) -> list[web.RequestHandler]:
        return [item for item in self._all() if self._is_in_use(item)]

    def _is_in_use(self, connection: web.RequestHandler) -> bool:
        """Tells whether a call is being answered."""
        return _connections.has_unsent(connection) or (
            connection in self._in_progress
            and _connections.is_open(connection)
        )

    async def _serve_status(self, request: web.BaseRequest) -> web.Response:
        path = request.rel_url.raw_path
        if request.method != 'GET':
            return _empty(http.HTTPStatus.METHOD_NOT_ALLOWED)
        if path == '/api/readyz':
            return _empty(200 if self._front.is_ready else 503)
        if path == '/metrics':
            return web.Response(text=self._render())
        if path == '/v1/drains':
            drains = self._front.drained_domains()
            told = [structure.unstructure(item) for item in drains]
            return _json(http.HTTPStatus.OK, {'drains': told})
        if path == '/v1/scheduling':
            view = self._front.scheduling()
            return _json(http.HTTPStatus.OK, structure.unstructure(view))
        return _empty(http.HTTPStatus.NOT_FOUND)

    async def _serve_caller(self, request: web.BaseRequest) -> web.Response:
        """Finds the queue that a call is for, and serves it."""
        front = self._front
        path = request.rel_url.raw_path
        handle = {
            'POST': self._post,
            'GET': self._get,
            'DELETE': self._delete,
        }.get(request.method)
        if handle is None:
            return _empty(http.HTTPStatus.METHOD_NOT_ALLOWED)
        # Only a job is worth a wait for the first configuration.
        known = front.has_queues
        if not known and request.method == 'POST':
            known = await front.wait_for_queues()
        if not known:
            job_id = path.rpartition('/')[2]
            return self._refuse(job_id, 'no configuration')
        match = front.find_queue(request.host, path)
        if match is None:
            return _empty(http.HTTPStatus.NOT_FOUND)
        return await handle(request, match)

    async def _post(
        self, request: web.BaseRequest, match: jobservice.QueueMatch
    ) -> web.Response:
        front = self._front
        job_id = match.rest
        try:
            body = await request.read()
            job = _job_bodies.read_job(job_id, match.route, body)
        except _job_bodies.Malformed as error:
            logs.event(
                _LOG,
                logging.INFO,
                'job_malformed',
                request_id=job_id,
                cause=error,
            )
            return _empty(http.HTTPStatus.BAD_REQUEST)
        except _job_bodies.Unserved as error:
            return self._refuse(job_id, f'not served: {error}')
        if not front.has_time_for(job):
            return self._refuse(job_id, 'about to end')
        with self._answering(request):
            answer = await front.submit(job, _left_ms(request))
        return self._answer(answer)

    async def _get(
        self, _: web.BaseRequest, match: jobservice.QueueMatch
    ) -> web.Response:
        front = self._front
        if not match.rest:
            pending = front.pending(match.route.name)
            return _json(http.HTTPStatus.OK, {'pending': pending})
        started = front.state_of(match.rest)
        if started is None:
            return _empty(http.HTTPStatus.GONE)
        state = 'active' if started else 'queued'
        return _json(http.HTTPStatus.OK, {'state': state})

    async def _delete(
        self, _: web.BaseRequest, match: jobservice.QueueMatch
    ) -> web.Response:
        end = await self._front.cancel(match.rest, match.route.name)
        if end is jobservice.CancelEnd.DONE:
            return _json(http.HTTPStatus.OK, {})
        if end is jobservice.CancelEnd.UNKNOWN:
            return _empty(http.HTTPStatus.GONE)
        return _empty(
            http.HTTPStatus.SERVICE_UNAVAILABLE, _retry_after(_RETRY_MS)
        )

    def _answer(self, answer: jobservice.JobAnswer) -> web.Response:
        status = _STATUS_BY_END[answer.end]
        if status is http.HTTPStatus.OK:
            return _json(status, {'state': answer.end.value})
        headers = {}
        if answer.end is model.JobEnd.NOT_RUN:
            headers = _retry_after(answer.retry_after_ms)
        return _empty(status, headers)

    def _refuse(self, request_id: str, cause: str) -> web.Response:
        self._front.refused(request_id, cause)
        return _empty(
            http.HTTPStatus.SERVICE_UNAVAILABLE, _retry_after(_RETRY_MS)
        )


def _reporting_faults(handle: _Handle) -> _Handle:
    """Answers what the handler of a call fails by, and logs it."""

    async def handle_safely(request: web.BaseRequest) -> web.Response:
        try:
            return await handle(request)
        except web.HTTPException as error:
            return _empty(error.status)
        except Exception as error:
            logs.fault(_LOG, 'call_fault', error)
            return _empty(http.HTTPStatus.INTERNAL_SERVER_ERROR)

    return handle_safely


def _empty(status: int, headers: dict[str, str] | None = None) -> web.Response:
    return web.Response(
        status=status, headers=headers, content_type='application/json'
    )


def _json(status: int, body: dict[str, typing.Any]) -> web.Response:
    return web.Response(
        body=json.dumps(body).encode(),
        status=status,
        content_type='application/json',
    )


def _retry_after(ms: float) -> dict[str, str]:
    return {'retry-after': str(max(1, math.ceil(ms / _MS_PER_SECOND)))}


_LAST_REPLY = _connections.refusal(_retry_after(_RETRY_MS))


def _left_ms(request: web.BaseRequest) -> float:
    text = request.headers.get(_DEADLINE_HEADER, '')
    try:
        told = float(text)
    except ValueError:
        return _DEFAULT_LEFT_MS
    if not math.isfinite(told) or told <= 0:
        return _DEFAULT_LEFT_MS
    return max(1.0, min(told, _MOST_LEFT_MS) - _ANSWER_MS)
