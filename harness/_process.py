"""One process that a test started, its log lines and its signals."""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import re
import signal
import sys
import typing

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
# How long a test waits at most for what comes within seconds.
DEFAULT_TIMEOUT_S = 60.0
_POLL_S = 0.02
_MAX_LINE_BYTES = 1024 * 1024

# Places of the times in /proc/PID/stat, counted after the command's name.
_UTIME_FIELD = 11
_STIME_FIELD = 12
_KIB = 1024

_Value = typing.TypeVar('_Value')
_Look = collections.abc.Callable[[], collections.abc.Awaitable[_Value | None]]


class Exited(Exception):
    """A process ended while a test waited for something of it."""


@attrs.frozen
class Finished:
    """A command that ran to its end with an exit code."""

    code: int
    stdout: str
    stderr: str


def script(name: str) -> str:
    """Returns the path of a console script of this installation."""
    return str(pathlib.Path(sys.executable).parent / name)


async def _spawn(
    arguments: tuple[str, ...], stderr: int, **extra: str
) -> asyncio.subprocess.Process:
    # This checkout is what the process imports.
    return await asyncio.create_subprocess_exec(
        *arguments,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=stderr,
        limit=_MAX_LINE_BYTES,
        env={**os.environ, 'PYTHONPATH': str(ROOT), **extra},
        cwd=ROOT,
    )


async def run(
    *arguments: str, timeout_s: float = DEFAULT_TIMEOUT_S, **extra: str
) -> Finished:
    """Runs a command to its end, with additions to its environment.

    Raises:
        TimeoutError: It did not end in time, and was killed.
    """
    child = await _spawn(arguments, asyncio.subprocess.PIPE, **extra)
    try:
        async with asyncio.timeout(timeout_s):
            out, err = await child.communicate()
    except TimeoutError:
        child.kill()
        await child.wait()
        raise
    return Finished(child.returncode or 0, out.decode(), err.decode())


class Process:
    """A process in the background; its output is collected by line.

    ``lines`` has all that it has written so far, of both streams, and
    ``address`` is the ``IP:port`` where it serves, once that is known.
    """

    def __init__(self, name: str, child: asyncio.subprocess.Process) -> None:
        self.name = name
        self.lines: list[str] = []
        self.address = ''
        self._child = child
        self._written = asyncio.Condition()
        self._reader = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, name: str, *arguments: str) -> 'Process':
        return cls(name, await _spawn(arguments, asyncio.subprocess.STDOUT))

    @property
    def running(self) -> bool:
        return self._child.returncode is None

    def processor_seconds(self) -> float:
        """Returns the processor time that it has used so far."""
        stat = pathlib.Path(f'/proc/{self._child.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])
        return ticks / os.sysconf('SC_CLK_TCK')

    def resident_kib(self) -> float:
        """Returns the memory that it holds, in units of 1,024 bytes."""
        statm = pathlib.Path(f'/proc/{self._child.pid}/statm').read_text()
        pages = int(statm.split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / _KIB

    def has_loaded(self, library: str) -> bool:
        """Tells whether a compiled part of a library is in its memory."""
        maps = pathlib.Path(f'/proc/{self._child.pid}/maps').read_text()
        return library in maps

    def send_signal(self, number: signal.Signals) -> None:
        """Sends it a signal, unless it has ended."""
        # The library's own way looks for the exit code first, and what it
        # finds is lost to whoever waits for it.
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._child.pid, number)

    def kill(self) -> None:
        """Ends it at once, as a crash would."""
        self.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Asks it to leave."""
        self.send_signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Stops it without ending it, as a long pause of its VM would."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets it go on after ``freeze``."""
        self.send_signal(signal.SIGCONT)

    async def wait_for_exit(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> int:
        """Returns its exit code; negative for a signal that ended it."""
        async with asyncio.timeout(timeout_s):
            code = await self._child.wait()
            await self._reader
        return code

    async def wait_for_line(
        self, pattern: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> str:
        """Returns the first line, old or new, in which a pattern is found.

        Raises:
            Exited: It ended without such a line.
            TimeoutError: There was none in time.
        """
        seen = 0
        async with asyncio.timeout(timeout_s), self._written:
            while True:
                for line in self.lines[seen:]:
                    if re.search(pattern, line):
                        return line
                seen = len(self.lines)
                if self._reader.done():
                    raise Exited(f'{self.name}: {self.tail()}')
                await self._written.wait()

    async def poll(
        self, look: _Look[_Value], timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> _Value:
        """Looks again and again until there is something to see.

        For what gives no signal of its own, such as a file that appears.

        Raises:
            Exited: The process ended before.
            TimeoutError: There was nothing in time.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                value = await look()
                if value is not None:
                    return value
                if not self.running:
                    await self._reader
                    raise Exited(f'{self.name}: {self.tail()}')
                await asyncio.sleep(_POLL_S)

    def tail(self, count: int = 20) -> str:
        return '\n'.join(self.lines[-count:])

    async def stop(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> int:
        """Ends it by SIGTERM and returns its exit code.

        One that doesn't end in time is killed, and its code says so.
        """
        self.thaw()
        self.terminate()
        try:
            return await self.wait_for_exit(timeout_s)
        except TimeoutError:
            self.kill()
            return await self.wait_for_exit(timeout_s)

    async def _read(self) -> None:
        stream = typing.cast(asyncio.StreamReader, self._child.stdout)
        try:
            while raw := await stream.readline():
                async with self._written:
                    self.lines.append(raw.decode(errors='replace').rstrip())
                    self._written.notify_all()
        finally:
            # Those who wait for a line look once more and see the end.
            asyncio.get_running_loop().call_soon(self._wake)

    def _wake(self) -> None:
        asyncio.ensure_future(self._notify())

    async def _notify(self) -> None:
        async with self._written:
            self._written.notify_all()
