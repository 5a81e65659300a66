"""How workers and jobs are divided among several dispatchers."""

import math
import zlib

import attrs

# One dispatcher's processor carries the starts of some three times as many
# workers. Fewer, larger cells leave less room unused.
_WORKERS_IN_A_CELL = 60

# Workers write their entries every second or two, so that all that are about
# to come have come by then. Where some come and go all the time, the number
# has to do as it is.
_SETTLED_MS = 2_000.0
_LONGEST_MS = 8_000.0


@attrs.frozen
class Cells:
    """The division in force; all entry VMs have to use the same one.

    Both sides go by hashes alone. A job that comes again at another entry VM
    therefore meets the dispatcher that may have started it already, and no
    worker takes orders from two.

    Attributes:
        count: How many dispatchers there are.
    """

    count: int = attrs.field(default=1, validator=attrs.validators.ge(1))

    def of_job(self, job_id: str) -> int:
        """Returns the cell that a job belongs to."""
        return self._hash(job_id)

    def of_worker(self, worker_id: str) -> int:
        """Returns the cell that a worker belongs to."""
        return self._hash(worker_id)

    def _hash(self, key: str) -> int:
        return zlib.crc32(key.encode()) % self.count


def cells_for(workers: int) -> Cells:
    """Returns the division for a deployment with so many workers."""
    return Cells(max(1, math.ceil(workers / _WORKERS_IN_A_CELL)))


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
