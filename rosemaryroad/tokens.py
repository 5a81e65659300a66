"""Bearer tokens of teams and the secret of the entry VMs."""

import hmac
import pathlib

import attrs

from rosemaryroad import errors
from rosemaryroad import settings
from rosemaryroad import yamlfile

__all__ = ['Secrets', 'TeamTokens', 'load', 'load_secret', 'read']

MIN_SECRET_CHARS = 16


@attrs.frozen
class TeamTokens:
    """The tokens of the teams.

    Attributes:
        by_team: One token each; never shown or logged.
    """

    by_team: dict[str, str] = attrs.field(factory=dict, repr=False)

    def team_of(self, token: str) -> str:
        """Returns the team that a token belongs to.

        Raises:
            errors.Unauthenticated: It belongs to none.
        """
        found = None
        # Header bytes that are no text arrive as lone surrogates.
        given = token.encode(errors='surrogateescape')
        for team, known in self.by_team.items():
            # Every token is compared, and in constant time, so that the
            # time taken tells nothing of the tokens.
            if hmac.compare_digest(known.encode(), given):
                found = team
        if found is None:
            raise errors.Unauthenticated()
        return found


@attrs.frozen
class Secrets:
    """The secrets that the settings name.

    Attributes:
        peer_secret: By which entry VMs know each other.
        team_tokens: By which teams are known.
    """

    peer_secret: str = attrs.field(repr=False)
    team_tokens: TeamTokens


def read(files: settings.Secrets) -> Secrets:
    """Reads the files that the settings name.

    Raises:
        errors.CheckFailed: One can't be read or is malformed.
    """
    tokens_file = files.team_tokens_file
    return Secrets(
        load_secret(pathlib.Path(files.peer_secret_file)),
        load(None if tokens_file is None else pathlib.Path(tokens_file)),
    )


def load(path: pathlib.Path | None) -> TeamTokens:
    """Reads the tokens file, a YAML mapping of teams to tokens.

    Raises:
        errors.CheckFailed: It is unreadable or not such a mapping.
    """
    if path is None:
        return TeamTokens()
    try:
        raw = yamlfile.load(path)
    except errors.CheckFailed:
        # The parser's own words quote the line, and so a token, which
        # would then stand in the log of every start.
        raise _bad_tokens(errors.ResultCode.UNREADABLE) from None
    if not isinstance(raw, dict) or not all(
        isinstance(team, str) and isinstance(token, str)
        for team, token in raw.items()
    ):
        raise _bad_tokens(errors.ResultCode.WRONG_TYPE)
    # With one token for two teams, each would open the other's documents.
    too_short = any(len(token) < MIN_SECRET_CHARS for token in raw.values())
    if too_short or len(set(raw.values())) < len(raw):
        raise _bad_tokens(errors.ResultCode.INVALID_VALUE)
    return TeamTokens(raw)


def load_secret(path: pathlib.Path) -> str:
    """Reads the secret by which entry VMs know each other.

    Raises:
        errors.CheckFailed: It is unreadable, or too short to be one.
    """
    try:
        text = path.read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _bad_secret(errors.ResultCode.UNREADABLE, str(error)) from error
    if len(text) < MIN_SECRET_CHARS:
        detail = f'at least {MIN_SECRET_CHARS} characters'
        raise _bad_secret(errors.ResultCode.INVALID_VALUE, detail)
    return text


def _bad_tokens(code: errors.ResultCode) -> errors.CheckFailed:
    detail = (
        'a mapping of teams to tokens, each its own and of at least '
        f'{MIN_SECRET_CHARS} characters'
    )
    problem = errors.Problem('secrets.team_tokens_file', code, detail)
    return errors.CheckFailed((problem,))


def _bad_secret(code: errors.ResultCode, detail: str) -> errors.CheckFailed:
    problem = errors.Problem('secrets.peer_secret_file', code, detail)
    return errors.CheckFailed((problem,))
