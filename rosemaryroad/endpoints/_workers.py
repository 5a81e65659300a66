"""What the dispatcher of jobs asks of the workers."""

import abc

from rosemaryroad import errors
from rosemaryroad import model

__all__ = [
    'WorkerClient',
    'WorkerDown',
    'WorkerFenced',
    'WorkerReplaced',
    'WorkerUnreachable',
]


class WorkerUnreachable(errors.RosemaryroadError):
    """A worker gave no sound answer; what it runs is not known."""

    code = errors.ResultCode.NO_ENDPOINT


class WorkerDown(WorkerUnreachable):
    """Nobody listens at its address; its machine says so at once."""


class WorkerReplaced(WorkerUnreachable):
    """Another life of the worker answers; the one asked has ended."""


class WorkerFenced(WorkerUnreachable):
    """The worker has seen a higher fence, and did nothing."""


class WorkerClient(abc.ABC):
    """Workers that run tasks under leases and fences.

    Everything that runs on a worker ends when its lease does; ``hold`` and
    ``start`` prolong it. A worker does nothing for a fence that is lower
    than the highest one that it has seen.
    """

    @abc.abstractmethod
    async def hold(
        self,
        worker: model.Worker,
        fence: int,
        acknowledged: int,
        wait_ms: float,
        prolong: bool = True,
        spare_ms: float = 0.0,
    ) -> model.WorkerReport:
        """Asks what runs and what has ended.

        Args:
            worker: The worker.
            fence: The term of whoever asks.
            acknowledged: The highest number of an end that needn't be
                told again.
            wait_ms: How long the worker may wait for an end that it can
                tell.
            prolong: Whether the leases are prolonged.
            spare_ms: How much sooner they end than the longest ones.

        Raises:
            WorkerReplaced: Another life of it answers.
            WorkerFenced: It has seen a higher fence.
            WorkerDown: Nobody listens at its address.
            WorkerUnreachable: There was no sound answer.
        """

    @abc.abstractmethod
    async def start(
        self,
        worker: model.Worker,
        fence: int,
        task: model.TaskId,
        attempt: int,
        payload: str,
        order_validity_ms: float,
    ) -> model.OrderReply:
        """Starts an attempt at most once, unless the order has expired.

        The attempt runs under the worker's leases, which are prolonged at
        least until the order expires.

        Args:
            worker: The worker.
            fence: The term of whoever orders.
            task: Which task.
            attempt: Which attempt of it.
            payload: What the task is given.
            order_validity_ms: How long from now the order is valid.
        """

    @abc.abstractmethod
    async def stop(
        self,
        worker: model.Worker,
        fence: int,
        task: model.TaskId,
        attempt: int,
    ) -> model.OrderReply:
        """Stops an attempt; one that has not begun never will."""

    @abc.abstractmethod
    def forget(self, worker: model.Worker) -> None:
        """Drops what is kept of a worker that is gone."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
