"""Printing of results as tables, JSON or YAML."""

import collections.abc
import json
import sys
import typing

import attrs
from rich import console
from rich import progress
from rich import table
import yaml

from rosemaryroad import client
from rosemaryroad.cli import _context


@attrs.frozen
class Table:
    """A result in the form of a table.

    Attributes:
        columns: The titles.
        rows: The cells.
        notes: Lines that follow the table.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[object, ...], ...]
    notes: tuple[str, ...] = ()


def show(output: _context.Output, raw: typing.Any, *as_tables: Table) -> None:
    """Prints a result.

    Args:
        output: How.
        raw: Mappings, lists and scalars, for JSON and YAML.
        *as_tables: The same as tables.
    """
    if output is _context.Output.JSON:
        print(json.dumps(raw, indent=2))
    elif output is _context.Output.YAML:
        print(yaml.safe_dump(raw, sort_keys=False, allow_unicode=True), end='')
    else:
        for content in as_tables:
            _show_table(content)


def _show_table(content: Table) -> None:
    printed = table.Table(box=None, pad_edge=False)
    for column in content.columns:
        printed.add_column(column, overflow='fold')
    for row in content.rows:
        # Markup in a result's text would otherwise change how it prints.
        printed.add_row(*(_plain(cell) for cell in row))
    out = console.Console(markup=False, highlight=False, soft_wrap=False)
    if not out.is_terminal:
        # A script that reads the table must not find its cells folded.
        out = console.Console(
            markup=False, highlight=False, width=_WIDE_COLUMNS
        )
    if content.rows:
        out.print(printed)
    for note in content.notes:
        out.print(note)


_WIDE_COLUMNS = 1000


def _plain(cell: object) -> str:
    if isinstance(cell, float):
        return f'{cell:.3f}'
    text = '' if cell is None else str(cell)
    return ''.join(
        char if char.isprintable() else '\N{REPLACEMENT CHARACTER}'
        for char in text
    )


class ProgressBar:
    """Shows how far a submission is, on a terminal only.

    In a script's log the bar would be thousands of control characters.
    """

    def __init__(self) -> None:
        self._bar: progress.Progress | None = None
        self._task: progress.TaskID | None = None

    def __enter__(self) -> collections.abc.Callable[[client.Running], None]:
        if not sys.stderr.isatty():
            return _ignore
        self._bar = progress.Progress(
            console=console.Console(stderr=True), transient=True
        )
        self._bar.start()
        self._task = self._bar.add_task('running', total=None)
        return self._update

    def __exit__(self, *details: typing.Any) -> None:
        if self._bar is not None:
            self._bar.stop()

    def _update(self, state: client.Running) -> None:
        if self._bar is not None and self._task is not None:
            self._bar.update(
                self._task, total=state.tasks, completed=state.done_tasks or 0
            )


def _ignore(_: client.Running) -> None:
    return None
