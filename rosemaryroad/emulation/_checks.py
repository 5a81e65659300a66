"""What must hold at every moment of a play."""

import collections
import collections.abc

import attrs

from rosemaryroad import model
from rosemaryroad.emulation import _workers

# How long after operators have drained a failure domain nothing may start
# there any more.
_DRAINED_MS = 5_000.0


@attrs.frozen
class Violation:
    """A rule that was broken.

    Attributes:
        at: When.
        rule: Which.
        detail: How.
    """

    at: float
    rule: str
    detail: str


class RuleChecks(_workers.Watch):
    """Sees from the workers' side whether the rules are kept.

    A job whose client comes again after its VM was lost starts from the
    beginning, so a task may start again after its end.

    Attributes:
        starts_by_task: How often each task was started.
        lost_runs: How many runs ended with their workers.
        violations: The rules that were broken.

    Args:
        domain_of: Returns a worker's failure domain.
    """

    def __init__(
        self, domain_of: collections.abc.Callable[[str], str]
    ) -> None:
        self.starts_by_task: collections.Counter[model.TaskId] = (
            collections.Counter()
        )
        self.lost_runs = 0
        self.violations: list[Violation] = []
        self._domain_of = domain_of
        self._workers_by_task: dict[model.TaskId, list[str]] = (
            collections.defaultdict(list)
        )
        self._drained_at_by_domain: dict[str, float] = {}

    def drained(self, domain: str, now: float) -> None:
        """Takes in that operators have drained a failure domain."""
        self._drained_at_by_domain[domain] = now

    def drain_ended(self, domain: str) -> None:
        """Takes in that they have taken that back."""
        self._drained_at_by_domain.pop(domain, None)

    def started(self, start: _workers.Started) -> None:
        """Takes in a start; see the base class."""
        self.starts_by_task[start.task] += 1
        workers = self._workers_by_task[start.task]
        if workers:
            self._violated(start, 'twice at a time', f'also at {workers}')
        workers.append(start.worker)
        drained_at = self._drained_at_by_domain.get(
            self._domain_of(start.worker)
        )
        if drained_at is not None and start.at - drained_at > _DRAINED_MS:
            self._violated(start, 'started in a drained failure domain', '')

    def ended(
        self, task: model.TaskId, worker: str, how: model.TaskEnd | None
    ) -> None:
        """Takes in the end of a run; see the base class."""
        self._workers_by_task[task].remove(worker)
        if how is None:
            self.lost_runs += 1

    def _violated(
        self, start: _workers.Started, rule: str, detail: str
    ) -> None:
        told = f'{start.task} attempt {start.attempt} at {start.worker}'
        detail = f'{told} by {start.starter} {detail}'.strip()
        self.violations.append(Violation(start.at, rule, detail))
