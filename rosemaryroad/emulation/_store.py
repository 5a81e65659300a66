"""The emulated store of the platform."""

import asyncio
import collections

import attrs

from rosemaryroad import errors
from rosemaryroad import platform
from rosemaryroad.emulation import _network

STORE = 'store'

_MS_PER_SECOND = 1000.0
_ANSWER_MS = 4.0
_TIMEOUT_MS = 1_000.0


@attrs.define
class StoreFaults:
    """What the store does wrong.

    Attributes:
        is_away: It answers nobody.
        turned_away: The processes that it refuses.
        slowness: How many times as long it takes.
    """

    is_away: bool = False
    turned_away: frozenset[str] = frozenset()
    slowness: float = 1.0


@attrs.frozen
class _Change:
    version: int
    table: str
    key: str
    row: platform.Row | None


class EmulatedStore:
    """Rows by table, with the history of their changes.

    Attributes:
        faults: What it does wrong.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self._version = 1
        self._rows_by_table: dict[str, dict[str, platform.Row]] = (
            collections.defaultdict(dict)
        )
        self._history: list[_Change] = []
        self._waiting: list[asyncio.Future] = []

    def put(self, table: str, key: str, value: str) -> None:
        """Writes a row."""
        self._version += 1
        row = platform.Row(key, value, self._version)
        self._rows_by_table[table][key] = row
        self._changed(_Change(self._version, table, key, row))

    def remove(self, table: str, key: str) -> None:
        """Drops a row, if there is one."""
        if self._rows_by_table[table].pop(key, None) is not None:
            self._version += 1
            self._changed(_Change(self._version, table, key, None))

    def rows(self, table: str) -> dict[str, platform.Row]:
        """Returns a table's rows by key."""
        return self._rows_by_table[table]

    def snapshot(self, table: str) -> platform.Changes:
        """Returns a table whole."""
        return platform.Changes(
            tuple(self.rows(table).values()), (), self._version
        )

    def changes(self, table: str, after: int) -> platform.Changes:
        """Returns what has changed in a table since a version."""
        latest: dict[str, platform.Row | None] = {}
        for change in reversed(self._history):
            if change.version <= after:
                break
            if change.table == table:
                latest.setdefault(change.key, change.row)
        rows = tuple(row for row in latest.values() if row is not None)
        gone = tuple(key for key, row in latest.items() if row is None)
        return platform.Changes(rows, gone, self._version)

    def transact(
        self, transaction: platform.Transaction
    ) -> platform.Committed | platform.Conflict:
        """Carries out a transaction, or none of it."""
        conflicts = []
        for put in transaction.puts:
            row = self.rows(put.table).get(put.key)
            version = 0 if row is None else row.version
            if version != put.expected:
                conflicts.append(
                    platform.RowVersion(put.table, put.key, version)
                )
        if conflicts:
            return platform.Conflict(tuple(conflicts))
        for put in transaction.puts:
            self.put(put.table, put.key, put.value)
        return platform.Committed()

    async def wait_for_change(self, timeout_ms: float) -> None:
        """Waits until any row changes."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await asyncio.wait((future,), timeout=timeout_ms / _MS_PER_SECOND)

    def _changed(self, change: _Change) -> None:
        self._history.append(change)
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)


class EmulatedTables(platform.WatchedTables):
    """The store as one process reaches it.

    Args:
        name: The process.
        store: The store.
        network: What lies between.
    """

    def __init__(
        self, name: str, store: EmulatedStore, network: _network.Network
    ) -> None:
        self._name = name
        self._store = store
        self._network = network

    async def read(self, table: str, key: str) -> platform.Row | None:
        """Reads one row; see the base class."""
        await self._call()
        return self._store.rows(table).get(key)

    async def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = 1000,
    ) -> tuple[platform.Row, ...]:
        """Reads rows in the order of their keys; see the base class."""
        await self._call()
        rows = self._store.rows(table)
        keys = sorted(
            key for key in rows if key.startswith(prefix) and key > after
        )
        return tuple(rows[key] for key in keys[:limit])

    async def snapshot(self, table: str) -> platform.Changes:
        """Reads a table whole; see the base class."""
        await self._call()
        return self._store.snapshot(table)

    async def changes(
        self, table: str, after: int, wait_ms: float
    ) -> platform.Changes:
        """Waits for changes of a table; see the base class."""
        await self._call()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_ms / _MS_PER_SECOND
        found = self._store.changes(table, after)
        while not found.rows and not found.deleted:
            left_ms = (until_s - loop.time()) * _MS_PER_SECOND
            if left_ms <= 0:
                break
            await self._store.wait_for_change(left_ms)
            found = self._store.changes(table, after)
        self._check()
        return found

    async def transact(
        self, transaction: platform.Transaction
    ) -> platform.Committed | platform.Conflict:
        """Carries out a transaction; see the base class."""
        await self._call()
        return self._store.transact(transaction)

    async def close(self) -> None:
        """Has nothing to close."""

    async def _call(self) -> None:
        """Waits for as long as a call takes.

        Raises:
            errors.PlatformUnavailable: There is no answer.
        """
        if not self._is_heard:
            await asyncio.sleep(_TIMEOUT_MS / _MS_PER_SECOND)
            raise errors.PlatformUnavailable('no answer')
        self._check()
        answer_ms = _ANSWER_MS * self._store.faults.slowness
        if answer_ms > _TIMEOUT_MS:
            await asyncio.sleep(_TIMEOUT_MS / _MS_PER_SECOND)
            raise errors.PlatformUnavailable('no answer in time')
        await asyncio.sleep(answer_ms / _MS_PER_SECOND)

    @property
    def _is_heard(self) -> bool:
        if self._store.faults.is_away:
            return False
        return self._network.are_joined(self._name, STORE)

    def _check(self) -> None:
        if not self._is_heard or self._name in self._store.faults.turned_away:
            raise errors.PlatformUnavailable('turned away')
