"""The operators' configuration and the minions' entries, decoded.

An entry may come from another writer: fields missing or of another type, or
text that is no JSON. It names no queue and no worker then; the others hold.
"""

import logging
import typing

from rosemaryroad import _json_values
from rosemaryroad import logs
from rosemaryroad import model

_LOG = logging.getLogger(__name__)
_MILLI = 1000.0
_STATES = frozenset({'ready', 'draining'})

# Operators have a failure domain drained by a row of this name and its own.
_DRAIN_PREFIX = 'evacuate/'


class _Damaged(ValueError):
    """An entry doesn't have the form that it must have."""


def decode_queues(text: str) -> model.QueueTable | None:
    """Reads the operators' configuration.

    Returns:
        The queues, or None where it can't be read at all.
    """
    try:
        raw = _object(_json_values.load(text))
        version = _whole(raw, 'version')
        entries = raw.get('routes')
        if not isinstance(entries, list):
            raise _Damaged('routes')
    except ValueError as error:
        _skipped('configuration', error)
        return None
    routes = []
    for entry in entries:
        try:
            routes.append(_read_route(_object(entry)))
        except _Damaged as error:
            _skipped('route', error)
    return model.QueueTable(version, tuple(routes))


def is_drain(key: str) -> bool:
    """Tells whether a row of the operators' has a failure domain drained."""
    return key.startswith(_DRAIN_PREFIX)


def decode_drain(key: str, text: str) -> str:
    """Reads a row that has a failure domain drained for as long as it is.

    Returns:
        The failure domain.

    Raises:
        ValueError: The row names none.
    """
    domain = key.removeprefix(_DRAIN_PREFIX)
    _object(_json_values.load(text))
    if not domain:
        raise _Damaged('no failure domain')
    return domain


def decode_worker(key: str, text: str) -> model.Worker:
    """Reads a minion's own entry.

    Args:
        key: The minion's id; it stands only in the key.
        text: The entry.

    Returns:
        The worker.

    Raises:
        ValueError: The entry names none.
    """
    if not key.isprintable() or key != key.strip():
        # Calls name the worker in a header.
        raise _Damaged(f'id {key[:40]!r}')
    raw = _object(_json_values.load(text))
    state = _text(raw, 'state')
    if state not in _STATES:
        raise _Damaged(f'state {state[:40]!r}')
    address = _text(raw, 'address')
    model.Address.parse(address)
    capacity = _object(raw.get('capacity'))
    return model.Worker(
        id=key,
        service=_text(raw, 'service'),
        address=address,
        failure_domain=_text(raw, 'zone'),
        capacity=model.Needs(
            # "cpu" is in thousandths of a core.
            cores=_whole(capacity, 'cpu') / _MILLI,
            memory_mb=_whole(capacity, 'mem_mb'),
            accelerators=_whole(capacity, 'gpu', 0),
        ),
        labels=_labels(raw),
        leaving=state == 'draining',
        born=read_born(raw),
        warm_up_left_ms=_number(raw, 'warmup_left_ms', 0.0),
    )


def read_born(raw: dict[str, typing.Any]) -> int | None:
    """Reads when the life that an entry or a report is of began.

    Returns:
        Unix milliseconds, or None where it isn't told.

    Raises:
        ValueError: It is no whole number, or out of bounds.
    """
    return None if 'born' not in raw else _whole(raw, 'born')


def _read_route(raw: dict[str, typing.Any]) -> model.QueueRoute:
    return model.QueueRoute(
        name=_text(raw, 'name'),
        host=_text(raw, 'host'),
        prefix=_text(raw, 'prefix'),
        service=_text(raw, 'service'),
        terms=model.JobTerms(
            priority=_whole(raw, 'priority', 0),
            slack_factor=_number(raw, 'slack_factor', 1.0),
            # What the objective allows beyond the work itself, not a
            # latency as seen by the client.
            target_ms=_number(raw, 'target_latency_ms', 0.0),
            max_attempts=max(1, _whole(raw, 'max_attempts', 1)),
        ),
    )


def _object(value: object) -> dict[str, typing.Any]:
    if not isinstance(value, dict):
        raise _Damaged('not an object')
    return value


def _text(raw: dict[str, typing.Any], name: str) -> str:
    value = raw.get(name)
    if not value or not _json_values.is_text(value):
        raise _Damaged(name)
    return value


def _number(
    raw: dict[str, typing.Any], name: str, default: float | None = None
) -> float:
    value = raw.get(name, default)
    if not _json_values.is_number(value):
        raise _Damaged(name)
    return float(value)


def _whole(
    raw: dict[str, typing.Any], name: str, default: int | None = None
) -> int:
    value = raw.get(name, default)
    if not _json_values.is_whole(value):
        raise _Damaged(name)
    return value


def _labels(raw: dict[str, typing.Any]) -> tuple[str, ...]:
    labels = raw.get('labels', [])
    if not isinstance(labels, list):
        raise _Damaged('labels')
    if not all(map(_json_values.is_text, labels)):
        raise _Damaged('labels')
    return tuple(labels)


def _skipped(entry: str, error: Exception) -> None:
    logs.event(
        _LOG,
        logging.WARNING,
        'entry_skipped',
        entry=entry,
        cause=f'{type(error).__name__}: {error}',
    )
