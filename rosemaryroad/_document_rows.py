"""How service documents are laid out in the platform's table service.

A change writes, in one transaction: the document's row, a row of the
service's history, a row that finds the change by the operator's id, a row
that finds it by its number, and the head with the latest number. Every put
is conditional, so of two changes that meet, one takes no effect at all.
"""

import json
import logging
import typing

import attrs

from rosemaryroad import _json_values
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import platform
from rosemaryroad import structure

__all__ = [
    'CHANGES',
    'DOCUMENTS',
    'HEAD',
    'HEAD_KEY',
    'HISTORY',
    'NUMBERS',
    'Base',
    'Change',
    'Head',
    'Reference',
    'history_key',
    'number_key',
    'parse',
    'parse_documents',
    'puts',
    'stored',
    'touches',
]

DOCUMENTS = 'documents'
HISTORY = 'document_history'
CHANGES = 'document_changes'
NUMBERS = 'document_numbers'
HEAD = 'document_head'
HEAD_KEY = 'head'

_NUMBER_DIGITS = 12
_LOG = logging.getLogger(__name__)
_Parsed = typing.TypeVar('_Parsed')


@attrs.frozen
class Reference:
    """Where a change is found in the history of its service.

    Attributes:
        service: The service.
        version: The version that the change made.
    """

    service: str
    version: int


@attrs.frozen
class Head:
    """The head row.

    Attributes:
        number: The latest change number; 0 before the first change.
    """

    number: int = 0


@attrs.frozen
class Change:
    """A change that an operator wants to make.

    Attributes:
        document: The new document.
        expected_version: The version that it replaces; 0 for none.
        change_id: The operator's id for the change.
        deletes: Whether it deletes the service.
    """

    document: model.Document
    expected_version: int
    change_id: str
    deletes: bool = False


@attrs.frozen
class Base:
    """What a change builds on, as it was read.

    Attributes:
        head: The latest change number.
        head_version: The version of the head's row; 0 for no row.
        stored: The document in force, or None.
        row_version: The version of the document's row; 0 for no row.
    """

    head: int
    head_version: int
    stored: model.StoredDocument | None
    row_version: int

    @property
    def version(self) -> int:
        """The version of the document in force; 0 for none."""
        return self.stored.version if self.stored else 0


def number_key(number: int) -> str:
    """Returns the key of a change number; keys sort as the numbers do."""
    return f'{number:0{_NUMBER_DIGITS}d}'


def history_key(service: str, version: int) -> str:
    """Returns the key of one version in a service's history."""
    return f'{service}/{number_key(version)}'


def stored(change: Change, base: Base) -> model.StoredDocument:
    """Returns what a change stores."""
    return model.StoredDocument(
        change.document,
        change.expected_version + 1,
        base.head + 1,
        change.change_id,
        change.deletes,
    )


def puts(change: Change, base: Base) -> tuple[platform.Put, ...]:
    """Returns the puts of a change; they hold at most once."""
    new = stored(change, base)
    service = change.document.service
    document = _text(new)
    reference = _text(Reference(service, new.version))
    head = _text(Head(new.change_number))
    history = history_key(service, new.version)
    number = number_key(new.change_number)
    return (
        platform.Put(CHANGES, change.change_id, reference, 0),
        platform.Put(HEAD, HEAD_KEY, head, base.head_version),
        platform.Put(DOCUMENTS, service, document, base.row_version),
        platform.Put(HISTORY, history, document, 0),
        platform.Put(NUMBERS, number, reference, 0),
    )


def touches(conflict: platform.Conflict, table: str) -> bool:
    """Tells whether a row of a table stood against a transaction."""
    return any(row.table == table for row in conflict.rows)


def parse(row: platform.Row | None, kind: type[_Parsed]) -> _Parsed | None:
    """Reads a row's value; None where there is no row.

    Raises:
        errors.CheckFailed: It is nothing that this program can read.
    """
    if row is None:
        return None
    try:
        raw = _json_values.load(row.value)
    except ValueError as error:
        problem = errors.Problem(
            row.key, errors.ResultCode.UNREADABLE, str(error)
        )
        raise errors.CheckFailed(
            (problem,), errors.ResultCode.UNREADABLE
        ) from error
    return structure.structure(raw, kind)


def parse_documents(
    rows: tuple[platform.Row, ...],
) -> tuple[model.StoredDocument, ...]:
    """Reads documents and leaves out, with a log line, the unreadable ones.

    During a rolling upgrade a newer entry VM may store a key that this
    program doesn't know yet. Failing at it would keep every other change
    out of force here, which one would notice as a head that stands still.
    """
    readable = []
    for row in rows:
        try:
            readable.append(parse(row, model.StoredDocument))
        except errors.CheckFailed as error:
            logs.event(
                _LOG,
                logging.ERROR,
                'document_unreadable',
                key=row.key,
                problems=error,
            )
    return tuple(readable)


def _text(value: object) -> str:
    return json.dumps(structure.unstructure(value))
