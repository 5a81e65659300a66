"""What the tests of drawn plays share."""

import asyncio
import unittest

from tests.dispatching import drawn_plays


class DrawnCase(unittest.IsolatedAsyncioTestCase):
    """Plays seeds of one list.

    Attributes:
        FAULTS: The list.
    """

    FAULTS: drawn_plays.FaultList

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    async def _play(self, seed: int) -> None:
        """Plays a seed and checks that no rule was broken."""
        with self.subTest(seed):
            result = await drawn_plays.play(self.FAULTS, seed)
            self.assertEqual((), result.doubled)
            self.assertEqual((), result.drained_starts)
            self.assertEqual((), result.wrong_starts)
            self.assertGreater(result.starts, 0)
