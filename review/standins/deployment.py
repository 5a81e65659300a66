"""A small deployment: the store, minions, the configuration and daemons."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import traceback

import aiohttp

from standins import client
from standins import daemons
from standins import minion
from standins import network
from standins import record
from standins import store

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

_ZONES = ('kecskemet-terem', 'szeged-terem', 'bekes-terem')


def trouble() -> bool:
    """Tells whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be played."""


_STOPPED = (CannotRun, OSError, TimeoutError, asyncio.CancelledError)


class Deployment:
    """What stands on loopback while a case is played."""

    def __init__(self, folder: pathlib.Path, log: record.Record) -> None:
        self.log, self._folder = log, folder
        self.store = store.Store()
        self.minions: list[minion.Minion] = []
        self.daemons: list[daemons.Daemon] = []
        self.http: aiohttp.ClientSession | None = None
        self._config_version = 0
        self.network = network.Network()
        self._views: list[network.StoreView] = []
        self._store_place = network.Place('')
        self._place_by_address: dict[str, network.Place] = {}

    async def start(self, vms: int = 3, minions: int = 6) -> None:
        self.http = aiohttp.ClientSession()
        await self.store.start()
        for number in range(minions):
            zone = _ZONES[number % len(_ZONES)]
            item = minion.Minion(
                f'i-{number}', self.store, self.log, zone=zone
            )
            self.minions.append(item)
            await item.start()
        for number in range(vms):
            self.add_daemon(number)
        for daemon in self.daemons:
            daemon.start()

    async def start_in_zones(
        self, vms_by_zone: dict[str, int], minions_by_zone: dict[str, int]
    ) -> None:
        """Starts VMs and minions that a network can part.

        The store is in the first zone. The VMs of a zone start once those of
        the zone before are ready: one of the first zone leads.
        """
        self.http = aiohttp.ClientSession()
        await self.store.start()
        self._store_place = network.Place(next(iter(vms_by_zone)))
        for zone, count in minions_by_zone.items():
            for number in range(count):
                await self._add_minion(f'i-{zone}-{number}', zone)
        for zone, count in vms_by_zone.items():
            for number in range(count):
                await self._add_vm(f'edge-{zone}-{number}', zone)
                self.daemons[-1].start()
            await self.wait_ready()

    async def _add_minion(self, name: str, zone: str) -> None:
        place = network.Place(zone, is_minion=True)

        def reaches_store() -> bool:
            return not self.network.is_parted(place, self._store_place)

        item = minion.Minion(
            name, self.store, self.log, zone=zone, reaches_store=reaches_store
        )
        self.minions.append(item)
        await item.start()
        self._place_by_address[item.address] = place

    async def _add_vm(self, name: str, zone: str) -> None:
        place = network.Place(zone, vm=name)
        view = network.StoreView(
            self.store,
            self.network,
            place,
            self._place_by_address.__getitem__,
        )
        self._views.append(view)
        await view.start()
        way = await self.network.way(place, self._store_place, view.address)
        daemon = daemons.Daemon(
            name, zone, way, self._folder, deployment=self.store.address
        )
        self._place_by_address[daemon.peers] = place
        self.daemons.append(daemon)

    def add_daemon(self, number: int) -> daemons.Daemon:
        zone = _ZONES[number % len(_ZONES)]
        name = f'edge-{zone}-{number}'
        daemon = daemons.Daemon(name, zone, self.store.address, self._folder)
        self.daemons.append(daemon)
        return daemon

    def configure(self, **prefix_by_name: str) -> None:
        """Writes the operator's configuration: one queue a prefix."""
        self._config_version += 7
        routes = [
            {
                'name': name,
                'host': client.HOST,
                'prefix': prefix,
                'service': 'hallgato',
                'priority': 0,
                'max_attempts': 4,
                'slack_factor': 1.0,
                'target_latency_ms': 60.0,
            }
            for name, prefix in prefix_by_name.items()
        ]
        self.store.put(
            'op',
            'config',
            {
                'version': self._config_version,
                'routes': routes,
                'services': [{'name': 'hallgato', 'enforces_capacity': True}],
                'limits': {},
            },
        )

    def running(self) -> int:
        """Returns how many daemons run."""
        return sum(daemon.is_running for daemon in self.daemons)

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        for daemon in self.daemons:
            if not await daemons.wait_ready(self.http, daemon, limit_s):
                raise CannotRun(f'{daemon.name} is not ready')

    async def stop(self) -> None:
        for daemon in self.daemons:
            daemon.kill()
        if self.http is not None:
            await self.http.close()
        await self.network.stop()
        for view in self._views:
            await view.stop()
        for item in self.minions:
            await item.stop()
        await self.store.stop()


def run(case) -> None:
    """Plays a case and ends the process with its result.

    Args:
        case: Takes the deployment; returns HELD or BROKEN.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    log = record.Record(folder / 'record.txt')
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(_play(case, pathlib.Path(temporary), log))
        except _STOPPED as error:
            log.add('cannot run', cause=f'{type(error).__name__}: {error}')
            code = CANNOT_RUN
        except Exception:
            # Left to rise, it would end the process with 1, for a broken rule.
            traceback.print_exc()
            code = CANNOT_RUN
    word = {HELD: 'held', BROKEN: 'broken', CANNOT_RUN: 'cannot run'}[code]
    print(f'{word}, trouble {int(trouble())}')
    sys.exit(code)


async def _play(case, folder: pathlib.Path, log: record.Record) -> int:
    deployment = Deployment(folder, log)
    # Ended from outside, it still ends the daemons.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(110):
            return await case(deployment)
    finally:
        with contextlib.suppress(Exception):
            await deployment.stop()
        target = os.environ.get('KEEP_LOGS')
        for daemon in deployment.daemons if target else ():
            copy = pathlib.Path(target) / f'{daemon.name}.log'
            copy.write_text(daemon.output())
