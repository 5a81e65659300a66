"""What follows from what the members of a deployment tell each other."""

import abc
import collections.abc

from rosemaryroad import dispatching
from rosemaryroad import model


class MembersHandler(abc.ABC):
    """What follows from what the members tell."""

    @abc.abstractmethod
    def cells_known(
        self,
        cells: dispatching.Cells,
        leaderships: collections.abc.Sequence[dispatching.Leadership],
    ) -> None:
        """The division into cells is known; it stays as it is."""

    @abc.abstractmethod
    def claiming(self) -> None:
        """This VM is about to dispatch a cell."""

    @abc.abstractmethod
    def role_changed(self, cell: int, role: dispatching.Role) -> None:
        """Another VM dispatches a cell, or this one does."""

    @abc.abstractmethod
    def job_message(self, vm: str, message: model.JobMessage) -> None:
        """A VM tells something about a job."""

    @abc.abstractmethod
    def peer_lost(self, vm: str) -> None:
        """A VM can't be reached."""

    @abc.abstractmethod
    def queues_shared(self, table: model.QueueTable) -> None:
        """A VM knows a version of the queues."""

    @abc.abstractmethod
    def drains_shared(self, drains: model.DomainDrains) -> None:
        """A VM knows which failure domains are drained."""

    @abc.abstractmethod
    def workers_shared(self, workers: tuple[model.Worker, ...]) -> None:
        """A VM knows the workers, and this one does not."""
