"""Tests that clients that come again elsewhere never have a task doubled."""

from tests.dispatching import drawn_case
from tests.dispatching import drawn_plays

_SEEDS = range(201, 209)

# Seeds that once doubled a task.
_ONCE_BROKEN = (8, 53, 65, 77, 96, 138, 147, 156)


class DrawnReturnsTest(drawn_case.DrawnCase):
    """A deputy's tasks are prolonged by the dispatcher that most follow.

    Their clients come to a VM that hears neither, and which starts them again.
    """

    FAULTS = drawn_plays.FaultList.RETURNS

    async def test_seeds(self) -> None:
        for seed in _SEEDS:
            await self._play(seed)

    async def test_a_link_that_breaks_as_a_task_starts(self) -> None:
        """Two VMs that are cut off apart serve one client in turn."""
        await self._play(1_189)

    async def test_seeds_that_have_doubled_a_task(self) -> None:
        for seed in _ONCE_BROKEN:
            await self._play(seed)
