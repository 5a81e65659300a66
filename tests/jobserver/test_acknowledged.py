"""Tests of which ends are acknowledged to a worker."""

import unittest

from rosemaryroad import model
from rosemaryroad.jobserver import _acknowledged

_FIRST = 1_700_000_000_000
_SECOND = _FIRST + 60_000
_TASK = model.TaskId('0123456789abcdef', 0)


def _report(born: int | None, *numbers: int) -> model.WorkerReport:
    ended = tuple(
        model.EndedTask(number, _TASK, number, model.TaskEnd.DONE)
        for number in numbers
    )
    return model.WorkerReport(1.0, 1.0, (), ended, born=born)


class AcknowledgedTest(unittest.TestCase):
    """A number counts in the life alone that told it."""

    def setUp(self) -> None:
        self.acknowledged = _acknowledged.Acknowledged()

    def _tell(self, report: model.WorkerReport) -> model.WorkerReport:
        return self.acknowledged.told(self.acknowledged.mark, report)

    def test_ends_that_were_told_are_acknowledged(self) -> None:
        for born in (None, _FIRST):
            self._tell(_report(born, 56, 57))
            self._tell(_report(born, 55))
            self._tell(_report(born))
            self.assertEqual(57, self.acknowledged.mark.number)

    def test_the_numbers_start_anew_with_the_life(self) -> None:
        """A worker starts again and numbers its ends from 1.

        With 57 of the life before acknowledged, it would forget its first
        57 untold, and their tasks would not be known to have ended.
        """
        self._tell(_report(_FIRST, 57))
        self._tell(_report(_SECOND, 1, 2))
        self.assertEqual(2, self.acknowledged.mark.number)

    def test_a_new_entry_starts_them_anew(self) -> None:
        self._tell(_report(_FIRST, 57))
        self.acknowledged.life_listed(_SECOND)
        self.assertEqual(0, self.acknowledged.mark.number)
        self._tell(_report(_SECOND, 3))
        for stale in (_FIRST, None):
            self.acknowledged.life_listed(stale)
            self.assertEqual(3, self.acknowledged.mark.number)

    def test_late_reports_of_before_count_no_more(self) -> None:
        self._tell(_report(_SECOND, 1))
        self._tell(_report(_FIRST, 57))
        self.assertEqual(1, self.acknowledged.mark.number)

    def test_nothing_is_acknowledged_after_a_lost_call(self) -> None:
        """The worker may have started again; that breaks its calls.

        Its first report of the new life is then whole.
        """
        self._tell(_report(_FIRST, 57))
        self.acknowledged.call_lost()
        self.assertEqual(0, self.acknowledged.mark.number)
        self.assertFalse(self._tell(_report(_SECOND, 1)).may_lack_ends)

    def test_a_report_that_may_lack_ends_says_so(self) -> None:
        """The worker has started again between two questions."""
        self._tell(_report(_FIRST, 57))
        asked = self.acknowledged.mark
        self.assertTrue(self._tell(_report(_SECOND)).may_lack_ends)
        self.assertFalse(self._tell(_report(_SECOND, 1)).may_lack_ends)
        # A second question was on its way at the same time.
        late = self.acknowledged.told(asked, _report(_SECOND))
        self.assertTrue(late.may_lack_ends)
        self.assertFalse(self._tell(_report(_SECOND)).may_lack_ends)

    def test_older_workers_are_as_ever(self) -> None:
        self._tell(_report(None, 57))
        self.assertFalse(self._tell(_report(None)).may_lack_ends)
        self.assertEqual(57, self.acknowledged.mark.number)
