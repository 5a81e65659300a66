"""Plays one seed."""

import asyncio
import math
import pathlib
import random
import tempfile
import time

import attrs

from soak import checks
from soak import clients as clients_module
from soak import faults as faults_module
from soak import kept_clients
from soak import plan
from soak import world as world_module

# Links, leases and quarantines are through with the faults by then: a worker
# is suspended for 8 s at most, a daemon that stepped aside for 5 s.
_CALM_S = 9.0

# What nobody waits for is stopped, or lapses, within a lease and a round.
_STOPPED_S = 2.5

# How many jobs of two tasks each daemon is given at least once the faults are
# over. Workers have room for two tasks, and each of them is to get some.
_PROBES = 3
_PROBES_PER_WORKER = 1.5


@attrs.frozen
class Outcome:
    """What a seed has shown.

    Attributes:
        seed: The seed.
        faults: What was played.
        broken: The promises that were broken.
        jobs: How many jobs were asked for while faults came.
        completed: How many of them were done.
        late: How many requests were sent on kept connections to daemons
            that were leaving.
        lines: The daemons' logs, by name.
    """

    seed: int
    faults: tuple[plan.Fault, ...]
    broken: list[checks.Broken]
    jobs: int
    completed: int
    late: int
    lines: dict[str, list[str]]


async def play(seed: int, shape: plan.Shape) -> Outcome:
    """Plays the faults of a seed and judges what was seen."""
    faults = plan.draw(seed, shape)
    with tempfile.TemporaryDirectory() as folder:
        async with world_module.World(shape, pathlib.Path(folder)) as world:
            return await _play(world, seed, shape, faults)


async def _play(
    world: world_module.World,
    seed: int,
    shape: plan.Shape,
    faults: tuple[plan.Fault, ...],
) -> Outcome:
    callers = [daemon.callers for daemon in world.daemons]
    clients = clients_module.Clients(
        callers,
        world_module.PREFIX,
        world_module.LONG_PREFIX,
        lambda number: world.daemons[number].is_ready,
        random.Random(seed),
    )
    kept = kept_clients.KeptClients(
        world.daemons, world_module.PREFIX, random.Random(f'{seed} kept')
    )
    async with clients:
        if not await world.is_ready():
            return _not_ready(world, seed, 'at the start')
        began = time.monotonic()
        async with kept:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(faults_module.play(world, faults))
                tasks.create_task(
                    clients.press(shape.jobs_per_s, shape.seconds)
                )
            await clients.finish()
            await kept.finish()
        during = list(clients.asked)
        await asyncio.sleep(_CALM_S)
        if not await world.is_ready():
            return _not_ready(world, seed, 'after the faults')
        since = time.monotonic()
        probes = await _probe_at_once(clients, shape)
        if shape.cells > 1:
            probes = await _probe_in_turn(clients, shape)
        await asyncio.sleep(_STOPPED_S)
        asked = clients.asked + kept.asked
        broken = checks.judge(world, asked, kept.requests, faults, began)
        broken += checks.served(probes)
        broken += checks.nothing_runs(world)
        broken += checks.all_work(world, since)
    return Outcome(
        seed,
        faults,
        broken,
        len(during),
        sum(item.is_completed for item in during),
        sum(item.while_leaving for item in kept.requests),
        world.lines(),
    )


async def _probe_at_once(
    clients: clients_module.Clients, shape: plan.Shape
) -> list[clients_module.Asked]:
    """Hands more tasks in at all daemons than the workers have room for."""
    each = math.ceil(_PROBES_PER_WORKER * shape.workers / shape.daemons)
    probes = [
        clients.start(number, tasks=2, tries=1)
        for number in range(shape.daemons)
        for _ in range(max(_PROBES, each))
    ]
    await clients.finish()
    return probes


async def _probe_in_turn(
    clients: clients_module.Clients, shape: plan.Shape
) -> list[clients_module.Asked]:
    """Hands jobs in at one daemon after another.

    All at once could come to a single cell, which would refuse some.
    """
    probes = []
    for number in range(shape.daemons):
        for _ in range(_PROBES):
            probes.append(clients.start(number, tasks=2, tries=1))
        await clients.finish()
    return probes


def _not_ready(world: world_module.World, seed: int, when: str) -> Outcome:
    broken = [
        checks.Broken(
            'every daemon becomes ready',
            f'entry-{daemon.number} {when}: {daemon.all_lines()[-1:]}',
        )
        for daemon in world.daemons
        if not daemon.is_ready
    ]
    return Outcome(seed, (), broken, 0, 0, 0, world.lines())
