"""One websocket to one peer: questions, answers and heartbeats."""

import asyncio
import collections.abc
import functools
import logging
import typing

import attrs
import websockets
from websockets.asyncio import connection as ws_connection

from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.peers import _codec
from rosemaryroad.peers import _handler

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

Question: typing.TypeAlias = model.Forward | model.CancelForward
_Handle: typing.TypeAlias = collections.abc.Callable[
    [str, Question], collections.abc.Awaitable[model.ForwardAnswer]
]


class Link:
    """One open connection whose other end has said who it is.

    Attributes:
        incarnation: The peer.
        failure_domain: Where it stands, by its own word.
        handler: Whom questions and heartbeats go to.
    """

    def __init__(
        self,
        connection: ws_connection.Connection,
        hello: model.Hello,
        handler: _handler.PeerHandler,
        counts: _handler.MessageCounts,
    ) -> None:
        self.incarnation = model.Incarnation.parse(hello.incarnation)
        self.failure_domain = hello.failure_domain
        self._connection = connection
        self.handler = handler
        self._counts = counts
        self._last_request = 0
        self._open = True
        self._waiting_by_request: dict[int, asyncio.Future] = {}
        self._serving: set[asyncio.Task] = set()
        self._last_data: bytes | str = b''
        self._last_message: model.PeerMessage | None = None

    @property
    def vm(self) -> str:
        """The peer's VM id."""
        return self.incarnation.vm

    async def run(self) -> None:
        """Reads messages until the connection ends, however it ends."""
        try:
            async for data in self._connection:
                self._read(data)
        except websockets.exceptions.ConnectionClosed as error:
            logs.event(
                _LOG,
                logging.DEBUG,
                'peer_link_error',
                vm=self.vm,
                detail=error,
            )
        finally:
            self._end()

    async def ask(
        self, message: Question, timeout_ms: float
    ) -> model.ForwardAnswer:
        """Sends a question and waits for its answer.

        Args:
            message: The question; its number is replaced on the way.
            timeout_ms: How long to wait for the answer.

        Returns:
            The answer, under the question's own number.

        Raises:
            errors.PeerUnreachable: The link ended or no answer came.
            MessageTooLarge: Nothing was sent.
        """
        if not self._open:
            raise errors.PeerUnreachable(f'link to {self.vm} has ended')
        self._last_request += 1
        request = self._last_request
        data = self._encode(attrs.evolve(message, request=request))
        answer = asyncio.get_running_loop().create_future()
        self._waiting_by_request[request] = answer
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_SECOND):
                await self._connection.send(data)
                found = await answer
        except TimeoutError:
            raise errors.PeerUnreachable(
                f'{self.vm} gave no answer in {timeout_ms:.0f} ms'
            ) from None
        except websockets.exceptions.ConnectionClosed:
            raise errors.PeerUnreachable(
                f'link to {self.vm} ended while it was asked'
            ) from None
        finally:
            del self._waiting_by_request[request]
            # A link that ends while the question is still being sent has
            # told the future as well; unread, asyncio would log it as lost.
            if not answer.cancel() and not answer.cancelled():
                answer.exception()
        return attrs.evolve(found, request=message.request)

    def tell(self, message: model.PeerMessage, data: bytes) -> None:
        """Sends a message without waiting for room in the write buffer.

        A link on which nothing gets through ends within the silence
        limit, so only a few such messages can pile up on it.

        Args:
            message: The message.
            data: The same, encoded.
        """
        if self._open:
            self._counts.count_sent(type(message).__name__, len(data))
            ws_connection.broadcast((self._connection,), data)

    def abort(self) -> None:
        """Drops the connection; whoever waits on it hears at once."""
        self._end()
        self._connection.transport.abort()

    def close(self) -> None:
        """Ends the connection once what was sent on it has left.

        The websocket's closing handshake would wait for the answers of all
        peers, of which a few are slow or frozen; the end of the TCP
        connection tells them the same.
        """
        self._end()
        self._connection.transport.close()

    def resolve(self, answer: model.ForwardAnswer) -> None:
        """Hands an answer to whoever waits for it."""
        waiting = self._waiting_by_request.get(answer.request)
        # Whoever asked may have given up; a late answer is then dropped.
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _encode(self, message: model.PeerMessage) -> bytes:
        data = _codec.encode(message)
        self._counts.count_sent(type(message).__name__, len(data))
        return data

    def _read(self, data: bytes | str) -> None:
        if not self._open:
            # What a replaced life of the peer had sent before its link was
            # dropped would be taken for the word of the new one.
            return
        try:
            message = self._decode(data)
        except _codec.UnknownKind as error:
            # During a rolling upgrade newer peers send kinds that this
            # version doesn't know. Ending the link over one would cut the
            # region in two until the upgrade is through.
            logs.event(
                _LOG,
                logging.INFO,
                'peer_message_ignored',
                vm=self.vm,
                detail=error.detail,
            )
            return
        except errors.RosemaryroadError as error:
            logs.event(
                _LOG,
                logging.WARNING,
                'peer_message_refused',
                vm=self.vm,
                code=int(error.code),
                detail=error.detail,
            )
            return
        self._counts.count_received(type(message).__name__, len(data))
        try:
            _receive(message, self)
        except Exception:
            # A fault in taking in a heartbeat would come back with each
            # one and end the link each second, with all that wait on it.
            kind = type(message).__name__
            logs.fault(_LOG, 'peer_message_failed', vm=self.vm, kind=kind)

    def _decode(self, data: bytes | str) -> model.PeerMessage:
        # Nearly all that VMs tell each other are signs of life that say what
        # the one before has said.
        if data != self._last_data:
            self._last_message = _codec.decode(data)
            self._last_data = data
        return self._last_message

    def serve(self, message: Question, handle: _Handle) -> None:
        """Answers a question in a task of its own."""
        task = asyncio.get_running_loop().create_task(
            self._answer(message, handle)
        )
        # The loop keeps only weak references to tasks.
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _answer(self, message: Question, handle: _Handle) -> None:
        try:
            found = await handle(self.vm, message)
            data = self._encode(attrs.evolve(found, request=message.request))
            await self._connection.send(data)
        except websockets.exceptions.ConnectionClosed:
            logs.event(
                _LOG,
                logging.INFO,
                'peer_answer_lost',
                vm=self.vm,
                name=message.name,
            )
        except Exception:
            # The asker then hears nothing and treats the run as unknown,
            # which is the truth; the link serves others and must live on.
            name = message.name
            logs.fault(_LOG, 'peer_question_failed', vm=self.vm, name=name)

    def _end(self) -> None:
        self._open = False
        for waiting in self._waiting_by_request.values():
            if not waiting.done():
                waiting.set_exception(
                    errors.PeerUnreachable(f'link to {self.vm} was lost')
                )
        for task in self._serving:
            task.cancel()


# A plain function: a singledispatchmethod builds a new wrapper at each
# call, which is dear for what runs once a message.
@functools.singledispatch
def _receive(message: model.PeerMessage, link: Link) -> None:
    logs.event(
        _LOG,
        logging.INFO,
        'peer_message_ignored',
        vm=link.vm,
        kind=type(message).__name__,
    )


@_receive.register
def _(message: model.Heartbeat, link: Link) -> None:
    link.handler.heartbeat(link.vm, message)


@_receive.register
def _(message: model.ForwardAnswer, link: Link) -> None:
    link.resolve(message)


@_receive.register
def _(message: model.JobMessage, link: Link) -> None:
    link.handler.job_message(link.vm, message)


@_receive.register
def _(message: model.Forward, link: Link) -> None:
    link.serve(message, link.handler.forward)


@_receive.register
def _(message: model.CancelForward, link: Link) -> None:
    link.serve(message, link.handler.cancel_forward)
