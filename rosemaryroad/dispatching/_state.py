"""What the dispatcher knows of jobs, tasks and workers."""

import collections
import enum
import math

import attrs

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _paces

_MOST_LATE_ORDERS = 64


class Phase(enum.Enum):
    """Where a task stands."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


class OrderPhase(enum.Enum):
    """What is known of an attempt at a worker."""

    PLANNED = 'planned'
    STARTING = 'starting'
    RUNNING = 'running'
    IN_DOUBT = 'in_doubt'
    STOPPING = 'stopping'
    STOPPED = 'stopped'


class Lateness(enum.Enum):
    """What an answer is worth to its caller, if the job starts now."""

    IN_TIME = 'in_time'
    LATE = 'late'
    TOO_LATE = 'too_late'


@attrs.define(eq=False)
class Order:
    """One attempt of a task at one worker; it takes room there.

    Attributes:
        task: Which task.
        attempt: Which attempt of it.
        needs: The room that it takes.
        job: The job, or None for an attempt that is not ours.
        at: When the order was given, or the attempt was first seen.
        phase: What is known of it.
        since_clock: The worker's clock at the last answer about it; a
            report from before that says nothing of it.
        answered_at: When that answer came, by our clock.
        percent: The progress that the worker told last.
        moved_at: When that progress last changed.
        stop_sent_at: When it was last told to stop.
        stops: How often it was told to.
        adopted: Whether another dispatcher started it, so that it is not
            known how long it has run.
        is_foreign: Whether another dispatcher started it and no home here
            has claimed it.
        was_found: Whether another dispatcher may have started it before
            this one took its worker up, or before most VMs followed it.
        begun_after: The last time at which it is known not to have begun, for
            one of another dispatcher.
        begun_at: When it was first known to have begun, or None before.
        was_named: Whether a report of the worker's present life named it.
        since_asked: A report that was asked for before says nothing of it,
            either; clocks of two lives of a worker can't be compared.
        is_older: Whether it was given before the present life of its worker
            was known, so that either of two may answer.
        may_lack_end: Whether it may have ended without a word.
        may_begin_late: Whether its start has got no answer and may still
            be under way.
        preempted_for: The more urgent job for which it is being stopped.
        room_lender: The preempted job whose room it has, or None.
    """

    task: model.TaskId
    attempt: int
    needs: model.Needs
    job: 'JobState | None'
    at: float
    phase: OrderPhase = OrderPhase.STARTING
    since_clock: float = 0.0
    answered_at: float = 0.0
    percent: float = 0.0
    moved_at: float = 0.0
    stop_sent_at: float = 0.0
    stops: int = 0
    adopted: bool = False
    is_foreign: bool = False
    was_found: bool = False
    begun_after: float = -math.inf
    begun_at: float | None = None
    was_named: bool = False
    since_asked: float = 0.0
    is_older: bool = False
    may_lack_end: bool = False
    may_begin_late: bool = True
    preempted_for: 'JobState | None' = None
    room_lender: 'JobState | None' = None

    @property
    def whole_ms(self) -> float:
        """How long it takes in all, by the progress that was told last."""
        return (self.answered_at - self.at) * 100.0 / self.percent

    def told(self, worker_clock: float, now: float) -> None:
        """Notes that the worker has just told of it."""
        self.since_clock = max(self.since_clock, worker_clock)
        self.answered_at = now


@attrs.define(eq=False)
class TaskState:
    """One task of a job.

    Attributes:
        id: Which task.
        phase: Where it stands.
        attempt: The highest attempt given out.
        order: The present attempt, or None.
        failures: Attempts that ended as failed.
        failed_on: The workers where it has failed or stood still.
    """

    id: model.TaskId
    phase: Phase = Phase.WAITING
    attempt: int = 0
    order: Order | None = None
    failures: int = 0
    failed_on: set[str] = attrs.field(factory=set)


@attrs.define(eq=False)
class JobNews:
    """What has happened to a job since its homes were told last.

    Attributes:
        done: Tasks that have ended well.
        placed: Workers where tasks run or are about to be started.
        starts: Orders to start that are sent once the homes have recorded
            the placements.
        queued: Whether tasks wait for room.
        updated_at: When ``starts`` or ``queued`` last changed.
    """

    done: list[int] = attrs.field(factory=list)
    placed: list[model.Placement] = attrs.field(factory=list)
    starts: list[_actions.StartTask] = attrs.field(factory=list)
    queued: bool = False
    updated_at: float = 0.0


@attrs.define(eq=False)
class JobState:
    """One job.

    Attributes:
        job: The job.
        homes: The entry VMs whose clients wait for it.
        arrived: When it came from the client.
        came_at: When it came to this dispatcher.
        deadline: When the client stops waiting.
        tasks: Its tasks.
        started: Whether any order to start was given, by anyone.
        unseen: Workers that may run tasks of it for another dispatcher
            and have not told since it came, each with the time until
            which that is possible; no task starts before.
        reports_valid_from: Reports requested earlier don't show whether a
            worker runs a task of it: an order may still be in transit.
        looked_at: When the workers were last asked about it.
        placed_by_worker: The tasks that were placed by another dispatcher,
            by workers that haven't told since it came.
        news: What its homes have not been told yet.
        blamed: Workers that were blamed for its failures.
        rank: Its place among the waiting jobs, the lowest first.
        expected_ms: What a task of it is likely to take.
        due: Until when an answer is inside its objective.
        of_use_until: Until when an answer is of some use.
        lateness: What its answer is worth, if it starts now.
        is_queued: Whether it is among the waiting jobs.
        is_over: Whether it has been settled or taken away.
        is_queueing_announced: Whether its homes have been told that it
            waits for room.
        is_queueing_recorded: Whether all of them have recorded that.
        waiting: How many tasks wait.
        left: How many tasks have not ended well.
        home_domain: The failure domain of the home that handed it over.
        has_returned: Whether it was refused by the forecast and has come
            back when told.
        was_preempted: Whether a task of it was stopped for a more urgent job.
        runs: Its tasks that have ended well lately, where these are
            compared.
        unlearned_runs: How many of them have taught nothing yet.
    """

    job: model.Job
    homes: set[str]
    arrived: float
    came_at: float
    deadline: float
    tasks: list[TaskState]
    started: bool = False
    unseen: dict[str, float] = attrs.field(factory=dict)
    reports_valid_from: float = 0.0
    looked_at: float = 0.0
    placed_by_worker: dict[str, list[int]] = attrs.field(factory=dict)
    news: 'JobNews | None' = None
    blamed: set[str] = attrs.field(factory=set)
    rank: tuple[float, ...] = (0, 0.0)
    expected_ms: float = 0.0
    due: float = 0.0
    of_use_until: float = 0.0
    lateness: Lateness = Lateness.IN_TIME
    is_queued: bool = False
    is_over: bool = False
    is_queueing_announced: bool = False
    is_queueing_recorded: bool = False
    waiting: int = 0
    left: int = 0
    home_domain: str = ''
    has_returned: bool = False
    was_preempted: bool = False
    runs: list[_paces.EndedRun] = attrs.field(factory=list)
    unlearned_runs: int = 0

    @property
    def highest_attempt(self) -> int:
        """The highest attempt of any of its tasks."""
        return max(task.attempt for task in self.tasks)


@attrs.frozen(eq=False)
class PromisedRoom:
    """Room that has come free and that one job gets before all others.

    Attributes:
        worker: The worker's id.
        job: The job.
        lender: The preempted job that gets the room back after one task, or
            None.
    """

    worker: str
    job: JobState
    lender: JobState | None = None


@attrs.define(eq=False)
class PendingRecord:
    """A message that homes have yet to record, and what waits for that.

    Attributes:
        state: The job.
        message: The message to the homes.
        starts: Orders to start that are sent once all homes have answered.
        awaited_homes: The entry VMs that have not answered yet.
        sent_at: When the message was sent.
    """

    state: JobState
    message: model.JobProgress
    starts: list[_actions.StartTask]
    awaited_homes: set[str]
    sent_at: float


@attrs.frozen
class Probe:
    """A message that checks whether a home still answers.

    Attributes:
        home: The entry VM.
        sent_at: When it was sent.
    """

    home: str
    sent_at: float


@attrs.define(eq=False)
class WorkerState:
    """One worker.

    Attributes:
        worker: As it was listed.
        orders_by_key: The attempts that take room there, by task and
            attempt.
        unclaimed_by_key: Those among them whose jobs have no home here, by
            task and attempt.
        listed: Whether the list still names it.
        silent_since: Since when it gives no answer, or None.
        held_at: When a call that prolongs its leases was last sent, or may
            have been by another dispatcher, or a task was last started or
            found.
        leased_until: Until when this dispatcher last prolonged its leases.
        heard_at: When it last told what it runs.
        looked_at: When it was last asked out of turn.
        proved_at: When a task there was last seen at an ordinary pace.
        taken_up_at: When it first told what it runs, or None.
        is_surveyed: Whether it has told so since most VMs follow this
            dispatcher. Until then, another one may take for lapsed what
            runs there.
        slow_job: The job whose task was slow there, if no task of another
            job has told more since, or ''.
        proved_from: When the newest task there began that was seen at an
            ordinary pace, where the tasks of a job are compared.
        slow_from: When the task of ``slow_job`` began, likewise.
        bad: Attempts in a row that it failed.
        suspended_until: Until when it gets no work.
        suspensions: How often in a row it was suspended.
        unanswered_at: When it last left a call unanswered, or None where it
            has told of itself since. It gets no more until then: a cut would
            swallow them all, and after a crash another life may be there.
        full: Whether it refused for room since it last reported.
        told_asked_at: When it was asked for the last report of this life.
        was_ordered: Whether this dispatcher has sent it an order to start, in
            any of its lives.
        entry_due_since: Since when its entry is waited for, if only a report
            has told of this life. It may be of another kind than the earlier
            one, and gets no task until then.
        dropped_born: The earlier life whose entry was dropped last.
        late_orders: Attempts given up here that may yet begin in a next
            life, where nothing refuses them.
        warms_up_until: Until when its tasks may take longer than usual.
        free_cores: What its tasks leave of its cores.
        free_memory_mb: The same of its memory.
        free_accelerators: The same of its accelerators.
    """

    worker: model.Worker
    orders_by_key: dict[tuple[model.TaskId, int], Order] = attrs.field(
        factory=dict
    )
    unclaimed_by_key: dict[tuple[model.TaskId, int], Order] = attrs.field(
        factory=dict
    )
    listed: bool = True
    taken_up_at: float | None = None
    is_surveyed: bool = False
    silent_since: float | None = None
    held_at: float = 0.0
    leased_until: float = 0.0
    heard_at: float = 0.0
    looked_at: float = 0.0
    proved_at: float = 0.0
    slow_job: str = ''
    proved_from: float = -math.inf
    slow_from: float = -math.inf
    bad: int = 0
    suspended_until: float = 0.0
    suspensions: int = 0
    unanswered_at: float | None = None
    full: bool = False
    told_asked_at: float = -math.inf
    was_ordered: bool = False
    entry_due_since: float | None = None
    dropped_born: int | None = None
    late_orders: collections.deque[Order] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MOST_LATE_ORDERS)
    )
    warms_up_until: float = 0.0
    free_cores: float = 0.0
    free_memory_mb: float = 0.0
    free_accelerators: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.free_cores = self.worker.capacity.cores
        self.free_memory_mb = self.worker.capacity.memory_mb
        self.free_accelerators = self.worker.capacity.accelerators

    def add(self, order: Order) -> None:
        """Takes the room of an attempt."""
        key = (order.task, order.attempt)
        self.orders_by_key[key] = order
        if order.job is None:
            self.unclaimed_by_key[key] = order
        self.free_cores -= order.needs.cores
        self.free_memory_mb -= order.needs.memory_mb
        self.free_accelerators -= order.needs.accelerators

    def remove(self, order: Order) -> None:
        """Gives the room of an attempt back."""
        key = (order.task, order.attempt)
        self.unclaimed_by_key.pop(key, None)
        if self.orders_by_key.pop(key, None) is None:
            return
        self.free_cores += order.needs.cores
        self.free_memory_mb += order.needs.memory_mb
        self.free_accelerators += order.needs.accelerators

    def disown(self, order: Order) -> None:
        """Keeps an attempt whose job is over, or in other hands."""
        order.job = None
        self.unclaimed_by_key[order.task, order.attempt] = order

    def update(self, worker: model.Worker) -> None:
        """Takes a newer entry of the same life; room follows its capacity.

        What is free may be negative, if the capacity has shrunk below what
        runs there; nothing starts until it fits again.
        """
        before, now = self.worker.capacity, worker.capacity
        self.worker = worker
        self.free_cores += now.cores - before.cores
        self.free_memory_mb += now.memory_mb - before.memory_mb
        self.free_accelerators += now.accelerators - before.accelerators

    def begin_anew(self, worker: model.Worker, now: float) -> None:
        """Forgets all but what takes room, for a new life of the worker.

        Args:
            worker: The worker, with its new life.
            now: The present time. Calls under way may yet reach the new
                life and prolong its leases.
        """
        kept = list(self.orders_by_key.values())
        self.__init__(
            worker,
            listed=self.listed,
            held_at=now,
            was_ordered=self.was_ordered,
        )
        for order in kept:
            self.add(order)

    @property
    def reported(self) -> bool:
        """Whether it has told what it runs."""
        return self.taken_up_at is not None

    def fits(self, needs: model.Needs) -> bool:
        """Tells whether a task fits into the room that is free."""
        return (
            needs.cores <= self.free_cores
            and needs.memory_mb <= self.free_memory_mb
            and needs.accelerators <= self.free_accelerators
        )

    @property
    def is_kind_known(self) -> bool:
        """Whether its entry tells of its present life."""
        return self.entry_due_since is None

    def could_fit(self, needs: model.Needs) -> bool:
        """Tells whether a task would fit if nothing ran here."""
        capacity = self.worker.capacity
        return (
            needs.cores <= capacity.cores
            and needs.memory_mb <= capacity.memory_mb
            and needs.accelerators <= capacity.accelerators
        )


@attrs.define(eq=False)
class Suspicion:
    """A task that seems slow, until the job's other tasks are known.

    Attributes:
        worker: Its worker.
        order: The attempt.
        awaited: The workers that have been asked about the other tasks and
            haven't told yet.
    """

    worker: WorkerState
    order: Order
    awaited: set[str]

    @property
    def stands(self) -> bool:
        """Whether the attempt still runs for its job."""
        order = self.order
        known = self.worker.orders_by_key.get((order.task, order.attempt))
        if known is not order or order.phase is not OrderPhase.RUNNING:
            return False
        return order.job is not None and not order.job.is_over
