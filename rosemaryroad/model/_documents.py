"""The document that describes a service."""

import enum

import attrs

from rosemaryroad import structure
from rosemaryroad.model import _endpoints
from rosemaryroad.model import _identity

_v = attrs.validators


def _check_name(_: object, field: attrs.Attribute, value: str) -> None:
    if not _identity.is_name(value):
        raise ValueError(f'{field.name}: not a valid name: {value[:80]!r}')


class EndpointSource(enum.StrEnum):
    """Where a service's endpoints come from."""

    DOCUMENT = 'document'
    VM_LIST = 'vm_list'


@attrs.frozen
class EndpointsPolicy:
    """Where the endpoints come from.

    Attributes:
        source: The document itself, or the platform's VM list.
        listed: The endpoints, where the document is the source.
    """

    source: EndpointSource = EndpointSource.VM_LIST
    listed: tuple[_endpoints.Endpoint, ...] = ()

    def __attrs_post_init__(self) -> None:
        ids = [endpoint.id for endpoint in self.listed]
        if len(set(ids)) != len(ids):
            raise ValueError('two endpoints have the same id')
        if self.listed and self.source is not EndpointSource.DOCUMENT:
            raise ValueError('listed needs source: document')


@attrs.frozen
class Quota:
    """What one team may have in a service, over all entry VMs.

    Attributes:
        queued_tasks: Tasks that it may have waiting.
        running_tasks: Tasks that it may have out at endpoints.
        weight: Its share against other teams when all have work waiting.
    """

    queued_tasks: int = attrs.field(default=20000, validator=_v.ge(1))
    running_tasks: int = attrs.field(default=10000, validator=_v.ge(1))
    weight: float = attrs.field(default=1.0, validator=_v.gt(0))


@attrs.frozen
class Objective:
    """The service-level objective.

    Attributes:
        target: The share of answers that have to be good.
        lag_ms: How far a good answer may lag behind the ideal.
    """

    target: float = attrs.field(default=0.99)
    lag_ms: float = attrs.field(default=500.0, validator=_v.ge(0))

    @target.validator
    def _check_target(self, _: attrs.Attribute, value: float) -> None:
        if not 0 < value < 1:
            raise ValueError('target lies between 0 and 1')


@attrs.frozen
class Document:
    """What a team says of one of its services.

    Attributes:
        service: The service's name.
        team: The team that owns the document.
        endpoints: Where its endpoints come from.
        queue_tasks: How many tasks may wait at one entry VM.
        default_deadline_ms: For submissions that name none.
        max_deadline_ms: The longest deadline that a submission may name.
        quota: What each team may have, unless ``quotas`` names it.
        quotas: Quotas of single teams, by team.
        objective: The service-level objective.
    """

    service: str = attrs.field(validator=_check_name)
    team: str = attrs.field(validator=_check_name)
    endpoints: EndpointsPolicy = EndpointsPolicy()
    queue_tasks: int = attrs.field(default=20000, validator=_v.ge(1))
    default_deadline_ms: float = attrs.field(
        default=30_000.0, validator=_v.gt(0)
    )
    max_deadline_ms: float = attrs.field(default=600_000.0, validator=_v.gt(0))
    quota: Quota = Quota()
    quotas: dict[str, Quota] = attrs.field(factory=dict)
    objective: Objective = Objective()

    def __attrs_post_init__(self) -> None:
        if self.default_deadline_ms > self.max_deadline_ms:
            raise ValueError('default_deadline_ms is over max_deadline_ms')

    def quota_of(self, team: str) -> Quota:
        """Returns the quota that holds for a team."""
        return self.quotas.get(team, self.quota)


@attrs.frozen
class StoredDocument:
    """A document as the table service keeps it.

    Attributes:
        document: The document itself; that of ``tombstone`` where the
            service is deleted.
        version: Its version within the service, from 1.
        change_number: The number of the change in the whole table.
        change_id: The id that the operator gave to the change.
        deleted: Whether this version says that the service is deleted.
    """

    document: Document
    version: int
    change_number: int
    change_id: str
    deleted: bool = attrs.field(default=False, metadata=structure.OMIT_DEFAULT)


def tombstone(service: str, team: str) -> Document:
    """Returns the document that stands for a deleted service.

    It lists no endpoint: an entry VM from before deletions, which drops
    the mark, refuses all new work by it.

    Args:
        service: The service.
        team: The team that owned it, and goes on to own the name.
    """
    nowhere = EndpointsPolicy(EndpointSource.DOCUMENT)
    return Document(service, team, nowhere)
