"""What happens to an emulated service, by kinds of events."""

import asyncio
import collections.abc
import typing

import attrs

from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad.emulation import _settings
from rosemaryroad.emulation import _store
from rosemaryroad.emulation import _vm
from rosemaryroad.emulation import _workers

if typing.TYPE_CHECKING:
    from rosemaryroad.emulation import _service

# How long the entry of a worker that has died stays in the store, and how
# long after a notice others come.
_LISTED_S = 4.5
_OTHERS_AFTER_S = 4.0

_RESTART_GAP_S = 1.2

_MS_PER_SECOND = 1000.0

_T = typing.TypeVar('_T')
_Service: typing.TypeAlias = '_service.EmulatedService'
_Play = collections.abc.Callable[
    [_settings.Event, _Service], collections.abc.Coroutine
]


async def play(
    event: _settings.Event, service: _Service, start_s: float
) -> None:
    """Waits until an event is due, and has it happen.

    Args:
        event: The event.
        service: What it happens to.
        start_s: When the load began, by the loop's time.

    Raises:
        errors.RosemaryroadError: There is no such kind.
    """
    happen = _PLAY_BY_KIND.get(event.kind)
    if happen is None:
        raise errors.RosemaryroadError(
            f'no kind of event: {event.kind}', errors.ResultCode.USAGE
        )
    now_s = asyncio.get_running_loop().time()
    await asyncio.sleep(start_s + event.at_s - now_s)
    await happen(event, service)


async def _in_the_load(event: _settings.Event, service: _Service) -> None:
    """Has nothing to do; the jobs were drawn with it."""


async def _cut_domain(event: _settings.Event, service: _Service) -> None:
    await _cut(event, service, service.names_in(event.domain))


async def _cut_workers(event: _settings.Event, service: _Service) -> None:
    names = {worker.id for worker in _some_workers(event, service)}
    await _cut(event, service, names)


async def _kill_all(event: _settings.Event, service: _Service) -> None:
    _restart(service.vms, event.for_s, silently=False)


async def _power_off_all(event: _settings.Event, service: _Service) -> None:
    _restart(service.vms, event.for_s, silently=True)


async def _kill_vms(event: _settings.Event, service: _Service) -> None:
    _restart(_some_vms(event, service), event.for_s, silently=False)


async def _kill_dispatchers(event: _settings.Event, service: _Service) -> None:
    acting = [vm for vm in service.vms if model.Claim.DISPATCHER in vm.claims]
    _restart(acting, event.for_s, silently=True)


async def _restart_in_turn(event: _settings.Event, service: _Service) -> None:
    for vm in _some_vms(event, service):
        vm.restart_in_order()
        await asyncio.sleep(_RESTART_GAP_S)


async def _crash_workers(event: _settings.Event, service: _Service) -> None:
    workers = _some_workers(event, service)
    for worker in workers:
        worker.faults.is_silent = True
        worker.die()
    await asyncio.sleep(_LISTED_S)
    for worker in workers:
        service.operators.unlist_worker(worker.id)
    await asyncio.sleep(max(0.0, event.for_s - _LISTED_S))
    for worker in workers:
        service.add_another_worker(worker.entry, worker.pace)


async def _take_workers_away(
    event: _settings.Event, service: _Service
) -> None:
    workers = _some_workers(event, service)
    for worker in workers:
        worker.entry = attrs.evolve(worker.entry, leaving=True)
        service.operators.list_worker(worker.entry)
    await asyncio.sleep(event.for_s)
    for worker in workers:
        worker.die()
        service.operators.unlist_worker(worker.id)
    await asyncio.sleep(_OTHERS_AFTER_S)
    for worker in workers:
        service.add_another_worker(worker.entry, worker.pace)


async def _disturb_workers(
    event: _settings.Event, service: _Service, **faults: object
) -> None:
    workers = _some_workers(event, service)
    for worker in workers:
        worker.faults = _workers.WorkerFaults(**faults)
    await asyncio.sleep(event.for_s)
    for worker in workers:
        worker.faults = _workers.WorkerFaults()


async def _fail_tasks(event: _settings.Event, service: _Service) -> None:
    await _disturb_workers(event, service, failing_share=event.factor)


async def _stall_tasks(event: _settings.Event, service: _Service) -> None:
    await _disturb_workers(event, service, stands_still=True)


async def _slow_workers(event: _settings.Event, service: _Service) -> None:
    await _disturb_workers(event, service, slowness=event.factor)


async def _drain_domain(event: _settings.Event, service: _Service) -> None:
    service.operators.drain(event.domain)
    service.checks.drained(event.domain, service.now)
    await asyncio.sleep(event.for_s)
    service.checks.drain_ended(event.domain)
    service.operators.end_drain(event.domain)


async def _disturb_store(
    event: _settings.Event, service: _Service, **faults: typing.Any
) -> None:
    service.store.faults = _store.StoreFaults(**faults)
    await asyncio.sleep(event.for_s)
    service.store.faults = _store.StoreFaults()


async def _lose_store(event: _settings.Event, service: _Service) -> None:
    await _disturb_store(event, service, is_away=True)


async def _slow_store(event: _settings.Event, service: _Service) -> None:
    await _disturb_store(event, service, slowness=event.factor)


async def _turn_vms_away(event: _settings.Event, service: _Service) -> None:
    names = frozenset(vm.name for vm in _some_vms(event, service))
    await _disturb_store(event, service, turned_away=names)


def _some_workers(
    event: _settings.Event, service: _Service
) -> list[_workers.EmulatedWorker]:
    there = [
        worker
        for worker in service.worker_by_id.values()
        if worker.is_up and event.domain in ('', worker.entry.failure_domain)
    ]
    return _draw_share(event, service, there)


def _some_vms(
    event: _settings.Event, service: _Service
) -> list[_vm.EmulatedVm]:
    return _draw_share(event, service, service.vms)


def _draw_share(
    event: _settings.Event,
    service: _Service,
    whole: collections.abc.Sequence[_T],
) -> list[_T]:
    rng = service.make_rng(event.kind, event.at_s)
    return rng.sample(whole, max(1, round(event.share * len(whole))))


async def _cut(
    event: _settings.Event, service: _Service, names: set[str]
) -> None:
    cuts = service.network.cut(names, service.everybody() - names)
    await asyncio.sleep(event.for_s)
    service.network.heal(cuts)


def _restart(
    vms: collections.abc.Iterable[_vm.EmulatedVm],
    down_s: float,
    silently: bool,
) -> None:
    for vm in vms:
        vm.kill(silently)
    for vm in vms:
        vm.power_on(down_s * _MS_PER_SECOND)


_PLAY_BY_KIND: dict[str, _Play] = {
    'burst': _in_the_load,
    'give_up': _in_the_load,
    'poison': _in_the_load,
    'cut_domain': _cut_domain,
    'cut_workers': _cut_workers,
    'kill_all': _kill_all,
    'power_off_all': _power_off_all,
    'kill_vms': _kill_vms,
    'kill_dispatchers': _kill_dispatchers,
    'restart_in_turn': _restart_in_turn,
    'crash_workers': _crash_workers,
    'take_workers_away': _take_workers_away,
    'fail_tasks': _fail_tasks,
    'stall_tasks': _stall_tasks,
    'slow_workers': _slow_workers,
    'drain_domain': _drain_domain,
    'lose_store': _lose_store,
    'slow_store': _slow_store,
    'turn_vms_away': _turn_vms_away,
}
