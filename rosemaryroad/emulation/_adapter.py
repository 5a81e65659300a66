"""What a daemon needs of a platform, emulated."""

import collections.abc
import json
import typing

import attrs

from rosemaryroad import endpoints
from rosemaryroad import jobservice
from rosemaryroad import model
from rosemaryroad import platform
from rosemaryroad import structure
from rosemaryroad.emulation import _store

OPERATORS_TABLE = 'operators'
WORKERS_TABLE = 'workers'

_QUEUES_KEY = 'queues'
_DRAIN_PREFIX = 'drain/'

_Rows = collections.abc.Mapping[str, platform.Row]


class EmulatedAdapter:
    """The platform as one daemon reaches it.

    Attributes:
        tables: The store.
        workers: Speaks to workers.
        front: What serves the daemon's callers, or None before it listens.
        connections: Open connections; emulated callers have none.
        operators_table: The table of what operators ask for.
        workers_table: The table of the workers' entries.

    Args:
        tables: The store.
        workers: Speaks to workers.
    """

    operators_table = OPERATORS_TABLE
    workers_table = WORKERS_TABLE
    connections = 0

    def __init__(
        self, tables: platform.WatchedTables, workers: endpoints.WorkerClient
    ) -> None:
        self.tables = tables
        self.workers = workers
        self.front: jobservice.JobService | None = None
        self._workers_reader = platform.RowReader(_read_worker)

    async def serve(
        self,
        front: jobservice.JobService,
        render: collections.abc.Callable[[], str],
        callers: str,
        status: tuple[str, ...],
    ) -> None:
        """Lets callers come."""
        self.front = front

    async def stop_serving(self) -> None:
        """Lets no more callers come."""
        self.front = None

    def read_queues(self, rows: _Rows) -> model.QueueTable | None:
        """Returns the queues that operators have put in force."""
        row = rows.get(_QUEUES_KEY)
        return None if row is None else _read(row.value, model.QueueTable)

    def read_drained_domains(self, rows: _Rows) -> tuple[str, ...]:
        """Returns the failure domains that operators have drained."""
        return tuple(
            sorted(
                key.removeprefix(_DRAIN_PREFIX)
                for key in rows
                if key.startswith(_DRAIN_PREFIX)
            )
        )

    def read_workers(self, rows: _Rows) -> tuple[model.Worker, ...]:
        """Returns the workers that the entries name."""
        return self._workers_reader.read(rows)

    async def close(self) -> None:
        """Closes all connections."""


class Operators:
    """Writes into the store what operators and workers do.

    Args:
        store: The store.
    """

    def __init__(self, store: _store.EmulatedStore) -> None:
        self._store = store

    def put_queues(self, table: model.QueueTable) -> None:
        """Puts a version of the queues in force."""
        self._put(OPERATORS_TABLE, _QUEUES_KEY, table)

    def drain(self, domain: str) -> None:
        """Drains a failure domain."""
        self._store.put(OPERATORS_TABLE, _DRAIN_PREFIX + domain, '{}')

    def end_drain(self, domain: str) -> None:
        """Ends the drain of a failure domain."""
        self._store.remove(OPERATORS_TABLE, _DRAIN_PREFIX + domain)

    def list_worker(self, worker: model.Worker) -> None:
        """Writes a worker's entry."""
        self._put(WORKERS_TABLE, worker.id, worker)

    def unlist_worker(self, worker_id: str) -> None:
        """Drops a worker's entry."""
        self._store.remove(WORKERS_TABLE, worker_id)

    def _put(self, table: str, key: str, value: attrs.AttrsInstance) -> None:
        text = json.dumps(structure.unstructure(value))
        self._store.put(table, key, text)


def _read_worker(_: str, text: str) -> model.Worker:
    return _read(text, model.Worker)


def _read(text: str, kind: type) -> typing.Any:
    return structure.structure(json.loads(text), kind)
