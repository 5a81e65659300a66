"""Up to which of its ends a worker has told, in its present life."""

import collections.abc
import math

import attrs

from rosemaryroad import model

# For so long an end that concerns nobody here is left to whom it concerns:
# another dispatcher asks several times meanwhile, and jobs that are handed
# over to this one come.
_LEFT_TO_OTHERS_MS = 1_000.0

_Concerns = collections.abc.Callable[[model.EndedTask], bool]


@attrs.frozen
class Mark:
    """What a question acknowledges.

    Attributes:
        number: The highest number of an end that needn't be told again.
        born: The life of the worker that told it.
    """

    number: int = 0
    born: int | None = None


class Acknowledged:
    """Keeps the mark for the next question to a worker.

    A worker that starts again numbers its ends anew. It would forget those
    up to the mark of before untold, and their tasks would never be known to
    have ended. So nothing is acknowledged after a call that was lost, as the
    worker may have started again; it repeats a few ends at most.

    A worker forgets an end once anybody has acknowledged it. Whoever had
    ordered the task would miss it, take the attempt for vanished and start
    the task again, so ends of others' tasks are acknowledged late.
    """

    def __init__(self) -> None:
        self.mark = Mark()
        self._settled = 0
        self._taken_in: set[int] = set()
        self._left_at_by_number: dict[int, float] = {}
        self._told_at = -math.inf
        self._told_clock = 0.0

    @property
    def leaves_some(self) -> bool:
        """Whether the worker keeps an end that has been told here."""
        return bool(self._left_at_by_number)

    def call_lost(self) -> None:
        """Takes in that a call got no sound answer."""
        self.mark = attrs.evolve(self.mark, number=0)

    def life_listed(self, born: int | None) -> None:
        """Takes in which life of the worker its entry names."""
        if model.is_earlier_life(self.mark.born, born):
            self._begin(born)

    def told(
        self,
        asked: Mark,
        report: model.WorkerReport,
        concerns: _Concerns,
        now: float,
    ) -> model.WorkerReport:
        """Takes in the report that answers a question.

        Args:
            asked: What the question acknowledged.
            report: The report.
            concerns: Tells whether an end is of a task that was ordered or
                is waited for here.
            now: The present time.

        Returns:
            The report without ends that were taken in before; it says
            whether it may lack some.
        """
        if model.is_earlier_life(report.born, self.mark.born):
            return report
        if report.born != self.mark.born or self._is_behind(report):
            self._begin(report.born)
        if report.worker_clock > self._told_clock:
            self._told_at = now
            self._told_clock = report.worker_clock
        may_lack_ends = bool(asked.number) and model.is_earlier_life(
            asked.born, report.born
        )
        ended = tuple(
            row for row in report.ended if not self._is_taken_in(row.number)
        )
        self._take_in(ended, concerns, now)
        self._settle(report.ended, now)
        if report.ended:
            self.mark = Mark(self._settled, report.born)
        return attrs.evolve(report, ended=ended, may_lack_ends=may_lack_ends)

    def _begin(self, born: int | None) -> None:
        self.mark = Mark(0, born)
        self._settled = 0
        self._taken_in.clear()
        self._left_at_by_number.clear()
        self._told_at = -math.inf
        self._told_clock = 0.0

    def _is_behind(self, report: model.WorkerReport) -> bool:
        """Tells whether a worker that tells no lives has started again."""
        return (
            report.born is None
            and report.asked_at > self._told_at
            and report.worker_clock < self._told_clock
        )

    def _is_taken_in(self, number: int) -> bool:
        return number <= self._settled or number in self._taken_in

    def _take_in(
        self,
        rows: tuple[model.EndedTask, ...],
        concerns: _Concerns,
        now: float,
    ) -> None:
        left_at_by_number = self._left_at_by_number
        self._left_at_by_number = {}
        for row in rows:
            if concerns(row):
                self._taken_in.add(row.number)
            else:
                left_at = left_at_by_number.get(row.number, now)
                self._left_at_by_number[row.number] = left_at

    def _settle(self, rows: tuple[model.EndedTask, ...], now: float) -> None:
        """Finds up to which number nobody needs to be told any more."""
        left = [
            number
            for number, left_at in self._left_at_by_number.items()
            if now - left_at < _LEFT_TO_OTHERS_MS
        ]
        last = max((row.number for row in rows), default=0)
        last = min([last, *(number - 1 for number in left)])
        self._settled = max(self._settled, last)
        self._taken_in = {n for n in self._taken_in if n > self._settled}
