"""Starts the daemon from the folder that the build made.

The build compiles the package there once. Compiled at each start in its
place, it would keep a daemon that was killed away for longer; collecting
garbage in between, which imports don't leave, takes a tenth of them.
"""

import gc
import signal

gc.disable()

# Its default action would end a daemon that is still being started; it waits
# until there is a handler.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from rosemaryroad import jobdaemon  # noqa: E402

if __name__ == '__main__':
    jobdaemon.main()
