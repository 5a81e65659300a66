"""Jobs of parallel tasks, the workers that run them, and what they report."""

import enum

import attrs

from rosemaryroad.model import _work

# An answer is of some use to its caller up to so many times its objective,
# as the users' sheets weigh it.
_OF_USE_FACTOR = 3.0


@attrs.frozen
class JobTerms:
    """What a queue promises to its jobs and allows them.

    Attributes:
        priority: 0 comes first.
        slack_factor: The objective allows this many times the longest task.
        target_ms: What it allows beyond that.
        max_attempts: How many failures of a task fail the job.
    """

    priority: int = 0
    slack_factor: float = 1.0
    target_ms: float = 0.0
    max_attempts: int = 1

    def objective_ms(self, run_ms: float) -> float:
        """Returns within how long an answer is in time.

        Args:
            run_ms: What the longest task takes.
        """
        return self.slack_factor * run_ms + self.target_ms

    def of_use_ms(self, run_ms: float) -> float:
        """Returns within how long an answer is of some use."""
        return _OF_USE_FACTOR * self.objective_ms(run_ms)


@attrs.frozen
class Job:
    """Equal tasks that run in parallel; the last one to end ends the job.

    Attributes:
        id: The id that the client chose; it sends it again after a loss.
        queue: The queue that it was handed to.
        service: The service whose workers run it.
        payload: What each task is given.
        tasks: How many tasks there are.
        needs: What each task takes of a worker.
        estimate_ms: The client's rough estimate of a task's run time.
        terms: What the queue promises.
        label: A label that the worker must have, or ''.
        rack: The rack where the data is, or ''.
        max_per_worker: The most tasks on one worker, or 0 for any number.
    """

    id: str
    queue: str
    service: str
    payload: str
    tasks: int
    needs: _work.Needs
    estimate_ms: float
    terms: JobTerms = JobTerms()
    label: str = ''
    rack: str = ''
    max_per_worker: int = 0


@attrs.frozen
class TaskId:
    """The name of one task; the same for all its attempts.

    Attributes:
        job: The job's id.
        index: The task's number in its step, from 0.
        step: The number of its step.
        occurrence: The repetition of the job that it belongs to.
    """

    job: str
    index: int
    step: int = 0
    occurrence: int = 0

    def __str__(self) -> str:
        return f'{self.job}/{self.index}'


@attrs.frozen
class Worker:
    """One life of a minion that runs tasks under leases.

    Attributes:
        id: The minion's id; it may keep it when it starts again.
        service: The service whose tasks it runs.
        address: Where it listens, as ``IP:port``.
        failure_domain: Where it stands.
        capacity: What all tasks on it may take together.
        labels: Its kind and its rack.
        leaving: Whether it has announced that it leaves.
        born: When this life began, in Unix milliseconds, or None where
            that is not told. Of two lives under one id the one born later
            is the present one.
        warm_up_left_ms: For how much longer its tasks may take longer than
            usual.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    capacity: _work.Needs
    labels: tuple[str, ...] = ()
    leaving: bool = False
    born: int | None = None
    warm_up_left_ms: float = 0.0


def is_earlier_life(one: int | None, other: int | None) -> bool:
    """Tells whether one life of a worker came before another.

    Args:
        one: When it began, in Unix milliseconds, or None where not told.
        other: The same of the other.
    """
    return one is not None and other is not None and one < other


class TaskEnd(enum.StrEnum):
    """How an attempt ended on its worker."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    OTHER = 'other'


@attrs.frozen
class RunningTask:
    """An attempt that a worker says it runs.

    Attributes:
        task: Which task.
        attempt: Which attempt of it.
        percent: How much of its work is done.
    """

    task: TaskId
    attempt: int
    percent: float


@attrs.frozen
class EndedTask:
    """An attempt that a worker says has ended.

    Attributes:
        number: Its place in the worker's list of ends.
        task: Which task.
        attempt: Which attempt of it.
        end: How it ended.
    """

    number: int
    task: TaskId
    attempt: int
    end: TaskEnd


@attrs.frozen
class WorkerReport:
    """What a worker runs, and the ends not yet acknowledged to it.

    Attributes:
        worker_clock: The worker's own clock when it answered.
        asked_at: Our clock when it was asked.
        running: What it runs.
        ended: What has ended, in the order of the numbers.
        born: When the life that answered began, in Unix milliseconds, or
            None where that is not told.
        may_lack_ends: Whether the question acknowledged ends of an earlier
            life, so that ends of this one may have been forgotten untold.
    """

    worker_clock: float
    asked_at: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    born: int | None = None
    may_lack_ends: bool = False


class OrderResult(enum.StrEnum):
    """What became of an order to a worker.

    All but ``DONE`` and ``UNKNOWN`` say that it certainly did nothing.
    """

    DONE = 'done'
    UNKNOWN = 'unknown'
    NO_ROOM = 'no_room'
    STALE_ATTEMPT = 'stale_attempt'
    TOO_LATE = 'too_late'
    FENCED = 'fenced'
    UNHEALTHY = 'unhealthy'
    WRONG_LIFE = 'wrong_life'
    NOT_SENT = 'not_sent'
    INVALID = 'invalid'


@attrs.frozen
class OrderReply:
    """The reply to an order.

    Attributes:
        result: What became of it.
        worker_clock: The worker's clock when it answered; 0 if unknown.
    """

    result: OrderResult
    worker_clock: float = 0.0


class JobEnd(enum.StrEnum):
    """How a job ended for its caller."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    GIVEN_UP = 'given_up'

    @property
    def is_final(self) -> bool:
        """Whether its caller has no cause to hand it in once more."""
        return self in (JobEnd.COMPLETED, JobEnd.FAILED)


@attrs.frozen
class QueueRoute:
    """A queue as callers reach it.

    Attributes:
        name: The queue's name.
        host: The host that callers ask for.
        prefix: What the path begins with.
        service: The service that runs its jobs.
        terms: What it promises to them.
    """

    name: str
    host: str
    prefix: str
    service: str
    terms: JobTerms


@attrs.frozen
class QueueTable:
    """All queues of one version of the operators' configuration.

    Attributes:
        version: The version; a higher one replaces a lower one.
        routes: The queues.
    """

    version: int
    routes: tuple[QueueRoute, ...]
