"""A worker of a played service: tasks under leases and fences, in lives."""

import itertools
import math

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model

LEASE_MS = 1_000.0
_FIRST_BORN_MS = 1_700_000_000_000


@attrs.define(eq=False)
class PlayedRun:
    """A task at work.

    Attributes:
        starter: Who started it.
        since: When.
        run_ms: How long it takes.
        until: When it ends.
        stopped_at: When it is gone, if it was told to stop.
    """

    starter: str
    since: float
    run_ms: float
    until: float
    stopped_at: float = math.inf


class PlayedWorker:
    """Runs what it is told under a lease, and lists how it ended.

    Attributes:
        listed: Its entry, which may name an earlier life, or None where it
            has none.
        born: Its present life.
        labels: What it really is.
        is_up: Whether it runs.
        runs: What it runs.
        done: What has ended well, in any of its lives.
    """

    def __init__(
        self,
        worker: model.Worker,
        run_ms: float,
        run_ms_by_job: dict[str, float],
    ) -> None:
        self.done: set[model.TaskId] = set()
        self.born = _FIRST_BORN_MS
        self.listed: model.Worker | None = attrs.evolve(worker, born=self.born)
        self.labels = worker.labels
        self.is_up = True
        self._worker = worker
        self._run_ms = run_ms
        self._run_ms_by_job = run_ms_by_job
        self._clock_from = 0.0
        self._begin()

    @property
    def failure_domain(self) -> str:
        """Where it stands."""
        return self._worker.failure_domain

    def crash(self) -> None:
        """Ends a life; nobody is told."""
        self.is_up = False
        self._begin()

    def register(self) -> None:
        """Writes its entry."""
        self.listed = attrs.evolve(
            self._worker, born=self.born, labels=self.labels
        )

    def restart(self, now: float) -> None:
        """Forgets all, and what ran is gone; its clock starts anew."""
        self.is_up = True
        self.born = max(self.born + 1, _FIRST_BORN_MS + int(now))
        self._clock_from = now
        self._begin()

    def clock(self, now: float) -> float:
        """Returns what its clock shows."""
        return now - self._clock_from

    def _begin(self) -> None:
        self.runs: dict[tuple[model.TaskId, int], PlayedRun] = {}
        self._highest: dict[model.TaskId, int] = {}
        self._ended: list[model.EndedTask] = []
        self._numbers = itertools.count(1)
        self._lease_end = 0.0
        self._fence = 0
        self.waiting: list = []

    def settle(self, now: float) -> None:
        """Ends what has run its time, or whose lease has lapsed."""
        for key, run in list(self.runs.items()):
            if run.until <= min(now, self._lease_end, run.stopped_at):
                self._end(key, model.TaskEnd.DONE)
            elif run.stopped_at <= now:
                self._end(key, model.TaskEnd.STOPPED)
            elif self._lease_end <= now:
                self._end(key, model.TaskEnd.LAPSED)

    def start(
        self,
        order: dispatching.StartTask,
        starter: str,
        fence: int,
        now: float,
        lease_end: float,
    ) -> model.OrderResult:
        """Carries out an order to start, if its lease has not lapsed."""
        key = (order.task, order.attempt)
        if fence < self._fence:
            return model.OrderResult.FENCED
        self._fence = fence
        if lease_end <= self.clock(now):
            return model.OrderResult.TOO_LATE
        if order.attempt <= self._highest.get(order.task, 0):
            return model.OrderResult.STALE_ATTEMPT
        self._highest[order.task] = order.attempt
        until = min(self._clock_from + lease_end, now + LEASE_MS)
        self._lease_end = max(self._lease_end, until)
        run_ms = self._run_ms_by_job.get(order.task.job, self._run_ms)
        self.runs[key] = PlayedRun(starter, now, run_ms, now + run_ms)
        return model.OrderResult.DONE

    def stop(
        self,
        order: dispatching.StopTask,
        fence: int,
        now: float,
        stop_ms: float,
    ) -> bool:
        """Carries out an order to stop; what is stopped runs on so long.

        Returns:
            Whether the fence is high enough.
        """
        if fence < self._fence:
            return False
        known = self._highest.get(order.task, 0)
        self._highest[order.task] = max(known, order.attempt)
        key = (order.task, order.attempt)
        if key in self.runs and stop_ms:
            run = self.runs[key]
            run.stopped_at = min(run.stopped_at, now + stop_ms)
        elif key in self.runs:
            self._end(key, model.TaskEnd.STOPPED)
        return True

    def hold(
        self, fence: int, acknowledged: int, lease_ms: float, now: float
    ) -> bool:
        """Prolongs leases; tells whether the fence is high enough."""
        if fence < self._fence:
            return False
        self._fence = fence
        self._ended = [row for row in self._ended if row.number > acknowledged]
        if lease_ms:
            self._lease_end = max(self._lease_end, now + lease_ms)
        return True

    @property
    def has_ends(self) -> bool:
        """Whether it has an end to tell."""
        return bool(self._ended)

    def report(self, asked_at: float, now: float) -> model.WorkerReport:
        """Tells what runs, and what has ended."""
        running = tuple(
            model.RunningTask(
                *key, min(99.0, 100.0 * (now - run.since) / run.run_ms)
            )
            for key, run in self.runs.items()
        )
        return model.WorkerReport(
            self.clock(now), asked_at, running, tuple(self._ended), self.born
        )

    def _end(self, key: tuple[model.TaskId, int], how: model.TaskEnd) -> None:
        del self.runs[key]
        if how is model.TaskEnd.DONE:
            self.done.add(key[0])
        self._ended.append(model.EndedTask(next(self._numbers), *key, how))
