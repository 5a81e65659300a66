"""Processes of the emulation: what they run ends when they are killed."""

import asyncio
import collections.abc
import contextvars
import typing


class Life:
    """One life of an emulated process.

    All tasks and timers that begin inside it belong to it, however deep in
    the code that is.

    Attributes:
        name: The process.
        is_alive: Whether it runs.
        context: The context that marks what belongs to it.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_alive = True
        self.context = contextvars.copy_context()
        self.context.run(_CURRENT.set, self)
        # In the order of their beginnings: of a set, they would be cancelled
        # in another order in each process.
        self._tasks: dict[asyncio.Task, None] = {}

    def spawn(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Begins some work in this process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self.context)

    def call_at(
        self,
        when_s: float,
        callback: collections.abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        """Calls something in this process later, if it still runs then."""
        loop = asyncio.get_running_loop()
        loop.call_at(
            when_s,
            self._call_if_alive,
            callback,
            arguments,
            context=self.context,
        )

    def kill(self) -> None:
        """Ends all that runs in it."""
        self.is_alive = False
        for task in list(self._tasks):
            task.cancel()

    def add(self, task: asyncio.Task) -> None:
        """Notes a task that has begun in this process."""
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    def _call_if_alive(
        self,
        callback: collections.abc.Callable[..., object],
        arguments: tuple[object, ...],
    ) -> None:
        if self.is_alive:
            callback(*arguments)


_CURRENT: contextvars.ContextVar[Life | None] = contextvars.ContextVar(
    'rosemaryroad_emulated_life', default=None
)


def make_task(
    loop: asyncio.AbstractEventLoop,
    work: collections.abc.Coroutine,
    context: contextvars.Context | None = None,
    **options: typing.Any,
) -> asyncio.Task:
    """Makes a task that belongs to the process that begins it.

    It is a task factory of event loops.
    """
    task = asyncio.Task(work, loop=loop, context=context, **options)
    life = _CURRENT.get() if context is None else context.get(_CURRENT)
    if life is not None:
        life.add(task)
    return task
