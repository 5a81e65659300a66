"""A chain of filters around one handler."""

import abc
import collections.abc
import functools

from rosemaryroad.filters import _calls

Handler = collections.abc.Callable[
    [_calls.Call], collections.abc.Awaitable[_calls.Reply]
]


class Filter(abc.ABC):
    """One step that each call passes on its way in and out."""

    @abc.abstractmethod
    async def apply(self, call: _calls.Call, proceed: Handler) -> _calls.Reply:
        """Handles a call.

        Args:
            call: The call; it may be handed on changed.
            proceed: The rest of the chain.

        Returns:
            The reply, from the rest of the chain or one of its own.

        Raises:
            errors.RosemaryroadError: The call is refused.
        """


def chain(
    filters: collections.abc.Sequence[Filter], handler: Handler
) -> Handler:
    """Returns a handler that passes calls through the filters in order."""
    for item in reversed(filters):
        handler = functools.partial(_apply, item, handler)
    return handler


async def _apply(
    item: Filter, proceed: Handler, call: _calls.Call
) -> _calls.Reply:
    return await item.apply(call, proceed)
