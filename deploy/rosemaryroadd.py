"""Starts the daemon from the folder that the build made.

The build compiles the package there once. Compiled at each start in its
place, it would keep a daemon that was killed away for longer.
"""

from rosemaryroad import jobdaemon

if __name__ == '__main__':
    jobdaemon.main()
