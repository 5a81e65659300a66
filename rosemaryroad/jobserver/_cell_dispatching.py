"""What this VM dispatches, cell by cell."""

import collections.abc

from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad.jobserver import _dispatching


class CellDispatching:
    """Gives each cell's dispatcher its workers and its jobs.

    Attributes:
        workers: All workers, or None before they are known.

    Args:
        make_part: Makes what dispatches a cell under a leadership.
    """

    def __init__(
        self,
        make_part: collections.abc.Callable[
            [dispatching.Leadership], _dispatching.Dispatching
        ],
    ) -> None:
        self._make_part = make_part
        self._cells: dispatching.Cells | None = None
        self._parts: list[_dispatching.Dispatching] = []
        self.workers: tuple[model.Worker, ...] | None = None
        self._drained_domains: frozenset[str] = frozenset()

    @property
    def is_acting(self) -> bool:
        """Whether this VM gives orders in any cell."""
        return any(part.is_acting for part in self._parts)

    @property
    def is_entry_due(self) -> bool:
        """Whether a worker waits for its entry that may come any moment."""
        return any(part.is_entry_due for part in self._parts)

    def divide(
        self,
        cells: dispatching.Cells,
        leaderships: collections.abc.Sequence[dispatching.Leadership],
    ) -> None:
        """Takes in the division into cells; it is known once."""
        self._cells = cells
        self._parts = [self._make_part(item) for item in leaderships]
        self.drain_domains(self._drained_domains)
        if self.workers is not None:
            self.list_workers(self.workers)

    def act(self, cell: int, acting: bool) -> None:
        """Begins to give orders in a cell, or ends."""
        if cell < len(self._parts):
            self._parts[cell].act(acting)

    def list_workers(self, workers: tuple[model.Worker, ...]) -> None:
        """Takes in which workers there are."""
        self.workers = workers
        if self._cells is None:
            return
        by_cell: list[list[model.Worker]] = [[] for _ in self._parts]
        for worker in workers:
            by_cell[self._cells.of_worker(worker.id)].append(worker)
        for part, own in zip(self._parts, by_cell, strict=True):
            part.list_workers(tuple(own))

    def count_workers(self, domain: str) -> int:
        """Returns how many workers of a failure domain are known."""
        return sum(
            worker.failure_domain == domain for worker in self.workers or ()
        )

    def drain_domains(self, domains: frozenset[str]) -> None:
        """Takes in the failure domains where nothing new may start."""
        self._drained_domains = domains
        for part in self._parts:
            part.drain_domains(domains)

    def message(
        self,
        vm: str,
        message: model.JobSubmitted
        | model.JobWithdrawn
        | model.JobCancelled
        | model.JobsEnded
        | model.PlacementsRecorded,
    ) -> None:
        """Takes in what a home tells."""
        if self._cells is None:
            # It finds out by the next sign of life that none is here.
            return
        cell = self._cell_of(message)
        if cell < len(self._parts):
            self._parts[cell].message(vm, message)

    def _cell_of(self, message: model.JobMessage) -> int:
        if isinstance(message, model.JobsEnded):
            return message.cell
        if isinstance(message, model.JobSubmitted):
            return self._cells.of_job(message.job.id)
        return self._cells.of_job(message.job)

    def home_lost(self, vm: str) -> None:
        """Takes in that an entry VM can't be reached."""
        for part in self._parts:
            part.home_lost(vm)

    def tick(self) -> None:
        """Does what is due by the time alone."""
        for part in self._parts:
            part.tick()

    def load(self) -> dispatching.DispatcherLoad:
        """Returns what this VM holds in all cells."""
        whole = dispatching.DispatcherLoad()
        for part in self._parts:
            whole.add(part.load())
        return whole

    def view(self) -> dispatching.SchedulingView:
        """Returns what this VM does with the room of all its cells."""
        whole = dispatching.SchedulingView()
        for part in self._parts:
            whole.add(part.view())
        return whole

    def counts(self) -> dispatching.DecisionCounts:
        """Returns what this VM has decided in all cells since its start."""
        whole = dispatching.DecisionCounts()
        for part in self._parts:
            whole.add(part.counts())
        return whole

    def close(self) -> None:
        """Ends all sessions."""
        for part in self._parts:
            part.close()
