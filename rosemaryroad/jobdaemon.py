"""The daemon that serves jobs; it imports only what it needs to serve.

A daemon that is killed is back only after its imports.
"""

import asyncio
import gc
import logging
import os
import pathlib
import signal
import sys

import uvloop

from rosemaryroad import clock
from rosemaryroad import errors
from rosemaryroad import jobserver
from rosemaryroad import logs
from rosemaryroad import logsink
from rosemaryroad import platform

__all__ = ['main']

SETTINGS_VARIABLE = 'ROSEMARYROAD_SETTINGS'

EXIT_OK = 0
EXIT_CUT_OFF = 1
EXIT_INVALID = 2
EXIT_CANNOT_LISTEN = 3

_STDOUT = 1
_LOG = logging.getLogger(__name__)


def main() -> None:
    """Serves until SIGTERM; the console script.

    Raises:
        SystemExit: Always, with the exit code.
    """
    name = os.environ.get(SETTINGS_VARIABLE, '')
    if len(sys.argv) > 1:
        name = sys.argv[1]
    path = pathlib.Path(name)
    try:
        settings = jobserver.load(path)
    except errors.CheckFailed as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    # What the imports made lives as long as the process.
    gc.freeze()
    gc.enable()
    sink = logsink.BoundedHandler(_STDOUT)
    logs.configure(settings.log.level.value, settings.vm, sink)
    code = uvloop.run(_serve(settings, path, sink))
    sink.flush()
    sys.exit(code)


async def _serve(
    settings: jobserver.JobSettings,
    path: pathlib.Path,
    sink: logsink.BoundedHandler,
) -> int:
    time = clock.Clock()
    adapter = platform.JobPlatformAdapter(
        settings.platform.address,
        settings.platform.timeout_ms,
        settings.times.lease_ms,
        'rosemaryroad',
        time,
    )
    node = jobserver.JobNode(settings, adapter, time, sink)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        # A second signal finds the event set already and changes nothing:
        # it must not hasten the end past jobs in progress.
        loop.add_signal_handler(number, node.drain_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    try:
        await node.start()
    except OSError as error:
        logs.event(_LOG, logging.ERROR, 'cannot_listen', detail=str(error))
        return EXIT_CANNOT_LISTEN
    await node.drain_requested.wait()
    return EXIT_OK if await node.leave() else EXIT_CUT_OFF


def _reload(path: pathlib.Path) -> None:
    """Reads the settings again; only what is logged can change."""
    try:
        settings = jobserver.load(path)
    except errors.CheckFailed as error:
        logs.event(_LOG, logging.ERROR, 'reload_refused', detail=error)
        return
    level = settings.log.level.value
    logging.getLogger().setLevel(level.upper())
    logs.event(_LOG, logging.INFO, 'reloaded', level=level)


if __name__ == '__main__':
    main()
