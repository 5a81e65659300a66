"""What the dispatcher of jobs asks for."""

import typing

import attrs

from rosemaryroad import model


@attrs.frozen
class StartTask:
    """Order a worker to start a task.

    Attributes:
        worker: The worker's id.
        address: Where it listens.
        task: Which task.
        attempt: Which attempt of it.
        payload: What the task is given.
        waited_ms: How long its job has waited since it came in.
    """

    worker: str
    address: str
    task: model.TaskId
    attempt: int
    payload: str
    waited_ms: float


@attrs.frozen
class StopTask:
    """Order a worker to stop an attempt, whether or not it has begun.

    Attributes:
        worker: The worker's id.
        address: Where it listens.
        task: Which task.
        attempt: Which attempt of it.
        cause: Why.
        born: The life of the worker that is known now.
    """

    worker: str
    address: str
    task: model.TaskId
    attempt: int
    cause: str
    born: int | None = None


@attrs.frozen
class LookAt:
    """Ask a worker now what it runs.

    Attributes:
        worker: The worker's id.
    """

    worker: str


@attrs.frozen
class ReadEntry:
    """Read the workers' entries now; that of a new life is due.

    Attributes:
        worker: The worker.
    """

    worker: str


@attrs.frozen
class RaiseFence:
    """Have workers refuse the orders that were given so far.

    Attributes:
        cause: Why, for the log.
    """

    cause: str


@attrs.frozen
class TellHome:
    """Tell an entry VM about a job of its clients.

    Attributes:
        vm: The entry VM.
        message: What to tell.
        cause: Why, for the log.
    """

    vm: str
    message: model.JobProgress | model.JobSettled
    cause: str = ''


@attrs.frozen
class Noted:
    """A change of what the dispatcher believes, for the log.

    Attributes:
        event: The documented name of the event.
        subject: The worker or job that it is about.
        detail: Why, with the figures that decided it.
    """

    event: str
    subject: str
    detail: str


Action: typing.TypeAlias = (
    StartTask | StopTask | LookAt | ReadEntry | RaiseFence | TellHome | Noted
)
