"""What all commands share: where to call, how to print, how to fail."""

import collections.abc
import enum
import functools
import pathlib
import sys
import typing

import attrs
import typer

from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad import porcelain

EXIT_USAGE = 2
_EXIT_BASE = 10
_CODES_PER_CLASS = 1000

_Command = typing.TypeVar('_Command', bound=collections.abc.Callable)


class Output(enum.StrEnum):
    """How results are printed."""

    TABLE = 'table'
    JSON = 'json'
    YAML = 'yaml'


@attrs.frozen
class Shared:
    """The options before the command.

    Attributes:
        addresses: Entry VMs or balancers.
        token: The content of the token file, or None.
        output: How results are printed.
    """

    addresses: tuple[str, ...]
    token: str | None = attrs.field(repr=False)
    output: Output

    @property
    def connection(self) -> porcelain.Connection:
        """How to reach the entry VMs.

        Raises:
            errors.RosemaryroadError: No address was given, or one is no
                address.
        """
        if not self.addresses:
            raise usage('no --address was given')
        for address in self.addresses:
            try:
                model.Address.parse(address)
            except ValueError as error:
                raise usage(str(error)) from error
        return porcelain.Connection(self.addresses, self.token)


def shared(context: typer.Context) -> Shared:
    """Returns the options that stand before the command."""
    return context.obj


def usage(detail: str) -> errors.RosemaryroadError:
    """Returns the error for a wrong command line."""
    return errors.RosemaryroadError(detail, errors.ResultCode.USAGE)


def read_token(path: pathlib.Path | None) -> str | None:
    """Reads a token file.

    Raises:
        errors.RosemaryroadError: It can't be read.
    """
    if path is None:
        return None
    try:
        return path.read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.RosemaryroadError(
            str(error), errors.ResultCode.UNREADABLE
        ) from error


def exit_code(code: errors.ResultCode) -> int:
    """Returns the exit code for a result: one for each class of codes."""
    if code is errors.ResultCode.OK:
        return 0
    if code is errors.ResultCode.USAGE:
        return EXIT_USAGE
    return _EXIT_BASE + int(code) // _CODES_PER_CLASS


def reporting(command: _Command) -> _Command:
    """Makes a command end with a message and an exit code on an error."""

    @functools.wraps(command)
    def wrapped(*args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        try:
            return command(*args, **kwargs)
        except errors.RosemaryroadError as error:
            for line in _lines(error):
                print(line, file=sys.stderr)
            raise typer.Exit(exit_code(error.code)) from error

    return typing.cast(_Command, wrapped)


def _lines(error: errors.RosemaryroadError) -> collections.abc.Iterator[str]:
    if isinstance(error, errors.CheckFailed):
        for problem in error.problems:
            yield f'error: {problem}'
        return
    run = getattr(error, 'run', None)
    note = '' if run is None else f' (run: {run})'
    yield f'error: {error}{note}'
