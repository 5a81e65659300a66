"""Follows one table of the store by its changes."""

import asyncio
import collections.abc
import contextlib
import logging
import math
import random

from rosemaryroad import _polling
from rosemaryroad import clock as clock_module
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import platform
from rosemaryroad.jobserver import _metrics

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

# How long to rest after a call that failed, at first.
_PAUSE_MS = 100.0

# Changes that come within so long of each other come in quick succession.
_SUCCESSION_MS = 500.0

_OnRows = collections.abc.Callable[
    [collections.abc.Mapping[str, platform.Row]], None
]


class TableFollower:
    """Keeps the rows of one table as they are in the store.

    Args:
        tables: The store.
        table: The table.
        on_rows: Called with all rows after each change.
        clock: The clock.
        rng: Where jitter comes from.
        metrics: Where calls are counted.
        wait_ms: How long one call waits for a change. The store charges for
            each; but a call that reaches it while it gives no answers is
            never answered, though its connection seems well, and nothing
            new is known here until it has been waited for.
        rest_ms: Returns how long to rest between two calls. Minions write
            their entries every second or so; asked without a rest, the
            store answers each such write with a call of its own.
        keep_ms: For how long rows are kept that are missing after an outage.
            Minions' entries lapse while the store is away, and are back
            within two seconds of its return; taken for gone at once, all
            workers would stand idle until then.
        succession_rest_ms: How long to rest between two calls while changes
            come in quick succession. Asked without a rest, the store answers
            each change with a call of its own, though most are replaced
            before they have been read and decoded.
    """

    def __init__(
        self,
        tables: platform.WatchedTables,
        table: str,
        on_rows: _OnRows,
        clock: clock_module.Clock,
        rng: random.Random,
        metrics: _metrics.JobMetrics,
        wait_ms: float,
        rest_ms: collections.abc.Callable[[], float] = lambda: 0.0,
        keep_ms: float = 0.0,
        succession_rest_ms: float = 0.0,
    ) -> None:
        self._tables = tables
        self._table = table
        self._on_rows = on_rows
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._wait_ms = wait_ms
        self._rest_ms = rest_ms
        self._keep_ms = keep_ms
        self._succession_rest_ms = succession_rest_ms
        self._changed_at = -math.inf
        self._is_succession = False
        self._kept: dict[str, platform.Row] = {}
        self._kept_until = 0.0
        self._rested = asyncio.Event()
        self._is_needed = False
        self._row_by_key: dict[str, platform.Row] = {}
        self._version: int | None = None
        self._failures = 0
        self._lost_at = 0.0
        self._answered_at = clock.now()

    @property
    def table(self) -> str:
        """The table's name."""
        return self._table

    @property
    def version(self) -> int:
        """The version of the store as of which the rows are known."""
        return 0 if self._version is None else self._version

    @property
    def age_ms(self) -> float:
        """How long ago the store last answered a call about the table.

        While nothing changes it answers once in the time that a call waits.
        """
        return self._clock.now() - self._answered_at

    async def run(self) -> None:
        """Follows the table for as long as the process lives."""
        while True:
            try:
                await self._step()
            except errors.PlatformUnavailable as error:
                self._failed(error)
                await self._clock.sleep(
                    _polling.pause_ms(_PAUSE_MS, self._failures, self._rng)
                )
            else:
                self._succeeded()
                await self._rest()

    def hurry(self) -> None:
        """Has the table read whole now, after a rest that may be long.

        The store tells changes in order, some hundred at a time; those of a
        long rest would be known a few rests later only.
        """
        self._is_needed = True
        self._rested.set()

    def wake(self) -> None:
        """Has changes read now, where the follower rests."""
        self._rested.set()

    async def _rest(self) -> None:
        if self._is_succession:
            await self._clock.sleep(self._succession_rest_ms)
        rest_ms = self._rest_ms()
        if rest_ms <= 0 or self._is_needed:
            return
        self._rested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(rest_ms / _MS_PER_SECOND):
                await self._rested.wait()

    async def _step(self) -> None:
        self._is_succession = False
        # After an outage the table is read whole: entries that lapsed
        # meanwhile may have come and gone without a change being kept.
        if self._version is None or self._failures or self._is_needed:
            self._is_needed = False
            found = await self._tables.snapshot(self._table)
            rows = {row.key: row for row in found.rows}
            self._keep_missing(rows)
            self._row_by_key = self._kept | rows
            self._version = found.version
            self._tell()
            return
        wait_ms = self._wait_ms
        keep_ms = self._kept_until - self._clock.now()
        if self._kept and keep_ms <= 0:
            self._drop_missing()
        elif self._kept:
            wait_ms = min(wait_ms, keep_ms)
        try:
            found = await self._tables.changes(
                self._table, self._version, wait_ms
            )
        except platform.HistoryLost as error:
            logs.event(
                _LOG,
                logging.WARNING,
                'store_history_lost',
                table=self._table,
                detail=error.detail,
            )
            self._version = None
            return
        self._version = max(self._version, found.version)
        for key in found.deleted:
            self._row_by_key.pop(key, None)
            self._kept.pop(key, None)
        for row in found.rows:
            self._row_by_key[row.key] = row
            self._kept.pop(row.key, None)
        if found.rows or found.deleted:
            self._note_change()
            self._tell()

    def _tell(self) -> None:
        """Passes all rows on; a fault there doesn't end the following.

        The rows would otherwise be told again at the next change only, and
        that would come a second later each time.
        """
        try:
            self._on_rows(self._row_by_key)
        except Exception:
            logs.fault(_LOG, 'rows_fault', table=self._table)

    def _note_change(self) -> None:
        now = self._clock.now()
        self._is_succession = now - self._changed_at < _SUCCESSION_MS
        self._changed_at = now

    def _keep_missing(self, rows: dict[str, platform.Row]) -> None:
        now = self._clock.now()
        if self._failures:
            self._kept = self._row_by_key
            self._kept_until = now + self._keep_ms
        still = now < self._kept_until
        self._kept = {
            key: row
            for key, row in self._kept.items()
            if still and key not in rows
        }

    def _drop_missing(self) -> None:
        for key in self._kept:
            del self._row_by_key[key]
        self._kept = {}
        self._tell()

    def _failed(self, error: errors.PlatformUnavailable) -> None:
        self._metrics.store_called(self._table, 'failed')
        self._failures += 1
        if self._failures == 1:
            self._lost_at = self._clock.now()
            logs.event(
                _LOG,
                logging.WARNING,
                'store_lost',
                table=self._table,
                detail=error.detail,
            )

    def _succeeded(self) -> None:
        self._metrics.store_called(self._table, 'answered')
        self._answered_at = self._clock.now()
        if self._failures:
            logs.event(
                _LOG,
                logging.INFO,
                'store_regained',
                table=self._table,
                after_ms=self._clock.now() - self._lost_at,
                failures=self._failures,
            )
        self._failures = 0
