"""Tests that no preemption doubles a task, whatever fails beside it."""

from tests.dispatching import drawn_case
from tests.dispatching import drawn_plays

_SEEDS = range(1, 13)

# Has doubled a task once: its workers answered as if they had stopped an
# attempt, though they had seen a higher fence.
_ONCE_BROKEN = (41,)


class DrawnPreemptionsTest(drawn_case.DrawnCase):
    """Preemption beside cuts, losses, restarts and stops that get lost."""

    FAULTS = drawn_plays.FaultList.PREEMPTIONS

    async def test_seeds(self) -> None:
        for seed in _SEEDS:
            await self._play(seed)

    async def test_seeds_that_have_doubled_a_task(self) -> None:
        for seed in _ONCE_BROKEN:
            await self._play(seed)

    async def test_tasks_are_preempted(self) -> None:
        """Without any, the plays above would show nothing."""
        result = await drawn_plays.play(self.FAULTS, 2)
        self.assertGreater(result.preemptions, 0)
