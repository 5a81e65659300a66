"""What entry VMs tell each other about jobs; nothing is answered."""

import enum
import typing

import attrs

from rosemaryroad.model import _jobs


class Claim(enum.IntEnum):
    """Whether an entry VM gives orders to workers.

    Attributes:
        NONE: It gives none.
        DEPUTY: It serves the VMs that can't reach the dispatcher.
        DISPATCHER: It dispatches for all that reach it.
    """

    NONE = 0
    DEPUTY = 1
    DISPATCHER = 2


@attrs.frozen
class Pulse:
    """A sign of life as it concerns one cell.

    Attributes:
        term: The term of the dispatcher, as the sender knows it.
        fence: The highest fence that the sender knows.
        dispatcher: The VM that dispatches for the sender, whose signs of
            life reach it, or ''.
        claim: What the sender itself claims to be.
        leaving: Whether it is shutting down, or too slow to dispatch.
        informed: Whether it knows the workers and the other entry VMs.
        cores: Its share of a processor.
        started: When it was started, by its own time of day.
        settled: Whether it has been up for a while.
        strained: Whether its timers have been late for a while.
        elsewhere: Whether it gives orders in another cell.
    """

    term: int
    fence: int
    dispatcher: str
    claim: Claim
    leaving: bool
    informed: bool
    cores: float = 1.0
    started: int = 0
    settled: bool = True
    strained: bool = False
    elsewhere: bool = False


@attrs.frozen
class DomainDrains:
    """The failure domains whose workers get no new tasks.

    Attributes:
        version: The version of the store as of which this is known, or 0 for
            nothing known; a higher one replaces a lower one.
        domains: Their names, sorted.
    """

    version: int = 0
    domains: tuple[str, ...] = ()


@attrs.frozen
class Pulses:
    """A sign of life, sent several times a second.

    Attributes:
        by_cell: What concerns each cell, by its number. One that has just
            started and doesn't know the cells tells of the first alone.
        table_version: The version of the queues that it has in force.
        cells: How many cells there are, or 0.
        drains: The failure domains that it knows to be drained.
        cell_shares: The part of all jobs that each cell gets, or () for
            equal parts.
    """

    by_cell: tuple[Pulse, ...]
    table_version: int = 0
    cells: int = 0
    drains: DomainDrains = DomainDrains()
    cell_shares: tuple[float, ...] = ()


@attrs.frozen
class QueuesShared:
    """The operators' configuration, for a VM that has an older one.

    Attributes:
        table: All queues.
    """

    table: _jobs.QueueTable


@attrs.frozen
class EntryVm:
    """An entry VM as the others find it.

    Attributes:
        vm: Its id.
        address: Where it listens for peers, as ``IP:port``.
        cores: Its share of a processor, or 0 where that isn't told.
    """

    vm: str
    address: str
    cores: float = 0.0


@attrs.frozen
class DirectoryShared:
    """The lists of the platform's store, for a VM that can't read them.

    Attributes:
        workers: The workers.
        vms: The entry VMs.
    """

    workers: tuple[_jobs.Worker, ...]
    vms: tuple[EntryVm, ...]


@attrs.frozen
class Placement:
    """Where a task was told to start.

    Attributes:
        index: The task's number in its job.
        worker: The worker's id.
    """

    index: int
    worker: str


@attrs.frozen
class JobSubmitted:
    """A home hands a job to its dispatcher.

    Times travel as spans, since the clocks of VMs differ.

    Attributes:
        job: The job.
        age_ms: How long ago it came from the client.
        left_ms: How long the client still waits.
        attempt: The highest attempt that any of its tasks may have had.
        done: Its tasks that have ended well already.
        placed: Where the others may run by another dispatcher's order.
        queued: Whether another dispatcher may have started tasks that have
            no recorded placement, at any worker.
        home_domain: The failure domain of the home, or ''.
    """

    job: _jobs.Job
    age_ms: float
    left_ms: float
    attempt: int = 0
    done: tuple[int, ...] = ()
    placed: tuple[Placement, ...] = ()
    queued: bool = False
    home_domain: str = ''


@attrs.frozen
class JobWithdrawn:
    """A home gives a job up; what runs of it is to be stopped.

    Attributes:
        job: The job's id.
        release: Whether the home waits for a word that it has arrived.
    """

    job: str
    release: bool = False


@attrs.frozen
class JobReleased:
    """No more orders for a job follow from the sender.

    What it has told of the job before is all that there is to know, so
    the home may hand it to another dispatcher.

    Attributes:
        job: The job's id.
    """

    job: str


@attrs.frozen
class JobProgress:
    """The dispatcher tells what has happened to a job.

    It is sent before an order to start goes out, so that a home never says
    of a job that it has not run when it may have, and can name to the next
    dispatcher each worker that may run a task of it.

    Attributes:
        job: The job's id.
        attempt: The highest attempt of any of its tasks.
        done: Tasks that have ended well since it was told last.
        placed: Tasks that are about to be told to start.
        number: Identifies the answer that the home sends once it has
            recorded this message; 0 if no answer is needed. Orders to start
            wait for the answer.
        queued: Whether other tasks wait for room. Once the home has
            recorded that, they may be started at any worker without a
            further answer.
    """

    job: str
    attempt: int
    done: tuple[int, ...] = ()
    placed: tuple[Placement, ...] = ()
    number: int = 0
    queued: bool = False


@attrs.frozen
class PlacementsRecorded:
    """A home has recorded what a dispatcher told of a job.

    Attributes:
        job: The job's id.
        number: The number of the recorded message.
    """

    job: str
    number: int


@attrs.frozen
class JobSettled:
    """The dispatcher ends a job.

    Attributes:
        job: The job's id.
        end: How it ended.
        retry_after_ms: For one that has not run, when to come back.
    """

    job: str
    end: _jobs.JobEnd
    retry_after_ms: float = 0.0


@attrs.frozen
class JobCancelled:
    """A client has cancelled a job, which never runs from now on.

    Attributes:
        job: The job's id.
        queue: Its queue.
        number: Identifies the answer that is awaited; 0 if none is.
    """

    job: str
    queue: str
    number: int = 0


@attrs.frozen
class CancelAnswered:
    """The dispatcher has taken in that a job was cancelled.

    Attributes:
        number: The number of the message that it answers.
        is_known: Whether the job was here, or was known to be cancelled.
        is_certain: Whether no other dispatcher may have the job.
    """

    number: int
    is_known: bool
    is_certain: bool


@attrs.frozen
class EndedJob:
    """A job that has ended for good, as a home tells a new dispatcher.

    Attributes:
        job: The job's id.
        queue: Its queue.
        end: What its clients were told.
        is_cancelled: Whether its client has taken it back.
        age_ms: How long ago it ended.
    """

    job: str
    queue: str
    end: _jobs.JobEnd
    is_cancelled: bool
    age_ms: float


@attrs.frozen
class JobsEnded:
    """A home tells a new dispatcher which jobs must not run again.

    Attributes:
        cell: The cell of all of them.
        jobs: The jobs.
    """

    cell: int
    jobs: tuple[EndedJob, ...]


JobMessage: typing.TypeAlias = (
    Pulses
    | QueuesShared
    | DirectoryShared
    | JobSubmitted
    | JobWithdrawn
    | JobReleased
    | JobProgress
    | PlacementsRecorded
    | JobSettled
    | JobCancelled
    | CancelAnswered
    | JobsEnded
)
