"""Reading and changing service documents."""

import asyncio
import collections.abc
import enum
import typing
import urllib.parse
import uuid

from rosemaryroad import client
from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad import structure
from rosemaryroad.porcelain import _connection

_Code = errors.ResultCode
_Value = typing.TypeVar('_Value')
_WITH_DELETED = '?deleted=true'


class _Current(enum.Enum):
    CURRENT = 'current'


# Stands for "the version that is in force as the change is made".
CURRENT = _Current.CURRENT


def service_list(
    connection: _connection.Connection, *, with_deleted: bool = False
) -> tuple[model.ServiceSummary, ...]:
    """Lists the services of the token's team.

    Args:
        connection: How to reach the entry VMs.
        with_deleted: Whether to list those that are deleted as well.

    Raises:
        errors.RosemaryroadError: It was refused, or nobody answers.
    """
    query = _WITH_DELETED if with_deleted else ''
    body = _ask(connection, 'GET', f'/v1/services{query}')
    return structure.structure(
        body['services'], tuple[model.ServiceSummary, ...]
    )


def service_get(
    connection: _connection.Connection, service: str
) -> model.StoredDocument:
    """Reads the document that is stored for a service.

    Raises:
        errors.RosemaryroadError: It was refused, or nobody answers.
    """
    return _stored(_ask(connection, 'GET', f'/v1/services/{service}'))


def service_history(
    connection: _connection.Connection, service: str
) -> tuple[model.StoredDocument, ...]:
    """Reads all versions of a service's document, oldest first.

    Raises:
        errors.RosemaryroadError: It was refused, or nobody answers.
    """
    body = _ask(connection, 'GET', f'/v1/services/{service}/history')
    return tuple(_stored(item) for item in body['versions'])


def service_validate(
    connection: _connection.Connection, document: model.Document
) -> None:
    """Has an entry VM check a document without storing it.

    Raises:
        errors.CheckFailed: With everything that is wrong.
        errors.RosemaryroadError: It was refused, or nobody answers.
    """
    path = f'/v1/services/{document.service}/validate'
    body = {'document': structure.unstructure(document)}
    _ask(connection, 'POST', path, body)


def service_put(
    connection: _connection.Connection,
    document: model.Document,
    *,
    expected_version: int | None | _Current = CURRENT,
    change_id: str | None = None,
    dry_run: bool = False,
) -> model.StoredDocument | model.DryRun:
    """Changes a service's document, or creates it.

    Args:
        connection: How to reach the entry VMs.
        document: The new document.
        expected_version: The version that it replaces; None to create
            it, CURRENT for the one in force now, also one that says
            "deleted". The change is refused where another came first.
        change_id: Names the change; a random one by default.
        dry_run: Only tell what would change.

    Raises:
        errors.DocumentRefused: VERSION_CONFLICT, another change came
            first; WRITE_UNKNOWN, not known even after asking again.
        errors.RosemaryroadError: It was refused, or nobody answers.
    """
    change_id = change_id or f'change-{uuid.uuid4().hex}'

    async def run(
        caller: _connection.Caller,
    ) -> model.StoredDocument | model.DryRun:
        version = expected_version
        if isinstance(version, _Current):
            version = await _current_version(caller, document.service)
        body = {
            'document': structure.unstructure(document),
            'expected_version': version,
            'change_id': change_id,
            'dry_run': dry_run,
        }
        path = f'/v1/services/{document.service}'
        if dry_run:
            raw = await caller.ask('PUT', path, body)
            return structure.structure(raw, model.DryRun)
        return _stored(await _change(caller, 'PUT', path, body, change_id))

    return _run(connection, run)


def service_delete(
    connection: _connection.Connection,
    service: str,
    *,
    expected_version: int | _Current = CURRENT,
    change_id: str | None = None,
    dry_run: bool = False,
) -> model.StoredDocument | model.DryRun:
    """Deletes a service; work that was accepted is still answered.

    Args:
        connection: How to reach the entry VMs.
        service: The service.
        expected_version: The version that is deleted, CURRENT for the
            one in force now. Refused where another change came first.
        change_id: Names the change; a random one by default.
        dry_run: Only tell what would change.

    Raises:
        errors.DocumentRefused: As ``service_put`` says.
        errors.InvalidRequest: UNKNOWN_SERVICE, there is none to delete.
        errors.RosemaryroadError: It was refused, or nobody answers.
    """
    change_id = change_id or f'change-{uuid.uuid4().hex}'

    async def run(
        caller: _connection.Caller,
    ) -> model.StoredDocument | model.DryRun:
        path = f'/v1/services/{service}'
        version: typing.Any = expected_version
        if isinstance(version, _Current):
            version = (await caller.ask('GET', path))['version']
        query = {'expected_version': version, 'change_id': change_id}
        if dry_run:
            query['dry_run'] = 'true'
        path = f'{path}?{urllib.parse.urlencode(query)}'
        if dry_run:
            raw = await caller.ask('DELETE', path)
            return structure.structure(raw, model.DryRun)
        return _stored(await _change(caller, 'DELETE', path, None, change_id))

    return _run(connection, run)


def change(
    connection: _connection.Connection, change_id: str
) -> model.StoredDocument:
    """Asks what became of a change.

    Raises:
        errors.InvalidRequest: NOT_FOUND, it is not seen to have taken
            effect.
        errors.RosemaryroadError: It was refused, or nobody answers.
    """
    return _stored(_ask(connection, 'GET', f'/v1/changes/{change_id}'))


async def _change(
    caller: _connection.Caller,
    method: str,
    path: str,
    body: typing.Any,
    change_id: str,
) -> typing.Any:
    """Makes a change, and asks again while it isn't known what became of it.

    The answer of the table service, or of the entry VM, may be lost after
    the write. An operator who then put the document anew would hear of a
    conflict with his own change. The same change id takes effect once, so
    asking by it and sending it again are both safe.
    """
    patience = caller.patience()
    while True:
        try:
            return await caller.ask_until(patience, method, path, body)
        except client.Unanswered as error:
            if not error.may_have_arrived:
                raise
            raise _still_unknown(change_id) from error
        except errors.RosemaryroadError as error:
            if error.code is not _Code.WRITE_UNKNOWN:
                raise
        found = await _find(caller, change_id)
        if found is not None:
            return found
        await patience.pause(_still_unknown(change_id))


async def _find(caller: _connection.Caller, change_id: str) -> typing.Any:
    try:
        return await caller.ask('GET', f'/v1/changes/{change_id}')
    except errors.RosemaryroadError:
        # Not seen yet, or not to be read now: sending it again settles it.
        return None


def _still_unknown(change_id: str) -> errors.DocumentRefused:
    return errors.DocumentRefused(
        f'not known yet whether change {change_id} took effect; ask later '
        f'with "rosemaryroad service change {change_id}", or make the '
        f'same change again with --change-id {change_id}',
        _Code.WRITE_UNKNOWN,
    )


async def _current_version(
    caller: _connection.Caller, service: str
) -> int | None:
    try:
        # A put on a deleted name replaces the version that says so.
        path = f'/v1/services/{service}{_WITH_DELETED}'
        body = await caller.ask('GET', path)
    except errors.RosemaryroadError as error:
        if error.code in (_Code.UNKNOWN_SERVICE, _Code.NOT_FOUND):
            return None
        raise
    return body['version']


def _ask(
    connection: _connection.Connection,
    method: str,
    path: str,
    body: typing.Any = None,
) -> typing.Any:
    return _run(connection, lambda caller: caller.ask(method, path, body))


def _run(
    connection: _connection.Connection,
    work: collections.abc.Callable[
        [_connection.Caller], collections.abc.Awaitable[_Value]
    ],
) -> _Value:
    async def run() -> _Value:
        async with _connection.Caller(connection) as caller:
            return await work(caller)

    return asyncio.run(run())


def _stored(raw: typing.Any) -> model.StoredDocument:
    return structure.structure(raw, model.StoredDocument)
