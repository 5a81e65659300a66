"""The records of the platform's VM list."""

import collections.abc
import enum
import logging
import typing

import attrs

from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import structure

_LOG = logging.getLogger(__name__)


class VmKind(enum.StrEnum):
    """What a VM is for."""

    ENTRY = 'entry'
    ENDPOINT = 'endpoint'


class VmState(enum.StrEnum):
    """Whether a VM stays."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class VmRecord:
    """One VM of the list.

    Attributes:
        vm: Its id.
        kind: What it is for.
        failure_domain: Where it stands.
        incarnation: The life of it that is listed.
        state: Whether it stays.
        service: The service of an endpoint VM; empty for an entry VM.
        address: Where callers, or entry VMs, reach it, as ``IP:port``.
        peer_address: Where an entry VM's peers reach it, as ``IP:port``.
        slots: Tasks that an endpoint runs at once.
        connections: Connections that an endpoint accepts.
        cores: Its processor cores.
        memory_mb: Its memory, in megabytes.
        accelerators: Its accelerators.
    """

    vm: str
    kind: VmKind
    failure_domain: str
    incarnation: str
    state: VmState = VmState.LIVE
    service: str = ''
    address: str = ''
    peer_address: str = ''
    slots: int = 8
    connections: int = 64
    cores: float = 1.0
    memory_mb: int = 1024
    accelerators: int = 0

    def __attrs_post_init__(self) -> None:
        if self.kind is VmKind.ENDPOINT:
            self.endpoint()
        else:
            model.Address.parse(self.peer_address)

    def endpoint(self) -> model.Endpoint:
        """Returns the endpoint that this VM is.

        Raises:
            ValueError: The record's address or a size makes no sense.
        """
        return model.Endpoint(
            id=self.vm,
            address=self.address,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            slots=self.slots,
            connections=self.connections,
            cores=self.cores,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
            leaving=self.state is VmState.LEAVING,
        )


def read_records(
    raw: collections.abc.Iterable[dict[str, typing.Any]],
) -> tuple[VmRecord, ...]:
    """Reads the records that make sense, and logs the others."""
    records = [_read_record(item) for item in raw]
    return tuple(item for item in records if item is not None)


_FIELDS = frozenset(field.name for field in attrs.fields(VmRecord))


def _read_record(raw: dict[str, typing.Any]) -> VmRecord | None:
    # The list is the platform's: a field that it adds one day, or one bad
    # record, would otherwise take all endpoints away at once, which one
    # would notice as "no endpoint" refusals from every service.
    known = {key: value for key, value in raw.items() if key in _FIELDS}
    try:
        return structure.structure(known, VmRecord)
    except errors.CheckFailed as error:
        logs.event(
            _LOG,
            logging.WARNING,
            'vm_record_skipped',
            vm=raw.get('vm'),
            problems=error,
        )
        return None
