"""Tests of the rows by which entry VMs find each other."""

import json
import unittest

from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad import platform
from rosemaryroad.jobserver import _rows


def _row(key: str, value: object, version: int = 1) -> platform.Row:
    return platform.Row(key, json.dumps(value), version)


def _vm(name: str) -> dict:
    return {'vm': name, 'address': '10.1.0.1:7', 'cores': 0.5}


class VmRowsTest(unittest.TestCase):
    """Rows of entry VMs, of other things, and of no sense."""

    def setUp(self) -> None:
        self.rows = _rows.VmRows()

    def test_other_rows_name_no_vm(self) -> None:
        rows = {
            'cells': _row('cells', {'count': 3}),
            'vm/a': _row('vm/a', _vm('a')),
        }
        self.assertEqual(
            (model.EntryVm('a', '10.1.0.1:7', 0.5),), self.rows.read(rows)
        )

    def test_a_row_that_has_changed_is_read_again(self) -> None:
        self.rows.read({'vm/a': _row('vm/a', _vm('a'))})
        changed = _row('vm/a', _vm('a') | {'address': '10.1.0.2:7'}, 2)
        [found] = self.rows.read({'vm/a': changed})
        self.assertEqual('10.1.0.2:7', found.address)

    def test_a_row_that_is_gone_names_no_vm(self) -> None:
        self.rows.read({'vm/a': _row('vm/a', _vm('a'))})
        self.assertEqual((), self.rows.read({}))

    def test_a_row_of_no_sense_is_complained_of_once(self) -> None:
        """At each change of any row, its line would fill the log."""
        rows = {'vm/a': _row('vm/a', _vm('a') | {'address': 'nowhere'})}
        with self.assertLogs('rosemaryroad.jobserver', 'WARNING') as logged:
            self.assertEqual((), self.rows.read(rows))
            rows = rows | {'vm/b': _row('vm/b', _vm('b'))}
            self.assertEqual(1, len(self.rows.read(rows)))
        self.assertEqual(1, len(logged.records))

    def test_each_row_is_read_once(self) -> None:
        """VMs that start together would each read the square of the rows."""
        rows = {}
        for number in range(50):
            key = f'vm/{number}'
            rows[key] = _row(key, _vm(str(number)))
            found = self.rows.read(rows)
        again = self.rows.read(rows)
        for one, other in zip(found, again, strict=True):
            self.assertIs(one, other)

    def test_a_row_out_of_bounds_hides_no_other(self) -> None:
        """Another writer's row ended what follows the entry VMs."""
        for text in (
            '[' * 100_000,
            json.dumps(_vm('a') | {'cores': 10**400}),
            json.dumps(_vm('a') | {'vm': '\ud800'}),
        ):
            rows = {
                'vm/a': platform.Row('vm/a', text, 1),
                'vm/b': _row('vm/b', _vm('b')),
            }
            with self.subTest(text[:40]):
                [found] = self.rows.read(rows)
                self.assertEqual('b', found.vm)

    def test_a_term_or_a_division_out_of_bounds_is_none(self) -> None:
        """Workers would keep the term, and VMs an election for each cell."""
        term = _row('dispatcher', {'term': 10**400, 'vm': 'a'})
        self.assertIsNone(_rows.read(term, dispatching.LeaseRow))
        cells = _row('cells', {'count': 10**9})
        self.assertIsNone(_rows.read(cells, dispatching.Cells))


if __name__ == '__main__':
    unittest.main()
