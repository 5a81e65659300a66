"""The command that compares ways of deciding in an emulation."""

import os
import pathlib
import typing

import attrs
import typer

from rosemaryroad import structure
from rosemaryroad.cli import _context
from rosemaryroad.cli import _output

app = typer.Typer(no_args_is_help=True, help='Plays and compares decisions.')


@app.callback()
def _group() -> None:
    """Keeps ``run`` a command of its own, though it is the only one."""


@app.command()
@_context.reporting
def run(
    context: typer.Context,
    file: typing.Annotated[
        pathlib.Path, typer.Argument(help='The experiment.')
    ],
    seeds: typing.Annotated[
        int, typer.Option(min=1, help='How many seeds to play.')
    ] = 4,
    first: typing.Annotated[
        int, typer.Option(min=0, help='The first seed.')
    ] = 1,
    jobs: typing.Annotated[
        int, typer.Option(min=1, help='How many plays at a time.')
    ] = max(1, (os.cpu_count() or 1) // 2),
) -> None:
    """Plays each way of an experiment with the same seeds.

    Prints what callers got, and how much each way differs from the first one,
    with an interval of 95 %.
    """
    # Only this command needs the emulation.
    from rosemaryroad import emulation

    shared = _context.shared(context)
    experiment = emulation.load(file)
    numbers = range(first, first + seeds)
    plays = list(emulation.play_all(experiment, numbers, jobs))
    weights = emulation.Weights()
    values = {'worth': lambda measures: measures.worth(weights)}
    for field in attrs.fields(emulation.Measures):
        values[field.name] = _getter(field.name)
    standing, *others = experiment.ways
    rows = []
    for name, value in values.items():
        own = [value(p.measures) for p in plays if p.way == standing]
        row = [name, f'{sum(own) / len(own):.4f}']
        for way in others:
            found = emulation.differ(plays, way, standing, value)
            row.append(
                f'{found.mean:+.4f} [{found.low:+.4f} {found.high:+.4f}]'
            )
        rows.append(tuple(row))
    notes = tuple(
        f'broken: {play.way}, seed {play.seed}: {violation}'
        for play in plays
        for violation in play.violations
    )
    raw = {'plays': [structure.unstructure(item) for item in plays]}
    table = _output.Table(('', standing, *others), tuple(rows), notes)
    _output.show(shared.output, raw, table)
    if notes:
        raise typer.Exit(1)


def _getter(name: str) -> typing.Callable[[object], float]:
    return lambda measures: float(getattr(measures, name))
