"""What minions answer, decoded.

Minions tell what runs on them in rows. A report with a row that can't be read
is refused whole: an attempt that it failed to name would be taken for gone,
and its task would start again beside it.
"""

import typing

from rosemaryroad import _json_values
from rosemaryroad import model
from rosemaryroad.platform import _decoding

_END_BY_WORD = {
    'done': model.TaskEnd.DONE,
    'failed': model.TaskEnd.FAILED,
    'stopped': model.TaskEnd.STOPPED,
    'lapsed': model.TaskEnd.LAPSED,
}

# "task" is the job's id and so many numbers.
_NAME_NUMBERS = 3

# A row has at least so many fields.
_ROW_FIELDS = 4

_Body = dict[str, typing.Any]


def read_body(data: bytes) -> _Body:
    """Returns the fields of an answer; one of no sense has none."""
    try:
        body = _json_values.load(data) if data else {}
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}


def read_clock(body: _Body) -> float | None:
    """Returns the minion's clock, or None where an answer doesn't tell it."""
    clock_ms = body.get('clock_ms')
    return float(clock_ms) if _json_values.is_number(clock_ms) else None


def read_reason(body: _Body) -> str:
    """Returns why a minion refused an order, or ''."""
    reason = body.get('reason')
    return reason if isinstance(reason, str) else ''


def read_report(body: _Body, asked_at: float) -> model.WorkerReport:
    """Reads what a minion says of itself.

    Args:
        body: The answer's fields.
        asked_at: Our clock when it was asked.

    Raises:
        ValueError: It makes no sense, or a part of it doesn't.
    """
    worker_clock = read_clock(body)
    if worker_clock is None:
        raise ValueError('clock_ms')
    running = [_read_running(row) for row in _rows(body, 'running')]
    ended = [_read_ended(row) for row in _rows(body, 'finished')]
    return model.WorkerReport(
        worker_clock,
        asked_at,
        tuple(item for item in running if item is not None),
        tuple(item for item in ended if item is not None),
        born=_decoding.read_born(body),
    )


def task_name(task: model.TaskId) -> str:
    """Returns how minions name a task."""
    return f'{task.job}.{task.occurrence}.{task.step}.{task.index}'


def _rows(body: _Body, name: str) -> list[list[typing.Any]]:
    rows = body.get(name)
    if not isinstance(rows, list):
        raise ValueError(name)
    for row in rows:
        if not isinstance(row, list) or len(row) < _ROW_FIELDS:
            raise ValueError(f'a row of {name}')
    return rows


def _read_running(row: list[typing.Any]) -> model.RunningTask | None:
    # Task, attempt, checkpoint, percent and, at times, a load.
    task = _read_task(row[0])
    attempt, percent = _whole(row[1], 'attempt'), row[3]
    if not _json_values.is_number(percent):
        raise ValueError('percent')
    if task is None:
        return None
    return model.RunningTask(task, attempt, float(percent))


def _read_ended(row: list[typing.Any]) -> model.EndedTask | None:
    # Number, task, attempt, how it ended, checkpoint.
    number, attempt = _whole(row[0], 'number'), _whole(row[2], 'attempt')
    task, how = _read_task(row[1]), row[3]
    if not isinstance(how, str):
        raise ValueError('how')
    if task is None:
        return None
    end = _END_BY_WORD.get(how, model.TaskEnd.OTHER)
    return model.EndedTask(number, task, attempt, end)


def _whole(value: object, name: str) -> int:
    if not _json_values.is_whole(value):
        raise ValueError(name)
    return value


def _read_task(name: object) -> model.TaskId | None:
    """Returns the task that a row names, or None for a name not of ours."""
    if not _json_values.is_text(name):
        raise ValueError('task')
    job, *numbers = name.split('.')
    if len(numbers) != _NAME_NUMBERS:
        return None
    if not all(part.isdecimal() and part.isascii() for part in numbers):
        return None
    occurrence, step, index = map(int, numbers)
    return model.TaskId(job, index=index, step=step, occurrence=occurrence)
