"""Submitting, waiting and cancelling."""

import asyncio
import collections.abc

from rosemaryroad import client
from rosemaryroad import model
from rosemaryroad.porcelain import _connection


def submit(
    connection: _connection.Connection,
    service: str,
    tasks: collections.abc.Iterable[model.Task],
    *,
    deadline_ms: float | None = None,
    idempotent: bool = True,
    kind: model.Kind = model.Kind.JOB,
    name: str | None = None,
    wait_for_answer: bool = True,
    on_progress: client.Progress | None = None,
) -> client.Whole | client.Running:
    """Submits tasks to a service.

    Args:
        connection: How to reach the entry VMs.
        service: The service.
        tasks: The tasks; results come back in their order.
        deadline_ms: When the answer is of no more use, from now.
        idempotent: Whether running it twice does no harm.
        kind: A job of many tasks, or a single request.
        name: Its name in the session; a random one by default.
        wait_for_answer: Whether to wait for the whole answer.
        on_progress: Called each time it is found still running.

    Raises:
        errors.RosemaryroadError: It was refused or failed.
    """

    async def run() -> client.Whole | client.Running:
        async with _client(connection) as caller:
            start = caller.submit if wait_for_answer else caller.start
            extra = {'on_progress': on_progress} if wait_for_answer else {}
            return await start(
                service,
                tasks,
                deadline_ms=deadline_ms,
                idempotent=idempotent,
                kind=kind,
                name=name,
                **extra,
            )

    return asyncio.run(run())


def wait(
    connection: _connection.Connection,
    handle: client.Handle,
    on_progress: client.Progress | None = None,
) -> client.Whole:
    """Waits for the whole answer to a submission.

    Raises:
        errors.RosemaryroadError: It failed, or there is no such one.
    """

    async def run() -> client.Whole:
        async with _client(connection) as caller:
            return await caller.wait(handle, on_progress)

    return asyncio.run(run())


def cancel(connection: _connection.Connection, handle: client.Handle) -> bool:
    """Cancels a submission.

    Returns:
        False where its whole answer had been given before.

    Raises:
        errors.RosemaryroadError: It had failed, or there is no such one.
    """

    async def run() -> bool:
        async with _client(connection) as caller:
            return await caller.cancel(handle)

    return asyncio.run(run())


def _client(connection: _connection.Connection) -> client.Client:
    return client.Client(
        connection.addresses, connection.token, connection.policy
    )
