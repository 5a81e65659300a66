"""Tests that orders to earlier lives of workers never have a task doubled."""

from tests.dispatching import drawn_case
from tests.dispatching import drawn_plays

_SEEDS = range(201, 207)

# Seeds that once doubled a task.
_ONCE_BROKEN = (29, 61, 97, 125, 159, 3_162)


class DrawnLivesTest(drawn_case.DrawnCase):
    """An order without an answer is carried out in its worker's next life.

    The task runs there and for its client, who finds it done twice.
    """

    FAULTS = drawn_plays.FaultList.LIVES

    async def test_seeds(self) -> None:
        for seed in _SEEDS:
            await self._play(seed)

    async def test_seeds_that_have_doubled_a_task(self) -> None:
        for seed in _ONCE_BROKEN:
            await self._play(seed)
