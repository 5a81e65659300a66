"""All links of one entry VM: who is linked, who has to be dialed.

The VM with the smaller id dials, so that a pair needs one connection. The
other one dials too when no link stands after a grace time: its list may
name a peer that doesn't know of it yet, or connections may get through in
one direction only. Two links at once do no harm, since a question is
answered on the link on which it came.
"""

import asyncio
import collections.abc
import contextlib
import logging
import random
import socket

import websockets
from websockets.asyncio import client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server

from rosemaryroad import clock as clock_module
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.peers import _codec
from rosemaryroad.peers import _handler
from rosemaryroad.peers import _handshake
from rosemaryroad.peers import _link
from rosemaryroad.peers import _table

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0
_POLICY_VIOLATION = 1008

# How long to wait between two dials of a peer whose process isn't there, for
# each such peer, and at most. A process that starts dials the others itself,
# unless it can't read whom there is to dial.
_ABSENT_PAUSE_MS = 150.0
_MOST_ABSENT_PAUSE_MS = 3_000.0

# All other VMs of a large group may dial at once; a connection beyond this
# would be tried again after seconds.
_BACKLOG = 1024

# The library logs each failed handshake and ping with a traceback; the
# events are told by this module's own lines.
_QUIET = logging.getLogger(f'{__name__}.websockets')
_QUIET.setLevel(logging.CRITICAL)


class PeerLinks:
    """Keeps a link to every peer and carries messages over it.

    Attributes:
        counts: Messages and bytes on all links, by kind.
    """

    def __init__(
        self,
        self_incarnation: model.Incarnation,
        failure_domain: str,
        secret: str,
        handler: _handler.PeerHandler,
        clock: clock_module.Clock,
        *,
        limits: _handler.LinkLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.counts = _handler.MessageCounts()
        self._incarnation = self_incarnation
        self._hello = model.Hello(str(self_incarnation), failure_domain)
        self._secret = _handshake.SharedSecret(secret)
        self._handler = handler
        self._limits = limits or _handler.LinkLimits()
        self._rng = rng or random.Random()
        self._clock = clock
        self._table = _table.LinkTable(handler, clock)
        self._server: server.Server | None = None
        self._address_by_vm: dict[str, model.Address] = {}
        self._dialer_by_vm: dict[str, asyncio.Task] = {}
        self._hurry_by_vm: dict[str, asyncio.Event] = {}
        self._refusing: set[str] = set()
        self._handshakes = asyncio.Semaphore(self._limits.handshakes)
        self._encoded: model.PeerMessage | None = None
        self._encoded_data = b''

    async def serve(self, host: str, port: int) -> int:
        """Accepts links from peers.

        Args:
            host: An IP number.
            port: A TCP port, or 0 to let the system choose.

        Returns:
            The port that it listens on.

        Raises:
            OSError: The address can't be bound.
        """
        self._server = await server.serve(
            self._accept,
            host,
            port,
            process_request=self._secret.check,
            open_timeout=self._limits.accept_timeout_ms / _MS_PER_SECOND,
            server_header=None,
            backlog=_BACKLOG,
            **self._connection_options(),
        )
        return next(iter(self._server.sockets)).getsockname()[1]

    def set_peers(
        self, addresses: collections.abc.Mapping[str, model.Address]
    ) -> None:
        """Sets whom to dial; links that stand are left alone.

        The list lags, so a peer that it no longer names may be alive. Its
        link is kept for as long as it works and only not dialed again.

        Args:
            addresses: The peers' addresses by VM id.
        """
        self._address_by_vm = {
            vm: address
            for vm, address in addresses.items()
            if vm != self._incarnation.vm
        }
        loop = asyncio.get_running_loop()
        for vm in self._address_by_vm:
            if vm not in self._dialer_by_vm:
                self._hurry_by_vm[vm] = asyncio.Event()
                self._dialer_by_vm[vm] = loop.create_task(self._keep(vm))

    async def forward(
        self, vm: str, forward: model.Forward, timeout_ms: float
    ) -> model.ForwardAnswer:
        """Hands a forward to a peer and waits for its answer.

        Args:
            vm: The peer.
            forward: The forward; the answer carries its number.
            timeout_ms: How long to wait.

        Raises:
            errors.PeerUnreachable: There is no link, it was lost, or no
                answer came in time. Whether the peer took the submission
                in is not known then.
            MessageTooLarge: Nothing was sent.
        """
        return await self._table.current(vm).ask(forward, timeout_ms)

    async def cancel(
        self,
        vm: str,
        message: model.CancelForward,
        timeout_ms: float | None = None,
    ) -> model.ForwardAnswer:
        """Asks a peer to cancel a submission and waits for its answer.

        Args:
            vm: The peer.
            message: Which submission.
            timeout_ms: How long to wait; the silence limit by default.

        Raises:
            errors.PeerUnreachable: As for ``forward``.
        """
        if timeout_ms is None:
            timeout_ms = self._limits.silence_ms
        return await self._table.current(vm).ask(message, timeout_ms)

    def broadcast(
        self,
        make_message: collections.abc.Callable[
            [str], model.Heartbeat | model.JobMessage
        ],
    ) -> None:
        """Sends each linked peer its message, such as a heartbeat.

        Args:
            make_message: Called with each peer's VM id. One that is sent
                many times in a row is encoded once.
        """
        for link in self._table.all_current():
            self._tell(link, make_message(link.vm))

    def tell(self, vm: str, message: model.JobMessage) -> bool:
        """Sends a peer a message that it doesn't answer.

        Returns:
            Whether there was a link to send it on; whether it arrives is
            known only by what the peer does.
        """
        if not self._table.is_linked(vm):
            return False
        return self._tell(self._table.current(vm), message)

    def drop(self, vm: str) -> None:
        """Ends all links to a peer, so that it is dialed anew.

        A link may go silent while new connections get through; waiting on
        it, the two VMs would stay parted for as long as the silence lasts.
        """
        self._table.drop(vm)

    def hurry(self, vm: str) -> None:
        """Has a peer dialed soon, though it could not be reached before.

        After a cut has healed, others that are linked to it already tell so;
        the pauses between attempts have grown long by then.
        """
        hurry = self._hurry_by_vm.get(vm)
        if hurry is not None:
            hurry.set()

    def hurry_all(self) -> None:
        """Has all peers dialed soon that no link stands to."""
        for vm in self._hurry_by_vm:
            if not self._table.is_linked(vm):
                self.hurry(vm)

    def incarnation_of(self, vm: str) -> model.Incarnation | None:
        """Returns the incarnation at the other end, None without a link."""
        return self._table.incarnation_of(vm)

    def linked(self) -> tuple[str, ...]:
        """Returns the VM ids of the peers that a link stands to."""
        return tuple(link.vm for link in self._table.all_current())

    async def close(self) -> None:
        """Stops dialing and accepting, and ends all links.

        The handler hears of no loss; the peers notice it on their side.
        """
        began = self._clock.now()
        if self._server is not None:
            # First: peers dial anew as soon as their link has ended.
            self._server.close()
        count = self._table.close()
        dialers = list(self._dialer_by_vm.values())
        self._dialer_by_vm.clear()
        for task in dialers:
            task.cancel()
        if self._server is not None:
            await self._server.wait_closed()
        await asyncio.gather(*dialers, return_exceptions=True)
        logs.event(
            _LOG,
            logging.INFO,
            'links_closed',
            count=count,
            took_ms=self._clock.now() - began,
        )

    def _tell(self, link: _link.Link, message: model.PeerMessage) -> bool:
        try:
            data = self._encode(message)
        except Exception:
            # One that can't be sent must not keep others from being sent.
            kind = type(message).__name__
            logs.fault(_LOG, 'peer_message_unsent', vm=link.vm, kind=kind)
            return False
        link.tell(message, data)
        return True

    def _encode(self, message: model.PeerMessage) -> bytes:
        if message is not self._encoded:
            self._encoded_data = _codec.encode(message)
            self._encoded = message
        return self._encoded_data

    def _connection_options(self) -> dict:
        return {
            'compression': None,
            'max_size': _codec.MAX_MESSAGE_BYTES,
            'ping_interval': self._limits.ping_interval_ms / _MS_PER_SECOND,
            'ping_timeout': self._limits.ping_timeout_ms / _MS_PER_SECOND,
            'close_timeout': self._limits.close_timeout_ms / _MS_PER_SECOND,
            'logger': _QUIET,
        }

    async def _accept(self, connection: server.ServerConnection) -> None:
        try:
            _handshake.set_user_timeout(connection, self._limits)
            hello = await _handshake.receive(connection, self._limits)
            link = self._open(connection, hello)
            # Only now: a peer that is refused must not take the link for
            # open, not even for a moment.
            await _handshake.send(connection, self._hello)
        except (
            _handshake.HelloRefused,
            errors.RosemaryroadError,
            TimeoutError,
        ) as error:
            logs.event(_LOG, logging.WARNING, 'peer_refused', cause=error)
            await connection.close(_POLICY_VIOLATION)
        except websockets.exceptions.ConnectionClosed as error:
            logs.event(_LOG, logging.INFO, 'peer_refused', cause=error)
        else:
            await self._table.run(link)

    async def _keep(self, vm: str) -> None:
        failures = 0
        while vm in self._address_by_vm:
            if self._table.is_linked(vm):
                failures = 0
            if not await self._may_dial(vm):
                continue
            self._refusing.discard(vm)
            try:
                await self._dial(vm)
                failures = 0
            except Exception as error:
                # Whatever it was, a peer that is never dialed again could
                # not be reached until this process ends.
                failures += 1
                self._dial_failed(vm, failures, error)
            await self._pause(vm, self._backoff_s(vm, failures))
        self._dialer_by_vm.pop(vm, None)
        self._hurry_by_vm.pop(vm, None)
        self._refusing.discard(vm)

    def _dial_failed(self, vm: str, failures: int, error: Exception) -> None:
        if isinstance(error, ConnectionRefusedError):
            self._refusing.add(vm)
        if failures.bit_count() > 1:
            # The first, second, fourth and so on tell enough of a peer that
            # is away for long; in a large group one line each was most of the
            # log.
            return
        logs.event(
            _LOG,
            logging.INFO,
            'peer_dial_failed',
            vm=vm,
            failures=failures,
            detail=f'{type(error).__name__}: {error}',
        )

    async def _pause(self, vm: str, pause_s: float) -> None:
        least_s = min(pause_s, self._limits.backoff_ms / _MS_PER_SECOND)
        await asyncio.sleep(least_s)
        hurry = self._hurry_by_vm[vm]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s - least_s):
                await hurry.wait()
        hurry.clear()

    async def _may_dial(self, vm: str) -> bool:
        await self._table.wait_unlinked(vm)
        if self._incarnation.vm < vm:
            return True
        await self._pause(vm, self._limits.grace_ms / _MS_PER_SECOND)
        return not self._table.is_linked(vm)

    async def _dial(self, vm: str) -> None:
        address = self._address_by_vm.get(vm)
        if address is None:
            return
        # Peers that can't be reached hold up no handshake with others.
        connected = await _handshake.connect(address, self._limits)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(connected.close)
            async with self._handshakes:
                link = await self._greet(stack, connected, address)
            if link.vm != vm:
                raise _handshake.HelloRefused(f'{address} is {link.vm}')
            await self._table.run(link)

    async def _greet(
        self,
        stack: contextlib.AsyncExitStack,
        connected: socket.socket,
        address: model.Address,
    ) -> _link.Link:
        connection = await stack.enter_async_context(
            client.connect(
                f'ws://{address}/',
                sock=connected,
                additional_headers=self._secret.headers(),
                open_timeout=self._limits.open_timeout_ms / _MS_PER_SECOND,
                proxy=None,
                user_agent_header=None,
                **self._connection_options(),
            )
        )
        _handshake.set_user_timeout(connection, self._limits)
        await _handshake.send(connection, self._hello)
        hello = await _handshake.receive(connection, self._limits)
        return self._open(connection, hello)

    def _open(
        self,
        connection: ws_connection.Connection,
        hello: model.Hello,
    ) -> _link.Link:
        link = _link.Link(connection, hello, self._handler, self.counts)
        if link.vm == self._incarnation.vm:
            raise _handshake.HelloRefused('the other end is this VM itself')
        if self._table.is_stale(link.incarnation):
            raise _handshake.HelloRefused(
                f'{link.incarnation} has been replaced'
            )
        return link

    def _backoff_s(self, vm: str, failures: int) -> float:
        longest_ms = self._limits.max_backoff_ms
        if vm in self._refusing:
            absent_ms = _ABSENT_PAUSE_MS * self._absent()
            longest_ms = max(longest_ms, min(absent_ms, _MOST_ABSENT_PAUSE_MS))
        # Full jitter: after a cut heals, or a switch comes back, all VMs
        # would otherwise dial at the same moments again and again.
        ceiling = min(
            longest_ms, self._limits.backoff_ms * 2 ** min(failures, 16)
        )
        return self._rng.uniform(0.2, 1.0) * ceiling / _MS_PER_SECOND

    def _absent(self) -> int:
        return sum(not self._table.is_linked(vm) for vm in self._refusing)
