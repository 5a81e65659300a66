"""Log lines of key=value pairs, one for each event."""

import collections.abc
import contextlib
import contextvars
import functools
import json
import logging
import re
import sys
import time
import types
import typing

__all__ = [
    'KeyValueFormatter',
    'configure',
    'event',
    'fault',
    'request_id',
    'request_scope',
]

# Marks a record whose message is already made of pairs.
_IS_EVENT = 'rosemaryroad_is_event'
_BARE = re.compile(r'[^\s"=\\\x00-\x1f\x7f]+')
_SECRET_KEY = re.compile(r'secret|token|authorization|password')
_HIDDEN = '(hidden)'
_MAX_VALUE_CHARS = 2000

_REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    'rosemaryroad_request_id', default=''
)


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs.

    Attributes:
        vm: The id of the entry VM; the field ``entry_vm`` of each line.
            Events about another VM call that one ``vm``.
    """

    def __init__(self, vm: str) -> None:
        super().__init__()
        self.vm = vm
        self._vm_pair = _pairs(entry_vm=vm)

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line; what is no event becomes ``event=log``."""
        parts = [
            f'time={_timestamp(record.created)}',
            f'level={record.levelname.lower()}',
            self._vm_pair,
            _event_text(record),
        ]
        request = _REQUEST_ID.get()
        if request and 'request_id=' not in parts[-1]:
            parts.append(_pairs(request_id=request))
        if record.exc_info:
            parts.append(_pairs(error=self.formatException(record.exc_info)))
        return ' '.join(parts)


def configure(
    level: str,
    vm: str,
    stream: typing.TextIO | logging.Handler | None = None,
) -> None:
    """Sends all log records of the process to one place.

    Args:
        level: The least severe level, such as ``info``.
        vm: The id of the entry VM.
        stream: Where the lines go; standard error by default.
    """
    handler = stream
    if not isinstance(handler, logging.Handler):
        handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter(vm))
    # No line names threads, processes or tasks; to find them out for each
    # record took a fifth of its time.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.logAsyncioTasks = False
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def event(
    logger: logging.Logger, level: int, name: str, /, **fields: object
) -> None:
    """Logs one event.

    Args:
        logger: The module's logger.
        level: A level of ``logging``.
        name: The documented name of the event.
        **fields: Its values; None values are left out, and those whose
            key names a secret are hidden.
    """
    _log(logger, level, name, fields, None)


def fault(
    logger: logging.Logger,
    name: str,
    error: BaseException | None = None,
    /,
    **fields: object,
) -> None:
    """Logs an exception that nobody expected, with its traceback.

    Args:
        logger: The module's logger.
        name: The documented name of the event.
        error: The exception; the one being handled by default.
        **fields: Values of the event, as in ``event``.
    """
    _log(logger, logging.ERROR, name, fields, error or sys.exception())


def _log(
    logger: logging.Logger,
    level: int,
    name: str,
    fields: dict[str, object],
    error: BaseException | None,
) -> None:
    if not logger.isEnabledFor(level):
        return
    kept = {key: value for key, value in fields.items() if value is not None}
    text = _pairs(event=name, **kept)
    # Made here, since ``Logger.log`` looks for the caller's file and line
    # each time, which no line names: a fifth of the time of a line.
    record = logging.LogRecord(
        logger.name, level, '', 0, text, None, _exception_info(error)
    )
    setattr(record, _IS_EVENT, True)
    logger.handle(record)


def _exception_info(
    error: BaseException | None,
) -> tuple[type, BaseException, types.TracebackType | None] | None:
    if error is None:
        return None
    return type(error), error, error.__traceback__


def request_id() -> str:
    """Returns the id of the request that is being served, or ''."""
    return _REQUEST_ID.get()


@contextlib.contextmanager
def request_scope(value: str) -> collections.abc.Iterator[None]:
    """Gives all events inside the ``with`` block a request id."""
    token = _REQUEST_ID.set(value)
    try:
        yield
    finally:
        _REQUEST_ID.reset(token)


def _event_text(record: logging.LogRecord) -> str:
    text = record.getMessage()
    if getattr(record, _IS_EVENT, False):
        return text
    # Any other text is one quoted value: it may hold what a caller or a
    # peer sent, and pairs in it would pass for our own.
    return _pairs(event='log', logger=record.name, message=text)


def _pairs(**fields: object) -> str:
    return ' '.join(
        f'{key}={_value(key, item)}' for key, item in fields.items()
    )


def _timestamp(seconds: float) -> str:
    return f'{_second(int(seconds))}.{int(seconds * 1000) % 1000:03d}Z'


# Some hundred lines fall into the same second, and all have the same keys.
@functools.lru_cache(maxsize=4)
def _second(second: int) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(second))


@functools.lru_cache(maxsize=1024)
def _is_secret(key: str) -> bool:
    return _SECRET_KEY.search(key.lower()) is not None


def _value(key: str, value: object) -> str:
    if _is_secret(key):
        return _HIDDEN
    if isinstance(value, float):
        return f'{value:.3f}'
    if type(value) is int:
        return str(value)
    return _quoted(str(value)[:_MAX_VALUE_CHARS])


# The ids of jobs and workers come ten times each, within a second or two.
@functools.lru_cache(maxsize=4096)
def _quoted(text: str) -> str:
    if _BARE.fullmatch(text):
        return text
    # A newline in a value that a caller chose would otherwise start a
    # line of its own and pass for another event.
    return json.dumps(text)
