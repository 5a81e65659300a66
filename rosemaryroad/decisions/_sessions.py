"""Sessions and the names that callers have used in them.

A name is kept for the whole life of its session, so there is no moment at
which a repeated name could pass for a new one. Sessions of this
incarnation that are not in the book have ended: nobody else issues them.
"""

import collections
import enum

import attrs

from rosemaryroad import errors
from rosemaryroad import model


@attrs.frozen
class SessionLimits:
    """Bounds on what the book holds.

    Attributes:
        sessions: Open sessions.
        names: Names in one session.
        names_in_all: Names in all sessions together.
        idle_ms: How long a session lives without any call.
        answers: Answers that are kept.
        answer_bytes: Bytes of results that are kept.
        answer_ms: How long an answer is kept.
    """

    sessions: int = 20_000
    names: int = 10_000
    names_in_all: int = 500_000
    idle_ms: float = 600_000.0
    answers: int = 50_000
    answer_bytes: int = 64_000_000
    answer_ms: float = 120_000.0


class NameState(enum.Enum):
    """What became of a name."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    DROPPED = 'dropped'


@attrs.define(eq=False)
class NameRecord:
    """One name that was used in a session.

    Attributes:
        digest: Tells another body under the same name.
        state: What became of it.
        answer: The whole answer while it is kept.
    """

    digest: bytes
    state: NameState = NameState.RUNNING
    answer: model.Answer | None = None


@attrs.define(eq=False)
class _Session:
    used: float
    running: int = 0
    by_name: dict[str, NameRecord] = attrs.field(factory=dict)


@attrs.frozen(eq=False)
class _Kept:
    until: float
    size: int
    record: NameRecord


class SessionBook:
    """The sessions that one incarnation has opened."""

    def __init__(self, home: model.Incarnation, limits: SessionLimits) -> None:
        self._home = home
        self._limits = limits
        # Ordered by last use, so that expiry looks only at the oldest.
        self._by_id: collections.OrderedDict[str, _Session] = (
            collections.OrderedDict()
        )
        self._kept: collections.deque[_Kept] = collections.deque()
        self._kept_bytes = 0
        self._names = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def open(self, secret: str, now: float) -> model.SessionId:
        """Opens a session.

        Args:
            secret: A fresh random text, the part that can't be guessed.
            now: The present time in milliseconds.

        Raises:
            errors.RefusedError: The book is full.
        """
        self.expire(now)
        if len(self._by_id) >= self._limits.sessions:
            raise errors.RefusedError(
                errors.ResultCode.TOO_MANY_SESSIONS,
                errors.Run.NOT_RUN,
                retry_after_ms=self._limits.idle_ms / 10,
            )
        session = model.SessionId(self._home, secret)
        self._by_id[str(session)] = _Session(used=now)
        return session

    def touch(self, session: model.SessionId, now: float) -> bool:
        """Notes a use of a session; tells whether it is open."""
        found = self._by_id.get(str(session))
        if found is None:
            return False
        found.used = now
        self._by_id.move_to_end(str(session))
        return True

    def find(self, key: model.SubmissionKey) -> NameRecord | None:
        """Returns what is known of a name."""
        session = self._by_id.get(str(key.session))
        return session.by_name.get(key.name) if session else None

    def is_open(self, session: model.SessionId) -> bool:
        """Tells whether a session is open."""
        return str(session) in self._by_id

    def has_room(self, key: model.SubmissionKey) -> bool:
        """Tells whether the session may take another name."""
        session = self._by_id.get(str(key.session))
        names = len(session.by_name) if session else 0
        return session is not None and names < self._limits.names

    def is_full(self) -> bool:
        """Tells whether no session may take another name."""
        return self._names >= self._limits.names_in_all

    def add(self, key: model.SubmissionKey, digest: bytes) -> None:
        """Records a name before anything of it is started."""
        session = self._by_id[str(key.session)]
        session.by_name[key.name] = NameRecord(digest)
        session.running += 1
        self._names += 1

    def answered(
        self, key: model.SubmissionKey, answer: model.Answer, now: float
    ) -> None:
        """Keeps an answer for those who ask again."""
        session = self._by_id.get(str(key.session))
        if session is None:
            return
        record = session.by_name[key.name]
        session.running -= 1
        record.state = NameState.ANSWERED
        record.answer = answer
        size = sum(len(result) for result in answer.results)
        self._kept.append(_Kept(now + self._limits.answer_ms, size, record))
        self._kept_bytes += size
        self._drop_answers(now)

    def end(self, session: model.SessionId) -> tuple[str, ...]:
        """Ends a session for good; returns its unanswered names."""
        found = self._by_id.pop(str(session), None)
        if found is None:
            return ()
        self._names -= len(found.by_name)
        return tuple(
            name
            for name, record in found.by_name.items()
            if record.state is NameState.RUNNING
        )

    def expire(self, now: float) -> None:
        """Ends sessions that nobody uses and drops old answers."""
        self._drop_answers(now)
        horizon = now - self._limits.idle_ms
        for key, session in list(self._oldest()):
            if session.used > horizon:
                break
            if session.running:
                session.used = now
                self._by_id.move_to_end(key)
            else:
                del self._by_id[key]
                self._names -= len(session.by_name)

    def _oldest(self) -> list[tuple[str, _Session]]:
        oldest = []
        for item in self._by_id.items():
            oldest.append(item)
            if len(oldest) == _EXPIRY_BATCH:
                break
        return oldest

    def _drop_answers(self, now: float) -> None:
        while self._kept and self._must_drop(self._kept[0], now):
            kept = self._kept.popleft()
            self._kept_bytes -= kept.size
            kept.record.state = NameState.DROPPED
            kept.record.answer = None

    def _must_drop(self, oldest: _Kept, now: float) -> bool:
        return (
            oldest.until <= now
            or len(self._kept) > self._limits.answers
            or self._kept_bytes > self._limits.answer_bytes
        )


_EXPIRY_BATCH = 64
