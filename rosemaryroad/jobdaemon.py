"""The daemon that serves jobs; it imports only what it needs to serve.

A daemon that is killed is back only after its imports.
"""

import gc
import os
import pathlib
import sys

from rosemaryroad import _daemons
from rosemaryroad import clock
from rosemaryroad import errors
from rosemaryroad import jobserver
from rosemaryroad import logs
from rosemaryroad import logsink
from rosemaryroad import platform

__all__ = ['main']

SETTINGS_VARIABLE = 'ROSEMARYROAD_SETTINGS'

_STDOUT = 1


def main() -> None:
    """Serves until SIGTERM, then ends the process; the console script.

    Raises:
        SystemExit: The settings fail their checks.
    """
    name = os.environ.get(SETTINGS_VARIABLE, '')
    if len(sys.argv) > 1:
        name = sys.argv[1]
    path = pathlib.Path(name)
    try:
        settings = jobserver.load(path)
    except errors.CheckFailed as error:
        _daemons.refuse_to_start(error)
    # What the imports made lives as long as the process.
    gc.freeze()
    gc.enable()
    sink = logsink.BoundedHandler(_STDOUT)
    logs.configure(settings.log.level.value, settings.vm, sink)
    _daemons.exit_process(_daemons.run(_serve(settings, path, sink)))


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
        time,
    )
    node = jobserver.JobNode(settings, adapter, time, sink)
    return await _daemons.serve(node, jobserver.load, path)


if __name__ == '__main__':
    main()
