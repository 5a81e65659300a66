"""What the platform's stand-in keeps, and its switches."""

import collections.abc
import enum
import typing

import attrs

_Counter = collections.Counter
_Row = typing.TypeVar('_Row')


class Part(enum.StrEnum):
    """One of the services that the stand-in plays."""

    TABLE = 'table'
    VMS = 'vms'


class Down(enum.StrEnum):
    """How a part that is down behaves."""

    NO = 'no'
    REFUSE = 'refuse'
    DROP = 'drop'
    GATEWAY = 'gateway'
    GARBLE = 'garble'


@attrs.define
class Switches:
    """The faults of one part.

    Attributes:
        down: Whether it refuses (503), drops each connection, answers as
            a gateway that lost it (502), or with a page that is no JSON.
        delay_ms: How long each request waits before it takes effect.
        swallow: Accept and read requests, but never answer one.
        lose_answers: How many of the next writes take effect with the
            connection dropped in place of the answer.
        late_writes: How many of the next writes drop the connection at
            once; the test says when they arrive.
        stale: Answer reads from a copy made when this was switched on.
        etags: Whether the VM list is sent with an ETag.
        claim_unchanged: Answer each read of the VM list with a 304.
    """

    down: Down = Down.NO
    delay_ms: float = 0.0
    swallow: bool = False
    lose_answers: int = 0
    late_writes: int = 0
    stale: bool = False
    etags: bool = True
    claim_unchanged: bool = False


@attrs.define
class Counts:
    """What one part was asked; writes count when they take effect.

    ``held`` counts requests that were left waiting, by ``swallow`` or
    ``delay_ms``; ``reply_bytes`` counts heads and bodies of the VM list's
    replies only.
    """

    held: int = 0
    reads: int = 0
    reply_bytes: int = 0
    write_requests: int = 0
    writes: int = 0


@attrs.frozen
class Row:
    """One row of a table; ``version`` is how often it was written."""

    key: str
    value: str
    version: int


@attrs.frozen
class Put:
    """A put on condition of the row's version, 0 for no row."""

    table: str
    key: str
    value: str
    expected: int


@attrs.frozen
class Transaction:
    """A transaction; all of its puts take effect, or none does.

    The client's id is only counted, never matched, since a real table
    service may not know such ids.
    """

    id: str
    puts: tuple[Put, ...]


@attrs.frozen
class RowVersion:
    """The version that a row has now; 0 for no row."""

    table: str
    key: str
    version: int


@attrs.frozen
class TransactionResult:
    """Whether it took effect, or which rows had another version."""

    committed: bool
    conflicts: tuple[RowVersion, ...] = ()


def select(
    rows: collections.abc.Mapping[str, _Row], prefix: str, after: str
) -> list[_Row]:
    """Returns the rows of a prefix and behind a key, in their order."""
    keys = [key for key in sorted(rows) if key.startswith(prefix)]
    return [rows[key] for key in keys if key > after]


@attrs.define
class PlatformState:
    """All that the stand-in keeps."""

    tables: dict[str, dict[str, Row]] = attrs.field(factory=dict)
    stale_tables: dict[str, dict[str, Row]] = attrs.field(factory=dict)
    vms: list[dict[str, typing.Any]] = attrs.field(factory=list)
    stale_vms: list[dict[str, typing.Any]] = attrs.field(factory=list)
    switches_by_part: dict[Part, Switches] = attrs.field(
        factory=lambda: {part: Switches() for part in Part}
    )
    counts_by_part: dict[Part, Counts] = attrs.field(
        factory=lambda: {part: Counts() for part in Part}
    )
    commits_by_transaction: _Counter = attrs.field(factory=_Counter)

    def set_switches(self, part: Part, switches: Switches) -> None:
        """Sets a part's faults; going stale copies what is there now."""
        if switches.stale and not self.switches_by_part[part].stale:
            tables = self.tables
            self.stale_tables = {name: dict(tables[name]) for name in tables}
            self.stale_vms = list(self.vms)
        self.switches_by_part[part] = switches

    def rows(self, table: str) -> dict[str, Row]:
        """Returns the rows that a read of a table sees, by key."""
        stale = self.switches_by_part[Part.TABLE].stale
        return (self.stale_tables if stale else self.tables).get(table, {})

    def listed_vms(self) -> list[dict[str, typing.Any]]:
        """Returns the VM list that a read sees."""
        stale = self.switches_by_part[Part.VMS].stale
        return self.stale_vms if stale else self.vms

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Carries out a transaction on the tables themselves."""
        conflicts = tuple(
            RowVersion(put.table, put.key, self._version(put))
            for put in transaction.puts
            if self._version(put) != put.expected
        )
        if conflicts:
            return TransactionResult(False, conflicts)
        for put in transaction.puts:
            row = Row(put.key, put.value, put.expected + 1)
            self.tables.setdefault(put.table, {})[put.key] = row
        self.commits_by_transaction[transaction.id] += 1
        self.counts_by_part[Part.TABLE].writes += 1
        return TransactionResult(True)

    def _version(self, put: Put) -> int:
        row = self.tables.get(put.table, {}).get(put.key)
        return row.version if row else 0
