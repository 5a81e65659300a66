"""The command that tells which jobs were lost, and why."""

import pathlib
import typing

import typer

from rosemaryroad import logreader
from rosemaryroad import losses as losses_module
from rosemaryroad import structure
from rosemaryroad.cli import _context
from rosemaryroad.cli import _explain
from rosemaryroad.cli import _output

_COLUMNS = ('', 'cause', 'jobs', 'unserved', 'share of worth', 'examples')


def losses(
    context: typer.Context,
    files: typing.Annotated[
        list[pathlib.Path] | None,
        typer.Argument(
            help='Logs of the entry VMs; standard input by default.'
        ),
    ] = None,
    by: typing.Annotated[
        losses_module.Dimension,
        typer.Option(help='What to tell lost jobs apart by.'),
    ] = losses_module.Dimension.CAUSE,
    page: typing.Annotated[
        pathlib.Path | None,
        typer.Option('--html', help='Write a page with a plot there too.'),
    ] = None,
) -> None:
    """Tells which jobs were not answered in time, and why."""
    shared = _context.shared(context)
    reading = logreader.read(_explain.log_lines(files or []))
    report = losses_module.find(reading)
    groups = losses_module.group(report, by)
    if page is not None:
        page.write_text(losses_module.page(report), encoding='utf-8')
    rows = tuple(
        (
            '' if by is losses_module.Dimension.CAUSE else item.value,
            item.cause,
            item.jobs,
            item.unserved,
            f'{item.share:.2%}',
            ' '.join(item.examples),
        )
        for item in groups
    )
    notes = (
        f'{len(report.losses)} of {report.jobs} jobs were not answered in '
        f'time; of {report.unknown_share:.1%} of them the cause is unknown',
        f'lines skipped: {report.skipped}',
    )
    raw = {
        'jobs': report.jobs,
        'skipped': report.skipped,
        'unknown_share': report.unknown_share,
        'groups': [structure.unstructure(item) for item in groups],
    }
    _output.show(shared.output, raw, _output.Table(_COLUMNS, rows, notes))
