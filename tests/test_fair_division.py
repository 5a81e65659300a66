"""Tests of the max-min fair division."""

import unittest

from rosemaryroad import _fair_division


class LevelTest(unittest.TestCase):
    """What a claim of weight 1 gets at most."""

    def test_small_claims_leave_the_rest_to_the_others(self) -> None:
        self.assertEqual(4.5, _fair_division.level(10, [1, 20, 20]))

    def test_claims_that_fit_are_met(self) -> None:
        self.assertEqual(3.0, _fair_division.level(10, [1, 2, 3]))

    def test_weights_divide_what_is_left(self) -> None:
        """Sorted by size alone, the light claim would take the heavy's."""
        level = _fair_division.level(10, [1, 5, 8], [1.0, 0.5, 2.0])
        self.assertAlmostEqual(9 / 2.5, level)
