"""How workers and jobs are divided among several dispatchers."""

import bisect
import collections.abc
import itertools
import math
import statistics
import zlib

import attrs

from rosemaryroad import model
from rosemaryroad import structure

# One dispatcher's processor carries the starts of some three times as many
# workers. Fewer, larger cells leave less room unused.
_WORKERS_IN_A_CELL = 60

# Workers write their entries every second or two, so that all that are about
# to come have come by then. Where some come and go all the time, the number
# has to do as it is.
_SETTLED_MS = 2_000.0
_LONGEST_MS = 8_000.0

_HASHES = 2**32

# A VM keeps an election for each cell. The largest deployment that is planned
# for has 25.
_MOST_CELLS = 1_000

# Shares are sums of floating-point parts.
_SUM_TOLERANCE = 1e-6


@attrs.frozen
class Cells:
    """The division in force; all entry VMs have to use the same one.

    Both sides go by hashes alone. A job that comes again at another entry VM
    therefore meets the dispatcher that may have started it already, and no
    worker takes orders from two.

    Attributes:
        count: How many dispatchers there are.
        shares: The part of all jobs that each gets, or () for equal parts.

    Raises:
        ValueError: The shares don't fit the count, or each other.
    """

    count: int = attrs.field(
        default=1,
        validator=[attrs.validators.ge(1), attrs.validators.le(_MOST_CELLS)],
    )
    shares: tuple[float, ...] = attrs.field(
        default=(), metadata=structure.OMIT_DEFAULT
    )

    def __attrs_post_init__(self) -> None:
        if not self.shares:
            return
        if len(self.shares) != self.count:
            raise ValueError(f'{len(self.shares)} shares, {self.count} cells')
        if min(self.shares) <= 0:
            raise ValueError('a share is not positive')
        if abs(sum(self.shares) - 1.0) > _SUM_TOLERANCE:
            raise ValueError(f'shares add up to {sum(self.shares):g}, not 1')

    def of_job(self, job_id: str) -> int:
        """Returns the cell that a job belongs to."""
        if not self.shares:
            return _hash(job_id) % self.count
        bounds = list(itertools.accumulate(self.shares[:-1]))
        return bisect.bisect_right(bounds, _hash(job_id) / _HASHES)

    def of_worker(self, worker_id: str) -> int:
        """Returns the cell that a worker belongs to."""
        return _hash(worker_id) % self.count


def _hash(key: str) -> int:
    return zlib.crc32(key.encode())


def cells_for(workers: int) -> Cells:
    """Returns the division for a deployment with so many workers."""
    count = math.ceil(workers / _WORKERS_IN_A_CELL)
    return Cells(min(max(1, count), _MOST_CELLS))


# The division is for good; one entry with a huge number would give its cell
# all jobs.
_MOST_TIMES_USUAL = 8.0


def share_by_room(
    cells: Cells, workers: collections.abc.Iterable[model.Worker]
) -> Cells:
    """Returns a division in which cells get jobs by their workers' cores.

    A hash gives cells unequal room; with equal parts of the jobs a burst
    overloads the smallest cell while others have room.

    Args:
        cells: The division, with equal parts.
        workers: All workers.
    """
    workers = tuple(workers)
    if not workers:
        return cells
    usual = statistics.median(item.capacity.cores for item in workers)
    cores = [0.0] * cells.count
    for worker in workers:
        counted = min(worker.capacity.cores, _MOST_TIMES_USUAL * usual)
        cores[cells.of_worker(worker.id)] += counted
    if min(cores) <= 0:
        return cells
    whole = sum(cores)
    return attrs.evolve(cells, shares=tuple(item / whole for item in cores))


class FirstDivision:
    """Decides when the workers that are listed tell the division.

    It is for good, and when a deployment starts for the first time its
    workers' entries come up one after the other for seconds. Divided by the
    few that come first, all workers would be one dispatcher's, and in a burst
    nearly nothing would be served any more.

    Args:
        now: The present time.
    """

    def __init__(self, now: float) -> None:
        self._count = 0
        self._changed_at = now
        self._first_at: float | None = None

    def cells(self, workers: int, now: float) -> Cells | None:
        """Returns the division, or None while the number may still rise.

        Args:
            workers: How many workers are listed.
            now: The present time.
        """
        if workers != self._count:
            self._count = workers
            self._changed_at = now
        if not workers:
            return None
        if self._first_at is None:
            self._first_at = now
        settled = now - self._changed_at >= _SETTLED_MS
        if not settled and now - self._first_at < _LONGEST_MS:
            return None
        return cells_for(workers)
