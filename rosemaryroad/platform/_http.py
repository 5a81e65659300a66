"""Requests to the platform, with what is known when one of them fails."""

import json
import typing

import aiohttp
import attrs

from rosemaryroad import _json_values
from rosemaryroad import errors
from rosemaryroad import structure
from rosemaryroad.platform import _sockets

# A connection that has been idle for longer may have gone silent: what
# stands between the two ends forgets it, and a request written on it
# waits for its whole timeout. A new connection costs a round trip.
_IDLE_SECONDS = 5.0
_MS_PER_SECOND = 1000.0

# Replies that say "not carried out". A gateway's 502 or 504 does not.
_REFUSED_STATUS = frozenset({429, 503})
_FIRST_SERVER_ERROR = 500

_Parsed = typing.TypeVar('_Parsed')


@attrs.frozen
class Timeouts:
    """How long to wait for the platform.

    Attributes:
        connect_ms: For a connection.
        total_ms: For the whole of a request.
    """

    connect_ms: float = attrs.field(
        default=500.0, validator=attrs.validators.gt(0)
    )
    total_ms: float = attrs.field(
        default=2000.0, validator=attrs.validators.gt(0)
    )


@attrs.frozen
class Reply:
    """The reply to a request.

    Attributes:
        status: The HTTP status, below 500.
        body: The whole body.
        etag: The entity tag of what was read, or None.
    """

    status: int
    body: bytes
    etag: str | None = None

    def parse(self, kind: type[_Parsed]) -> _Parsed:
        """Reads the body as JSON.

        Args:
            kind: The attrs class that it describes.

        Raises:
            ValueError: It makes no sense.
        """
        try:
            return structure.structure(_json_values.load(self.body), kind)
        except errors.CheckFailed as error:
            raise ValueError(str(error)) from error


class _RefusedReply(Exception):
    """The platform says that it did not carry out the request."""


class _BrokenReply(Exception):
    """The platform's reply does not say what happened."""


class Client:
    """One of the platform's services over HTTP.

    Args:
        address: Where it listens, as ``IP:port``.
        timeouts: How long to wait for it.
    """

    def __init__(self, address: str, timeouts: Timeouts) -> None:
        self._url = f'http://{address}'
        self._timeout = aiohttp.ClientTimeout(
            total=timeouts.total_ms / _MS_PER_SECOND,
            sock_connect=timeouts.connect_ms / _MS_PER_SECOND,
        )
        self._session: aiohttp.ClientSession | None = None

    async def read(
        self,
        path: str,
        params: dict[str, str] | None = None,
        etag: str | None = None,
        wait_ms: float = 0.0,
    ) -> Reply:
        """Reads something.

        Args:
            path: The path.
            params: What the query names.
            etag: The entity tag of what is known already; where it is
                unchanged, the reply's status is 304 and its body empty.
            wait_ms: How long the service may wait before it answers.

        Raises:
            errors.PlatformUnavailable: There was no whole, sound reply.
        """
        headers = {} if etag is None else {aiohttp.hdrs.IF_NONE_MATCH: etag}
        timeout = self._timeout
        if wait_ms:
            timeout = attrs.evolve(
                timeout, total=timeout.total + wait_ms / _MS_PER_SECOND
            )
        try:
            return await self._request(
                'GET', path, params=params, headers=headers, timeout=timeout
            )
        except (
            aiohttp.ClientError,
            TimeoutError,
            _RefusedReply,
            _BrokenReply,
        ) as error:
            raise errors.PlatformUnavailable(describe(error)) from error

    async def write(self, path: str, body: typing.Any) -> Reply:
        """Writes something with a POST, which is sent once.

        Args:
            path: The path.
            body: Bytes, or an attrs object that is to be sent as JSON.

        Raises:
            errors.PlatformUnavailable: The write certainly did not happen.
            errors.WriteUnknown: It may have happened, or happen yet.
        """
        if not isinstance(body, bytes):
            body = json.dumps(structure.unstructure(body)).encode()
        try:
            return await self._request('POST', path, data=body)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            _RefusedReply,
        ) as error:
            raise errors.PlatformUnavailable(describe(error)) from error
        except (aiohttp.ClientError, TimeoutError, _BrokenReply) as error:
            raise errors.WriteUnknown(describe(error)) from error

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _request(
        self, method: str, path: str, **arguments: typing.Any
    ) -> Reply:
        async with self._open_session().request(
            method, self._url + path, **arguments
        ) as response:
            body = await response.read()
        if response.status in _REFUSED_STATUS:
            raise _RefusedReply(f'status {response.status}')
        if response.status >= _FIRST_SERVER_ERROR:
            raise _BrokenReply(f'status {response.status}')
        etag = response.headers.get(aiohttp.hdrs.ETAG)
        return Reply(response.status, body, etag)

    def _open_session(self) -> aiohttp.ClientSession:
        # A session belongs to the loop that runs when it is made.
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    keepalive_timeout=_IDLE_SECONDS,
                    socket_factory=_sockets.make,
                ),
                timeout=self._timeout,
            )
        return self._session


def describe(error: BaseException) -> str:
    """Says what a call failed by; some errors have no text."""
    return f'{type(error).__name__}: {error}'
