"""An event loop whose time passes as fast as its work is done."""

import asyncio
import selectors
import typing

from rosemaryroad import clock

_MS_PER_SECOND = 1000.0

# Times that have never been set count as long ago.
_START_S = 100.0


class Stalled(RuntimeError):
    """Nothing is due any more, and somebody still waits."""


class _SkippingSelector(selectors.SelectSelector):
    """Moves the time on in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = _START_S

    def select(self, timeout: float | None = None) -> list:
        """Returns at once; no file of an emulation is ever ready."""
        if timeout is None:
            raise Stalled
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, without waiting for them."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Returns the emulated time in seconds."""
        return self._skipping.now_s


class LoopClock(clock.Clock):
    """The time of an event loop, in milliseconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Returns the present time in milliseconds."""
        return self._loop.time() * _MS_PER_SECOND


def now_ms() -> float:
    """Returns the time of the running loop in milliseconds."""
    return asyncio.get_running_loop().time() * _MS_PER_SECOND


def run(main: typing.Coroutine) -> typing.Any:
    """Runs a coroutine on a loop of its own, to its end."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
