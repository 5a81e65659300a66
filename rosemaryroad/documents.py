"""Service documents, kept in the platform's table service."""

import logging
import typing

from rosemaryroad import _document_reader
from rosemaryroad import _document_rows
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import platform

__all__ = ['DocumentStore']

_LOG = logging.getLogger(__name__)

# Rounds in which a change may lose to changes of other services, and
# sendings of one transaction whose answers are lost.
_ROUNDS = 10
_SENDINGS = 3


class DocumentStore(_document_reader.DocumentReader):
    """The documents in the table service, to read and to change.

    Args:
        table: The table service.
    """

    async def put(
        self,
        document: model.Document,
        expected_version: int | None,
        change_id: str,
    ) -> model.StoredDocument:
        """Changes or creates a document.

        The same change may be put again: it takes effect once.

        Args:
            document: The new document.
            expected_version: The version that it replaces, also one that
                says "deleted"; None to create under a name never used.
            change_id: The operator's id for this change; used for no other.

        Returns:
            What is stored.

        Raises:
            errors.DocumentRefused: VERSION_CONFLICT, another change came
                first; FORBIDDEN, the document is another team's;
                NAME_CONFLICT, the id was used for another change;
                WRITE_UNKNOWN, ask again with the same id.
            errors.PlatformUnavailable: This call changed nothing.
        """
        return await self._make(
            _document_rows.Change(document, expected_version or 0, change_id)
        )

    async def delete(
        self, service: str, team: str, expected_version: int, change_id: str
    ) -> model.StoredDocument:
        """Deletes a service, by a last version that says so.

        A row that is taken away would come back from any old copy. The
        version that says "deleted" stays for good, so it wins over every
        older one, whoever brings it.

        Args:
            service: The service.
            team: The team that owns it.
            expected_version: The version that is deleted, from 1.
            change_id: The operator's id for this change; used for no other.

        Returns:
            What is stored.

        Raises:
            errors.DocumentRefused: As ``put`` says.
            errors.InvalidRequest: UNKNOWN_SERVICE, the version expected
                says "deleted" itself.
            errors.PlatformUnavailable: This call changed nothing.
        """
        document = model.tombstone(service, team)
        return await self._make(
            _document_rows.Change(document, expected_version, change_id, True)
        )

    async def _make(
        self, change: _document_rows.Change
    ) -> model.StoredDocument:
        for _ in range(_ROUNDS):
            base = await self._read_base(change.document.service)
            made = await self._made_before(change)
            if made is None:
                await self._check(change, base)
                made = await self._commit(change, base)
            if made is not None:
                return made
        # Reads that stay behind, or a rush of changes to other services.
        raise errors.PlatformUnavailable(_document_reader.BEHIND)

    async def _check(
        self, change: _document_rows.Change, base: _document_rows.Base
    ) -> None:
        if base.stored and base.stored.document.team != change.document.team:
            raise errors.DocumentRefused(
                "the document is another team's",
                errors.ResultCode.FORBIDDEN,
            )
        if base.version < change.expected_version:
            raise errors.PlatformUnavailable(
                f'the newest version seen is {base.version}; there is no '
                f'version {change.expected_version}, or the reads are behind'
            )
        if base.version > change.expected_version:
            await self._refuse(change, base.version)
        # No sending of this change can have taken effect: what a version
        # says never changes, and none deletes a deleted service.
        if change.deletes and base.stored and base.stored.deleted:
            raise errors.InvalidRequest(
                f'deleted already, in version {base.version}',
                errors.ResultCode.UNKNOWN_SERVICE,
            )

    async def _refuse(
        self, change: _document_rows.Change, current: int
    ) -> typing.NoReturn:
        # The version may have moved by this very change, sent before and
        # not seen by a stale read. "Conflict" would then be untrue, and
        # the operator would make the change a second time. A transaction
        # is never stale; this one asks about the change's row, and can't
        # take effect, since no row has a version below 0.
        question = (
            platform.Put(_document_rows.CHANGES, change.change_id, '', 0),
            platform.Put(
                _document_rows.DOCUMENTS, change.document.service, '', -1
            ),
        )
        try:
            answer = await self._transact(change, question)
        except errors.WriteUnknown:
            raise _unknown(change) from None
        if _document_rows.touches(answer, _document_rows.CHANGES):
            raise _unknown(change)
        raise _conflict(change, current)

    async def _commit(
        self, change: _document_rows.Change, base: _document_rows.Base
    ) -> model.StoredDocument | None:
        """Makes a change; None where another service's change came first.

        A transaction whose answer was lost may have taken effect, or do so
        later. Sending the same conditions again is safe, since they hold
        at most once, and it settles the matter: a conflict on any other
        row than the change's own means that they never will.
        """
        puts = _document_rows.puts(change, base)
        for sending in range(_SENDINGS):
            try:
                answer = await self._transact(change, puts)
            except errors.WriteUnknown as error:
                logs.event(
                    _LOG,
                    logging.WARNING,
                    'change_answer_lost',
                    change_id=change.change_id,
                    sending=sending + 1,
                    detail=error.detail,
                )
                made = await self._read_back(change)
                if made is not None:
                    return made
            except errors.PlatformUnavailable:
                if sending:
                    break
                raise
            else:
                if isinstance(answer, platform.Committed):
                    return _document_rows.stored(change, base)
                return await self._after_conflict(change, answer)
        raise _unknown(change)

    async def _after_conflict(
        self, change: _document_rows.Change, conflict: platform.Conflict
    ) -> model.StoredDocument | None:
        if _document_rows.touches(conflict, _document_rows.CHANGES):
            made = await self._read_back(change)
            if made is None:
                raise _unknown(change)
            return made
        if _document_rows.touches(conflict, _document_rows.DOCUMENTS):
            raise _conflict(change, await self._read_newer(change))
        return None

    async def _read_back(
        self, change: _document_rows.Change
    ) -> model.StoredDocument | None:
        try:
            return await self._made_before(change)
        except errors.PlatformUnavailable:
            return None

    async def _made_before(
        self, change: _document_rows.Change
    ) -> model.StoredDocument | None:
        found = await self.find_change(change.change_id)
        if found is not None and (
            found.document != change.document
            or found.deleted != change.deletes
            or found.version != change.expected_version + 1
        ):
            raise errors.DocumentRefused(
                'this change id was used for another change',
                errors.ResultCode.NAME_CONFLICT,
            )
        return found

    async def _read_newer(self, change: _document_rows.Change) -> int | None:
        try:
            current = await self.get(change.document.service)
        except errors.PlatformUnavailable:
            return None
        if current is None or current.version <= change.expected_version:
            return None
        return current.version

    async def _transact(
        self, change: _document_rows.Change, puts: tuple[platform.Put, ...]
    ) -> platform.Committed | platform.Conflict:
        transaction = platform.Transaction(change.change_id, puts)
        return await self._table.transact(transaction)

    async def _read_base(self, service: str) -> _document_rows.Base:
        head_row = await self._table.read(
            _document_rows.HEAD, _document_rows.HEAD_KEY
        )
        row = await self._table.read(_document_rows.DOCUMENTS, service)
        return _document_rows.Base(
            (
                _document_rows.parse(head_row, _document_rows.Head)
                or _document_rows.Head()
            ).number,
            head_row.version if head_row else 0,
            _document_rows.parse(row, model.StoredDocument),
            row.version if row else 0,
        )


def _unknown(change: _document_rows.Change) -> errors.DocumentRefused:
    return errors.DocumentRefused(
        f'not known yet whether change {change.change_id} took effect; '
        'ask again with this id',
        errors.ResultCode.WRITE_UNKNOWN,
    )


def _conflict(
    change: _document_rows.Change, current: int | None
) -> errors.DocumentRefused:
    in_force = 'a newer one' if current is None else f'version {current}'
    return errors.DocumentRefused(
        f'another change came first: {in_force} is in force, not '
        f'version {change.expected_version}',
        current_version=current,
    )
