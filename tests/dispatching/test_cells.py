"""Tests of how workers and jobs are divided among dispatchers."""

import collections
import unittest

from rosemaryroad import dispatching


class CellsTest(unittest.TestCase):
    """All VMs divide in the same way, and evenly enough."""

    def test_a_deployment_of_today_has_one_cell(self) -> None:
        for workers in (0, 1, 24, 60):
            with self.subTest(workers):
                self.assertEqual(1, dispatching.cells_for(workers).count)

    def test_a_grown_one_has_one_for_some_sixty_workers(self) -> None:
        self.assertEqual(3, dispatching.cells_for(176).count)
        self.assertEqual(22, dispatching.cells_for(1_300).count)

    def test_what_comes_again_meets_the_same_dispatcher(self) -> None:
        """A client repeats a job at another entry VM, which hashes anew."""
        one, other = dispatching.Cells(3), dispatching.Cells(3)
        for number in range(100):
            job = f'{number:016x}'
            self.assertEqual(one.of_job(job), other.of_job(job))

    def test_jobs_and_workers_are_spread(self) -> None:
        """A cell with far fewer workers than jobs would refuse its jobs."""
        cells = dispatching.Cells(3)
        for place in (cells.of_job, cells.of_worker):
            counts = collections.Counter(
                place(f'{number:016x}') for number in range(3_000)
            )
            self.assertEqual({0, 1, 2}, set(counts))
            self.assertLess(max(counts.values()), 1_100)

    def test_there_is_at_least_one(self) -> None:
        with self.assertRaises(ValueError):
            dispatching.Cells(0)


class FirstDivisionTest(unittest.TestCase):
    """A deployment of 176 workers starts for the first time."""

    def test_workers_that_come_up_one_after_the_other_all_count(self) -> None:
        """A VM reads the list when the first few entries are there.

        Divided by them, the deployment had one cell for good, and one
        dispatcher for all of its workers.
        """
        division = dispatching.FirstDivision(0.0)
        found = None
        now = 0.0
        while found is None:
            now += 30.0
            workers = min(176, 5 + int(now // 25))
            found = division.cells(workers, now)
        self.assertEqual(3, found.count)
        self.assertLess(now, 7_000)

    def test_workers_that_come_and_go_hold_nobody_up(self) -> None:
        division = dispatching.FirstDivision(0.0)
        found = None
        now = 0.0
        while found is None:
            now += 500.0
            found = division.cells(170 + int(now // 500) % 2, now)
        self.assertEqual(3, found.count)
        self.assertLess(now, 10_000)
