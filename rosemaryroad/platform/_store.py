"""The platform's metadata store, as a table service that tells changes."""

import abc
import base64
import http
import json
import typing

import attrs

from rosemaryroad import _json_values
from rosemaryroad import errors
from rosemaryroad.platform import _http
from rosemaryroad.platform import _table

_ROWS_AT_ONCE = 500


class HistoryLost(errors.PlatformUnavailable):
    """The changes asked for are no longer kept; read the table whole."""


@attrs.frozen
class Changes:
    """Rows of one table.

    Attributes:
        rows: The rows, or those that changed.
        deleted: The keys of rows that are gone.
        version: Where to go on from.
    """

    rows: tuple[_table.Row, ...]
    deleted: tuple[str, ...]
    version: int


class WatchedTables(_table.TableService):
    """A table service that also tells what changes."""

    @abc.abstractmethod
    async def snapshot(self, table: str) -> Changes:
        """Reads a table whole.

        Raises:
            errors.PlatformUnavailable: There was no sound answer.
        """

    @abc.abstractmethod
    async def changes(self, table: str, after: int, wait_ms: float) -> Changes:
        """Waits for changes of a table.

        Args:
            table: The table.
            after: The version from which they count.
            wait_ms: How long to wait for one.

        Raises:
            HistoryLost: Some of them are no longer kept.
            errors.PlatformUnavailable: There was no sound answer.
        """


class StoreTables(WatchedTables):
    """The store over HTTP and JSON.

    Args:
        address: Where it listens, as ``IP:port``.
        timeouts: How long to wait for it.
    """

    def __init__(
        self, address: str, timeouts: _http.Timeouts | None = None
    ) -> None:
        self._client = _http.Client(address, timeouts or _http.Timeouts())

    async def read(self, table: str, key: str) -> _table.Row | None:
        """Reads one row; see the base class."""
        body = await self._get_rows(
            {'table': table, 'start_key': key, 'limit': '1'}
        )
        for row in _read_rows(body):
            if row.key == key:
                return row
        return None

    async def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = _table.SCAN_LIMIT,
    ) -> tuple[_table.Row, ...]:
        """Reads rows in the order of their keys; see the base class."""
        start = max(prefix, after + '\0' if after else '')
        body = await self._get_rows(
            {'table': table, 'start_key': start, 'limit': str(limit)}
        )
        return tuple(
            row for row in _read_rows(body) if row.key.startswith(prefix)
        )

    async def snapshot(self, table: str) -> Changes:
        """Reads a table whole; see the base class."""
        rows: list[_table.Row] = []
        version = None
        params = {'table': table, 'limit': str(_ROWS_AT_ONCE)}
        while True:
            body = await self._get_rows(params)
            found = _read_rows(body)
            rows.extend(found)
            # Changes between two pages come again by the first version.
            version = _version(body) if version is None else version
            if not body.get('has_more') or not found:
                return Changes(tuple(rows), (), version)
            params['start_key'] = found[-1].key + '\0'

    async def changes(self, table: str, after: int, wait_ms: float) -> Changes:
        """Waits for changes of a table; see the base class."""
        reply = await self._client.read(
            '/api/rows-feed',
            {
                'table': table,
                'after': str(after),
                'wait_ms': str(int(wait_ms)),
            },
            wait_ms=wait_ms,
        )
        if reply.status == http.HTTPStatus.GONE:
            raise HistoryLost(f'{table} after {after}')
        body = _read_body(reply)
        gone = tuple(
            item['key']
            for item in body['rows']
            if _is_row(item) and item.get('deleted') is True
        )
        return Changes(tuple(_read_rows(body)), gone, _version(body))

    async def transact(
        self, transaction: _table.Transaction
    ) -> _table.Committed | _table.Conflict:
        """Carries out a transaction; see the base class."""
        reply = await self._client.write('/api/rows-tx', _encode(transaction))
        if reply.status == http.HTTPStatus.OK:
            return _table.Committed()
        if reply.status != http.HTTPStatus.PRECONDITION_FAILED:
            raise errors.PlatformUnavailable(f'status {reply.status}')
        found = {row.key: row.version for row in _read_rows(_parse(reply))}
        return _table.Conflict(
            tuple(
                _table.RowVersion(put.table, put.key, found.get(put.key, 0))
                for put in transaction.puts
                if found.get(put.key, 0) != put.expected
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()

    async def _get_rows(self, params: dict[str, str]) -> dict:
        return _read_body(await self._client.read('/api/rows-get', params))


def _encode(transaction: _table.Transaction) -> bytes:
    # "expected_rev" holds rows with the version that each must have; the
    # version of a row is called "schema_version".
    expected = [
        {
            'table': put.table,
            'part': '',
            'key': put.key,
            'schema_version': put.expected,
        }
        for put in transaction.puts
    ]
    puts = [
        {
            'table': put.table,
            'part': '',
            'key': put.key,
            'value': base64.b64encode(put.value.encode()).decode(),
        }
        for put in transaction.puts
    ]
    body = {'expected_rev': expected, 'puts': puts, 'remove': []}
    return json.dumps(body).encode()


def _parse(reply: _http.Reply) -> dict[str, typing.Any]:
    try:
        body = _json_values.load(reply.body)
    except ValueError as error:
        raise errors.PlatformUnavailable('an answer of no sense') from error
    if not isinstance(body, dict) or not isinstance(body.get('rows'), list):
        raise errors.PlatformUnavailable('an answer without rows')
    return body


def _read_body(reply: _http.Reply) -> dict[str, typing.Any]:
    if reply.status != http.HTTPStatus.OK:
        raise errors.PlatformUnavailable(f'status {reply.status}')
    return _parse(reply)


def _version(body: dict[str, typing.Any]) -> int:
    version = body.get('schema_version')
    if not _json_values.is_whole(version):
        raise errors.PlatformUnavailable('an answer without a version')
    return version


def _is_row(item: object) -> bool:
    return isinstance(item, dict) and _json_values.is_text(item.get('key'))


def _read_rows(body: dict[str, typing.Any]) -> list[_table.Row]:
    """Reads the rows that are there; a damaged value becomes ''.

    Rows may come from other writers. One that can't be read must not hide
    the others, and its key still says that there is one.
    """
    rows = []
    for item in body['rows']:
        if not _is_row(item) or item.get('deleted') is True:
            continue
        version = item.get('schema_version')
        if not _json_values.is_whole(version):
            continue
        rows.append(_table.Row(item['key'], _text(item.get('value')), version))
    return rows


def _text(value: object) -> str:
    if not isinstance(value, str):
        return ''
    try:
        return base64.b64decode(value, validate=True).decode()
    except ValueError:
        return ''
