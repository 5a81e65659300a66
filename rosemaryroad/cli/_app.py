"""The tool's commands, put together."""

import pathlib
import typing

import typer

import rosemaryroad
from rosemaryroad.cli import _context
from rosemaryroad.cli import _experiments
from rosemaryroad.cli import _explain
from rosemaryroad.cli import _losses
from rosemaryroad.cli import _operations
from rosemaryroad.cli import _services
from rosemaryroad.cli import _submissions

app = typer.Typer(
    name='rosemaryroad',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help='Submits work to rosemaryroad and operates it.',
)


def _show_version(wanted: bool) -> None:
    if wanted:
        print(rosemaryroad.__version__)
        raise typer.Exit


@app.callback()
@_context.reporting
def _options(
    context: typer.Context,
    address: typing.Annotated[
        list[str] | None,
        typer.Option(
            envvar='ROSEMARYROAD_ADDRESS',
            metavar='IP:PORT',
            help='An entry VM or a balancer; may be given several times.',
        ),
    ] = None,
    token_file: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            envvar='ROSEMARYROAD_TOKEN_FILE',
            help="A file that holds the team's bearer token.",
        ),
    ] = None,
    output: typing.Annotated[
        _context.Output, typer.Option(help='How results are printed.')
    ] = _context.Output.TABLE,
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version',
            callback=_show_version,
            is_eager=True,
            help='Print the version.',
        ),
    ] = False,
) -> None:
    context.obj = _context.Shared(
        addresses=tuple(address or ()),
        token=_context.read_token(token_file),
        output=output,
    )


for command in (
    _submissions.submit,
    _submissions.wait,
    _submissions.cancel,
    _operations.status,
    _operations.drain,
    _operations.drains,
    _operations.scheduling,
    _explain.explain,
    _losses.losses,
):
    app.command()(_context.reporting(command))
app.add_typer(_services.app, name='service')
app.add_typer(_operations.report_app, name='report')
app.add_typer(_experiments.app, name='experiment')


def main() -> None:
    """Runs the tool; the console script."""
    app()
