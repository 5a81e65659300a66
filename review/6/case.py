"""A minion crashes and comes back under its id, of another kind.

Clients hand in jobs whose step requires the label `a` or `b`. Every two
seconds one of 24 minions crashes; it starts again 3 s later under its id and
at its address, and is of the other kind. ROUTE asks that no task starts on a
minion that lacks the label that its step requires.
"""

import asyncio
import os
import pathlib
import random
import sys

import world

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
JOBS_PER_S = 40
CRASHES = 16
GAP_S = 2.0
DOWN_S = 3.0
OTHER = {'a': 'b', 'b': 'a'}


async def press(deployed, label_by_job, rng):
    """Hands jobs in at random."""
    while True:
        job = world.new_id()
        label = rng.choice(('a', 'b'))
        label_by_job[job] = label
        deployed.spawn(
            deployed.post(
                rng.choice(deployed.vms),
                job,
                tasks=rng.choice((2, 4, 8)),
                work_ms=rng.choice((60, 200, 400)),
                requires=label,
            )
        )
        await asyncio.sleep(rng.expovariate(JOBS_PER_S))


async def crash(minion):
    """Crashes a minion; it comes back under its id, of the other kind."""
    kind = OTHER[minion.labels[0]]
    await minion.crash()
    await asyncio.sleep(DOWN_S)
    await minion.start(kind)


def next_minion(deployed, crashed):
    """Returns a minion of the more frequent kind that hasn't crashed."""
    kinds = [minion.labels[0] for minion in deployed.minions if minion.up]
    kind = max(OTHER, key=kinds.count)
    return next(
        minion
        for minion in deployed.minions
        if minion.labels[0] == kind and minion not in crashed
    )


async def play():
    rng = random.Random(1)
    label_by_job = {}
    async with world.World(FOLDER / 'record.txt') as deployed:
        pressing = asyncio.create_task(press(deployed, label_by_job, rng))
        await asyncio.sleep(4)
        crashed = []
        for _ in range(CRASHES):
            if TROUBLE:
                crashed.append(next_minion(deployed, crashed))
                deployed.spawn(crash(crashed[-1]))
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(4)
        pressing.cancel()
        await asyncio.sleep(2)
        record = deployed.record
        wrong = [
            run
            for run in deployed.runs
            if label_by_job[run.job] not in run.labels
        ]
        for run in wrong:
            record.note(
                'ROUTE_BROKEN',
                task=run.task,
                run=run.attempt,
                id=run.minion,
                born=run.life,
                requires=label_by_job[run.job],
                labels=run.labels,
                began=f'{run.began - record.began:.3f}',
            )
        done = sum(run.how == 'done' for run in deployed.runs)
        record.note('runs', all=len(deployed.runs), done=done)
        record.note('verdict', broken=len(wrong))
        print(f'{len(wrong)} of {len(deployed.runs)} starts without the label')
        if done < 100:
            return 2
        return 1 if wrong else 0


if __name__ == '__main__':
    try:
        code = asyncio.run(play())
    except Exception as error:
        print(f'the case could not run: {error!r}')
        code = 2
    sys.exit(code)
