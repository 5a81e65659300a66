"""The processes and stand-ins of one soak."""

import asyncio
import collections.abc
import contextlib
import itertools
import pathlib
import signal
import time

import aiohttp
import attrs

from harness import deployment
from harness import jobs
from rosemaryroad import dispatching
from soak import network
from soak import plan
from tests.standins import job_minion
from tests.standins import job_store

PREFIX = '/lookups/'
LONG_PREFIX = '/exports/'

# Workers that fail all that they start have to be met twice and more.
_MAX_ATTEMPTS = 5

# Workers take this long for a task. Long ones are still at work when a
# dispatcher changes or a lease lapses, which is when one could run twice.
_WORK_MS = (60.0, 150.0, 400.0)

# Workers' clocks run at the rates that the platform allows.
_CLOCK_RATES = (1.0, 0.98, 1.0, 0.99)

# One worker in so many is older and doesn't tell when its life began.
_TELL_BORN_SPACING = 4

# The balancer looks this often, and gives a daemon up after two misses.
_LOOK_S = 0.5
_MISSES = 2
_READY_S = 30.0


@attrs.define
class Ended:
    """A process that has ended.

    Attributes:
        daemon: The daemon's number.
        at: When, by the steady clock.
        code: Its exit code.
        told: The signal that it was sent, or None.
        told_at: When it was sent.
    """

    daemon: int
    at: float
    code: int
    told: signal.Signals | None
    told_at: float


class Daemon:
    """One daemon that is started again whenever it ends."""

    def __init__(self, number: int, setup: jobs.DaemonSetup) -> None:
        self.number = number
        self.callers = setup.callers
        self.readiness = setup.readiness
        self.peers = setup.peers
        self.ended: list[Ended] = []
        self.lines: list[str] = []
        self.is_ready = False
        self._setup = setup
        self._process: deployment.Process | None = None
        self._told: signal.Signals | None = None
        self._told_at = 0.0
        self._closing = False

    @property
    def is_leaving(self) -> bool:
        """Whether the process was told to leave and hasn't ended."""
        return self._told is signal.SIGTERM

    async def run(self) -> None:
        """Starts the process, and again each time it ends."""
        while not self._closing:
            process = await self._setup.start()
            self._process = process
            code = await process.wait_for_exit(None)
            self.lines += process.lines
            self.ended.append(
                Ended(
                    self.number,
                    time.monotonic(),
                    code,
                    self._told,
                    self._told_at,
                )
            )
            self._told = None

    def kill(self) -> None:
        """Ends the process at once; it starts again."""
        self._send(signal.SIGKILL)

    def leave(self) -> None:
        """Tells the process to leave; it starts again."""
        if self._told is None:
            self._send(signal.SIGTERM)

    def freeze(self) -> None:
        """Stops the process."""
        if self._process is not None:
            self._process.freeze()

    def thaw(self) -> None:
        """Lets the process go on."""
        if self._process is not None:
            self._process.thaw()

    def all_lines(self) -> list[str]:
        """Returns what all its processes have written."""
        running = self._process.lines if self._process is not None else []
        return self.lines + (running if not self._closing else [])

    async def close(self) -> None:
        """Ends the process for good."""
        self._closing = True
        if self._process is not None:
            self.thaw()
            self._send(signal.SIGKILL)

    def _send(self, number: signal.Signals) -> None:
        process = self._process
        if process is None or not process.running:
            return
        self._told, self._told_at = number, time.monotonic()
        if number is signal.SIGKILL:
            process.kill()
        else:
            process.terminate()


def next_number(
    numbers: collections.abc.Iterator[int], place: int, cells: int
) -> int:
    """Returns the number of a worker whose cell is that of its place.

    By their hashes alone, one of a few cells could be left without workers.
    """
    division = dispatching.Cells(cells)
    return next(
        number
        for number in numbers
        if division.of_worker(_worker_id(number)) == place % cells
    )


def _worker_id(number: int) -> str:
    return f'i{number}'


class World:
    """All that a soak runs.

    Args:
        shape: Its size.
        folder: Where settings files go.
    """

    def __init__(self, shape: plan.Shape, folder: pathlib.Path) -> None:
        self._shape = shape
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task] = []
        self._numbers = itertools.count()
        self._session: aiohttp.ClientSession | None = None
        self.rows = job_store.StoreRows()
        self.stores: list[job_store.JobStore] = []
        self.daemons: list[Daemon] = []
        self.workers: list[job_minion.JobMinion] = []
        self.gone: list[job_minion.JobMinion] = []
        self.network = network.Network()
        self.queues_version = 0

    async def __aenter__(self) -> 'World':
        self._session = aiohttp.ClientSession()
        self._stack.push_async_callback(self._session.close)
        self._stack.push_async_callback(self.network.close)
        self.put_queues()
        if self._shape.cells > 1:
            cells = {'count': self._shape.cells}
            self.rows.put('rosemaryroad', 'cells', cells)
        for number in range(self._shape.daemons):
            await self._add_daemon(number)
        for daemon in self.daemons:
            await self.network.add(
                daemon.peers, self._others(daemon.number), daemon.number
            )
        for number in range(self._shape.workers):
            self.workers.append(await self._make_worker(number))
        for daemon in self.daemons:
            self._tasks.append(asyncio.create_task(daemon.run()))
            self._tasks.append(asyncio.create_task(self._balance(daemon)))
        return self

    async def __aexit__(self, *_: object) -> None:
        for daemon in self.daemons:
            await daemon.close()
        for task in self._tasks[1::2]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    async def is_ready(self) -> bool:
        """Waits until the balancer sends callers to every daemon.

        Returns:
            Whether it came to do so within half a minute.
        """
        until = time.monotonic() + _READY_S
        while not all(daemon.is_ready for daemon in self.daemons):
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.05)
        return True

    def lines(self) -> dict[str, list[str]]:
        """Returns what all daemons have written, by their names."""
        return {
            f'entry-{daemon.number}': daemon.all_lines()
            for daemon in self.daemons
        }

    def put_queues(self, *more: str) -> None:
        """Puts a new version of the operators' queues in force.

        Args:
            *more: The prefixes of queues beside those that jobs come to.
        """
        self.queues_version += 1
        prefixes = (PREFIX, LONG_PREFIX, *more)
        body = jobs.queues_body(self.queues_version, prefixes, _MAX_ATTEMPTS)
        self.rows.put('op', 'config', body)

    async def crash_worker(self, number: int) -> job_minion.JobMinion:
        """Ends a worker without a word; returns the one that went."""
        gone = self.workers[number]
        for run in gone.running():
            run.ended = time.monotonic()
            run.end = 'crashed'
        gone.faults.swallow = True
        self.gone.append(gone)
        await gone.stop()
        self.workers[number] = await self._make_worker(number)
        return gone

    def remove_entry(self, worker: job_minion.JobMinion) -> None:
        """Drops a worker's entry."""
        self.rows.remove('servers', worker.id)

    def list_worker(self, worker: job_minion.JobMinion, state: str) -> None:
        """Writes a worker's entry."""
        self.rows.put('servers', worker.id, worker.entry(state=state))

    def addresses(
        self, numbers: collections.abc.Iterable[int]
    ) -> frozenset[str]:
        """Returns where the workers of some failure domains listen."""
        domains = {jobs.domain_of(number) for number in numbers}
        return frozenset(
            worker.address
            for number, worker in enumerate(self.workers)
            if jobs.domain_of(number) in domains
        )

    def _others(self, number: int) -> list[int]:
        return [
            other for other in range(self._shape.daemons) if other != number
        ]

    async def _add_daemon(self, number: int) -> None:
        store = job_store.JobStore(
            self.rows, lambda row: self.network.show(number, row)
        )
        await store.start()
        self._stack.push_async_callback(store.stop)
        self.stores.append(store)
        setup = jobs.DaemonSetup.write(self._folder, number, store.address)
        self.daemons.append(Daemon(number, setup))

    async def _make_worker(self, place: int) -> job_minion.JobMinion:
        number = next_number(self._numbers, place, self._shape.cells)
        rate = _CLOCK_RATES[number % len(_CLOCK_RATES)]
        worker = job_minion.JobMinion(
            _worker_id(number),
            work_ms=_WORK_MS[number % len(_WORK_MS)],
            clock_rate=rate,
        )
        worker.tells_born = number % _TELL_BORN_SPACING != 0
        await worker.start()
        self._stack.push_async_callback(worker.stop)
        await self.network.add(
            worker.address, range(self._shape.daemons), None
        )
        self.list_worker(worker, 'ready')
        return worker

    async def _balance(self, daemon: Daemon) -> None:
        misses = _MISSES
        while True:
            misses = 0 if await self._asks(daemon) else misses + 1
            daemon.is_ready = misses < _MISSES
            await asyncio.sleep(_LOOK_S)

    async def _asks(self, daemon: Daemon) -> bool:
        url = f'http://{daemon.readiness}/api/readyz'
        try:
            async with (
                asyncio.timeout(_LOOK_S),
                self._session.get(url) as reply,
            ):
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
