"""What all daemons do when they start and end."""

import asyncio
import collections.abc
import contextlib
import functools
import logging
import os
import pathlib
import secrets
import signal
import sys
import time
import typing

import uvloop

from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model

EXIT_OK = 0
EXIT_CUT_OFF = 1
EXIT_INVALID = 2
EXIT_CANNOT_LISTEN = 3

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0
_NONCE_BYTES = 4
_LEAVE_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Node(typing.Protocol):
    """One entry VM, put together.

    Attributes:
        drain_requested: Set once the VM is to leave.
    """

    drain_requested: asyncio.Event

    async def start(self) -> None:
        """Listens and begins all loops.

        Raises:
            OSError: An address can't be bound.
        """

    async def leave(self) -> bool:
        """Ends in order; tells whether no caller was cut off."""


def new_incarnation(vm: str) -> model.Incarnation:
    """Names this life of an entry VM."""
    return model.Incarnation(
        vm,
        int(time.time() * _MS_PER_SECOND),
        secrets.token_hex(_NONCE_BYTES),
    )


def refuse_to_start(error: errors.CheckFailed) -> typing.NoReturn:
    """Prints what is wrong with the settings and ends the process.

    Raises:
        SystemExit: Always.
    """
    for problem in error.problems:
        print(problem, file=sys.stderr)
    sys.exit(EXIT_INVALID)


@contextlib.contextmanager
def drain_step(step: str) -> collections.abc.Iterator[None]:
    """Logs a fault inside the ``with`` block, so that the drain goes on.

    Left to rise, it would end the process with its callers' requests in
    progress.

    Args:
        step: The name under which it is logged.
    """
    try:
        yield
    except Exception:
        logs.fault(_LOG, 'drain_step_failed', step=step)


def run(
    serving: collections.abc.Coroutine[typing.Any, typing.Any, int],
) -> int:
    """Runs a daemon to its end; returns the exit code.

    Args:
        serving: What ``serve`` returns.
    """
    code = uvloop.run(serving)
    # The interpreter drops all other handlers while it ends. By the default
    # action one more signal would then replace the exit code.
    for number in (*_LEAVE_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    return code


async def serve(
    node: Node,
    load: collections.abc.Callable[[pathlib.Path], typing.Any],
    path: pathlib.Path,
) -> int:
    """Serves until SIGTERM or SIGINT; SIGHUP reads the settings again.

    Args:
        node: The entry VM.
        load: Reads and checks its settings.
        path: The settings file.

    Returns:
        The exit code.
    """
    loop = asyncio.get_running_loop()
    for number in _LEAVE_SIGNALS:
        # A second signal finds the event set already and changes nothing:
        # it must not hasten the end past requests in progress.
        loop.add_signal_handler(number, node.drain_requested.set)
    loop.add_signal_handler(
        signal.SIGHUP, functools.partial(_reload, load, path)
    )
    # Whoever started the daemon may have held it back until now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await node.start()
    except OSError as error:
        logs.event(_LOG, logging.ERROR, 'cannot_listen', detail=str(error))
        return EXIT_CANNOT_LISTEN
    await node.drain_requested.wait()
    whole = False
    with drain_step('leave'):
        whole = await node.leave()
    return EXIT_OK if whole else EXIT_CUT_OFF


def _reload(
    load: collections.abc.Callable[[pathlib.Path], typing.Any],
    path: pathlib.Path,
) -> None:
    """Reads the settings again; only what is logged can change."""
    try:
        settings = load(path)
    except errors.CheckFailed as error:
        logs.event(_LOG, logging.ERROR, 'reload_refused', detail=error)
        return
    level = settings.log.level.value
    logging.getLogger().setLevel(level.upper())
    logs.event(_LOG, logging.INFO, 'reloaded', level=level)


def exit_process(code: int) -> typing.NoReturn:
    """Ends the process at once, with all that it has logged and printed.

    The interpreter's own end, which frees every object and module, would take
    most of the time between the last log line and the end of the process.
    Neither ``atexit`` functions nor destructors run.

    Args:
        code: The exit code.
    """
    logging.shutdown()
    for stream in (sys.stdout, sys.stderr):
        # A reader that is gone must not change the exit code.
        with contextlib.suppress(OSError, ValueError):
            stream.flush()
    os._exit(code)
