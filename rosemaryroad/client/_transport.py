"""One HTTP call to one entry VM."""

import json
import types
import typing

import aiohttp
import attrs

from rosemaryroad import _payloads
from rosemaryroad import errors
from rosemaryroad.client import _replies

_MS_PER_SECOND = 1000.0
_CONNECT_TIMEOUT_S = 2.0
_MAX_CONNECTIONS = 64

# A connection that was idle for longer may have been forgotten by what
# stands between the two ends; the next request on it would then only end
# by its timeout. A new connection costs one round trip.
_KEEPALIVE_S = 3.0

_VM_HEADER = 'Rosemaryroad-Vm'
_JSON = 'application/json'
_REQUEST_ID_HEADER = 'Rosemaryroad-Request-Id'
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500


class Unanswered(errors.RosemaryroadError):
    """A call has no reply.

    Attributes:
        may_have_arrived: False only where nothing was sent.
    """

    code = errors.ResultCode.DAEMON_UNREACHABLE

    def __init__(self, detail: str, may_have_arrived: bool) -> None:
        super().__init__(detail)
        self.may_have_arrived = may_have_arrived


@attrs.frozen
class HttpReply:
    """A reply.

    Attributes:
        body: Its JSON body, or the text of another body.
        vm: The entry VM that answered, or '' where it doesn't say.
        request_id: The id of the request in the logs.
        error: What the body says where the reply is an error.
    """

    body: typing.Any
    vm: str = ''
    request_id: str = ''
    error: errors.RosemaryroadError | None = None


@attrs.define
class _Tries:
    """Counts how often the HTTP library sends one call."""

    count: int = 0

    async def note(
        self, request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        self.count += 1
        return await send(request)


class Transport:
    """Makes calls; it repeats none by itself.

    The HTTP library does: if the connection breaks, a call by any method but
    POST is sent a second time.

    Args:
        token: The team's bearer token, or None.
    """

    def __init__(self, token: str | None = None) -> None:
        self._headers = {}
        if token is not None:
            self._headers['Authorization'] = f'Bearer {token}'
        self._http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'Transport':
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=_MAX_CONNECTIONS, keepalive_timeout=_KEEPALIVE_S
            ),
            headers=self._headers,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._http is not None:
            await self._http.close()

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        *,
        timeout_ms: float,
        body: typing.Any = None,
        params: dict[str, str] | None = None,
    ) -> HttpReply:
        """Makes one call.

        Args:
            address: The entry VM, as ``IP:port``.
            method: The HTTP method.
            path: The path.
            timeout_ms: How long to wait for the whole reply.
            body: Sent as JSON where it is not None.
            params: The query.

        Raises:
            Unanswered: There was no whole reply.
        """
        if self._http is None:
            raise RuntimeError('use it in "async with"')
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / _MS_PER_SECOND,
            sock_connect=_CONNECT_TIMEOUT_S,
        )
        data = None
        if body is not None:
            data = _payloads.TrackedPayload(
                json.dumps(body).encode(), content_type=_JSON
            )
        tries = _Tries()
        try:
            async with self._http.request(
                method,
                f'http://{address}{path}',
                data=data,
                params=params,
                timeout=timeout,
                middlewares=(tries.note,),
            ) as reply:
                text = await reply.text()
        except _NOT_CONNECTED as error:
            # The first try may have arrived though the second did not.
            arrived = tries.count > 1 and (data is None or data.may_have_left)
            raise Unanswered(_say(address, error), arrived) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise Unanswered(_say(address, error), True) from error
        return _read(address, reply, text)


_NOT_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


def _say(address: str, error: Exception) -> str:
    return f'{address}: {error or type(error).__name__}'


def _read(address: str, reply: aiohttp.ClientResponse, text: str) -> HttpReply:
    try:
        body = json.loads(text)
    except ValueError:
        body = text
    error = None
    if reply.status >= _FIRST_ERROR_STATUS:
        error = _replies.error_from(body)
        if error is None:
            error = _foreign(address, reply.status)
    elif body is text:
        raise Unanswered(f'{address}: the reply is not JSON', True)
    headers = reply.headers
    return HttpReply(
        body=body,
        vm=headers.get(_VM_HEADER, ''),
        request_id=headers.get(_REQUEST_ID_HEADER, ''),
        error=error,
    )


def _foreign(address: str, status: int) -> errors.RosemaryroadError:
    # A balancer that lost its entry VM answers in its own words; whether
    # the VM had the request by then is not known.
    detail = f'{address}: HTTP status {status} without a result code'
    if status >= _FIRST_SERVER_ERROR_STATUS:
        raise Unanswered(detail, True)
    return errors.RosemaryroadError(detail)
