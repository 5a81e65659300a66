"""Names of processes, sessions and submissions."""

import re

import attrs

from rosemaryroad import errors

_NAME = re.compile(r'[A-Za-z0-9_-][A-Za-z0-9_.-]{0,127}')
_SEPARATOR = '~'
_INCARNATION_PARTS = 3


def is_name(text: str) -> bool:
    """Tells whether a text may name a VM, service, team or submission."""
    return _NAME.fullmatch(text) is not None


@attrs.frozen
class Incarnation:
    """One life of the daemon on one VM.

    A restarted daemon has lost its memory of what it started, so it must
    never be taken for the one before it; the start time and the nonce
    tell the two apart even under the same VM id and address.

    Attributes:
        vm: The id of the entry VM.
        started: Wall-clock milliseconds at the start; it only orders lives.
        nonce: A random part, for two starts within one millisecond.
    """

    vm: str
    started: int
    nonce: str

    def __str__(self) -> str:
        return _SEPARATOR.join((self.vm, str(self.started), self.nonce))

    @classmethod
    def parse(cls, text: str) -> 'Incarnation':
        """Reads the text form.

        Raises:
            errors.InvalidRequest: The text is not an incarnation.
        """
        parts = text.split(_SEPARATOR)
        if len(parts) != _INCARNATION_PARTS or not all(
            is_name(part) for part in parts
        ):
            raise _bad_identifier(text)
        if not parts[1].isdecimal():
            raise _bad_identifier(text)
        return cls(parts[0], int(parts[1]), parts[2])


@attrs.frozen
class SessionId:
    """The id of a session; it names the incarnation that issued it.

    Attributes:
        home: The only incarnation that may start the session's tasks.
        secret: A random part; it also keeps ids from being guessed.
    """

    home: Incarnation
    secret: str

    def __str__(self) -> str:
        return f'{self.home}{_SEPARATOR}{self.secret}'

    @classmethod
    def parse(cls, text: str) -> 'SessionId':
        """Reads the text form.

        Raises:
            errors.InvalidRequest: The text is not a session id.
        """
        head, separator, secret = text.rpartition(_SEPARATOR)
        if not separator or not is_name(secret):
            raise _bad_identifier(text)
        return cls(Incarnation.parse(head), secret)


@attrs.frozen
class SubmissionKey:
    """What names one submission everywhere.

    Attributes:
        session: The session's id.
        name: The caller's name for the submission within the session.
    """

    session: SessionId
    name: str

    def __str__(self) -> str:
        return f'{self.session}/{self.name}'


def _bad_identifier(text: str) -> errors.InvalidRequest:
    return errors.InvalidRequest(
        f'not a valid id: {text[:80]!r}', errors.ResultCode.INVALID_IDENTIFIER
    )
