"""The rows by which entry VMs find each other, read and written."""

import collections.abc
import json
import logging
import random
import secrets

import attrs

from rosemaryroad import _json_values
from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import platform
from rosemaryroad import structure

_LOG = logging.getLogger(__name__)

TABLE = 'rosemaryroad'
CELLS_KEY = 'cells'
_VM_PREFIX = 'vm/'

# A row that could not be written is tried again after this long.
WRITE_AGAIN_MS = 500.0


def is_vm(key: str) -> bool:
    """Tells whether a row is an entry VM's."""
    return key.startswith(_VM_PREFIX)


class VmRows:
    """Reads the entry VMs' rows, each of them once.

    VMs that start together write their rows one after the other. Read anew at
    each change, they would cost the square of their number.
    """

    def __init__(self) -> None:
        self._vm_by_row: dict[platform.Row, model.EntryVm | None] = {}

    def read(
        self, rows: collections.abc.Mapping[str, platform.Row]
    ) -> tuple[model.EntryVm, ...]:
        """Returns the VMs that the rows name; those of no sense name none."""
        vm_by_row = {}
        for key, row in rows.items():
            if not is_vm(key):
                continue
            if row in self._vm_by_row:
                vm_by_row[row] = self._vm_by_row[row]
            else:
                vm_by_row[row] = _read_vm(row)
        self._vm_by_row = vm_by_row
        return tuple(vm for vm in vm_by_row.values() if vm is not None)


def _read_vm(row: platform.Row) -> model.EntryVm | None:
    found = read(row, model.EntryVm)
    if found is None:
        return None
    try:
        model.Address.parse(found.address)
    except ValueError as error:
        _skipped(row, error)
        return None
    return found


def read(row: platform.Row, kind: type[attrs.AttrsInstance]):
    """Reads a row's value, or returns None for one of no sense."""
    try:
        return structure.structure(_json_values.load(row.value), kind)
    except (ValueError, errors.CheckFailed) as error:
        _skipped(row, error)
        return None


async def write(
    tables: platform.TableService, key: str, value: object, expected: int
) -> platform.Committed | platform.Conflict:
    """Writes a row if it has the version that is expected.

    Raises:
        errors.PlatformUnavailable: It was certainly not written.
        errors.WriteUnknown: It may have been written, or be yet.
    """
    text = json.dumps(structure.unstructure(value))
    put = platform.Put(TABLE, key, text, expected)
    transaction = platform.Transaction(secrets.token_hex(8), (put,))
    return await tables.transact(transaction)


async def announce(
    tables: platform.TableService,
    vm: model.EntryVm,
    clock: clock_module.Clock,
    rng: random.Random,
) -> None:
    """Writes this VM's own row until the store has taken it."""
    key = _VM_PREFIX + vm.vm
    while True:
        try:
            known = await tables.read(TABLE, key)
            if known is not None and read(known, model.EntryVm) == vm:
                return
            version = known.version if known is not None else 0
            result = await write(tables, key, vm, version)
            if isinstance(result, platform.Committed):
                return
        except (errors.PlatformUnavailable, errors.WriteUnknown) as error:
            logs.event(_LOG, logging.WARNING, 'announce_failed', detail=error)
        await clock.sleep(WRITE_AGAIN_MS * rng.uniform(0.5, 1.0))


async def propose_cells(
    tables: platform.TableService, cells: dispatching.Cells
) -> bool:
    """Writes how many cells there are, if no row says so.

    Returns:
        Whether it was written; the row of another VM counts otherwise.
    """
    try:
        result = await write(tables, CELLS_KEY, cells, 0)
    except (errors.PlatformUnavailable, errors.WriteUnknown) as error:
        logs.event(_LOG, logging.WARNING, 'announce_failed', detail=error)
        return False
    return isinstance(result, platform.Committed)


def _skipped(row: platform.Row, cause: Exception) -> None:
    logs.event(
        _LOG, logging.WARNING, 'entry_skipped', entry=row.key, cause=cause
    )
