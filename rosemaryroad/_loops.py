"""Loops that go on for as long as the process lives."""

import asyncio
import collections.abc
import logging

from rosemaryroad import logs

_LOG = logging.getLogger(__name__)

# How long a loop that ended by a fault rests, in seconds.
RESTART_S = 1.0


async def keep_running(
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Runs a loop, and begins it again where it ends.

    Args:
        run: Makes the loop; it ends by a fault only.
    """
    # A loop that ended by a fault would be missed by nobody: the daemon
    # would go on serving by the documents or the peers of that moment.
    while True:
        try:
            await run()
        except Exception:
            logs.fault(_LOG, 'loop_restarted')
        await asyncio.sleep(RESTART_S)
