"""The platform's transactional table service."""

import abc
import http
import typing

import attrs

from rosemaryroad import errors
from rosemaryroad.platform import _http

SCAN_LIMIT = 1000


@attrs.frozen
class Row:
    """One row.

    Attributes:
        key: Its key within the table.
        value: Its value, as text.
        version: A number that grows by one with each write of the row.
    """

    key: str
    value: str
    version: int


@attrs.frozen
class Put:
    """A put that takes effect only where the row has a given version.

    Attributes:
        table: The table.
        key: The row's key.
        value: Its new value.
        expected: The version that the row must have; 0 for no row.
    """

    table: str
    key: str
    value: str
    expected: int


@attrs.frozen
class Transaction:
    """Puts that take effect together, or not at all.

    Attributes:
        id: A text that finds the transaction in the platform's own logs.
            The service is not trusted to recognise a repetition by it;
            the conditions alone keep a repetition from taking effect.
        puts: The puts.
    """

    id: str
    puts: tuple[Put, ...]


@attrs.frozen
class RowVersion:
    """The version that a row had when a transaction met it.

    Attributes:
        table: The table.
        key: The row's key.
        version: Its version; 0 for no row.
    """

    table: str
    key: str
    version: int


@attrs.frozen
class Committed:
    """All puts of a transaction took effect."""


@attrs.frozen
class Conflict:
    """No put of a transaction took effect.

    Attributes:
        rows: The rows that did not have the version expected. Unlike a
            read, this is never stale.
    """

    rows: tuple[RowVersion, ...]


class TableService(abc.ABC):
    """Rows by table and key; reads may be stale, transactions are not."""

    @abc.abstractmethod
    async def read(self, table: str, key: str) -> Row | None:
        """Reads one row.

        Returns:
            The row, or None where there is none.

        Raises:
            errors.PlatformUnavailable: There was no sound answer.
        """

    @abc.abstractmethod
    async def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = SCAN_LIMIT,
    ) -> tuple[Row, ...]:
        """Reads rows in the order of their keys, as of one moment.

        Args:
            table: The table.
            prefix: What their keys begin with.
            after: The key that theirs are greater than.
            limit: The most rows to return.

        Raises:
            errors.PlatformUnavailable: There was no sound answer.
        """

    @abc.abstractmethod
    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Carries out a transaction.

        Raises:
            errors.PlatformUnavailable: It certainly took no effect.
            errors.WriteUnknown: It took effect, may yet, or never will.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


@attrs.frozen
class _Rows:
    rows: tuple[Row, ...]


@attrs.frozen
class _Result:
    committed: bool
    conflicts: tuple[RowVersion, ...] = ()


class HttpTableService(TableService):
    """The table service over HTTP and JSON.

    Args:
        address: Where it listens, as ``IP:port``.
        timeouts: How long to wait for it.
    """

    def __init__(
        self, address: str, timeouts: _http.Timeouts | None = None
    ) -> None:
        self._client = _http.Client(address, timeouts or _http.Timeouts())

    async def read(self, table: str, key: str) -> Row | None:
        """Reads one row; see the base class."""
        params = {'table': table, 'key': key}
        reply = await self._client.read('/table/row', params)
        if reply.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _read_answer(reply, Row)

    async def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = SCAN_LIMIT,
    ) -> tuple[Row, ...]:
        """Reads rows in the order of their keys; see the base class."""
        params = {
            'table': table,
            'prefix': prefix,
            'after': after,
            'limit': str(limit),
        }
        reply = await self._client.read('/table/rows', params)
        return _read_answer(reply, _Rows).rows

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Carries out a transaction; see the base class."""
        reply = await self._client.write(
            '/table/transactions',
            transaction,
        )
        try:
            result = reply.parse(_Result)
        except ValueError as error:
            raise errors.WriteUnknown('an answer of no sense') from error
        if result.committed:
            return Committed()
        return Conflict(result.conflicts)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()


_Answer = typing.TypeVar('_Answer')


def _read_answer(reply: _http.Reply, kind: type[_Answer]) -> _Answer:
    try:
        return reply.parse(kind)
    except ValueError as error:
        raise errors.PlatformUnavailable('an answer of no sense') from error
