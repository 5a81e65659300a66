"""Emulated workers: tasks under leases and fences."""

import abc
import asyncio
import collections.abc
import itertools

import attrs

from rosemaryroad import model
from rosemaryroad.emulation import _loop

_MS_PER_SECOND = 1000.0

# A worker keeps no more ends than it tells at a time.
_MOST_ENDS_TOLD = 500

_NEVER_MS = 1e9


@attrs.frozen
class TaskWork:
    """What a task asks of its worker.

    Attributes:
        run_ms: How long it takes on an ordinary worker.
        needs: The room that it takes.
        fails: Whether it fails wherever it runs.
    """

    run_ms: float
    needs: model.Needs
    fails: bool = False


WorkOf = collections.abc.Callable[[model.TaskId], TaskWork]


@attrs.define
class WorkerFaults:
    """What a worker does wrong.

    Attributes:
        is_silent: It runs on and answers nobody.
        failing_share: The share of its tasks that fail half way.
        stands_still: Its tasks make no progress.
        slowness: How many times as long its tasks take.
    """

    is_silent: bool = False
    failing_share: float = 0.0
    stands_still: bool = False
    slowness: float = 1.0


@attrs.define(eq=False)
class _Run:
    work: TaskWork
    began_at: float
    took_ms: float
    timer: asyncio.TimerHandle


@attrs.frozen
class Started:
    """A task that a worker has begun.

    Attributes:
        at: When.
        task: The task.
        attempt: Which attempt of it.
        worker: Where.
        starter: The process that ordered it.
    """

    at: float
    task: model.TaskId
    attempt: int
    worker: str
    starter: str


class Watch(abc.ABC):
    """Whoever sees what workers do."""

    @abc.abstractmethod
    def started(self, start: Started) -> None:
        """A worker has begun a task."""

    @abc.abstractmethod
    def ended(
        self, task: model.TaskId, worker: str, how: model.TaskEnd | None
    ) -> None:
        """A run is over; None says that its worker has died."""


class EmulatedWorker:
    """One life of a worker.

    Attributes:
        entry: What it tells of itself in the store.
        faults: What it does wrong.
        is_up: Whether it lives.
        running: What it runs, by task and attempt.
        pace: How many times as fast as an ordinary worker it is.

    Args:
        entry: What it tells of itself.
        pace: How many times as fast as an ordinary worker it is.
        lease_ms: The longest lease that it gives.
        work_of: Tells what tasks ask of it.
        watch: Sees each start and end.
        draw: Returns the next random number from 0 to 1.
    """

    def __init__(
        self,
        entry: model.Worker,
        pace: float,
        lease_ms: float,
        work_of: WorkOf,
        watch: Watch,
        draw: collections.abc.Callable[[], float],
    ) -> None:
        self.entry = entry
        self.faults = WorkerFaults()
        self.is_up = True
        self.running: dict[tuple[model.TaskId, int], _Run] = {}
        self.pace = pace
        self._lease_ms = lease_ms
        self._work_of = work_of
        self._watch = watch
        self._draw = draw
        self._ended: list[model.EndedTask] = []
        self._numbers = itertools.count(1)
        self._highest_by_task: dict[model.TaskId, int] = {}
        self._fence = 0
        self._leased_until = 0.0
        self._lapse_timer: asyncio.TimerHandle | None = None
        self._asking: list[asyncio.Future] = []

    @property
    def id(self) -> str:
        """Its id."""
        return self.entry.id

    def is_fenced(self, fence: int) -> bool:
        """Tells whether a fence is too low, and keeps the highest."""
        if fence < self._fence:
            return True
        self._fence = fence
        return False

    def start(
        self,
        task: model.TaskId,
        attempt: int,
        starter: str,
        valid_until: float,
    ) -> model.OrderResult:
        """Carries out an order to start."""
        now = _loop.now_ms()
        if valid_until <= now:
            return model.OrderResult.TOO_LATE
        if (task, attempt) in self.running:
            return model.OrderResult.DONE
        if attempt <= self._highest_by_task.get(task, 0):
            return model.OrderResult.STALE_ATTEMPT
        work = self._work_of(task)
        if not self._has_room(work.needs):
            return model.OrderResult.NO_ROOM
        self._highest_by_task[task] = attempt
        self._prolong(valid_until)
        self._begin((task, attempt), work)
        self._watch.started(Started(now, task, attempt, self.id, starter))
        return model.OrderResult.DONE

    def stop(self, task: model.TaskId, attempt: int) -> None:
        """Carries out an order to stop."""
        known = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(known, attempt)
        self._end((task, attempt), model.TaskEnd.STOPPED)

    def hold(self, acknowledged: int, prolongs: bool, spare_ms: float) -> None:
        """Forgets acknowledged ends, and prolongs its leases."""
        self._ended = [row for row in self._ended if row.number > acknowledged]
        if prolongs:
            self._prolong(_loop.now_ms() + self._lease_ms - spare_ms)

    async def wait_for_end(self, wait_ms: float) -> None:
        """Waits until it has an end to tell."""
        if self._ended or wait_ms <= 0:
            return
        future = asyncio.get_running_loop().create_future()
        self._asking.append(future)
        await asyncio.wait((future,), timeout=wait_ms / _MS_PER_SECOND)
        if not future.done():
            self._asking.remove(future)

    def report(self, asked_at: float) -> model.WorkerReport:
        """Tells what runs and what has ended."""
        now = _loop.now_ms()
        running = tuple(
            model.RunningTask(*key, self._percent(run, now))
            for key, run in self.running.items()
        )
        ended = tuple(self._ended[:_MOST_ENDS_TOLD])
        return model.WorkerReport(
            now, asked_at, running, ended, self.entry.born
        )

    def die(self) -> None:
        """Ends with all that it runs, untold."""
        self.is_up = False
        for (task, _), run in self.running.items():
            run.timer.cancel()
            self._watch.ended(task, self.id, None)
        self.running.clear()
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        self._wake()

    def _has_room(self, needs: model.Needs) -> bool:
        capacity = self.entry.capacity
        cores = sum(run.work.needs.cores for run in self.running.values())
        memory = sum(run.work.needs.memory_mb for run in self.running.values())
        return (
            cores + needs.cores <= capacity.cores
            and memory + needs.memory_mb <= capacity.memory_mb
        )

    def _begin(self, key: tuple[model.TaskId, int], work: TaskWork) -> None:
        faults = self.faults
        took_ms = work.run_ms * faults.slowness / self.pace
        fails = work.fails or self._draw() < faults.failing_share
        end = model.TaskEnd.FAILED if fails else model.TaskEnd.DONE
        until_end_ms = took_ms / 2 if fails else took_ms
        if faults.stands_still:
            until_end_ms = _NEVER_MS
        timer = asyncio.get_running_loop().call_later(
            until_end_ms / _MS_PER_SECOND, self._end, key, end
        )
        self.running[key] = _Run(work, _loop.now_ms(), took_ms, timer)

    def _end(self, key: tuple[model.TaskId, int], how: model.TaskEnd) -> None:
        run = self.running.pop(key, None)
        if run is None:
            return
        run.timer.cancel()
        self._watch.ended(key[0], self.id, how)
        self._ended.append(model.EndedTask(next(self._numbers), *key, how))
        self._wake()

    def _wake(self) -> None:
        asking, self._asking = self._asking, []
        for future in asking:
            if not future.done():
                future.set_result(None)

    def _percent(self, run: _Run, now: float) -> float:
        if self.faults.stands_still:
            return 0.0
        return float(
            int(min(99.0, 100.0 * (now - run.began_at) / run.took_ms))
        )

    def _prolong(self, until: float) -> None:
        until = min(until, _loop.now_ms() + self._lease_ms)
        if until <= self._leased_until:
            return
        self._leased_until = until
        if self._lapse_timer is None:
            self._watch_lease()

    def _watch_lease(self) -> None:
        left_ms = self._leased_until - _loop.now_ms()
        if left_ms > 0:
            self._lapse_timer = asyncio.get_running_loop().call_later(
                left_ms / _MS_PER_SECOND, self._watch_lease
            )
            return
        self._lapse_timer = None
        for key in list(self.running):
            self._end(key, model.TaskEnd.LAPSED)
