"""All that a daemon which serves jobs needs of the platform."""

import collections.abc

from rosemaryroad import clock as clock_module
from rosemaryroad import endpoints
from rosemaryroad import jobservice
from rosemaryroad import model
from rosemaryroad.platform import _callers
from rosemaryroad.platform import _decoding
from rosemaryroad.platform import _http
from rosemaryroad.platform import _minions
from rosemaryroad.platform import _row_reader
from rosemaryroad.platform import _store
from rosemaryroad.platform import _table

# The tables that the operators and the minions write.
_OPERATORS_TABLE = 'op'
_QUEUES_KEY = 'config'
_WORKERS_TABLE = 'servers'

_Rows = collections.abc.Mapping[str, _table.Row]


class JobPlatformAdapter:
    """Translates between the product and the users' platform.

    Args:
        address: The store, as ``IP:port``.
        timeout_ms: How long one call of it may take.
        lease_ms: The longest lease that a minion gives.
        clock: The clock.

    Attributes:
        tables: The store.
        workers: Speaks to minions.
        operators_table: The table of what operators ask for.
        workers_table: The table of the minions' entries.
    """

    operators_table = _OPERATORS_TABLE
    workers_table = _WORKERS_TABLE

    def __init__(
        self,
        address: str,
        timeout_ms: float,
        lease_ms: float,
        clock: clock_module.Clock,
    ) -> None:
        timeouts = _http.Timeouts(total_ms=timeout_ms)
        self.tables: _store.WatchedTables = _store.StoreTables(
            address, timeouts
        )
        self.workers: endpoints.WorkerClient = _minions.MinionClient(
            lease_ms, clock
        )
        self._server = _callers.CallersServer()
        self._workers_reader = _row_reader.RowReader(_decoding.decode_worker)
        self._drains_reader = _row_reader.RowReader(_decoding.decode_drain)

    async def serve(
        self,
        front: jobservice.JobService,
        render: collections.abc.Callable[[], str],
        callers: str,
        status: tuple[str, ...],
    ) -> None:
        """Serves callers, readiness and metrics.

        Args:
            front: Takes the jobs.
            render: Returns the metrics as text.
            callers: Where callers come, as ``IP:port``.
            status: Where readiness and metrics are asked for.

        Raises:
            OSError: An address can't be bound.
        """
        await self._server.serve(front, render, callers, status)

    @property
    def connections(self) -> int:
        """How many connections of callers and operators are open."""
        return self._server.connections

    async def stop_serving(self) -> None:
        """Ends the callers' connections."""
        await self._server.stop()

    def read_queues(self, rows: _Rows) -> model.QueueTable | None:
        """Returns the queues that operators have put in force."""
        row = rows.get(_QUEUES_KEY)
        return None if row is None else _decoding.decode_queues(row.value)

    def read_drained_domains(self, rows: _Rows) -> tuple[str, ...]:
        """Returns the failure domains that operators have drained."""
        drains = {
            key: row for key, row in rows.items() if _decoding.is_drain(key)
        }
        return tuple(sorted(self._drains_reader.read(drains)))

    def read_workers(self, rows: _Rows) -> tuple[model.Worker, ...]:
        """Returns the minions that the entries name."""
        return self._workers_reader.read(rows)

    async def close(self) -> None:
        """Closes all connections."""
        await self.workers.close()
        await self.tables.close()
