"""What the dispatcher asks of the endpoints' side."""

import abc

from rosemaryroad import model

__all__ = ['EndpointClient']


class EndpointClient(abc.ABC):
    """Starts and cancels tasks at endpoints."""

    @abc.abstractmethod
    async def start(
        self, start: model.StartAttempt, request_id: str
    ) -> model.Outcome:
        """Starts a task and waits for its end.

        At most one start reaches the endpoint, and ``NotRun`` is returned
        only where none did. It raises no error: whatever goes wrong is an
        outcome. A cancelled call says nothing of the task, which may run.

        Args:
            start: The task and where to run it.
            request_id: The id that runs through all log lines.

        Returns:
            How the attempt ended, at most a short grace time after
            ``start.deadline_ms``.
        """

    @abc.abstractmethod
    async def cancel(self, cancel: model.CancelAttempt) -> None:
        """Asks the endpoint to stop a task; a lost request is not repeated.

        Args:
            cancel: The attempt to stop.
        """

    @abc.abstractmethod
    async def forget(self, addresses: tuple[str, ...]) -> None:
        """Closes what no request uses of the connections to addresses."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections; what still waits ends as unknown."""
