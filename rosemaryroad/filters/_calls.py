"""What callers ask for, free of HTTP, and what they are told."""

import typing

import attrs

from rosemaryroad import model

PUBLIC_TEAM = 'public'


@attrs.frozen
class Context:
    """What goes with each call.

    Attributes:
        request_id: The id that runs through all log lines.
        token: The bearer token that was presented, or None.
        team: The team that the call counts for.
    """

    request_id: str
    token: str | None = attrs.field(default=None, repr=False)
    team: str = PUBLIC_TEAM


@attrs.frozen
class OpenSession:
    """Open a session at the entry VM that was asked."""

    context: Context


@attrs.frozen
class EndSession:
    """End a session for good."""

    context: Context
    session: model.SessionId


@attrs.frozen
class Submit:
    """Submit, or submit again under the same name.

    Attributes:
        context: What goes with the call.
        submission: The work; its deadline is 0 where none was named.
        wait_ms: How long to wait for the answer.
    """

    context: Context
    submission: model.Submission
    wait_ms: float


@attrs.frozen
class Wait:
    """Wait for the answer to a submission."""

    context: Context
    key: model.SubmissionKey
    wait_ms: float


@attrs.frozen
class Cancel:
    """Cancel a submission; the reply is its final answer."""

    context: Context
    key: model.SubmissionKey


Call: typing.TypeAlias = OpenSession | EndSession | Submit | Wait | Cancel


@attrs.frozen
class SessionOpened:
    """A session is open.

    Attributes:
        session: Its id.
        idle_ms: How long it lives without a call.
    """

    session: model.SessionId
    idle_ms: float


@attrs.frozen
class SessionClosed:
    """A session has ended."""


@attrs.frozen
class Done:
    """The final answer to a submission."""

    answer: model.Answer


@attrs.frozen
class Running:
    """A submission has no answer yet.

    Attributes:
        done_tasks: Tasks with a result, or None where it is not known.
        tasks: Tasks in all, or None where it is not known.
    """

    done_tasks: int | None = None
    tasks: int | None = None


Reply: typing.TypeAlias = SessionOpened | SessionClosed | Done | Running


def session_of(call: Call) -> model.SessionId | None:
    """Returns the session that a call is about, or None for a new one."""
    if isinstance(call, OpenSession):
        return None
    if isinstance(call, EndSession):
        return call.session
    return key_of(call).session


def key_of(call: Submit | Wait | Cancel) -> model.SubmissionKey:
    """Returns the submission that a call is about."""
    if isinstance(call, Submit):
        return call.submission.key
    return call.key
