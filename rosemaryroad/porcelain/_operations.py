"""Status, drain and the burn report, gathered from all entry VMs."""

import asyncio
import typing

import attrs

from rosemaryroad import decisions
from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import structure
from rosemaryroad.porcelain import _connection


@attrs.frozen
class NotReached:
    """An entry VM that gave no answer.

    Attributes:
        address: Where it was asked.
        detail: What was seen.
    """

    address: str
    detail: str


@attrs.frozen
class EntryStatus:
    """The state of one entry VM.

    Attributes:
        address: Where it was asked.
        body: Its reply, decoded.
    """

    address: str
    body: dict[str, typing.Any]


@attrs.frozen
class StatusReport:
    """The state of all entry VMs.

    Attributes:
        reached: Those that answered, in the order of the addresses.
        not_reached: Those that didn't.
    """

    reached: tuple[EntryStatus, ...]
    not_reached: tuple[NotReached, ...]


@attrs.frozen
class BurnReport:
    """The burn of all services, as far as entry VMs answered.

    Attributes:
        snapshot: The sum of those that answered.
        reached: Where an answer came from.
        not_reached: Where none came from; their answers are missing.
    """

    snapshot: decisions.BurnSnapshot
    reached: tuple[str, ...]
    not_reached: tuple[NotReached, ...]


@attrs.frozen
class SchedulingReport:
    """What all dispatchers do with their room, as far as VMs answered.

    Attributes:
        view: The sum of those that answered.
        reached: Where an answer came from.
        not_reached: Where none came from; their answers are missing.
    """

    view: dispatching.SchedulingView
    reached: tuple[str, ...]
    not_reached: tuple[NotReached, ...]


def status(connection: _connection.Connection) -> StatusReport:
    """Asks every entry VM for its state."""
    gathered = _gather(connection, '/v1/status')
    return StatusReport(
        tuple(EntryStatus(*item) for item in gathered.bodies),
        gathered.not_reached,
    )


def drained_domains(connection: _connection.Connection) -> StatusReport:
    """Asks entry VMs that serve jobs which failure domains are drained.

    Args:
        connection: Their addresses for operators.

    Returns:
        Their replies to ``GET /v1/drains``.
    """
    gathered = _gather(connection, '/v1/drains')
    return StatusReport(
        tuple(EntryStatus(*item) for item in gathered.bodies),
        gathered.not_reached,
    )


def scheduling(connection: _connection.Connection) -> SchedulingReport:
    """Adds up what entry VMs that serve jobs do with their room.

    Args:
        connection: Their addresses for operators.
    """
    gathered = _gather(connection, '/v1/scheduling')
    whole = dispatching.SchedulingView()
    for _, body in gathered.bodies:
        whole.add(structure.structure(body, dispatching.SchedulingView))
    return SchedulingReport(
        whole,
        tuple(address for address, _ in gathered.bodies),
        gathered.not_reached,
    )


def report_burn(connection: _connection.Connection) -> BurnReport:
    """Adds up the burn of every entry VM that answers."""
    gathered = _gather(connection, '/v1/burn')
    snapshots = [
        structure.structure(body, decisions.BurnSnapshot)
        for _, body in gathered.bodies
    ]
    return BurnReport(
        decisions.merge_burn(snapshots),
        tuple(address for address, _ in gathered.bodies),
        gathered.not_reached,
    )


def drain(connection: _connection.Connection) -> None:
    """Tells one entry VM to shut down; it answers what it holds first.

    Args:
        connection: Its address alone, and the secret of the entry VMs in
            place of a team's token.

    Raises:
        ValueError: There is more than one address.
        errors.RosemaryroadError: It was refused, or nobody answers.
    """
    if len(connection.addresses) != 1:
        raise ValueError('name the one entry VM that is to drain')

    async def run() -> None:
        async with _connection.Caller(connection) as caller:
            address = connection.addresses[0]
            await caller.ask_at(address, 'POST', '/v1/drain')

    asyncio.run(run())


@attrs.frozen
class _Gathered:
    bodies: tuple[tuple[str, dict[str, typing.Any]], ...]
    not_reached: tuple[NotReached, ...]


def _gather(connection: _connection.Connection, path: str) -> _Gathered:
    async def run() -> _Gathered:
        async with _connection.Caller(connection) as caller:
            answers = await asyncio.gather(
                *(
                    caller.ask_at(address, 'GET', path)
                    for address in connection.addresses
                ),
                return_exceptions=True,
            )
        return _sort(connection.addresses, answers)

    return asyncio.run(run())


def _sort(addresses: tuple[str, ...], answers: list[typing.Any]) -> _Gathered:
    bodies = []
    not_reached = []
    for address, answer in zip(addresses, answers, strict=True):
        if isinstance(answer, errors.RosemaryroadError):
            not_reached.append(NotReached(address, str(answer)))
        elif isinstance(answer, BaseException):
            raise answer
        else:
            bodies.append((address, answer))
    return _Gathered(tuple(bodies), tuple(not_reached))
