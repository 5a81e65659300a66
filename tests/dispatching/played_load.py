"""Plays a load into a dispatcher, on a clock of its own.

Workers start what they are told, run it at their own pace and tell when it
ends; clients hand jobs in at random and wait until their deadline. What they
get is weighed as the users weigh it: whole inside the objective, a fifth up
to three times the objective, nothing after that.
"""

import collections
import collections.abc
import heapq
import itertools
import math
import random

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case

_HOP_MS = 1.0
_TICK_MS = 30.0
_LATE_SHARE = 0.2
_LATE_FACTOR = 3.0


@attrs.frozen
class Kind:
    """One kind of request.

    Attributes:
        queue: Its queue.
        per_s: How many jobs come a second.
        tasks: The mean number of tasks.
        run_ms: The mean run time of a task.
        worth: What an answer in time is worth to the users.
        priority: The queue's priority.
        deadline_ms: How long clients wait.
        rack: The rack of its data, or ''.
        home_domain: The failure domain of its clients' homes, or ''.
        group: What its tally is kept under, in place of the queue.
        load_at: Gives its own load at a second, on top of the common one.
    """

    queue: str
    per_s: float
    tasks: float
    run_ms: float
    worth: float
    priority: int
    deadline_ms: float
    rack: str = ''
    home_domain: str = ''
    group: str = attrs.field(
        default=attrs.Factory(lambda self: self.queue, takes_self=True)
    )
    load_at: collections.abc.Callable[[float], float] = lambda _: 1.0

    @property
    def terms(self) -> model.JobTerms:
        """What the queue promises."""
        return model.JobTerms(self.priority, 1.6, 60.0, 3)


# The users' kinds of request, as their sheets give them.
KINDS = (
    Kind('lookups', 17.2, 8, 60.0, 0.0291, 0, 2_300.0),
    Kind('checks', 3.12, 4, 900.0, 0.16, 2, 6_000.0),
    Kind('previews', 50.0, 2, 200.0, 0.01, 1, 2_300.0),
)
CORES = 27.0
_MOST_CORES = 41.0
_SIZES = (64.0, 64.0, 96.0)
_PACES = (0.8, 1.0, 1.25)


@attrs.frozen
class Fault:
    """A worker whose tasks take longer, if they begin while it lasts.

    Attributes:
        worker: The worker's id.
        since_s: From when on, in seconds.
        until_s: Until when.
        factor: How many times as long they take; infinite where they make
            no progress at all.
    """

    worker: str
    since_s: float
    until_s: float
    factor: float


@attrs.frozen
class Outliers:
    """Jobs of which all tasks are longer than usual for their queue.

    Attributes:
        share: How many of all jobs.
        factor: How many times as long they are.
    """

    share: float
    factor: float


@attrs.define(eq=False)
class PlayedJob:
    """One job, and what became of it.

    Attributes:
        kind: Its kind.
        job: The job.
        arrived: When it came.
        objective_ms: Within how long an answer is in time.
        worth: What such an answer is worth.
        run_ms_by_task: How long each task takes.
        ended: When it ended.
        end: How.
        was_preempted: Whether a task of it was stopped for a more urgent job.
    """

    kind: Kind
    job: model.Job
    arrived: float
    objective_ms: float
    worth: float
    run_ms_by_task: list[float]
    ended: float | None = None
    end: model.JobEnd | None = None
    cause: str = ''
    was_preempted: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered whole within its objective."""
        return (
            self.end is model.JobEnd.COMPLETED
            and self.ended - self.arrived <= self.objective_ms
        )


@attrs.define
class Tally:
    """What callers of one kind got.

    Attributes:
        asked: Worth of all jobs.
        earned: Worth that was earned.
        jobs: How many jobs came.
        work: Core-ms of those that were answered whole.
        served: How many were answered whole, late ones included.
        in_time: How many were answered within their objective.
        of_use: How many were answered within three times their objective.
        refused: How many were refused as not run.
        refused_late: Of these, after a quarter of their objective.
        held: Worth of those never started and held for half their time.
    """

    asked: float = 0.0
    earned: float = 0.0
    jobs: int = 0
    in_time: int = 0
    work: float = 0.0
    served: int = 0
    of_use: int = 0
    refused: int = 0
    refused_late: int = 0
    held: float = 0.0

    @property
    def share(self) -> float:
        """The share of the worth that was earned."""
        return self.earned / self.asked if self.asked else 1.0


class PlayedLoad:
    """A service under a random load.

    Args:
        seed: Where the load comes from.
        load: How many times the usual load comes.
        seconds: For how long.
        load_at: Gives the load at a second, in place of ``load``.
        kinds: The kinds of request, as they come to 24 workers.
        workers: How many workers there are.
        away: From when to when nobody dispatches, in seconds; what comes
            meanwhile is handed over at its end. From the first second on,
            the dispatcher is a new one that has yet to hear of workers.
        limits: Figures of the deployment.
        is_paired: Whether each kind draws from a generator of its own, so
            that a burst of one kind leaves the others' jobs as they are.
        stop_ms: How long a worker takes to stop a task.
        sizes: The cores of the workers, in rotation.
        paces: How fast they are, in rotation among those of equal size.
        cores: The mean and the most cores that a task takes.
        outliers: The jobs that are longer than usual, if any.
        faults: The workers that slow down or stand still.
        is_each_end_told: Whether each report tells the ends until then, as
            workers do. Otherwise a report that overtakes an end has its
            task run again; seeds of older tests are played so.

    Attributes:
        now: The present time, in milliseconds.
        dispatcher: The dispatcher under load.
        jobs: All jobs, by id.
        suspensions: When each worker was suspended, in order of time.
    """

    def __init__(
        self,
        seed: int,
        load: float = 1.0,
        seconds: float = 20.0,
        load_at=None,
        kinds: tuple[Kind, ...] = KINDS,
        workers: int = 24,
        away: tuple[float, float] | None = None,
        limits: dispatching.DispatchLimits | None = None,
        is_paired: bool = False,
        stop_ms: float = 0.0,
        sizes: tuple[float, ...] = _SIZES,
        paces: tuple[float, ...] = _PACES,
        cores: tuple[float, float] = (CORES, _MOST_CORES),
        outliers: Outliers | None = None,
        faults: tuple[Fault, ...] = (),
        is_each_end_told: bool = False,
    ) -> None:
        rng = random.Random(seed)
        self._rng_by_kind = {
            kind: random.Random(f'{seed} {number}') if is_paired else rng
            for number, kind in enumerate(kinds)
        }
        self._load_at = load_at or (lambda _: load)
        self._stop_ms = stop_ms
        self._seconds = seconds
        self._kinds = kinds
        self._workers = workers
        self._away = away
        self._sizes = sizes
        self._paces = paces
        self._cores, self._most_cores = cores
        self._outliers = outliers
        self._faults_by_worker = collections.defaultdict(list)
        for fault in faults:
            self._faults_by_worker[fault.worker].append(fault)
        self._is_each_end_told = is_each_end_told
        self._untold: dict[str, list] = collections.defaultdict(list)
        self.suspensions: list[tuple[float, str]] = []
        self._events: list = []
        self._numbers = itertools.count()
        self.now = 0.0
        self.dispatcher = dispatching.JobDispatcher(
            limits or dispatching.DispatchLimits()
        )
        self.jobs: dict[str, PlayedJob] = {}
        self._pace: dict[str, float] = {}
        self._running: dict[str, dict] = collections.defaultdict(dict)
        self._ends = collections.Counter()

    def play(self) -> dict[str, Tally]:
        """Plays the load to its end and returns what each kind got."""
        begins_at = self._handed_at()
        if begins_at:
            self._at(begins_at, self._list_workers)
        else:
            self._list_workers()
        for kind in self._kinds:
            self._at(self._gap(kind, 0.0), self._arrive, kind)
        self._at(begins_at + _TICK_MS, self._tick)
        while self._events:
            self.now, _, what, arguments = heapq.heappop(self._events)
            what(*arguments)
        return self.tallies()

    def _list_workers(self) -> None:
        workers = []
        for index in range(self._workers):
            size = self._sizes[index % len(self._sizes)]
            worker = case.make_worker(f'w{index:03}', size)
            turn = index // len(self._sizes)
            self._pace[worker.id] = self._paces[turn % len(self._paces)]
            workers.append(worker)
        self._do(self.dispatcher.workers_listed(workers, self.now))
        for worker in workers:
            self._report(worker.id, ())

    def _at(self, when: float, what, *arguments) -> None:
        entry = (when, next(self._numbers), what, arguments)
        heapq.heappush(self._events, entry)

    def _gap(self, kind: Kind, now: float) -> float:
        load = self._load_at(now / 1000.0) * kind.load_at(now / 1000.0)
        rate = kind.per_s * load * self._workers / 24
        gap_s = self._rng_by_kind[kind].expovariate(rate)
        return now + gap_s * 1000.0

    def _spread(self, kind: Kind, mean: float, spread: float) -> float:
        drawn = self._rng_by_kind[kind].gauss(-spread * spread / 2, spread)
        return mean * math.exp(drawn)

    def _arrive(self, kind: Kind) -> None:
        if self.now < self._seconds * 1000.0:
            self._at(self._gap(kind, self.now), self._arrive, kind)
        else:
            return
        run_ms = self._spread(kind, kind.run_ms, 0.4) * self._lengthening(kind)
        tasks = max(1, round(self._spread(kind, kind.tasks, 0.4)))
        cores = min(self._most_cores, self._spread(kind, self._cores, 0.2))
        job = case.make_job(
            f'{next(self._numbers):016x}',
            tasks,
            cores,
            max(1.0, self._spread(kind, run_ms, 0.4)),
            queue=kind.queue,
            rack=kind.rack,
            terms=kind.terms,
        )
        runs = [self._spread(kind, run_ms, 0.15) for _ in range(tasks)]
        mean_work = kind.tasks * kind.run_ms * self._cores
        worth = (
            min(4.0, 0.3 + 0.7 * sum(runs) * cores / mean_work) * kind.worth
        )
        objective = 1.6 * max(runs) + 60.0
        self.jobs[job.id] = PlayedJob(
            kind, job, self.now, objective, worth, runs
        )
        self._at(self._handed_at(), self._hand, self.jobs[job.id])

    def _lengthening(self, kind: Kind) -> float:
        outliers = self._outliers
        rng = self._rng_by_kind[kind]
        if outliers is None or rng.random() >= outliers.share:
            return 1.0
        return outliers.factor

    def _handed_at(self) -> float:
        if self._away is None:
            return self.now
        since, until = (1000.0 * second for second in self._away)
        return until if since <= self.now < until else self.now

    def _hand(self, job: PlayedJob) -> None:
        age_ms = self.now - job.arrived
        message = model.JobSubmitted(
            job.job,
            age_ms,
            job.kind.deadline_ms - age_ms,
            home_domain=job.kind.home_domain,
        )
        self._do(self.dispatcher.submit(case.HOME, message, self.now))

    def _tick(self) -> None:
        self._do(self.dispatcher.tick(self.now))
        open_jobs = any(job.ended is None for job in self.jobs.values())
        if self.now < self._seconds * 1000.0 or open_jobs:
            self._at(self.now + _TICK_MS, self._tick)

    def _do(self, actions: list[dispatching.Action]) -> None:
        for action in actions:
            if isinstance(action, dispatching.StartTask):
                self._at(self.now + _HOP_MS, self._start, action)
            elif isinstance(action, dispatching.StopTask):
                self._at(self.now + _HOP_MS, self._stop, action)
            elif isinstance(action, dispatching.LookAt):
                self._at(self.now + 2 * _HOP_MS, self._report, action.worker)
            elif isinstance(action, dispatching.TellHome):
                self._told(action)
            elif isinstance(action, dispatching.Noted):
                self._noted(action)

    def _noted(self, action: dispatching.Noted) -> None:
        if action.event == 'task_preempted':
            stopped = action.detail.partition('/')[0]
            self.jobs[stopped].was_preempted = True
        elif action.event == 'worker_suspended':
            self.suspensions.append((self.now, action.subject))

    def _told(self, told: dispatching.TellHome) -> None:
        message = told.message
        if isinstance(message, model.JobProgress) and message.number:
            self._at(self.now + 2 * _HOP_MS, self._record, message)
        if isinstance(message, model.JobSettled):
            job = self.jobs[message.job]
            job.ended = self.now
            job.end = message.end
            job.cause = told.cause

    def _record(self, progress: model.JobProgress) -> None:
        message = model.PlacementsRecorded(progress.job, progress.number)
        self._do(
            self.dispatcher.placements_recorded(case.HOME, message, self.now)
        )

    def _start(self, start: dispatching.StartTask) -> None:
        key = (start.task, start.attempt)
        run_ms = self.jobs[start.task.job].run_ms_by_task[start.task.index]
        took = run_ms / self._pace[start.worker]
        took *= self._slowing(start.worker)
        self._running[start.worker][key] = (self.now, took)
        if took < math.inf:
            self._at(self.now + took, self._end, start.worker, key)
        reply = model.OrderReply(model.OrderResult.DONE, self.now)
        self._at(self.now + _HOP_MS, self._started, start, reply)

    def _slowing(self, worker: str) -> float:
        second = self.now / 1000.0
        for fault in self._faults_by_worker[worker]:
            if fault.since_s <= second < fault.until_s:
                return fault.factor
        return 1.0

    def _started(self, start, reply) -> None:
        self._do(self.dispatcher.start_answered(start, reply, self.now))

    def _stop(self, stop: dispatching.StopTask) -> None:
        key = (stop.task, stop.attempt)
        if self._stop_ms:
            self._at(self.now + self._stop_ms, self._stopped, stop.worker, key)
        else:
            gone = self._running[stop.worker].pop(key, None)
        reply = model.OrderReply(model.OrderResult.DONE, self.now)
        self._do(self.dispatcher.stop_answered(stop, reply, self.now))
        if not self._stop_ms and gone is not None:
            self._tell_stopped(stop.worker, key)

    def _stopped(self, worker: str, key) -> None:
        if self._running[worker].pop(key, None) is not None:
            self._tell_stopped(worker, key)

    def _tell_stopped(self, worker: str, key) -> None:
        end = (key, model.TaskEnd.STOPPED)
        self._at(self.now + _HOP_MS, self._report, worker, (end,))

    def _end(self, worker: str, key) -> None:
        if self._running[worker].pop(key, None) is not None:
            end = (key, model.TaskEnd.DONE)
            if self._is_each_end_told:
                self._untold[worker].append(end)
                self._at(self.now + _HOP_MS, self._report, worker)
            else:
                self._at(self.now + _HOP_MS, self._report, worker, (end,))

    def _report(self, worker: str, ended: tuple = ()) -> None:
        rows = []
        ended += tuple(self._untold.pop(worker, ()))
        for key, end in ended:
            self._ends[worker] += 1
            rows.append(model.EndedTask(self._ends[worker], *key, end))
        running = tuple(
            model.RunningTask(
                *key, min(99.0, 100.0 * (self.now - since) / took)
            )
            for key, (since, took) in self._running[worker].items()
        )
        report = model.WorkerReport(self.now, self.now, running, tuple(rows))
        self._do(self.dispatcher.reported(worker, report, self.now))
        # The next hold call is sent at once.
        self.dispatcher.held(worker, self.now)

    def tallies(
        self, since_s: float = 0.0, until_s: float = math.inf
    ) -> dict[str, Tally]:
        """Returns what jobs got that came within a time, by group."""
        tallies = {kind.group: Tally() for kind in self._kinds}
        for job in self.jobs.values():
            if not since_s * 1000.0 <= job.arrived < until_s * 1000.0:
                continue
            tally = tallies[job.kind.group]
            tally.jobs += 1
            tally.asked += job.worth
            took = job.ended - job.arrived
            if job.end is model.JobEnd.NOT_RUN:
                tally.refused += 1
                tally.refused_late += took > job.objective_ms / 4
                if took > job.kind.deadline_ms / 2:
                    tally.held += job.worth
            if job.end is not model.JobEnd.COMPLETED:
                continue
            tally.work += sum(job.run_ms_by_task) * job.job.needs.cores
            tally.served += took <= job.kind.deadline_ms
            tally.in_time += job.is_in_time
            tally.of_use += took <= _LATE_FACTOR * job.objective_ms
            if took <= job.objective_ms:
                tally.earned += job.worth
            elif took <= _LATE_FACTOR * job.objective_ms:
                tally.earned += _LATE_SHARE * job.worth
        return tallies


def total(tallies: dict[str, Tally]) -> Tally:
    """Returns all kinds together."""
    whole = Tally()
    for tally in tallies.values():
        for field in attrs.fields(Tally):
            before = getattr(whole, field.name)
            setattr(whole, field.name, before + getattr(tally, field.name))
    return whole
