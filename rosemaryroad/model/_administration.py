"""What the administration API answers and its callers read."""

import attrs

from rosemaryroad import structure

__all__ = ['DryRun', 'ServiceSummary']


@attrs.frozen
class DryRun:
    """What a change would do.

    Attributes:
        current_version: The version in force; None where there is none.
        diff: A unified diff of the YAML forms; empty where nothing
            would change.
    """

    current_version: int | None
    diff: str


@attrs.frozen
class ServiceSummary:
    """One line of the list of services.

    Attributes:
        service: The service.
        team: The team that owns it.
        version: Its latest version.
        change_number: The number of that change in the whole table.
        change_id: The operator's id for it.
        deleted: Whether the latest version deletes it.
    """

    service: str
    team: str
    version: int
    change_number: int
    change_id: str
    deleted: bool = attrs.field(default=False, metadata=structure.OMIT_DEFAULT)
