"""The row of the store that names a cell's dispatcher."""

import asyncio
import collections.abc
import logging

from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import platform
from rosemaryroad.jobserver import _rows

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

_DISPATCHER_KEY = 'dispatcher'


class Election:
    """Settles who dispatches one cell, and carries it out at the store.

    Attributes:
        leadership: The decisions.
        role: What this VM does in the cell, as it was told last.

    Args:
        cell: The cell's number.
        leadership: The decisions.
        tables: The store.
        clock: The clock.
    """

    def __init__(
        self,
        cell: int,
        leadership: dispatching.Leadership,
        tables: platform.TableService,
        clock: clock_module.Clock,
    ) -> None:
        self._cell = cell
        self.leadership = leadership
        self.role = leadership.role
        self._tables = tables
        self._clock = clock
        self._key = f'{_DISPATCHER_KEY}/{cell}' if cell else _DISPATCHER_KEY
        self._row_version = 0

    def rows_changed(
        self, rows: collections.abc.Mapping[str, platform.Row]
    ) -> None:
        """Takes in the table, if it has the row."""
        row = rows.get(self._key)
        if row is None:
            return
        self._row_version = row.version
        found = _rows.read(row, dispatching.LeaseRow)
        if found is not None:
            self.leadership.row_read(found, self._clock.now())

    def check_role(self) -> bool:
        """Tells whether this VM's part has changed since the last call."""
        role = self.leadership.role
        if role == self.role:
            return False
        before, self.role = self.role, role
        logs.event(
            _LOG,
            logging.INFO,
            'role_changed',
            cell=self._cell,
            claim=role.claim.name.lower(),
            term=role.term,
            dispatcher=role.dispatcher or 'none',
            before=before.dispatcher or 'none',
            before_term=before.term,
        )
        return True

    async def claim(self, wanted: dispatching.LeaseRow) -> None:
        """Writes the row, under the condition that it has not changed."""
        lost_to = None
        outcome = 'won'
        try:
            async with asyncio.timeout(
                dispatching.CLAIM_TIMEOUT_MS / _MS_PER_SECOND
            ):
                result = await _rows.write(
                    self._tables, self._key, wanted, self._row_version
                )
                if isinstance(result, platform.Conflict):
                    outcome = 'lost'
                    lost_to = await self._tables.read(_rows.TABLE, self._key)
        except (
            errors.PlatformUnavailable,
            errors.WriteUnknown,
            TimeoutError,
        ):
            # The VMs that hear each other need a dispatcher all the same.
            outcome = 'store away'
        logs.event(
            _LOG,
            logging.INFO,
            'dispatcher_claimed',
            cell=self._cell,
            term=wanted.term,
            outcome=outcome,
            row_version=self._row_version,
        )
        if outcome == 'lost':
            self._lost(wanted, lost_to)
        else:
            self.leadership.claim_won(wanted, self._clock.now())

    def _lost(
        self, wanted: dispatching.LeaseRow, row: platform.Row | None
    ) -> None:
        found = None
        if row is not None:
            self._row_version = row.version
            found = _rows.read(row, dispatching.LeaseRow)
        self.leadership.claim_lost(
            found or dispatching.LeaseRow(wanted.term, ''), self._clock.now()
        )
