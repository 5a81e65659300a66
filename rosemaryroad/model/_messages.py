"""What entry VMs say to each other."""

import hashlib
import typing

import attrs

from rosemaryroad.model import _documents
from rosemaryroad.model import _job_messages
from rosemaryroad.model import _outcomes
from rosemaryroad.model import _work

_KEY_BYTES = 5


@attrs.frozen
class Hello:
    """The first message on a link, in both directions.

    Attributes:
        incarnation: The sender.
        failure_domain: Where it stands.
    """

    incarnation: str
    failure_domain: str


@attrs.frozen
class Forward:
    """Hand a submission, or a question about one, to its home.

    Attributes:
        request: A number that the answer repeats; unique on the link.
        session: The session id's text.
        name: The submission's name.
        submission: The submission, or None to wait for one that the home
            has already.
        wait_ms: How long the caller is willing to wait.
        request_id: The id that runs through all log lines.
    """

    request: int
    session: str
    name: str
    submission: _work.Submission | None
    wait_ms: float
    request_id: str


@attrs.frozen
class ForwardAnswer:
    """The home's reply to a forward.

    Attributes:
        request: The number of the forward.
        answer: The whole answer, or None while it is still running.
        done_tasks: While it is running, tasks with a result.
        tasks: While it is running, tasks in all.
    """

    request: int
    answer: _outcomes.Answer | None
    done_tasks: int | None = None
    tasks: int | None = None


@attrs.frozen
class CancelForward:
    """The caller cancels a submission, or ends a session, at its home.

    Attributes:
        request: A number that the answer repeats; unique on the link.
        session: The session id's text.
        name: The submission's name, or None to end the session.
    """

    request: int
    session: str
    name: str | None


@attrs.frozen
class ServiceDemand:
    """What one entry VM has out and waiting for a service.

    Attributes:
        service: The service.
        outstanding: Tasks out at endpoints.
        waiting: Tasks held in the queue.
    """

    service: str
    outstanding: int
    waiting: int


@attrs.frozen
class TeamDemand:
    """What one entry VM wants of a team's quota in a service.

    Attributes:
        key: The service and the team, as ``team_key`` makes it.
        running: Tasks that it would have out, 0 where that is little.
        queued: Tasks that it would have waiting, 0 where that is little.
    """

    key: bytes
    running: int
    queued: int


def team_key(service: str, team: str) -> bytes:
    """Returns the few bytes that stand for a service and a team.

    Both names would be longer than all the room that a heartbeat has
    where there are 55 peers. Two pairs that had the same key would count
    each other's demand; with 10,000 pairs in use at once that is one
    chance in 20,000.
    """
    text = f'{service}/{team}'.encode()
    return hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()


@attrs.frozen
class Heartbeat:
    """What an entry VM tells its peers each second.

    Attributes:
        incarnation: The sender.
        draining: Whether it is shutting down.
        head: The highest change number whose documents it has.
        demand: Its own demand, by service.
        leaving: Endpoints it knows to be leaving, as ``id@incarnation``.
        quarantined: Endpoints it keeps out, as ``id@incarnation``.
        documents: Documents the receiver lacks by its own last heartbeat.
        documents_since: The receiver's head in that heartbeat.
        documents_through: The change number up to which none that the
            receiver lacks is left out of ``documents``.
        tells_deleted: Whether the sender knows deletions. One from before
            them passes a deleted service over, or on as if it were there.
        teams: What it wants of teams' quotas; a team that is not named
            stays as it was.
    """

    incarnation: str
    draining: bool
    head: int
    demand: tuple[ServiceDemand, ...] = ()
    leaving: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    documents: tuple[_documents.StoredDocument, ...] = ()
    documents_since: int = 0
    documents_through: int = 0
    tells_deleted: bool = False
    teams: tuple[TeamDemand, ...] = ()


PeerMessage: typing.TypeAlias = (
    Hello
    | Forward
    | ForwardAnswer
    | CancelForward
    | Heartbeat
    | _job_messages.JobMessage
)
