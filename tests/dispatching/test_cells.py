"""Tests of how workers and jobs are divided among dispatchers."""

import collections
import json
import unittest

from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import structure
from tests.dispatching import case


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


class RoomSharesTest(unittest.TestCase):
    """Cells get jobs in proportion to the cores of their workers."""

    def setUp(self) -> None:
        self.workers = [
            case.make_worker(f'w{number}', cores=32.0) for number in range(176)
        ]
        even = dispatching.Cells(3)
        self.cells = dispatching.share_by_room(even, self.workers)

    def test_jobs_follow_the_room(self) -> None:
        """With equal parts, the smallest cell is full while others idle."""
        cores = collections.Counter()
        for worker in self.workers:
            cores[self.cells.of_worker(worker.id)] += worker.capacity.cores
        jobs = collections.Counter(
            self.cells.of_job(f'{number:016x}') for number in range(30_000)
        )
        whole = sum(cores.values())
        for cell in range(3):
            with self.subTest(cell):
                self.assertAlmostEqual(
                    cores[cell] / whole, jobs[cell] / 30_000, delta=0.01
                )

    def test_one_odd_number_takes_no_jobs_from_the_others(self) -> None:
        """The division is for good; one cell would get all jobs."""
        even = dispatching.Cells(self.cells.count)
        odd = case.make_worker('odd', cores=2.0**43)
        cells = dispatching.share_by_room(even, (*self.workers, odd))
        self.assertLess(max(cells.shares), 2 * max(self.cells.shares))

    def test_workers_stay_where_they_are(self) -> None:
        even = dispatching.Cells(3)
        for worker in self.workers:
            self.assertEqual(
                even.of_worker(worker.id), self.cells.of_worker(worker.id)
            )

    def test_a_row_gives_all_vms_the_same_division(self) -> None:
        """A job sent again at another VM must meet the same dispatcher."""
        text = json.dumps(structure.unstructure(self.cells))
        found = structure.structure(json.loads(text), dispatching.Cells)
        for number in range(1_000):
            job = f'{number:016x}'
            self.assertEqual(self.cells.of_job(job), found.of_job(job))

    def test_a_division_by_equal_parts_is_written_as_before(self) -> None:
        """VMs of an older version read no row with a key they don't know."""
        raw = structure.unstructure(dispatching.Cells(3))
        self.assertEqual({'count': 3}, raw)

    def test_a_cell_without_workers_leaves_equal_parts(self) -> None:
        cells = dispatching.Cells(200)
        self.assertEqual(cells, dispatching.share_by_room(cells, self.workers))

    def test_rows_of_no_sense_are_no_division(self) -> None:
        """Two VMs that read them differently would start a task twice."""
        for shares in ([0.5, 0.5], [0.5, 0.6, -0.1], [0.3, 0.3, 0.3]):
            with (
                self.subTest(shares=shares),
                self.assertRaises(errors.CheckFailed),
            ):
                structure.structure(
                    {'count': 3, 'shares': shares}, dispatching.Cells
                )


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
