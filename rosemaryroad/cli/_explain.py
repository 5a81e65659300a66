"""The command that explains what happened to a job."""

import collections.abc
import fileinput
import pathlib
import typing

import typer

from rosemaryroad import explain as explain_module
from rosemaryroad import logreader
from rosemaryroad import structure
from rosemaryroad.cli import _context
from rosemaryroad.cli import _output

_COLUMNS = ('after ms', 'entry VM', '', 'event', 'detail')


def explain(
    context: typer.Context,
    job: typing.Annotated[str, typer.Argument(help='The id of the job.')],
    files: typing.Annotated[
        list[pathlib.Path] | None,
        typer.Argument(
            help='Logs of the entry VMs; standard input by default.'
        ),
    ] = None,
) -> None:
    """Tells what happened to a job, from the logs of all entry VMs."""
    shared = _context.shared(context)
    reading = logreader.read(log_lines(files or []))
    found = explain_module.explain(reading, job)
    rows = tuple(
        (
            f'{entry.after_ms:.0f}',
            entry.vm,
            '!' if entry.is_fault else '',
            entry.event,
            entry.detail,
        )
        for entry in found.entries
    )
    notes = [f'outcome: {found.outcome}']
    if found.first_fault is not None:
        fault = found.first_fault
        notes.append(
            f'first fault: {fault.event} on {fault.vm} after '
            f'{fault.after_ms:.0f} ms: {fault.detail}'
        )
    notes.append(f'lines skipped: {reading.skipped}')
    raw = structure.unstructure(found) | {'skipped': reading.skipped}
    _output.show(
        shared.output, raw, _output.Table(_COLUMNS, rows, tuple(notes))
    )
    if not found.entries:
        raise typer.Exit(1)


def log_lines(
    files: list[pathlib.Path],
) -> collections.abc.Iterator[str]:
    """Reads files, or standard input where there are none."""
    names = [str(path) for path in files] or ['-']
    with fileinput.input(names, encoding='utf-8', errors='replace') as lines:
        yield from lines
