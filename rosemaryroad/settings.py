"""The settings of one daemon, read from YAML and checked whole."""

import enum
import ipaddress
import json
import pathlib

import attrs

from rosemaryroad import _settings_parts
from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad import structure
from rosemaryroad import yamlfile

__all__ = [
    'Drain',
    'Limits',
    'Listen',
    'Log',
    'LogLevel',
    'Peer',
    'PeersFrom',
    'Platform',
    'Secrets',
    'Settings',
    'load',
    'parse',
]

Log = _settings_parts.Log
LogLevel = _settings_parts.LogLevel

_MS_PER_MINUTE = 60_000.0
_MS_PER_DAY = 24 * 60 * _MS_PER_MINUTE
_MEBIBYTE = 1024 * 1024
_MAX_COUNT = 10_000_000
_MAX_BYTES = 64 * 1024 * _MEBIBYTE
_MAX_PORT = 65_535


def _name(_: object, field: attrs.Attribute, value: str) -> None:
    if not model.is_name(value):
        raise ValueError(f'{field.name}: not a valid name: {value[:80]!r}')


def _address(_: object, __: attrs.Attribute, value: str) -> None:
    model.Address.parse(value)


def _listen_address(_: object, __: attrs.Attribute, value: str) -> None:
    # Port 0 asks the operating system for a free port, so it can stand
    # here but never in an address that others connect to.
    host, colon, port = value.rpartition(':')
    if not colon or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(f'not an IP:port address: {value!r}')
    ipaddress.ip_address(host.strip('[]'))


def _file_name(_: object, field: attrs.Attribute, value: str) -> None:
    if not value or '\0' in value:
        raise ValueError(f'{field.name}: not a file name')


def _duration(default: float, low: float, high: float) -> float:
    return attrs.field(
        default=default, validator=_settings_parts.between(low, high)
    )


def _count(default: int) -> int:
    return attrs.field(
        default=default, validator=_settings_parts.between(1, _MAX_COUNT)
    )


def _size(default: int, most: int = _MAX_BYTES) -> int:
    return attrs.field(
        default=default, validator=_settings_parts.between(1024, most)
    )


class PeersFrom(enum.StrEnum):
    """Where the daemon learns of the other entry VMs."""

    SETTINGS = 'settings'
    VM_LIST = 'vm_list'


@attrs.frozen
class Listen:
    """Where the daemon listens.

    Attributes:
        callers: ``IP:port`` for callers and operators, over HTTP.
        peers: ``IP:port`` for the other entry VMs, over websockets.
    """

    callers: str = attrs.field(validator=_listen_address)
    peers: str = attrs.field(validator=_listen_address)

    def write(self, path: pathlib.Path) -> None:
        """Writes the addresses as JSON, for whoever waits for the file.

        Raises:
            OSError: The file can't be written.
        """
        # A reader that polls for the file must never see half of it.
        part = path.with_suffix('.part')
        part.write_text(json.dumps(structure.unstructure(self)))
        part.replace(path)


@attrs.frozen
class Peer:
    """Another entry VM.

    Attributes:
        vm: Its id.
        address: Where it listens for peers, as ``IP:port``.
    """

    vm: str = attrs.field(validator=_name)
    address: str = attrs.field(validator=_address)


@attrs.frozen
class Platform:
    """Where the platform's services are.

    Attributes:
        table: The table service, as ``IP:port``.
        vm_list: The VM list, as ``IP:port``.
        timeout_ms: How long one call of them may take.
    """

    table: str = attrs.field(validator=_address)
    vm_list: str = attrs.field(validator=_address)
    timeout_ms: float = _duration(1_000.0, 1.0, _MS_PER_MINUTE)


@attrs.frozen
class Secrets:
    """Files that hold secrets; the settings themselves hold none.

    Attributes:
        peer_secret_file: The secret by which entry VMs know each other.
        team_tokens_file: The teams' bearer tokens; without it no caller
            can authenticate, and every caller is the team "public".
    """

    peer_secret_file: str = attrs.field(validator=_file_name)
    team_tokens_file: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_file_name)
    )


@attrs.frozen
class Limits:
    """What one daemon accepts and keeps.

    Attributes:
        max_body_bytes: The largest request body.
        max_tasks: The most tasks of one submission.
        max_sessions: The most sessions held at once.
        max_names: The most names remembered, of all sessions. A name is
            kept for its session's whole life.
        max_held_bytes: The most memory of unanswered submissions, with
            their payloads and the results so far.
        max_answer_bytes: The most bytes of results in one answer; it has
            to fit into one message between entry VMs.
        session_idle_ms: A session that is not used for so long ends.
        kept_answers: The most answers kept for repeated requests.
        kept_answer_bytes: The most bytes of answers kept.
        answer_ms: How long an answer is kept after it was given.
        wait_ms: The longest wait of one call; a client waits longer by
            calling again.
    """

    max_body_bytes: int = _size(16 * _MEBIBYTE)
    max_tasks: int = _count(1_500)
    max_sessions: int = _count(10_000)
    max_names: int = _count(500_000)
    max_held_bytes: int = _size(256 * _MEBIBYTE)
    max_answer_bytes: int = _size(24 * _MEBIBYTE, 24 * _MEBIBYTE)
    session_idle_ms: float = _duration(
        10 * _MS_PER_MINUTE, 1_000.0, _MS_PER_DAY
    )
    kept_answers: int = _count(10_000)
    kept_answer_bytes: int = _size(64 * _MEBIBYTE)
    answer_ms: float = _duration(2 * _MS_PER_MINUTE, 1.0, _MS_PER_DAY)
    wait_ms: float = _duration(30_000.0, 1.0, 10 * _MS_PER_MINUTE)


@attrs.frozen
class Drain:
    """How the daemon leaves.

    Attributes:
        limit_ms: How long it may go on for the submissions that it holds;
            the platform stops the VM after that.
    """

    limit_ms: float = _duration(10 * _MS_PER_MINUTE, 1.0, _MS_PER_DAY)


@attrs.frozen
class Settings:
    """All settings of one daemon.

    Attributes:
        vm: The id of this entry VM.
        failure_domain: Where it stands.
        region: The region of the failure domain, for logs.
        listen: Where it listens.
        platform: Where the platform's services are.
        secrets: Files that hold secrets.
        peers_from: Where it learns of the other entry VMs.
        peers: The other entry VMs, where the settings list them.
        ready_file: A file to write the chosen addresses into once the
            daemon listens, or None.
        limits: What it accepts and keeps.
        drain: How it leaves.
        log: What it logs.
    """

    vm: str = attrs.field(validator=_name)
    failure_domain: str = attrs.field(validator=_name)
    region: str = attrs.field(validator=_name)
    listen: Listen
    platform: Platform
    secrets: Secrets
    peers_from: PeersFrom = PeersFrom.VM_LIST
    peers: tuple[Peer, ...] = ()
    ready_file: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_file_name)
    )
    limits: Limits = Limits()
    drain: Drain = Drain()
    log: Log = Log()


def parse(raw: object) -> Settings:
    """Reads settings from mappings, lists and scalars.

    Raises:
        errors.SettingsInvalid: With one problem for each fault.
    """
    try:
        settings = structure.structure(raw, Settings)
    except errors.CheckFailed as error:
        raise errors.SettingsInvalid(error.problems) from error
    problems = tuple(_contradictions(settings))
    if problems:
        raise errors.SettingsInvalid(problems)
    return settings


def load(path: pathlib.Path) -> Settings:
    """Reads a settings file.

    Raises:
        errors.SettingsInvalid: With one problem for each fault.
    """
    try:
        raw = yamlfile.load(path)
    except errors.CheckFailed as error:
        raise errors.SettingsInvalid(error.problems, error.code) from error
    return parse(raw)


def _contradictions(settings: Settings) -> list[errors.Problem]:
    problems = []
    from_list = settings.peers_from is PeersFrom.VM_LIST
    if settings.peers and from_list:
        problems.append(_invalid('peers', 'needs peers_from: settings'))
    seen = {settings.vm}
    for index, peer in enumerate(settings.peers):
        if peer.vm in seen:
            problems.append(
                _invalid(f'peers[{index}].vm', f'given twice: {peer.vm}')
            )
        seen.add(peer.vm)
    return problems


def _invalid(path: str, detail: str) -> errors.Problem:
    return errors.Problem(path, errors.ResultCode.INVALID_VALUE, detail)
