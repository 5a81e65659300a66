"""Submissions and the tasks in them."""

import enum
import hashlib

import attrs

from rosemaryroad.model import _identity

DEFAULT_RUN_MS = 300.0


class Kind(enum.StrEnum):
    """Whether a submission is a parallel job or one request."""

    JOB = 'job'
    REQUEST = 'request'


# What the home keeps of a job and of each of its tasks beside the payload,
# as measured (bench.memory): 2,067 bytes for a single task, 192 for each one
# in jobs of 100.
JOB_RECORD_BYTES = 1_900
TASK_RECORD_BYTES = 200


@attrs.frozen
class Needs:
    """What a task says it needs of an endpoint.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Whole accelerators.
    """

    cores: float = attrs.field(default=1.0, validator=attrs.validators.ge(0))
    memory_mb: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    accelerators: int = attrs.field(
        default=0, validator=attrs.validators.ge(0)
    )


@attrs.frozen
class Task:
    """One task.

    Attributes:
        payload: What the endpoint is given.
        run_ms: The declared run time; often far from the truth.
        needs: What it says it needs.
    """

    payload: bytes
    run_ms: float = attrs.field(
        default=DEFAULT_RUN_MS, validator=attrs.validators.ge(0)
    )
    needs: Needs = Needs()


@attrs.frozen
class Submission:
    """A job of many tasks, or a single request.

    Attributes:
        key: The session and the caller's name in it.
        service: The service that is to run it.
        team: The team that it counts for.
        tasks: The tasks, in the order in which results are returned.
        deadline_ms: Milliseconds from the submission to the last moment
            at which the answer is of use. It travels as a remaining time,
            never as a time of day, since clocks of VMs differ.
        idempotent: Whether running it twice does no harm.
        kind: Job or single request.
    """

    key: _identity.SubmissionKey
    service: str
    team: str
    tasks: tuple[Task, ...]
    deadline_ms: float
    idempotent: bool = True
    kind: Kind = Kind.JOB

    @property
    def held_bytes(self) -> int:
        """Bytes that it takes at its home, before there are any results."""
        records = JOB_RECORD_BYTES + TASK_RECORD_BYTES * len(self.tasks)
        return records + sum(len(task.payload) for task in self.tasks)

    def digest(self) -> bytes:
        """Returns what tells two bodies under the same name apart.

        The deadline is left out: a client that resubmits after a lost
        reply has less time left than it had at first.
        """
        hasher = hashlib.blake2b(digest_size=16)
        head = (self.service, self.team, self.idempotent, self.kind.value)
        hasher.update(repr(head).encode())
        for task in self.tasks:
            hasher.update(repr((task.run_ms, task.needs)).encode())
            hasher.update(len(task.payload).to_bytes(8, 'big'))
            hasher.update(task.payload)
        return hasher.digest()
