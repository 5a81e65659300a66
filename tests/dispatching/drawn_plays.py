"""Plays many seeds of a list of drawn faults, in several processes.

Run ``python -m tests.dispatching.drawn_plays faults 2000 2611``.
"""

import asyncio
import enum
import multiprocessing

import attrs
import typer

from rosemaryroad import model
from tests.dispatching import drawn_drains
from tests.dispatching import drawn_faults
from tests.dispatching import drawn_lives
from tests.dispatching import drawn_one_way
from tests.dispatching import drawn_preemptions
from tests.dispatching import drawn_returns
from tests.dispatching import played_service


class FaultList(enum.Enum):
    """A list of faults that plays are drawn from."""

    FAULTS = 'faults'
    ONE_WAY = 'one-way'
    DRAINS = 'drains'
    PREEMPTIONS = 'preemptions'
    RETURNS = 'returns'
    LIVES = 'lives'


_PLAY_BY_LIST = {
    FaultList.FAULTS: drawn_faults.DrawnFaults,
    FaultList.ONE_WAY: drawn_one_way.OneWayFaults,
    FaultList.DRAINS: drawn_drains.DrawnDrains,
    FaultList.PREEMPTIONS: drawn_preemptions.DrawnPreemptions,
    FaultList.RETURNS: drawn_returns.DrawnReturns,
    FaultList.LIVES: drawn_lives.DrawnLives,
}


@attrs.frozen
class Result:
    """What one play has shown.

    Attributes:
        seed: Its seed.
        starts: How many tasks were started.
        doubled: Those that ran beside themselves.
        repeated: Those that were started after they had ended well.
        drained_starts: Those that were started in a failure domain that was
            known to be drained.
        wrong_starts: Those that were started without the label they require.
        preemptions: How many tasks were stopped for more urgent jobs.
    """

    seed: int
    starts: int
    doubled: tuple[played_service.Doubled, ...]
    repeated: tuple[model.TaskId, ...]
    drained_starts: tuple[played_service.DrainedStart, ...]
    wrong_starts: tuple[played_service.WrongStart, ...]
    preemptions: int

    @property
    def is_broken(self) -> bool:
        """Whether a rule was broken, or nothing was played."""
        broken = self.doubled or self.drained_starts or self.wrong_starts
        return bool(broken or not self.starts)


@attrs.frozen
class _Player:
    faults: FaultList

    def __call__(self, seed: int) -> Result:
        return asyncio.run(play(self.faults, seed))


async def play(faults: FaultList, seed: int) -> Result:
    """Plays one seed."""
    drawn = _PLAY_BY_LIST[faults](seed)
    await drawn.play()
    service = drawn.service
    await service.close()
    return Result(
        seed,
        service.starts,
        tuple(service.doubled),
        tuple(service.repeated),
        tuple(service.drained_starts),
        tuple(service.wrong_starts),
        service.preemptions,
    )


def main(faults: FaultList, first: int, end: int, jobs: int = 4) -> None:
    """Plays the seeds from FIRST up to END, which is left out."""
    broken = []
    with multiprocessing.Pool(jobs) as pool:
        for result in pool.imap_unordered(_Player(faults), range(first, end)):
            if result.is_broken:
                broken.append(result)
                typer.echo(f'seed {result.seed}: {result}')
    typer.echo(f'{end - first} plays, {len(broken)} broken')
    raise typer.Exit(1 if broken else 0)


if __name__ == '__main__':
    typer.run(main)
