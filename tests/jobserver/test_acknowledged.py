"""Tests of which ends are acknowledged to a worker."""

import unittest

import attrs

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
        self.now = 0.0

    def _tell(self, report: model.WorkerReport) -> model.WorkerReport:
        return self._told(self.acknowledged.mark, report)

    def _told(
        self, asked: _acknowledged.Mark, report: model.WorkerReport
    ) -> model.WorkerReport:
        return self.acknowledged.told(
            asked, report, lambda row: row.task == _TASK, self.now
        )

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
        late = self._told(asked, _report(_SECOND))
        self.assertTrue(late.may_lack_ends)
        self.assertFalse(self._tell(_report(_SECOND)).may_lack_ends)

    def test_older_workers_are_as_ever(self) -> None:
        self._tell(_report(None, 57))
        self.assertFalse(self._tell(_report(None)).may_lack_ends)
        self.assertEqual(57, self.acknowledged.mark.number)

    def test_ends_of_others_are_left_to_them_for_a_while(self) -> None:
        """Another dispatcher would take its attempt for vanished."""
        theirs = model.TaskId('fedcba9876543210', 0)
        ended = (
            model.EndedTask(1, _TASK, 1, model.TaskEnd.DONE),
            model.EndedTask(2, theirs, 1, model.TaskEnd.DONE),
            model.EndedTask(3, _TASK, 2, model.TaskEnd.DONE),
        )
        report = model.WorkerReport(1.0, 1.0, (), ended)
        self._tell(report)
        self.assertEqual(1, self.acknowledged.mark.number)
        self.assertTrue(self.acknowledged.leaves_some)
        self.now += 900
        self._tell(report)
        self.assertEqual(1, self.acknowledged.mark.number)
        self.now += 100
        self._tell(report)
        self.assertEqual(3, self.acknowledged.mark.number)
        self._tell(model.WorkerReport(1.0, 1.0, (), ()))
        self.assertFalse(self.acknowledged.leaves_some)

    def test_ends_that_are_told_again_are_not_taken_for_others(self) -> None:
        """What was ordered here is no longer known once its end was taken in.

        Left to others, it would slow the questions to its worker down.
        """
        self._tell(_report(_FIRST, 1, 2))
        self.acknowledged.call_lost()
        self.assertEqual(0, self.acknowledged.mark.number)
        self.acknowledged.told(
            self.acknowledged.mark,
            _report(_FIRST, 1, 2),
            lambda _: False,
            self.now,
        )
        self.assertEqual(2, self.acknowledged.mark.number)
        self.assertFalse(self.acknowledged.leaves_some)

    def test_an_end_of_others_holds_up_its_own_time_only(self) -> None:
        """Our ends behind it are told again, and are no longer known as ours.

        Each would be left to others in its turn, and so on for good.
        """
        theirs = model.TaskId('fedcba9876543210', 0)
        rows = [model.EndedTask(1, theirs, 1, model.TaskEnd.DONE)]
        known: set[int] = set()
        for number in range(2, 30):
            rows.append(
                model.EndedTask(number, _TASK, number, model.TaskEnd.DONE)
            )
            rows = [
                row
                for row in rows
                if row.number > self.acknowledged.mark.number
            ]
            report = model.WorkerReport(1.0, 1.0, (), tuple(rows))
            told = self.acknowledged.told(
                self.acknowledged.mark,
                report,
                lambda row: row.task == _TASK and row.number not in known,
                self.now,
            )
            known.update(row.number for row in told.ended if row.number > 1)
            self.assertEqual(
                [number],
                [row.number for row in told.ended if row.task == _TASK],
            )
            self.now += 50
        self.assertEqual(29, self.acknowledged.mark.number)
        self.assertFalse(self.acknowledged.leaves_some)

    def test_a_worker_that_tells_no_lives_starts_again(self) -> None:
        """Only its clock is behind; its ends are numbered anew.

        Taken for those of before, they would never be taken in.
        """
        before = attrs.evolve(_report(None, 1, 2), worker_clock=9_000.0)
        self._tell(before)
        self.now += 10
        self.acknowledged.call_lost()
        after = attrs.evolve(
            _report(None, 1), worker_clock=5.0, asked_at=self.now
        )
        self.assertEqual(after.ended, self._tell(after).ended)
        self.assertEqual(1, self.acknowledged.mark.number)
