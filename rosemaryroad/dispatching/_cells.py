"""How workers and jobs are divided among several dispatchers."""

import math
import zlib

import attrs

# One dispatcher's processor carries the starts of some three times as many
# workers. Fewer, larger cells leave less room unused.
_WORKERS_IN_A_CELL = 60


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
