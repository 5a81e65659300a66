"""The administration API: service documents over HTTP."""

import collections.abc
import difflib
import json
import logging
import re
import typing

import attrs
import sanic
import yaml

from rosemaryroad import documents
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import structure
from rosemaryroad import tokens
from rosemaryroad.api import _admin_bodies
from rosemaryroad.api import _replies

MAX_BODY_BYTES = 1_000_000

_DOCUMENT_KEY = 'document'
_DELETED_KEY = 'deleted'
_BOOLEANS = {'true': True, 'false': False}
_NUMBER = re.compile('[0-9]{1,15}')
_LOG = logging.getLogger(__name__)
_OnAccepted = collections.abc.Callable[[model.StoredDocument], None]


def make_admin_blueprint(
    store: documents.DocumentStore,
    team_tokens: tokens.TeamTokens,
    on_accepted: _OnAccepted | None = None,
) -> sanic.Blueprint:
    """Makes the administration API.

    Args:
        store: The documents.
        team_tokens: The teams' tokens.
        on_accepted: Called with what was accepted here, so that this
            entry VM has it in force before it looks at the table again.
    """
    admin = _Admin(store, team_tokens, on_accepted or (lambda _: None))
    blueprint = sanic.Blueprint('admin', url_prefix='/v1')
    one = '/services/<service:str>'
    for handler, path, method in (
        (admin.list_services, '/services', 'GET'),
        (admin.get_service, one, 'GET'),
        (admin.put_service, one, 'PUT'),
        (admin.delete_service, one, 'DELETE'),
        (admin.get_history, f'{one}/history', 'GET'),
        (admin.validate, f'{one}/validate', 'POST'),
        (admin.get_change, '/changes/<change_id:str>', 'GET'),
    ):
        blueprint.add_route(
            handler, path, methods=[method], name=handler.__name__
        )
    return blueprint


@attrs.frozen
class _Admin:
    _store: documents.DocumentStore
    _tokens: tokens.TeamTokens
    _on_accepted: _OnAccepted

    async def list_services(
        self, request: sanic.Request
    ) -> sanic.HTTPResponse:
        team = self._authenticate(request)
        with_deleted = _flag(request, _DELETED_KEY)
        found = await self._store.list()
        return _replies.json_reply(
            _admin_bodies.ServiceList(
                tuple(
                    _summary(stored)
                    for stored in found
                    if stored.document.team == team
                    and (with_deleted or not stored.deleted)
                )
            )
        )

    async def get_service(
        self, request: sanic.Request, service: str
    ) -> sanic.HTTPResponse:
        team = self._authenticate(request)
        with_deleted = _flag(request, _DELETED_KEY)
        stored = await self._read(team, service)
        if stored.deleted and not with_deleted:
            raise _gone(stored)
        return _replies.json_reply(stored)

    async def get_history(
        self, request: sanic.Request, service: str
    ) -> sanic.HTTPResponse:
        team = self._authenticate(request)
        await self._read(team, service)
        return _replies.json_reply(
            _admin_bodies.History(await self._store.history(service))
        )

    async def validate(
        self, request: sanic.Request, service: str
    ) -> sanic.HTTPResponse:
        team = self._authenticate(request)
        body = _read_body(request, _admin_bodies.ValidateRequest)
        _check_target(body.document, team, service)
        return _replies.json_reply(_admin_bodies.Valid())

    async def put_service(
        self, request: sanic.Request, service: str
    ) -> sanic.HTTPResponse:
        team = self._authenticate(request)
        body = _read_body(request, _admin_bodies.ChangeRequest)
        _check_target(body.document, team, service)
        _check_name(body.change_id)
        if body.dry_run:
            return _replies.json_reply(await self._try(body))
        stored = await self._store.put(
            body.document, body.expected_version, body.change_id
        )
        logs.event(_LOG, logging.INFO, 'document_accepted', **_fields(stored))
        return self._accept(stored)

    async def delete_service(
        self, request: sanic.Request, service: str
    ) -> sanic.HTTPResponse:
        team = self._authenticate(request)
        query = _read_delete(request)
        _check_name(service)
        _check_name(query.change_id)
        if query.dry_run:
            return _replies.json_reply(
                await self._try_delete(team, service, query)
            )
        stored = await self._store.delete(
            service, team, query.expected_version, query.change_id
        )
        logs.event(_LOG, logging.INFO, 'service_deleted', **_fields(stored))
        return self._accept(stored)

    def _accept(self, stored: model.StoredDocument) -> sanic.HTTPResponse:
        self._on_accepted(stored)
        return _replies.json_reply(stored)

    async def get_change(
        self, request: sanic.Request, change_id: str
    ) -> sanic.HTTPResponse:
        team = self._authenticate(request)
        _check_name(change_id)
        stored = await self._store.find_change(change_id)
        if stored is None:
            raise errors.InvalidRequest(
                'no change of this id is seen to have taken effect',
                errors.ResultCode.NOT_FOUND,
            )
        _check_owner(stored, team)
        return _replies.json_reply(stored)

    def _authenticate(self, request: sanic.Request) -> str:
        return self._tokens.team_of(request.token or '')

    async def _read(self, team: str, service: str) -> model.StoredDocument:
        _check_name(service)
        stored = await self._store.get(service)
        if stored is None:
            raise errors.InvalidRequest(code=errors.ResultCode.UNKNOWN_SERVICE)
        _check_owner(stored, team)
        return stored

    async def _try(self, body: _admin_bodies.ChangeRequest) -> model.DryRun:
        stored = await self._store.get(body.document.service)
        if stored is not None:
            _check_owner(stored, body.document.team)
        return _dry_run(stored, body.expected_version, body.document)

    async def _try_delete(
        self, team: str, service: str, query: _admin_bodies.DeleteRequest
    ) -> model.DryRun:
        stored = await self._read(team, service)
        if stored.deleted:
            raise _gone(stored)
        return _dry_run(stored, query.expected_version, None)


def _dry_run(
    stored: model.StoredDocument | None,
    expected: int | None,
    document: model.Document | None,
) -> model.DryRun:
    version = stored.version if stored else None
    if version != expected:
        raise errors.DocumentRefused(
            f'version {version} is in force, not version {expected}',
            current_version=version,
        )
    there = stored is not None and not stored.deleted
    before = _yaml_lines(stored.document if there else None)
    after = _yaml_lines(document)
    diff = difflib.unified_diff(before, after, 'in force', 'proposed')
    return model.DryRun(version, ''.join(diff))


def _gone(stored: model.StoredDocument) -> errors.InvalidRequest:
    return errors.InvalidRequest(
        f'deleted in version {stored.version}',
        errors.ResultCode.UNKNOWN_SERVICE,
    )


def _fields(stored: model.StoredDocument) -> dict[str, object]:
    return {
        'service': stored.document.service,
        'team': stored.document.team,
        'version': stored.version,
        'change': stored.change_number,
        'change_id': stored.change_id,
    }


def _summary(stored: model.StoredDocument) -> model.ServiceSummary:
    return model.ServiceSummary(
        stored.document.service,
        stored.document.team,
        stored.version,
        stored.change_number,
        stored.change_id,
        stored.deleted,
    )


def _yaml_lines(document: model.Document | None) -> list[str]:
    if document is None:
        return []
    raw = structure.unstructure(document)
    return yaml.safe_dump(raw, sort_keys=True).splitlines(keepends=True)


def _flag(request: sanic.Request, key: str) -> bool:
    value = request.args.get(key, 'false')
    if value not in _BOOLEANS:
        raise errors.InvalidRequest(f'{key}: true or false')
    return _BOOLEANS[value]


def _read_delete(request: sanic.Request) -> _admin_bodies.DeleteRequest:
    raw: dict[str, object] = {}
    for key, values in request.get_args(keep_blank_values=True).items():
        # Of two values one would be passed over without a word.
        if len(values) != 1:
            raise errors.InvalidRequest(f'{key}: given twice')
        raw[key] = values[0]
    number = raw.get('expected_version')
    if isinstance(number, str) and _NUMBER.fullmatch(number):
        raw['expected_version'] = int(number)
    if 'dry_run' in raw:
        raw['dry_run'] = _flag(request, 'dry_run')
    return structure.structure(raw, _admin_bodies.DeleteRequest)


_Body = typing.TypeVar('_Body')


def _read_body(request: sanic.Request, kind: type[_Body]) -> _Body:
    if len(request.body) > MAX_BODY_BYTES:
        raise errors.InvalidRequest(code=errors.ResultCode.BODY_TOO_LARGE)
    try:
        raw = json.loads(request.body, object_pairs_hook=_unique_keys)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRequest(
            f'not valid JSON: {error}', errors.ResultCode.MALFORMED_BODY
        ) from None
    try:
        return structure.structure(raw, kind)
    except errors.CheckFailed as error:
        raise errors.CheckFailed(
            error.problems, _code(error.problems)
        ) from error


def _unique_keys(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    # The parser keeps the last of two equal keys without a word, and an
    # operator would see no effect of the first.
    values = dict(pairs)
    if len(values) < len(pairs):
        raise ValueError('a key is given twice')
    return values


def _code(problems: tuple[errors.Problem, ...]) -> errors.ResultCode:
    inside = f'{_DOCUMENT_KEY}.'
    if all(problem.path.startswith(inside) for problem in problems):
        return errors.ResultCode.DOCUMENT_INVALID
    return errors.ResultCode.INVALID_FIELD


def _check_name(text: str) -> None:
    if not model.is_name(text):
        raise errors.InvalidRequest(code=errors.ResultCode.INVALID_IDENTIFIER)


def _check_target(document: model.Document, team: str, service: str) -> None:
    if document.service != service:
        raise errors.InvalidRequest(
            'the document is for another service than the path'
        )
    if document.team != team:
        raise errors.InvalidRequest(code=errors.ResultCode.FORBIDDEN)


def _check_owner(stored: model.StoredDocument, team: str) -> None:
    if stored.document.team != team:
        raise errors.InvalidRequest(code=errors.ResultCode.FORBIDDEN)
