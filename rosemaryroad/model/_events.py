"""What goes into the dispatcher's decisions and what comes out."""

import typing

import attrs

from rosemaryroad.model import _documents
from rosemaryroad.model import _endpoints
from rosemaryroad.model import _identity
from rosemaryroad.model import _messages
from rosemaryroad.model import _outcomes
from rosemaryroad.model import _work


@attrs.frozen
class SubmissionArrived:
    """A caller submits, or submits again under the same name."""

    submission: _work.Submission


@attrs.frozen
class CancelRequested:
    """A caller cancels a submission."""

    key: _identity.SubmissionKey


@attrs.frozen
class SessionEnded:
    """A caller ends a session; what still runs in it is cancelled."""

    session: _identity.SessionId


@attrs.frozen
class AttemptEnded:
    """An attempt at an endpoint has ended.

    Attributes:
        attempt: The attempt's number from its ``StartAttempt``.
        outcome: How it ended.
    """

    attempt: int
    outcome: _outcomes.Outcome


@attrs.frozen
class DocumentApplied:
    """A document is in force at this entry VM from now on."""

    document: _documents.Document


@attrs.frozen
class DocumentDeleted:
    """A service is deleted; what was let in before is still answered."""

    service: str


@attrs.frozen
class EndpointsListed:
    """The endpoints of a service according to their source."""

    service: str
    endpoints: tuple[_endpoints.Endpoint, ...]


@attrs.frozen
class EndpointLeaving:
    """An endpoint is leaving, by its own reply or a peer's word."""

    service: str
    endpoint: str
    incarnation: str


@attrs.frozen
class DemandReported:
    """What all peers that are heard have out and waiting for a service.

    Attributes:
        service: The service.
        peer_demand: Their outstanding and waiting tasks, in sum.
        entry_vms: How many entry VMs serve, this one included.
    """

    service: str
    peer_demand: int
    entry_vms: int


@attrs.frozen
class TeamDemandReported:
    """What all peers that are heard want of teams' quotas.

    Attributes:
        entry_vms: How many entry VMs serve, this one included.
        peers_by_key: What peers have told, by ``team_key``.
        rejoined: How often a peer was linked anew in the same life; what
            it had told is unknown until it has told it again.
    """

    entry_vms: int = 1
    peers_by_key: dict[bytes, tuple[_messages.TeamDemand, ...]] = attrs.field(
        factory=dict
    )
    rejoined: int = 0


@attrs.frozen
class HeartbeatSent:
    """A heartbeat has gone out to all peers.

    Attributes:
        teams: What it told of teams' quotas.
    """

    teams: tuple[_messages.TeamDemand, ...] = ()


@attrs.frozen
class QuarantineReported:
    """A peer keeps endpoints out; a hint with a short life.

    Attributes:
        marks: The endpoints, as ``id@incarnation``.
    """

    marks: tuple[str, ...]


@attrs.frozen
class DrainStarted:
    """This entry VM is shutting down; new names are refused."""


@attrs.frozen
class DrainEnded:
    """The time for the drain is over; nothing may be left unanswered."""


@attrs.frozen
class Tick:
    """Time has passed; deadlines and backoffs are looked at."""


Event: typing.TypeAlias = (
    SubmissionArrived
    | CancelRequested
    | SessionEnded
    | AttemptEnded
    | DocumentApplied
    | DocumentDeleted
    | EndpointsListed
    | EndpointLeaving
    | DemandReported
    | TeamDemandReported
    | HeartbeatSent
    | QuarantineReported
    | DrainStarted
    | DrainEnded
    | Tick
)


@attrs.frozen
class StartAttempt:
    """Start a task at an endpoint.

    Attributes:
        attempt: A number that is used once in this incarnation.
        service: The service.
        endpoint: Where to start it.
        key: The submission.
        index: The task's place in the submission.
        task: The task.
        deadline_ms: The time that is left for it.
        idempotent: Whether the submission is idempotent.
    """

    attempt: int
    service: str
    endpoint: _endpoints.Endpoint
    key: _identity.SubmissionKey
    index: int
    task: _work.Task
    deadline_ms: float
    idempotent: bool


@attrs.frozen
class CancelAttempt:
    """Cancel a task that was started at an endpoint."""

    attempt: int
    endpoint: _endpoints.Endpoint


@attrs.frozen
class Settle:
    """Give the final answer to all who wait for a submission.

    Attributes:
        key: The submission.
        service: The service.
        answer: The whole answer.
        response_ms: From the arrival to this answer.
        ideal_ms: What the longest task alone took, or None where no task
            has run.
    """

    key: _identity.SubmissionKey
    service: str
    answer: _outcomes.Answer
    response_ms: float = 0.0
    ideal_ms: float | None = None


@attrs.frozen
class Refuse:
    """Refuse the one call that led to this action, and nobody else.

    Attributes:
        key: The submission that was named.
        service: The service, or an empty text where it is not known.
        failure: Why, and when to come back.
    """

    key: _identity.SubmissionKey
    service: str
    failure: _outcomes.Failure


@attrs.frozen
class Replay:
    """Give the kept answer to the one call that led to this action."""

    key: _identity.SubmissionKey
    answer: _outcomes.Answer


@attrs.frozen
class ForgetService:
    """Forget a deleted service: nothing of it is held any more.

    Attributes:
        service: The service.
        addresses: Where its endpoints were.
    """

    service: str
    addresses: tuple[str, ...] = ()


Action: typing.TypeAlias = (
    StartAttempt | CancelAttempt | Settle | Refuse | Replay | ForgetService
)
