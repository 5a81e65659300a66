"""Log lines, read back from the files of all entry VMs."""

import collections.abc
import datetime
import json
import re

import attrs

__all__ = ['LogLine', 'Reading', 'read']

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_HEAD = re.compile(
    r'time=(\S+) level=([a-z]+) entry_vm=(\S+) event=([a-z_]+)(?=\s|$)'
)
_MS_PER_SECOND = 1000.0


@attrs.frozen
class LogLine:
    """One line of a log.

    Attributes:
        time_ms: When it was written, by its VM's clock.
        vm: The entry VM that wrote it.
        event: The event.
        fields: Its other pairs, by key.
        number: Its place among all lines read.
    """

    time_ms: float
    vm: str
    event: str
    fields: dict[str, str]
    number: int


@attrs.frozen
class Reading:
    """The lines that could be read.

    Attributes:
        lines: The lines.
        skipped: How many others there were: damaged, cut, or of other
            programs.
    """

    lines: tuple[LogLine, ...]
    skipped: int


def read(texts: collections.abc.Iterable[str]) -> Reading:
    """Reads log lines; what is none is skipped and counted."""
    lines = []
    skipped = 0
    for text in texts:
        if not text.strip():
            continue
        # Half a line of one process may stand before a line of another.
        start = text.rfind('time=')
        skipped += 'time=' in text[: max(0, start)]
        found = _read_line(text[max(0, start) :], len(lines))
        if found is None:
            skipped += 1
        else:
            lines.append(found)
    return Reading(tuple(lines), skipped)


def _read_line(text: str, number: int) -> LogLine | None:
    # A collector may put its own words before a line.
    head = _HEAD.search(text)
    if head is None:
        return None
    try:
        moment = datetime.datetime.fromisoformat(head[1])
    except ValueError:
        return None
    rest = text[head.end() :]
    fields = {key: _plain(value) for key, value in _PAIR.findall(rest)}
    return LogLine(
        moment.timestamp() * _MS_PER_SECOND, head[3], head[4], fields, number
    )


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
