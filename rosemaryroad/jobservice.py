"""What a daemon offers to whoever speaks to callers of jobs."""

import abc
import enum

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model

__all__ = [
    'CancelEnd',
    'DrainedDomain',
    'JobAnswer',
    'JobService',
    'QueueMatch',
]


class CancelEnd(enum.StrEnum):
    """What became of a client's wish to cancel a job.

    Attributes:
        DONE: It is cancelled.
        UNKNOWN: There is no such job, or it has ended.
        UNCERTAIN: Another entry VM that can't be asked may have it.
    """

    DONE = 'done'
    UNKNOWN = 'unknown'
    UNCERTAIN = 'uncertain'


@attrs.frozen
class JobAnswer:
    """What a client hears of its job.

    Attributes:
        end: How it ended.
        cause: Why, for the log.
        retry_after_ms: For one that has not run, when to come back.
    """

    end: model.JobEnd
    cause: str = ''
    retry_after_ms: float = 0.0


@attrs.frozen
class QueueMatch:
    """The queue that a call is for.

    Attributes:
        route: The queue.
        rest: What follows its prefix in the path.
    """

    route: model.QueueRoute
    rest: str


@attrs.frozen
class DrainedDomain:
    """A failure domain whose workers get no new tasks.

    Attributes:
        failure_domain: Its name.
        age_ms: For how long that has been known here.
    """

    failure_domain: str
    age_ms: float


class JobService(abc.ABC):
    """Takes jobs in and tells of them.

    Attributes:
        is_ready: Whether new connections should come here.
        is_leaving: Whether the daemon is shutting down.
    """

    is_ready: bool = False
    is_leaving: bool = False

    @property
    @abc.abstractmethod
    def has_queues(self) -> bool:
        """Whether any version of the queues is in force."""

    @abc.abstractmethod
    async def wait_for_queues(self) -> bool:
        """Waits a moment for the first version of the queues.

        Returns:
            Whether any is in force.
        """

    @abc.abstractmethod
    def find_queue(self, host: str, path: str) -> QueueMatch | None:
        """Returns the queue that a call is for, if there is one."""

    @abc.abstractmethod
    def has_time_for(self, job: model.Job) -> bool:
        """Tells whether a job may end here before the daemon has to."""

    @abc.abstractmethod
    async def submit(self, job: model.Job, left_ms: float) -> JobAnswer:
        """Has a job done and returns how it ended.

        Args:
            job: The job.
            left_ms: How long the client waits.
        """

    @abc.abstractmethod
    def refused(self, request_id: str, cause: str) -> None:
        """Notes a refusal of what can't be served at all."""

    @abc.abstractmethod
    def state_of(self, job_id: str) -> bool | None:
        """Tells whether a job has started; None for one that isn't here."""

    @abc.abstractmethod
    async def cancel(self, job_id: str, queue: str) -> CancelEnd:
        """Ends a job, wherever it is; it never runs from then on.

        Args:
            job_id: The job's id.
            queue: The name of its queue.
        """

    @abc.abstractmethod
    def drained_domains(self) -> tuple[DrainedDomain, ...]:
        """Returns the failure domains that are drained."""

    @abc.abstractmethod
    def scheduling(self) -> dispatching.SchedulingView:
        """Returns what this VM does with the room that it dispatches."""

    @abc.abstractmethod
    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started here."""
