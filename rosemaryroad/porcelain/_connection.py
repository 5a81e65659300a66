"""How to reach the entry VMs, and calls to any one of them."""

import random
import typing

import attrs

from rosemaryroad import client
from rosemaryroad import clock as clock_module
from rosemaryroad import errors


@attrs.frozen
class Connection:
    """How to reach the entry VMs.

    Attributes:
        addresses: Entry VMs or balancers, as ``IP:port``.
        token: The team's bearer token, or None; never shown or logged.
        policy: How patient to be.
        clock: The time by which that is measured.
    """

    addresses: tuple[str, ...]
    token: str | None = attrs.field(default=None, repr=False)
    policy: client.RetryPolicy = client.RetryPolicy()
    clock: clock_module.Clock = attrs.field(
        factory=clock_module.Clock, repr=False, eq=False
    )


class Caller:
    """Calls any entry VM that answers; use it in ``async with``."""

    def __init__(self, connection: Connection) -> None:
        if not connection.addresses:
            raise ValueError('at least one address is needed')
        self._connection = connection
        self._policy = connection.policy
        self._transport = client.Transport(connection.token)

    async def __aenter__(self) -> 'Caller':
        await self._transport.__aenter__()
        return self

    async def __aexit__(self, *details: typing.Any) -> None:
        await self._transport.__aexit__(*details)

    def patience(self) -> client.Patience:
        """Returns pauses for a series of calls."""
        time = self._connection.clock
        return client.Patience(self._policy, time, random.Random())

    async def ask_at(
        self, address: str, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Makes one call at one address.

        Returns:
            The JSON body of the reply.

        Raises:
            client.Unanswered: There was no whole reply.
            errors.RosemaryroadError: What the reply says.
        """
        reply = await self._transport.call(
            address,
            method,
            path,
            timeout_ms=self._policy.wait_ms + self._policy.margin_ms,
            body=body,
        )
        if reply.error is not None:
            raise reply.error
        return reply.body

    async def ask(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Makes a call that changes nothing at whichever VM answers first.

        Raises:
            errors.RosemaryroadError: What the reply says, or that there
                is none at any address.
        """
        return await self.ask_until(self.patience(), method, path, body)

    async def ask_until(
        self,
        patience: client.Patience,
        method: str,
        path: str,
        body: typing.Any = None,
    ) -> typing.Any:
        """Makes a call that may be repeated; see ``ask``.

        Raises:
            client.Unanswered: There was no reply; it tells whether any of
                the calls may have arrived.
            errors.RosemaryroadError: What the reply says.
        """
        arrived = False
        while True:
            last: errors.RosemaryroadError | None = None
            for address in self._connection.addresses:
                try:
                    return await self.ask_at(address, method, path, body)
                except client.Unanswered as error:
                    arrived = arrived or error.may_have_arrived
                    last = client.Unanswered(error.detail, arrived)
                except errors.RosemaryroadError as error:
                    if error.code is not errors.ResultCode.DRAINING:
                        raise
                    last = error
            await patience.pause(typing.cast(Exception, last))
