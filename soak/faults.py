"""What each fault does to the world, and how it ends."""

import asyncio
import collections.abc
import functools

from soak import network
from soak import plan
from soak import world as world_module
from tests.standins import relay

_Kind = plan.Kind
_Mode = relay.Mode
_World = world_module.World
_Undo = collections.abc.Callable[[], collections.abc.Awaitable[None]]
_Begin = collections.abc.Callable[
    [_World, plan.Fault], collections.abc.Awaitable[_Undo]
]

_SLOW_STORE_MS = 700.0
_DELAY_MS = 120.0

# How soon a worker's entry goes after it has crashed.
_ENTRY_GOES_S = 1.0

# Orders get lost on the way to one worker in so many.
_DEAF_SPACING = 3


async def play(
    world: _World, faults: collections.abc.Iterable[plan.Fault]
) -> None:
    """Plays faults at their times and waits until the last has ended."""
    async with asyncio.TaskGroup() as tasks:
        for fault in faults:
            tasks.create_task(_play_one(world, fault))


async def _play_one(world: _World, fault: plan.Fault) -> None:
    await asyncio.sleep(fault.at_s)
    undo = await _BEGIN_BY_KIND[fault.kind](world, fault)
    await asyncio.sleep(fault.for_s)
    await undo()


async def _nothing() -> None:
    """Ends what ends by itself."""


async def _kill(world: _World, fault: plan.Fault) -> _Undo:
    for number in fault.daemons:
        world.daemons[number].kill()
    return _nothing


async def _leave(world: _World, fault: plan.Fault) -> _Undo:
    for number in fault.daemons:
        world.daemons[number].leave()
    return _nothing


async def _freeze(world: _World, fault: plan.Fault) -> _Undo:
    for number in fault.daemons:
        world.daemons[number].freeze()

    async def undo() -> None:
        for number in fault.daemons:
            world.daemons[number].thaw()

    return undo


async def _spoil_store(
    name: str, value: object, world: _World, fault: plan.Fault
) -> _Undo:
    for number in fault.daemons:
        setattr(world.stores[number].faults, name, value)

    async def undo() -> None:
        for number in fault.daemons:
            setattr(world.stores[number].faults, name, type(value)())

    return undo


async def _forget_history(world: _World, _: plan.Fault) -> _Undo:
    world.rows.history_from = world.rows.version
    return _nothing


async def _disturb(
    mode: _Mode,
    one_way: bool,
    delay_ms: float,
    world: _World,
    fault: plan.Fault,
) -> _Undo:
    # A side has the workers of its daemons' failure domains.
    workers = world.addresses(fault.daemons)
    return _begin_effect(
        world,
        network.Effect(fault.daemons, workers, mode, one_way, delay_ms),
    )


async def _part(world: _World, fault: plan.Fault) -> _Undo:
    return _begin_effect(world, network.Effect(fault.daemons, None, _Mode.CUT))


def _begin_effect(world: _World, effect: network.Effect) -> _Undo:
    world.network.begin(effect)

    async def undo() -> None:
        world.network.end(effect)

    return undo


async def _kill_links(world: _World, fault: plan.Fault) -> _Undo:
    world.network.silence_open(network.Effect(fault.daemons))
    return _nothing


async def _crash_worker(world: _World, fault: plan.Fault) -> _Undo:
    gone = await world.crash_worker(fault.worker)

    async def forget() -> None:
        await asyncio.sleep(_ENTRY_GOES_S)
        world.remove_entry(gone)

    return forget


async def _restart_worker(world: _World, fault: plan.Fault) -> _Undo:
    worker = world.workers[fault.worker]
    worker.restart()

    async def undo() -> None:
        # Until then only its answers tell of its new life.
        if worker in world.workers:
            world.list_worker(worker, 'ready')

    return undo


async def _drain_worker(world: _World, fault: plan.Fault) -> _Undo:
    worker = world.workers[fault.worker]
    world.list_worker(worker, 'draining')

    async def undo() -> None:
        if worker in world.workers:
            world.list_worker(worker, 'ready')

    return undo


async def _spoil_worker(
    name: str, value: object, world: _World, fault: plan.Fault
) -> _Undo:
    worker = world.workers[fault.worker]
    setattr(worker.faults, name, value)

    async def undo() -> None:
        if worker in world.workers:
            setattr(worker.faults, name, type(value)())

    return undo


async def _lose_orders(world: _World, fault: plan.Fault) -> _Undo:
    first = fault.worker % _DEAF_SPACING
    spoiled = world.workers[first::_DEAF_SPACING]
    for worker in spoiled:
        worker.faults.lose_orders = True

    async def undo() -> None:
        for worker in spoiled:
            worker.faults.lose_orders = False

    return undo


async def _change_queues(world: _World, _: plan.Fault) -> _Undo:
    world.put_queues('/brief/')

    async def undo() -> None:
        world.put_queues()

    return undo


async def _damage_row(world: _World, _: plan.Fault) -> _Undo:
    world.rows.put_raw('servers', 'damaged', value=7)

    async def undo() -> None:
        world.rows.remove('servers', 'damaged')

    return undo


def _store(name: str, value: object) -> _Begin:
    return functools.partial(_spoil_store, name, value)


def _worker(name: str, value: object) -> _Begin:
    return functools.partial(_spoil_worker, name, value)


def _net(mode: _Mode, one_way: bool = False, delay_ms: float = 0.0) -> _Begin:
    return functools.partial(_disturb, mode, one_way, delay_ms)


_BEGIN_BY_KIND: dict[_Kind, _Begin] = {
    _Kind.KILL: _kill,
    _Kind.LEAVE: _leave,
    _Kind.FREEZE: _freeze,
    _Kind.STORE_DOWN: _store('status', 503),
    _Kind.STORE_SILENT: _store('swallow', True),
    _Kind.STORE_SLOW: _store('answer_ms', _SLOW_STORE_MS),
    _Kind.STORE_LOSES: _store('lose_answers', True),
    _Kind.STORE_GARBLES: _store('garble', True),
    _Kind.STORE_FORGETS: _forget_history,
    _Kind.CUT: _net(_Mode.CUT),
    _Kind.PARTED: _part,
    _Kind.SILENCE: _net(_Mode.HOLD),
    _Kind.ONE_WAY: _net(_Mode.HOLD, one_way=True),
    _Kind.DROP: _net(_Mode.DROP),
    _Kind.DELAY: _net(_Mode.PASS, delay_ms=_DELAY_MS),
    _Kind.LINKS_DIE: _kill_links,
    _Kind.WORKER_CRASHES: _crash_worker,
    _Kind.WORKER_RESTARTS: _restart_worker,
    _Kind.WORKER_LEAVES: _drain_worker,
    _Kind.WORKER_LOSES: _worker('lose_answers', True),
    _Kind.WORKER_FAILS: _worker('fail_all', True),
    _Kind.WORKER_HANGS: _worker('hang', True),
    _Kind.WORKER_REFUSES: _worker('status', 503),
    _Kind.ORDERS_LOST: _lose_orders,
    _Kind.QUEUES: _change_queues,
    _Kind.DAMAGED_ROW: _damage_row,
}
