"""The platform's list of live and leaving VMs."""

import abc
import http

import attrs

from rosemaryroad import _json_values
from rosemaryroad import errors
from rosemaryroad.platform import _http
from rosemaryroad.platform import _records


class VmList(abc.ABC):
    """The list of live and leaving VMs; it lags."""

    @abc.abstractmethod
    async def list(self) -> tuple[_records.VmRecord, ...]:
        """Reads the whole list.

        Returns:
            The records; the very tuple returned before, where the list
            is unchanged, so that ``is`` tells.

        Raises:
            errors.PlatformUnavailable: There was no sound answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


@attrs.frozen
class _Known:
    """The last list that was read."""

    body: bytes
    etag: str | None
    records: tuple[_records.VmRecord, ...]


class HttpVmList(VmList):
    """The VM list over HTTP and JSON.

    A list that the platform sends with an ETag is asked for only if it
    has changed; without one, equal bytes tell that it has not.

    Args:
        address: Where it listens, as ``IP:port``.
        timeouts: How long to wait for it.
    """

    def __init__(
        self, address: str, timeouts: _http.Timeouts | None = None
    ) -> None:
        self._client = _http.Client(address, timeouts or _http.Timeouts())
        self._known: _Known | None = None

    async def list(self) -> tuple[_records.VmRecord, ...]:
        """Reads the whole list; see the base class."""
        known = self._known
        etag = None if known is None else known.etag
        reply = await self._client.read('/vms', etag=etag)
        if reply.status == http.HTTPStatus.NOT_MODIFIED:
            # A 304 that was not asked for, as from a broken cache, names
            # no list. Taken for an empty one, or for the one known, it
            # would hide changes for as long as the cache sends it.
            if known is None or etag is None:
                raise errors.PlatformUnavailable('304 without a condition')
            return known.records
        if known is not None and known.body == reply.body:
            records = known.records
        else:
            records = _parse(reply.body)
        self._known = _Known(reply.body, reply.etag, records)
        return records

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()


def _parse(body: bytes) -> tuple[_records.VmRecord, ...]:
    try:
        return _records.read_records(_json_values.load(body)['vms'])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.PlatformUnavailable('no list of VMs') from error
