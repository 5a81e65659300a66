"""The body of a request that must not be sent after its time."""

import aiohttp.abc

from rosemaryroad import _payloads
from rosemaryroad import clock as clocks

__all__ = ['TaskPayload']


class TaskPayload(_payloads.TrackedPayload):
    """The payload of a task that must not be started after its time.

    Without the tracking each restart of a minion would fail jobs, whose tasks
    were sent on connections that it had kept.

    Args:
        value: The task's payload.
        deadline: The clock's time after which it is held back.
        clock: The clock.

    Attributes:
        abandoned: Whether the attempt has been given up; from then on
            nothing is written.
    """

    def __init__(
        self, value: bytes, deadline: float, clock: clocks.Clock
    ) -> None:
        super().__init__(value)
        self.abandoned = False
        self._deadline = deadline
        self._clock = clock

    async def write_with_length(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Writes head and body, or holds all of it back.

        Raises:
            HeldBack: Nothing was written.
        """
        # A process that was paused while it connected would otherwise
        # start a task that its caller has already heard to have failed.
        if self.abandoned or self._clock.now() >= self._deadline:
            raise _payloads.HeldBack('given up, or the deadline has passed')
        await super().write_with_length(writer, content_length)
