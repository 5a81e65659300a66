"""Rows of a table, decoded as they change."""

import collections.abc
import logging
import typing

from rosemaryroad import logs
from rosemaryroad.platform import _table

_LOG = logging.getLogger(__name__)

_T = typing.TypeVar('_T')


class RowReader(typing.Generic[_T]):
    """Decodes rows, each text once.

    Rows seldom change. One of no sense is complained of once, also where its
    writer writes it again every second.

    Args:
        decode: Returns what a row's key and text mean. It raises ValueError
            where they make no sense.
    """

    def __init__(
        self, decode: collections.abc.Callable[[str, str], _T]
    ) -> None:
        self._decode = decode
        self._value_by_row: dict[tuple[str, str], _T | None] = {}
        self._skipped: set[str] = set()

    def read(
        self, rows: collections.abc.Mapping[str, _table.Row]
    ) -> tuple[_T, ...]:
        """Returns what the rows mean, without those of no sense."""
        known = self._value_by_row
        found: dict[tuple[str, str], _T | None] = {}
        for key, row in rows.items():
            text = (key, row.value)
            found[text] = known[text] if text in known else self._read(*text)
        self._value_by_row = found
        self._skipped = {
            key for (key, _), value in found.items() if value is None
        }
        return tuple(value for value in found.values() if value is not None)

    def _read(self, key: str, text: str) -> _T | None:
        try:
            return self._decode(key, text)
        except ValueError as error:
            if key not in self._skipped:
                logs.event(
                    _LOG,
                    logging.WARNING,
                    'entry_skipped',
                    entry=key,
                    cause=f'{type(error).__name__}: {error}',
                )
        except Exception:
            # Let through, it would keep all other rows from being known, for
            # as long as this one stands.
            if key not in self._skipped:
                logs.fault(_LOG, 'entry_fault', entry=key)
        return None
