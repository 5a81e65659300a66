"""Finds out which team a call counts for."""

import attrs

from rosemaryroad import tokens
from rosemaryroad.filters import _calls
from rosemaryroad.filters import _chain


class AuthenticateFilter(_chain.Filter):
    """Turns the bearer token into a team; no token means "public"."""

    def __init__(self, team_tokens: tokens.TeamTokens) -> None:
        self._team_tokens = team_tokens

    async def apply(
        self, call: _calls.Call, proceed: _chain.Handler
    ) -> _calls.Reply:
        """Hands on the call with its team.

        Raises:
            errors.Unauthenticated: The token is not valid.
        """
        token = call.context.token
        if token is None:
            return await proceed(call)
        team = self._team_tokens.team_of(token)
        context = attrs.evolve(call.context, team=team)
        if isinstance(call, _calls.Submit):
            submission = attrs.evolve(call.submission, team=team)
            call = attrs.evolve(call, submission=submission)
        return await proceed(attrs.evolve(call, context=context))
