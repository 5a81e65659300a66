"""What operators send to the administration API and get from it."""

import attrs

from rosemaryroad import model


@attrs.frozen
class ChangeRequest:
    """The body of a request that changes a document.

    Attributes:
        document: The new document.
        change_id: The operator's id for this change, used for no other.
        expected_version: The version that it replaces; None to create.
        dry_run: Only check it, and tell what would change.
    """

    document: model.Document
    change_id: str
    expected_version: int | None = None
    dry_run: bool = False


@attrs.frozen
class DeleteRequest:
    """The query of a request that deletes a service.

    It has no body, since those of DELETE may be dropped on the way.

    Attributes:
        expected_version: The version that is deleted.
        change_id: The operator's id for this change, used for no other.
        dry_run: Only check it, and tell what would change.
    """

    expected_version: int = attrs.field(validator=attrs.validators.ge(1))
    change_id: str
    dry_run: bool = False


@attrs.frozen
class ValidateRequest:
    """The body of a request that only checks a document."""

    document: model.Document


@attrs.frozen
class ServiceList:
    """The services of the caller's team, the deleted ones if asked for."""

    services: tuple[model.ServiceSummary, ...]


@attrs.frozen
class History:
    """All versions of a service's document, oldest first."""

    versions: tuple[model.StoredDocument, ...]


@attrs.frozen
class Valid:
    """The reply to a document that passes its checks."""

    valid: bool = True
