"""Work that goes on beside whoever began it."""

import asyncio
import collections.abc

_OnFault = collections.abc.Callable[[BaseException], None]


class BackgroundTasks:
    """Keeps tasks until they end, and tells of those that fail.

    The loop holds tasks weakly: one that nobody keeps may vanish in the
    middle, and one whose fault nobody reads fails unseen.

    Args:
        on_fault: Called with what a task has failed by.
    """

    def __init__(self, on_fault: _OnFault) -> None:
        self._on_fault = on_fault
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: collections.abc.Coroutine) -> None:
        """Begins some work."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    async def wait(self) -> None:
        """Waits for all that still goes on, also for what fails."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    def cancel(self) -> None:
        """Ends all that still goes on."""
        for task in list(self._tasks):
            task.cancel()

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._on_fault(task.exception())
