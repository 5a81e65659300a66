"""Which version of each document is in force at this entry VM."""

import collections.abc

import attrs

from rosemaryroad import model


@attrs.frozen
class Handover:
    """What one holder of documents tells another that is behind.

    Attributes:
        since: The receiver's head against which this was chosen.
        through: The change number up to which nothing is left out: every
            service whose latest change lies after ``since`` and not
            after ``through`` is among the documents.
        documents: The documents, in the order of their change numbers.
    """

    since: int
    through: int
    documents: tuple[model.StoredDocument, ...]

    def first(self, count: int) -> 'Handover':
        """Returns the same, cut to its first documents."""
        if count >= len(self.documents):
            return self
        chosen = self.documents[:count]
        last = chosen[-1].change_number if chosen else self.since
        return Handover(self.since, min(self.through, last), chosen)


class Versions:
    """The highest version of each service's document, and the head.

    No service whose latest change is numbered at or below the head has an
    older version here. The head and the versions only ever grow, so what
    a stale read or a peer that is behind tells changes nothing, in
    whatever order it comes. Without this, a change that was in force
    would be undone by an old copy, and an operator would see the old
    setting come back.
    """

    def __init__(self) -> None:
        self._stored_by_service: dict[str, model.StoredDocument] = {}
        self._head = 0

    @property
    def head(self) -> int:
        """The change number up to which no latest change is missing."""
        return self._head

    def documents(self) -> tuple[model.StoredDocument, ...]:
        """Returns the documents in force, by change number."""
        return tuple(
            sorted(
                self._stored_by_service.values(),
                key=lambda stored: stored.change_number,
            )
        )

    def get(self, service: str) -> model.StoredDocument | None:
        """Returns the document in force for a service, or None."""
        return self._stored_by_service.get(service)

    def apply(
        self, documents: collections.abc.Iterable[model.StoredDocument]
    ) -> tuple[model.StoredDocument, ...]:
        """Puts documents in force where they are newer.

        Args:
            documents: Single documents; others may lie between them.

        Returns:
            Those that are in force now and were not before.
        """
        applied = tuple(
            stored for stored in documents if self._replace(stored)
        )
        self._advance()
        return tuple(
            stored
            for stored in applied
            if self._stored_by_service[stored.document.service] is stored
        )

    def merge(self, handover: Handover) -> tuple[model.StoredDocument, ...]:
        """Puts the documents of a handover in force where they are newer.

        Returns:
            Those that are in force now and were not before.
        """
        applied = self.apply(handover.documents)
        # A handover chosen against a higher head leaves out what lies
        # between. To move the head over that would lose those changes: a
        # restarted entry VM gets such a handover, meant for the life
        # before, and would never ask for what it lacks.
        if handover.since <= self._head < handover.through:
            self._head = handover.through
            self._advance()
        return applied

    def lacked_by(self, head: int, limit: int) -> Handover:
        """Chooses what to hand to a peer that is behind.

        Args:
            head: The peer's head.
            limit: The most documents to choose.

        Returns:
            The documents with the lowest change numbers above its head.
        """
        lacked = tuple(
            stored
            for stored in self.documents()
            if stored.change_number > head
        )
        return Handover(head, self._head, lacked).first(limit)

    def _replace(self, stored: model.StoredDocument) -> bool:
        service = stored.document.service
        present = self._stored_by_service.get(service)
        if present is not None and present.version >= stored.version:
            return False
        self._stored_by_service[service] = stored
        return True

    def _advance(self) -> None:
        numbers = {
            stored.change_number for stored in self._stored_by_service.values()
        }
        while self._head + 1 in numbers:
            self._head += 1
