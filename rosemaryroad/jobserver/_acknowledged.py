"""Up to which of its ends a worker has told, in its present life."""

import attrs

from rosemaryroad import model


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
    """

    def __init__(self) -> None:
        self.mark = Mark()

    def call_lost(self) -> None:
        """Takes in that a call got no sound answer."""
        self.mark = attrs.evolve(self.mark, number=0)

    def life_listed(self, born: int | None) -> None:
        """Takes in which life of the worker its entry names."""
        if model.is_earlier_life(self.mark.born, born):
            self.mark = Mark(0, born)

    def told(
        self, asked: Mark, report: model.WorkerReport
    ) -> model.WorkerReport:
        """Takes in the report that answers a question.

        Args:
            asked: What the question acknowledged.
            report: The report.

        Returns:
            The report, which says whether it may lack ends.
        """
        if model.is_earlier_life(report.born, self.mark.born):
            return report
        if report.born != self.mark.born:
            self.mark = Mark(0, report.born)
        last = max((row.number for row in report.ended), default=0)
        if last > self.mark.number:
            self.mark = Mark(last, report.born)
        if asked.number and model.is_earlier_life(asked.born, report.born):
            return attrs.evolve(report, may_lack_ends=True)
        return report
