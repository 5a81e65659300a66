"""Reading service documents from the platform's table service."""

from rosemaryroad import _document_rows
from rosemaryroad import decisions
from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad import platform

__all__ = ['BEHIND', 'DocumentReader']

BEHIND = 'the reads of the table service are behind; try again'

_SCAN_LIMIT = 100_000

# Behind by more than this, reading all documents takes fewer reads than
# following the changes one by one.
_FOLLOW_LIMIT = 50


class DocumentReader:
    """Reads the documents in the table service.

    Args:
        table: The table service.
    """

    def __init__(self, table: platform.TableService) -> None:
        self._table = table

    async def get(self, service: str) -> model.StoredDocument | None:
        """Reads the latest version of a service, also one deleted.

        A stale read gives an older version.

        Raises:
            errors.PlatformUnavailable: The table service doesn't answer.
        """
        row = await self._table.read(_document_rows.DOCUMENTS, service)
        return _document_rows.parse(row, model.StoredDocument)

    async def list(self) -> tuple[model.StoredDocument, ...]:
        """Reads all latest versions, as of one moment, by service.

        Those of deleted services are among them.

        Raises:
            errors.PlatformUnavailable: The table service doesn't answer,
                or has more services than are read.
        """
        found = await self._table.scan(
            _document_rows.DOCUMENTS, limit=_SCAN_LIMIT
        )
        # Deleted services keep their rows. Cut off without a word at the
        # limit, the last services would be unknown at every entry VM that
        # starts; nobody would see why.
        if len(found) >= _SCAN_LIMIT:
            raise errors.PlatformUnavailable(
                f'{_SCAN_LIMIT} services or more, deleted ones among them'
            )
        return _document_rows.parse_documents(found)

    async def history(self, service: str) -> tuple[model.StoredDocument, ...]:
        """Reads all versions of a service's document, oldest first.

        Raises:
            errors.PlatformUnavailable: The table service doesn't answer.
        """
        found = await self._table.scan(
            _document_rows.HISTORY, prefix=f'{service}/', limit=_SCAN_LIMIT
        )
        return _document_rows.parse_documents(found)

    async def read_head(self) -> int:
        """Reads the latest change number; 0 before the first change.

        Raises:
            errors.PlatformUnavailable: The table service doesn't answer.
        """
        row = await self._table.read(
            _document_rows.HEAD, _document_rows.HEAD_KEY
        )
        return (
            _document_rows.parse(row, _document_rows.Head)
            or _document_rows.Head()
        ).number

    async def find_change(self, change_id: str) -> model.StoredDocument | None:
        """Finds what a change made.

        Returns:
            The document as the change left it, or None where no change of
            this id is seen. It may still take effect where its answer was
            lost, and a stale read may not see it yet.

        Raises:
            errors.PlatformUnavailable: The table service doesn't answer.
        """
        row = await self._table.read(_document_rows.CHANGES, change_id)
        reference = _document_rows.parse(row, _document_rows.Reference)
        if reference is None:
            return None
        row = await self._read_history(reference)
        return _document_rows.parse(row, model.StoredDocument)

    async def changed_since(self, number: int) -> decisions.Handover:
        """Reads what changed after a change number.

        Args:
            number: A change number, such as an entry VM's head.

        Raises:
            errors.PlatformUnavailable: The table service doesn't answer,
                or some of its reads are behind others.
        """
        found = await self._table.scan(
            _document_rows.NUMBERS,
            after=_document_rows.number_key(number),
            limit=_FOLLOW_LIMIT + 1,
        )
        if number == 0 or len(found) > _FOLLOW_LIMIT:
            return await self._everything()
        references = [
            _document_rows.parse(row, _document_rows.Reference)
            for row in found
        ]
        latest_by_service = {item.service: item for item in references}
        documents = [
            await self._read_history(item)
            for item in latest_by_service.values()
        ]
        if None in documents:
            raise errors.PlatformUnavailable(BEHIND)
        through = int(found[-1].key) if found else number
        readable = _document_rows.parse_documents(tuple(documents))
        return decisions.Handover(number, through, readable)

    async def _read_history(
        self, reference: _document_rows.Reference
    ) -> platform.Row | None:
        key = _document_rows.history_key(reference.service, reference.version)
        return await self._table.read(_document_rows.HISTORY, key)

    async def _everything(self) -> decisions.Handover:
        # All rows are of one moment, and every change up to the highest
        # number among them had been made by then.
        documents = await self.list()
        numbers = [stored.change_number for stored in documents]
        return decisions.Handover(0, max(numbers, default=0), documents)
