"""Serves a sanic app in the running loop, without worker processes."""

import asyncio
import logging
import socket

import sanic
import sanic.exceptions
import sanic.http

from rosemaryroad import _connections
from rosemaryroad import clock as clock_module
from rosemaryroad import decisions
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad.api import _callers
from rosemaryroad.api import _replies

__all__ = ['HttpServer', 'make_app']

_LOG = logging.getLogger(__name__)

BACKLOG = 1024
_MS_PER_SECOND = 1000.0
_POLL_MS = 10.0
LINGER_MS = 100.0

# How long callers may take to close their ends of idle connections.
_CLOSE_MS = 200.0

# A connection that is idle for longer is closed by us.
KEEP_ALIVE_S = 75

# Beyond the longest wait of a call; sanic would cut it off otherwise.
RESPONSE_MARGIN_S = 30

_HTTP_TOO_LARGE = 413
_END_OF_HEAD = b'\r\n\r\n'


def make_app(
    name: str, max_body_bytes: int, max_wait_ms: float
) -> sanic.Sanic:
    """Makes an app that answers every error in our own form.

    Args:
        name: A name that no other app of this process has.
        max_body_bytes: The largest body.
        max_wait_ms: The longest wait of one call.
    """
    app = sanic.Sanic(name, configure_logging=False)
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
    app.config.RESPONSE_TIMEOUT = int(
        max_wait_ms / _MS_PER_SECOND + RESPONSE_MARGIN_S
    )
    app.config.ACCESS_LOG = False
    app.config.MOTD = False
    app.config.FALLBACK_ERROR_FORMAT = 'json'
    app.exception(Exception)(_on_error)
    app.on_request(_on_request)
    app.on_response(_on_response)
    return app


async def _on_request(request: sanic.Request) -> None:
    _callers.set_request_id(request)


async def _on_response(
    request: sanic.Request, response: sanic.HTTPResponse
) -> None:
    request_id = getattr(request.ctx, 'request_id', None)
    if request_id is not None:
        response.headers[_callers.HEADER_REQUEST_ID] = request_id
    vm = getattr(request.app.ctx, 'vm', None)
    if vm is not None:
        response.headers[_callers.HEADER_VM] = vm
    if getattr(request.app.ctx, 'closing', False):
        # A caller that kept its connection would send its next request
        # into a process that is about to end, and hear nothing.
        request.stream.keep_alive = False


async def _on_error(
    request: sanic.Request, error: Exception
) -> sanic.HTTPResponse:
    ours = _our_error(error)
    if not isinstance(ours, errors.RosemaryroadError):
        logs.fault(_LOG, 'call_fault', error)
    return _replies.error_reply(ours)


def _our_error(error: Exception) -> Exception:
    if isinstance(error, sanic.exceptions.SanicException):
        if error.status_code == _HTTP_TOO_LARGE:
            code = errors.ResultCode.BODY_TOO_LARGE
        elif error.status_code in (404, 405):
            code = errors.ResultCode.NOT_FOUND
        elif error.status_code < 500:
            code = errors.ResultCode.MALFORMED_BODY
        else:
            code = errors.ResultCode.INTERNAL
        return errors.RosemaryroadError(code=code)
    return error


class HttpServer:
    """One listening socket and the connections that came in by it."""

    def __init__(self, app: sanic.Sanic, clock: clock_module.Clock) -> None:
        self._app = app
        self._clock = clock
        self._server: sanic.server.AsyncioServer | None = None
        self._listener: socket.socket | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens.

        Args:
            host: An IP number.
            port: A TCP port, or 0 to let the system choose.

        Returns:
            The port that it listens on.

        Raises:
            OSError: The address can't be bound.
        """
        listener = socket.create_server((host, port), backlog=BACKLOG)
        chosen = listener.getsockname()[1]
        server = await self._app.create_server(
            sock=listener,
            backlog=BACKLOG,
            return_asyncio_server=True,
            access_log=False,
            asyncio_server_kwargs={'start_serving': False},
        )
        await server.startup()
        await server.before_start()
        await server.after_start()
        await server.start_serving()
        self._server = server
        self._listener = listener
        return chosen

    def stop_keep_alive(self) -> None:
        """Asks callers, with each reply, to close their connection."""
        self._app.ctx.closing = True

    async def stop(self, limit_ms: float) -> bool:
        """Stops listening and lets the requests in progress end.

        Args:
            limit_ms: How long they may take.

        Returns:
            Whether none was cut off.
        """
        server = self._server
        if server is None:
            return True
        await _connections.accept_waiting(self._listener)
        server.server.close()
        # What has been sent may still be on its way to the app.
        await asyncio.sleep(LINGER_MS / _MS_PER_SECOND)
        until = self._clock.now() + limit_ms
        while self._in_use() and self._clock.now() < until:
            await asyncio.sleep(_POLL_MS / _MS_PER_SECOND)
        cut = self._in_use()
        await self._end_idle()
        for connection in cut:
            connection.abort()
        await server.before_stop()
        await server.after_stop()
        return not cut

    async def _end_idle(self) -> None:
        refused = errors.RefusedError(
            errors.ResultCode.DRAINING,
            errors.Run.NOT_RUN,
            retry_after_ms=decisions.DRAINING_RETRY_MS,
        )
        idle = [
            connection
            for connection in self._server.connections
            if _connections.is_open(connection) and not _is_in_use(connection)
        ]
        self._server.connections.difference_update(idle)
        for connection in idle:
            if connection.http is not None:
                # The library's task goes on waiting until the loop is closed,
                # and takes that for a fault otherwise.
                connection.http.exception = refused
        answered = [item for item in idle if _is_answered(item)]
        unanswered = [item for item in idle if item not in answered]
        await _connections.end_idle(
            unanswered, _last_reply(refused), _CLOSE_MS, answered
        )

    def _in_use(self) -> list[sanic.server.HttpProtocol]:
        return [
            connection
            for connection in self._server.connections
            if _is_in_use(connection)
        ]


def _is_in_use(connection: sanic.server.HttpProtocol) -> bool:
    """Tells whether a whole request is being answered."""
    if _connections.has_unsent(connection):
        return True
    if not _connections.is_open(connection):
        return False
    stage = None if connection.http is None else connection.http.stage
    if stage is None or stage is sanic.http.Stage.IDLE:
        return bool(connection.recv_buffer)
    if stage is sanic.http.Stage.REQUEST:
        return _END_OF_HEAD in connection.recv_buffer
    # A request is handled once its body is whole.
    return bool(connection.recv_buffer) or not connection.http.request_body


def _is_answered(connection: sanic.server.HttpProtocol) -> bool:
    """Tells whether the last answer has gone out, before a whole request."""
    call = connection.http
    return (
        call is not None
        and call.stage is sanic.http.Stage.IDLE
        and not call.keep_alive
    )


def _last_reply(refused: errors.RefusedError) -> bytes:
    reply = _replies.error_reply(refused)
    headers = {**reply.headers, 'Content-Type': reply.content_type}
    return _connections.refusal(headers, reply.body)
