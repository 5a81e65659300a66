"""Calls of an emulated process to workers."""

import asyncio
import collections.abc

from rosemaryroad import endpoints
from rosemaryroad import model
from rosemaryroad.emulation import _loop
from rosemaryroad.emulation import _network
from rosemaryroad.emulation import _workers

_MS_PER_SECOND = 1000.0
_TIMEOUT_MS = 120.0


class _Unanswered(Exception):
    """A call got no answer."""


class EmulatedWorkerClient(endpoints.WorkerClient):
    """Workers as one process reaches them.

    Args:
        name: The process.
        worker_by_id: The present lives of all workers.
        network: What lies between.
    """

    def __init__(
        self,
        name: str,
        worker_by_id: collections.abc.Mapping[str, _workers.EmulatedWorker],
        network: _network.Network,
    ) -> None:
        self._name = name
        self._worker_by_id = worker_by_id
        self._network = network

    async def hold(
        self,
        worker: model.Worker,
        fence: int,
        acknowledged: int,
        wait_ms: float,
        prolong: bool = True,
        spare_ms: float = 0.0,
    ) -> model.WorkerReport:
        """Asks what runs; see the base class."""
        asked_at = _loop.now_ms()
        try:
            found = await self._go(worker, wait_ms)
            if found.is_fenced(fence):
                raise endpoints.WorkerFenced(worker.id)
            found.hold(acknowledged, prolong, spare_ms)
            await found.wait_for_end(wait_ms)
            report = found.report(asked_at)
            await self._return(found, asked_at, wait_ms)
        except _Unanswered as error:
            raise endpoints.WorkerUnreachable('no answer') from error
        return report

    async def start(
        self,
        worker: model.Worker,
        fence: int,
        task: model.TaskId,
        attempt: int,
        payload: str,
        order_validity_ms: float,
    ) -> model.OrderReply:
        """Starts an attempt; see the base class."""
        valid_until = _loop.now_ms() + order_validity_ms

        def carry_out(found: _workers.EmulatedWorker) -> model.OrderResult:
            return found.start(task, attempt, self._name, valid_until)

        return await self._order(worker, fence, carry_out)

    async def stop(
        self,
        worker: model.Worker,
        fence: int,
        task: model.TaskId,
        attempt: int,
    ) -> model.OrderReply:
        """Stops an attempt; see the base class."""

        def carry_out(found: _workers.EmulatedWorker) -> model.OrderResult:
            found.stop(task, attempt)
            return model.OrderResult.DONE

        return await self._order(worker, fence, carry_out)

    def forget(self, worker: model.Worker) -> None:
        """Keeps nothing of workers."""

    async def close(self) -> None:
        """Has nothing to close."""

    async def _order(
        self,
        worker: model.Worker,
        fence: int,
        carry_out: collections.abc.Callable[
            [_workers.EmulatedWorker], model.OrderResult
        ],
    ) -> model.OrderReply:
        sent_at = _loop.now_ms()
        try:
            found = await self._go(worker, 0.0)
            if found.is_fenced(fence):
                return model.OrderReply(model.OrderResult.FENCED)
            result = carry_out(found)
            clock_ms = _loop.now_ms()
            await self._return(found, sent_at, 0.0)
        except _Unanswered:
            return model.OrderReply(model.OrderResult.UNKNOWN)
        except endpoints.WorkerUnreachable:
            return model.OrderReply(model.OrderResult.NOT_SENT)
        return model.OrderReply(result, clock_ms)

    async def _go(
        self, worker: model.Worker, wait_ms: float
    ) -> _workers.EmulatedWorker:
        """Brings a call to its worker.

        Raises:
            endpoints.WorkerUnreachable: Nobody listens there.
            _Unanswered: It doesn't arrive.
        """
        found = self._worker_by_id.get(worker.id)
        is_heard = self._network.reaches(self._name, worker.id)
        if not is_heard or found is None or found.faults.is_silent:
            await self._time_out(_loop.now_ms(), wait_ms)
        await self._travel(self._name, worker.id)
        if not found.is_up:
            raise endpoints.WorkerDown('refused')
        return found

    async def _return(
        self,
        worker: _workers.EmulatedWorker,
        sent_at: float,
        wait_ms: float,
    ) -> None:
        """Brings the answer back.

        Raises:
            endpoints.WorkerUnreachable: The worker has died meanwhile.
            _Unanswered: It doesn't arrive.
        """
        if not worker.is_up:
            raise endpoints.WorkerUnreachable('connection lost')
        is_heard = self._network.reaches(worker.id, self._name)
        if not is_heard or worker.faults.is_silent:
            await self._time_out(sent_at, wait_ms)
        await self._travel(worker.id, self._name)

    async def _travel(self, sender: str, receiver: str) -> None:
        await asyncio.sleep(self._network.delay_s(sender, receiver))

    async def _time_out(self, sent_at: float, wait_ms: float) -> None:
        left_ms = sent_at + _TIMEOUT_MS + wait_ms - _loop.now_ms()
        await asyncio.sleep(max(0.0, left_ms) / _MS_PER_SECOND)
        raise _Unanswered
