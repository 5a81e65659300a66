"""What the links need from the daemon, and the times they keep."""

import abc
import collections
import logging

import attrs

from rosemaryroad import logs
from rosemaryroad import model

_LOG = logging.getLogger(__name__)
_v = attrs.validators


@attrs.frozen
class LinkLimits:
    """The times that a link keeps, in milliseconds.

    Attributes:
        ping_interval_ms: How often each end asks the other for a sign.
        ping_timeout_ms: How long it waits for one.
        close_timeout_ms: How long a closing link may take.
        open_timeout_ms: How long a connection may take to stand, and the
            handshake on it to be over.
        accept_timeout_ms: How long a peer may take to begin the handshake;
            it may have others to do first.
        handshakes: How many handshakes this VM begins at a time. All at
            once would each wait for all others, time out, and be begun
            anew, so that the links of a large group never stand.
        grace_ms: How long the VM with the larger id waits for the other
            one to dial.
        backoff_ms: The first wait after a failed dial; it doubles.
        max_backoff_ms: The longest wait between two dials.
    """

    ping_interval_ms: float = attrs.field(default=2000.0, validator=_v.gt(0))
    ping_timeout_ms: float = attrs.field(default=2500.0, validator=_v.gt(0))
    close_timeout_ms: float = attrs.field(default=500.0, validator=_v.gt(0))
    open_timeout_ms: float = attrs.field(default=2000.0, validator=_v.gt(0))
    accept_timeout_ms: float = attrs.field(default=5000.0, validator=_v.gt(0))
    handshakes: int = attrs.field(default=8, validator=_v.ge(1))
    grace_ms: float = attrs.field(default=1000.0, validator=_v.ge(0))
    backoff_ms: float = attrs.field(default=100.0, validator=_v.gt(0))
    max_backoff_ms: float = attrs.field(default=3000.0, validator=_v.gt(0))

    @property
    def silence_ms(self) -> float:
        """The longest time for which a dead link passes for a live one."""
        return (
            self.ping_interval_ms
            + self.ping_timeout_ms
            + self.close_timeout_ms
        )


@attrs.define
class MessageCounts:
    """Messages and bytes on all links since the start, by kind.

    Attributes:
        sent: Messages sent, by class name.
        received: Messages received, by class name.
        sent_bytes: Bytes sent before websocket framing, by class name.
        received_bytes: Bytes received, by class name.
    """

    sent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    received: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    sent_bytes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    received_bytes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def count_sent(self, kind: str, size: int) -> None:
        """Counts one message that goes out."""
        self.sent[kind] += 1
        self.sent_bytes[kind] += size

    def count_received(self, kind: str, size: int) -> None:
        """Counts one message that came in."""
        self.received[kind] += 1
        self.received_bytes[kind] += size


class PeerHandler(abc.ABC):
    """What peers ask of this entry VM, and what it learns of them."""

    @abc.abstractmethod
    async def forward(
        self, vm: str, message: model.Forward
    ) -> model.ForwardAnswer:
        """Answers a forward as the home of its session.

        It is cancelled when the link is lost: nobody is left to read the
        answer. The submission itself must outlive this call.

        Args:
            vm: The peer that asks.
            message: The forward.
        """

    @abc.abstractmethod
    async def cancel_forward(
        self, vm: str, message: model.CancelForward
    ) -> model.ForwardAnswer:
        """Cancels a submission that this entry VM is the home of.

        Like a forward it is cancelled when the link is lost.

        Args:
            vm: The peer that asks.
            message: Which submission.
        """

    @abc.abstractmethod
    def heartbeat(self, vm: str, message: model.Heartbeat) -> None:
        """Takes in what a peer tells each second."""

    def job_message(self, vm: str, message: model.JobMessage) -> None:
        """Takes in what a peer tells about jobs.

        A daemon that serves no jobs has nothing to do with it.

        Args:
            vm: The peer.
            message: The message.
        """
        logs.event(
            _LOG,
            logging.INFO,
            'peer_message_ignored',
            vm=vm,
            kind=type(message).__name__,
        )

    @abc.abstractmethod
    def peer_joined(self, vm: str, incarnation: model.Incarnation) -> None:
        """A peer can be reached from now on, as this incarnation."""

    @abc.abstractmethod
    def peer_lost(self, vm: str) -> None:
        """No link to a peer is left; this says nothing of its life."""
