"""Orders to minions over HTTP and JSON."""

import http
import json
import typing

import aiohttp
import attrs

from rosemaryroad import _payloads
from rosemaryroad import clock as clock_module
from rosemaryroad import endpoints
from rosemaryroad import model
from rosemaryroad.platform import _decoding
from rosemaryroad.platform import _http
from rosemaryroad.platform import _report_bodies
from rosemaryroad.platform import _sockets

_MS_PER_SECOND = 1000.0
_JSON_HEADERS = {'Content-Type': 'application/json'}
_SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')
_MISDIRECTED = 421

# An order takes about one round trip, 2 ms, and some tens on a VM that is
# slowed down; a minion that hasn't answered after this long hasn't heard
# it, or its answer is lost. Its room is blocked until then.
_ORDER_TIMEOUT_MS = 120.0
_CONNECT_TIMEOUT_MS = 120.0

# The share by which a minion's monotonic clock may run slow.
_CLOCK_DRIFT = 0.02

# An answer whose clock is behind by more was not just read late: it comes from
# another life of the minion.
_MAX_READ_DELAY_MS = 500.0

# Connections that are used again save a handshake each; a minion sees some
# eight orders a second, so one that is idle for longer isn't needed.
_IDLE_S = 15.0

_RESULT_BY_REASON = {
    'room': model.OrderResult.NO_ROOM,
    'old': model.OrderResult.STALE_ATTEMPT,
    'late': model.OrderResult.TOO_LATE,
    'fence': model.OrderResult.FENCED,
}


@attrs.frozen
class _Reply:
    status: int
    body: dict[str, typing.Any]


@attrs.frozen
class _ClockOffset:
    """A minion's clock less ours.

    Attributes:
        ms: By how much it is ahead, as of an answer.
        born: The life that answered, or None where that was not told.
        read_at: When that answer was read.
    """

    ms: float
    born: int | None
    read_at: float

    def lower_bound_ms(self, now: float) -> float:
        """Returns the least by which it may be ahead now."""
        return self.ms - _CLOCK_DRIFT * (now - self.read_at)


class MinionClient(endpoints.WorkerClient):
    """Speaks to the platform's minions.

    Args:
        lease_ms: The longest lease that a minion gives.
        clock: The clock.
    """

    def __init__(self, lease_ms: float, clock: clock_module.Clock) -> None:
        self._lease_ms = lease_ms
        self._clock = clock
        self._offset_by_worker: dict[str, _ClockOffset] = {}
        self._session: aiohttp.ClientSession | None = None

    async def hold(
        self,
        worker: model.Worker,
        fence: int,
        acknowledged: int,
        wait_ms: float,
        prolong: bool = True,
        spare_ms: float = 0.0,
    ) -> model.WorkerReport:
        """Asks what runs; see the base class."""
        asked_at = self._clock.now()
        body = {
            'fence': fence,
            'last_seen': acknowledged,
            'wait_ms': int(wait_ms),
        }
        lease_end = self._lease_end(worker, self._lease_ms - spare_ms)
        if prolong and lease_end is not None:
            # A time on the minion's clock, and of the leases, not of work.
            body['deadline_ms'] = lease_end
        try:
            reply = await self._post(
                worker, '/api/hold', _encode(body), wait_ms
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = endpoints.WorkerUnreachable
            if _is_refused(error):
                kind = endpoints.WorkerDown
            raise kind(_http.describe(error)) from error
        if reply.status == _MISDIRECTED:
            raise endpoints.WorkerReplaced(worker.id)
        if reply.status == http.HTTPStatus.CONFLICT:
            raise endpoints.WorkerFenced(worker.id)
        if reply.status != http.HTTPStatus.OK:
            raise endpoints.WorkerUnreachable(f'status {reply.status}')
        try:
            return _report_bodies.read_report(reply.body, asked_at)
        except ValueError as error:
            raise endpoints.WorkerUnreachable(
                f'no sound report: {error}'
            ) from error

    async def start(
        self,
        worker: model.Worker,
        fence: int,
        task: model.TaskId,
        attempt: int,
        payload: str,
        order_validity_ms: float,
    ) -> model.OrderReply:
        """Starts an attempt; see the base class."""
        body = {
            'task': _report_bodies.task_name(task),
            'attempt': attempt,
            'spec': payload,
            # An order that is carried out seconds later is refused by it.
            'deadline_ms': self._lease_end(worker, order_validity_ms) or 0,
            'fence': fence,
        }
        return await self._order(worker, '/api/run-start', body)

    async def stop(
        self,
        worker: model.Worker,
        fence: int,
        task: model.TaskId,
        attempt: int,
    ) -> model.OrderReply:
        """Stops an attempt; see the base class."""
        body = {
            'task': _report_bodies.task_name(task),
            'attempt': attempt,
            'fence': fence,
        }
        return await self._order(worker, '/api/run-stop', body)

    def forget(self, worker: model.Worker) -> None:
        """Drops what is kept of a worker that is gone."""
        self._offset_by_worker.pop(worker.id, None)

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    def _lease_end(self, worker: model.Worker, lease_ms: float) -> int | None:
        offset = self._offset_by_worker.get(worker.id)
        if offset is None or model.is_earlier_life(offset.born, worker.born):
            return None
        now = self._clock.now()
        return int(now + offset.lower_bound_ms(now) + lease_ms)

    async def _order(
        self, worker: model.Worker, path: str, body: dict[str, typing.Any]
    ) -> model.OrderReply:
        payload = _encode(body)
        try:
            reply = await self._post(worker, path, payload, 0.0)
        except TimeoutError:
            return model.OrderReply(model.OrderResult.UNKNOWN)
        except (aiohttp.ClientError, OSError):
            if payload.may_have_left:
                return model.OrderReply(model.OrderResult.UNKNOWN)
            return model.OrderReply(model.OrderResult.NOT_SENT)
        worker_clock = _report_bodies.read_clock(reply.body) or 0.0
        return model.OrderReply(_read_result(reply), worker_clock)

    async def _post(
        self,
        worker: model.Worker,
        path: str,
        payload: _payloads.TrackedPayload,
        wait_ms: float,
    ) -> _Reply:
        total_s = (_ORDER_TIMEOUT_MS + wait_ms) / _MS_PER_SECOND
        async with self._open_session().post(
            f'http://{worker.address}{path}',
            data=payload,
            headers={'X-Expect-Instance': worker.id},
            timeout=aiohttp.ClientTimeout(
                total=total_s,
                sock_connect=_CONNECT_TIMEOUT_MS / _MS_PER_SECOND,
                ceil_threshold=60,
            ),
            allow_redirects=False,
        ) as response:
            data = await response.read()
        return self._read(worker, response.status, data)

    def _read(self, worker: model.Worker, status: int, data: bytes) -> _Reply:
        body = _report_bodies.read_body(data)
        self._compare_clocks(worker, body)
        return _Reply(status, body)

    def _compare_clocks(
        self, worker: model.Worker, body: dict[str, typing.Any]
    ) -> None:
        clock_ms = _report_bodies.read_clock(body)
        if clock_ms is None:
            return
        try:
            born = _decoding.read_born(body)
        except ValueError:
            return
        known = self._offset_by_worker.get(worker.id)
        if known is not None and known.born is not None:
            # The answers to orders don't tell whose clock theirs is.
            is_report = 'running' in body
            if model.is_earlier_life(born, known.born) or not is_report:
                return
        now = self._clock.now()
        offset_ms = clock_ms - now
        if known is not None and known.born == born:
            delay_ms = known.lower_bound_ms(now) - offset_ms
            if 0.0 < delay_ms < _MAX_READ_DELAY_MS:
                # The answer was read late. With too low an offset, the
                # minion would refuse orders as late.
                offset_ms += delay_ms
        self._offset_by_worker[worker.id] = _ClockOffset(offset_ms, born, now)

    def _open_session(self) -> aiohttp.ClientSession:
        # A session belongs to the loop that runs when it is made.
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    keepalive_timeout=_IDLE_S,
                    socket_factory=_sockets.make,
                ),
                headers=_JSON_HEADERS,
                skip_auto_headers=_SKIPPED_HEADERS,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _is_refused(error: Exception) -> bool:
    """Tells whether a connection was refused, so that nobody listens."""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, (ConnectionRefusedError, ConnectionResetError)
    )


def _encode(body: dict[str, typing.Any]) -> _payloads.TrackedPayload:
    return _payloads.TrackedPayload(json.dumps(body).encode())


def _read_result(reply: _Reply) -> model.OrderResult:
    if reply.status == http.HTTPStatus.OK:
        return model.OrderResult.DONE
    if reply.status == http.HTTPStatus.CONFLICT:
        reason = _report_bodies.read_reason(reply.body)
        return _RESULT_BY_REASON.get(reason, model.OrderResult.INVALID)
    if reply.status == _MISDIRECTED:
        return model.OrderResult.WRONG_LIFE
    if reply.status in (
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ):
        return model.OrderResult.UNHEALTHY
    if reply.status == http.HTTPStatus.BAD_REQUEST:
        return model.OrderResult.INVALID
    return model.OrderResult.UNKNOWN
