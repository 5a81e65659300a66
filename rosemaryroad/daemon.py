"""The daemon ``rosemaryroadd``."""

import pathlib
import sys
import typing

import typer

from rosemaryroad import _daemons
from rosemaryroad import clock
from rosemaryroad import decisions
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import node as node_module
from rosemaryroad import settings as settings_module
from rosemaryroad import tokens

__all__ = ['main', 'serve']


def run(
    settings_file: typing.Annotated[
        pathlib.Path,
        typer.Argument(metavar='SETTINGS.yaml', help='The settings file.'),
    ],
    check: typing.Annotated[
        bool,
        typer.Option(
            '--check', help='Only check the settings; start nothing.'
        ),
    ] = False,
) -> None:
    """Serves callers as one entry VM until SIGTERM."""
    serve(settings_file, check=check)


def serve(
    settings_file: pathlib.Path,
    policy: decisions.Policy | None = None,
    check: bool = False,
) -> None:
    """Serves until SIGTERM, then ends the process.

    Args:
        settings_file: The settings file.
        policy: How work is ordered and placed; benches pass others.
        check: Whether only to check the settings.

    Raises:
        SystemExit: The settings were only to be checked, or fail their
            checks.
    """
    try:
        settings = settings_module.load(settings_file)
        secrets = tokens.read(settings.secrets)
    except errors.CheckFailed as error:
        _daemons.refuse_to_start(error)
    if check:
        sys.exit(_daemons.EXIT_OK)
    logs.configure(settings.log.level.value, settings.vm)
    serving = _serve(settings, settings_file, secrets, policy)
    _daemons.exit_process(_daemons.run(serving))


async def _serve(
    settings: settings_module.Settings,
    path: pathlib.Path,
    secrets: tokens.Secrets,
    policy: decisions.Policy | None,
) -> int:
    node = node_module.Node(settings, secrets, clock.Clock(), policy)
    return await _daemons.serve(node, settings_module.load, path)


def main() -> None:
    """Runs the daemon; the console script."""
    typer.run(run)


if __name__ == '__main__':
    main()
