"""Holding one worker: its leases, its reports, and orders to it."""

import abc
import collections.abc
import logging
import typing

import attrs

from rosemaryroad import _background
from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import endpoints
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.jobserver import _acknowledged

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

# A worker that is asked tells at once when something ends. Where nothing
# does, it is asked again often enough for a second try within the lease.
_BUSY_WAIT_MS = 300.0
_IDLE_WAIT_MS = 900.0

# While answers get lost, the ends that a lost one would have told keep
# their room for as long as the worker was asked to wait. At 5 % of answers
# lost, waits of 300 ms leave a worker's ends untold a sixth of the time.
_LOSSY_WAIT_MS = 100.0

# What another dispatcher starts there has to be known soon.
_SHARED_WAIT_MS = 100.0

# A single answer may be lost; a worker that leaves two unanswered is
# silent. It is asked again after a pause that doubles.
_SILENT_AFTER = 2
_BACKOFF_MS = 25.0
_MAX_BACKOFF_MS = 400.0

_KEPT_ENDS_PAUSE_MS = 50.0

# A worker that refuses for the fence is asked at once with a higher one; one
# that goes on refusing is itself at fault.
_MOST_REFUSALS = 16

_LOST = (model.OrderResult.UNKNOWN, model.OrderResult.NOT_SENT)


class SessionHandler(abc.ABC):
    """Whoever decides about the worker."""

    @abc.abstractmethod
    def fence(self) -> int:
        """Returns the fence of orders."""

    @abc.abstractmethod
    def may_order(self) -> bool:
        """Tells whether orders may go out now."""

    @abc.abstractmethod
    def is_busy(self, worker: str) -> bool:
        """Tells whether anything runs at the worker."""

    @abc.abstractmethod
    def call_lost(self, worker: str) -> None:
        """Takes in that a call got no answer."""

    @abc.abstractmethod
    def is_lossy(self) -> bool:
        """Tells whether answers of several workers got lost lately."""

    @abc.abstractmethod
    def may_prolong(self, worker: str) -> bool:
        """Tells whether the worker's leases may be prolonged."""

    @abc.abstractmethod
    def is_outvoted(self) -> bool:
        """Tells whether another dispatcher may use the worker as well."""

    @abc.abstractmethod
    def spare_ms(self) -> float:
        """Returns how much sooner leases end than the longest ones."""

    @abc.abstractmethod
    def is_wanted(self, start: dispatching.StartTask) -> bool:
        """Tells whether an order to start still stands."""

    @abc.abstractmethod
    def order_validity_ms(self, worker: str) -> float:
        """Returns how long an order to start that is sent now is valid."""

    @abc.abstractmethod
    def start_sent(self, worker: str) -> None:
        """Notes that an order to start is sent now."""

    @abc.abstractmethod
    def held(self, worker: str) -> None:
        """Notes that a call which prolongs leases goes out."""

    @abc.abstractmethod
    def concerns(self, worker: str, row: model.EndedTask) -> bool:
        """Tells whether an end is of a task that was ordered here."""

    @abc.abstractmethod
    def reported(self, worker: str, report: model.WorkerReport) -> None:
        """Takes in a report."""

    @abc.abstractmethod
    def silent(self, worker: str, cause: str) -> None:
        """Takes in that there was no answer."""

    @abc.abstractmethod
    def down(self, worker: str) -> float:
        """Takes in that nobody listens at the worker's address.

        Returns:
            How long to wait before it is asked again.
        """

    @abc.abstractmethod
    def replaced(self, worker: str) -> None:
        """Takes in that this life of the worker has ended."""

    @abc.abstractmethod
    def fenced(self, worker: str, fence: int) -> None:
        """Takes in that the worker has seen a higher fence than this one."""


@attrs.define(eq=False)
class _Look:
    wanted: bool = False
    running: bool = False


class WorkerSession:
    """Asks one worker for as long as it is held.

    Args:
        worker: The worker.
        client: Speaks to workers.
        handler: Decides.
        clock: The clock.
    """

    def __init__(
        self,
        worker: model.Worker,
        client: endpoints.WorkerClient,
        handler: SessionHandler,
        clock: clock_module.Clock,
    ) -> None:
        self.worker = worker
        self._client = client
        self._handler = handler
        self._clock = clock
        self._acknowledged = _acknowledged.Acknowledged()
        self._look = _Look()
        self._background = _background.BackgroundTasks(self._note_fault)
        self._closed = False

    def open(self) -> None:
        """Begins to hold the worker."""
        self._spawn(self._hold())

    def update(self, worker: model.Worker) -> None:
        """Takes in where the worker listens now, and which life it lives."""
        self.worker = worker
        self._acknowledged.life_listed(worker.born)

    def close(self) -> None:
        """Ends at once; leases that nobody prolongs lapse."""
        self._closed = True
        self._background.cancel()
        self._client.forget(self.worker)

    def look(self) -> None:
        """Asks what runs now; several wishes at a time are one question."""
        self._look.wanted = True
        if not self._look.running:
            self._look.running = True
            self._spawn(self._look_while_wanted())

    def start(
        self,
        start: dispatching.StartTask,
        on_reply: collections.abc.Callable[
            [dispatching.StartTask, model.OrderReply], None
        ],
    ) -> None:
        """Gives an order to start."""
        self._spawn(self._start(start, on_reply))

    def stop(
        self,
        stop: dispatching.StopTask,
        on_reply: collections.abc.Callable[
            [dispatching.StopTask, model.OrderReply], None
        ],
    ) -> None:
        """Gives an order to stop."""
        self._spawn(self._stop(stop, on_reply))

    def _spawn(self, work: collections.abc.Coroutine) -> None:
        if self._closed:
            work.close()
            return
        self._background.spawn(work)

    async def _hold(self) -> None:
        failures = 0
        refusals = 0
        wait_ms = 0.0
        while not self._closed:
            try:
                await self._ask(wait_ms)
                failures = refusals = 0
                if self._acknowledged.leaves_some:
                    # The worker answers at once while it keeps an end.
                    await self._clock.sleep(_KEPT_ENDS_PAUSE_MS)
            except endpoints.WorkerFenced:
                refusals += 1
                if refusals > _MOST_REFUSALS:
                    await self._clock.sleep(_MAX_BACKOFF_MS)
            except endpoints.WorkerUnreachable as error:
                failures += 1
                self._handler.call_lost(self.worker.id)
                await self._take_failure(failures, error)
            except Exception as error:
                # Not held any more, the worker would stand idle for good.
                failures += 1
                self._acknowledged.call_lost()
                self._note_fault(error)
                unknown = endpoints.WorkerUnreachable('a fault')
                await self._take_failure(failures, unknown)
            wait_ms = 0.0 if failures or refusals else self._wait_ms()

    def _wait_ms(self) -> float:
        if self._handler.is_outvoted():
            return _SHARED_WAIT_MS
        if not self._handler.is_busy(self.worker.id):
            return _IDLE_WAIT_MS
        return _LOSSY_WAIT_MS if self._handler.is_lossy() else _BUSY_WAIT_MS

    async def _look_while_wanted(self) -> None:
        failures = 0
        try:
            while self._look.wanted and not self._closed:
                self._look.wanted = False
                if await self._look_once():
                    failures = 0
                    continue
                # A single answer may be lost, and a task waits for it.
                failures += 1
                self._look.wanted = failures < _SILENT_AFTER
        finally:
            self._look.running = False

    async def _look_once(self) -> bool:
        try:
            await self._ask(0.0)
        except endpoints.WorkerUnreachable as error:
            # The calls that hold the worker judge it; this one says only
            # that there is no news.
            logs.event(
                _LOG,
                logging.DEBUG,
                'look_failed',
                worker=self.worker.id,
                detail=error.detail,
            )
            return False
        return True

    async def _take_failure(
        self, failures: int, error: endpoints.WorkerUnreachable
    ) -> None:
        if isinstance(error, endpoints.WorkerReplaced):
            self._handler.replaced(self.worker.id)
        elif failures >= _SILENT_AFTER:
            self._handler.silent(self.worker.id, error.detail)
        if failures < _SILENT_AFTER:
            return
        pause = min(_BACKOFF_MS * 2**failures, _MAX_BACKOFF_MS)
        if isinstance(error, endpoints.WorkerDown):
            pause = self._handler.down(self.worker.id)
        await self._clock.sleep(pause)

    async def _ask(self, wait_ms: float) -> None:
        """Asks once, and passes the report on.

        Raises:
            endpoints.WorkerUnreachable: There was no sound answer.
        """
        handler = self._handler
        if not handler.may_order():
            await self._clock.sleep(_BACKOFF_MS)
            return
        prolong = handler.may_prolong(self.worker.id)
        handler.held(self.worker.id)
        fence = handler.fence()
        asked = self._acknowledged.mark
        try:
            report = await self._client.hold(
                self.worker,
                fence,
                asked.number,
                wait_ms,
                prolong,
                handler.spare_ms(),
            )
        except endpoints.WorkerUnreachable as error:
            self._acknowledged.call_lost()
            if isinstance(error, endpoints.WorkerFenced):
                handler.fenced(self.worker.id, fence)
            raise
        report = self._acknowledged.told(
            asked, report, self._concerns, self._clock.now()
        )
        handler.reported(self.worker.id, report)

    async def _start(
        self, start: dispatching.StartTask, on_reply: typing.Any
    ) -> None:
        # A job may be withdrawn between the decision and this moment; the
        # dispatcher that it went to would not know of this start.
        wanted = self._handler.is_wanted(start)
        if not wanted or not self._handler.may_order():
            on_reply(start, model.OrderReply(model.OrderResult.NOT_SENT))
            return
        self._handler.start_sent(self.worker.id)
        fence = self._handler.fence()
        reply = await self._reply_to(
            self._client.start(
                self.worker,
                fence,
                start.task,
                start.attempt,
                start.payload,
                self._handler.order_validity_ms(self.worker.id),
            )
        )
        self._take_reply(reply, fence)
        on_reply(start, reply)

    async def _stop(
        self, stop: dispatching.StopTask, on_reply: typing.Any
    ) -> None:
        fence = self._handler.fence()
        reply = await self._reply_to(
            self._client.stop(self.worker, fence, stop.task, stop.attempt)
        )
        self._take_reply(reply, fence)
        on_reply(stop, reply)

    async def _reply_to(
        self, order: collections.abc.Awaitable[model.OrderReply]
    ) -> model.OrderReply:
        """Returns the reply to an order; none is known after a fault.

        Without any, its task would wait for good.
        """
        try:
            return await order
        except Exception as error:
            self._note_fault(error)
            return model.OrderReply(model.OrderResult.UNKNOWN)

    def _note_fault(self, error: BaseException) -> None:
        logs.fault(_LOG, 'worker_session_failed', error, worker=self.worker.id)

    def _concerns(self, row: model.EndedTask) -> bool:
        return self._handler.concerns(self.worker.id, row)

    def _take_reply(self, reply: model.OrderReply, fence: int) -> None:
        if reply.result is model.OrderResult.FENCED:
            self._handler.fenced(self.worker.id, fence)
        elif reply.result in _LOST:
            self._acknowledged.call_lost()
