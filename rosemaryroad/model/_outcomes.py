"""How attempts and submissions end."""

import enum
import typing

import attrs

from rosemaryroad import errors


class NotRunCause(enum.StrEnum):
    """Why an attempt certainly did not run."""

    CONNECT_REFUSED = 'connect_refused'
    BUSY = 'busy'
    LEAVING = 'leaving'
    NOT_SENT = 'not_sent'


@attrs.frozen
class NotRun:
    """The endpoint certainly did not start the task.

    Attributes:
        cause: How this is known.
    """

    cause: NotRunCause


@attrs.frozen
class Answered:
    """The task ran and returned a result.

    Attributes:
        result: The result's bytes.
        run_ms: The run time as the endpoint reports it.
        load: Tasks that run or wait at the endpoint, from its reply, or
            None where it does not say.
    """

    result: bytes
    run_ms: float
    load: int | None = None


@attrs.frozen
class Failed:
    """The task ran, and the endpoint says that it failed.

    Attributes:
        detail: The endpoint's own words, cut to a bounded length.
    """

    detail: str


@attrs.frozen
class Unknown:
    """Bytes may have reached the endpoint and no answer came.

    Attributes:
        detail: What was seen, such as a timeout or a reset.
        silent: Whether the connection went silent, so that others to the
            same address are suspect.
    """

    detail: str
    silent: bool = False


Outcome: typing.TypeAlias = NotRun | Answered | Failed | Unknown


@attrs.frozen
class Failure:
    """Why a submission has no results.

    Attributes:
        code: The numbered result code.
        run: What is known about its execution.
        retry_after_ms: When to come back, or None where that is no use.
        detail: A sentence for a person.
    """

    code: errors.ResultCode
    run: errors.Run
    retry_after_ms: float | None = None
    detail: str = ''


@attrs.frozen
class Answer:
    """The whole answer to a submission: all results, or none.

    Attributes:
        results: One result for each task in the order submitted; empty
            where the submission failed.
        failure: Why there are no results, or None.
    """

    results: tuple[bytes, ...] = ()
    failure: Failure | None = None

    def __attrs_post_init__(self) -> None:
        # A partial answer would pass for a whole one at the caller.
        if self.failure is not None and self.results:
            raise ValueError('a failed answer carries no results')
