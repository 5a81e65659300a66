"""Keeps the service documents in force at this entry VM."""

import collections.abc
import logging
import random

from rosemaryroad import _polling
from rosemaryroad import clock
from rosemaryroad import decisions
from rosemaryroad import documents
from rosemaryroad import logs
from rosemaryroad import model

POLL_INTERVAL_MS = 1000.0

# A document takes about 1 KB; a heartbeat with more would hold up those
# behind it on the same link.
HANDOVER_LIMIT = 16

_LOG = logging.getLogger(__name__)
_OnDocument = collections.abc.Callable[[model.StoredDocument], None]


class DocumentsController:
    """Follows the table service, and peers where they are ahead of it.

    Args:
        store: The documents in the table service.
        on_document: Called with each document that comes into force here;
            the versions of a service only ever grow.
        source: Where the jitter comes from.
        time: The clock.
        interval_ms: The usual time between two looks at the head.
    """

    def __init__(
        self,
        store: documents.DocumentStore,
        on_document: _OnDocument,
        source: random.Random,
        time: clock.Clock,
        interval_ms: float = POLL_INTERVAL_MS,
    ) -> None:
        self._store = store
        self._on_document = on_document
        self._versions = decisions.Versions()
        self._poller = _polling.Poller(
            'documents', self._read, interval_ms, source, time
        )

    @property
    def head(self) -> int:
        """The change number up to which no latest change is missing."""
        return self._versions.head

    def documents(self) -> tuple[model.StoredDocument, ...]:
        """Returns the documents in force, by change number."""
        return self._versions.documents()

    def age_ms(self) -> float | None:
        """Returns the age of the last good look at the table's head."""
        return self._poller.age_ms()

    def is_informed(self) -> bool:
        """Tells whether the table or a peer has told of any documents.

        To wait for the table alone would keep an entry VM that starts
        during an outage of the platform from serving what a peer told it.
        """
        return self.age_ms() is not None or bool(self.documents())

    async def run(self) -> None:
        """Follows the table service until it is cancelled."""
        await self._poller.run()

    async def poll_once(self) -> bool:
        """Looks at the table service once; False where that failed."""
        return await self._poller.once()

    def offer(self, stored: model.StoredDocument) -> None:
        """Takes a single document, such as one that was just accepted."""
        self._tell(self._versions.apply([stored]), 'offer')

    def offer_handover(self, handover: decisions.Handover) -> None:
        """Takes what a peer hands over."""
        self._tell(self._versions.merge(handover), 'peer')

    def handover_for(
        self, head: int, limit: int = HANDOVER_LIMIT
    ) -> decisions.Handover:
        """Chooses what to hand to a peer.

        Args:
            head: The head in the peer's last heartbeat.
            limit: The most documents to hand over at once.
        """
        return self._versions.lacked_by(head, limit)

    async def _read(self) -> None:
        # Whatever this reads may be old by the time it is used: a stale
        # replica answered, or the VM froze in between. The versions take
        # only what is newer, so there is nothing to check here.
        head = await self._store.read_head()
        if head <= self._versions.head:
            return
        handover = await self._store.changed_since(self._versions.head)
        self._tell(self._versions.merge(handover), 'table')

    def _tell(
        self, applied: tuple[model.StoredDocument, ...], origin: str
    ) -> None:
        for stored in applied:
            logs.event(
                _LOG,
                logging.INFO,
                'document_applied',
                service=stored.document.service,
                version=stored.version,
                change=stored.change_number,
                change_id=stored.change_id,
                origin=origin,
                deleted=stored.deleted,
            )
            self._on_document(stored)
