"""Request bodies that know whether any of their request may have left."""

import asyncio
import select
import typing

import aiohttp
import aiohttp.abc

__all__ = ['HeldBack', 'TrackedPayload']


class HeldBack(ConnectionError):
    """Nothing of the request was written."""


class TrackedPayload(aiohttp.BytesPayload):
    """A body that is not written on a connection that has ended.

    aiohttp holds the request's head back until the body's first bytes, so
    nothing has been written before ``write_with_length`` is called. An error
    up to then means "not run"; without this class a connection that the other
    end closed while it was idle would leave that unknown.

    Args:
        value: The body.
        **options: Passed on to the library.

    Attributes:
        may_have_left: Whether bytes of the request may have left.
    """

    def __init__(self, value: bytes, **options: typing.Any) -> None:
        super().__init__(value, **options)
        self.may_have_left = False

    async def write_with_length(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Writes head and body, or holds all of it back.

        Raises:
            HeldBack: Nothing was written.
        """
        transport = writer.transport
        if transport is None or transport.is_closing():
            raise HeldBack('the connection is closed')
        if _has_ended(transport):
            raise HeldBack('the other end has closed the connection')
        self.may_have_left = True
        await super().write_with_length(writer, content_length)


def _has_ended(transport: asyncio.Transport) -> bool:
    """Tells whether the kernel knows more than the loop has read so far.

    Nothing comes on a connection without a request but its end.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), select.POLLIN)
    return bool(poll.poll(0))
