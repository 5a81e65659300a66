"""A whole service in one process, on a clock of its own."""

import asyncio
import collections.abc
import itertools
import json
import random
import typing

import attrs

from rosemaryroad import dispatching
from rosemaryroad import jobserver
from rosemaryroad import model
from rosemaryroad import structure
from rosemaryroad.emulation import _adapter
from rosemaryroad.emulation import _checks
from rosemaryroad.emulation import _clients
from rosemaryroad.emulation import _events
from rosemaryroad.emulation import _links
from rosemaryroad.emulation import _lives
from rosemaryroad.emulation import _loop
from rosemaryroad.emulation import _network
from rosemaryroad.emulation import _settings
from rosemaryroad.emulation import _store
from rosemaryroad.emulation import _vm
from rosemaryroad.emulation import _workers
from rosemaryroad.emulation import _workload

# How long the VMs have before the first jobs come, and the last ones until
# their clients leave.
_LEAD_S = 6.0
_FINISH_S = 12.0

_DIVISION_TABLE = 'rosemaryroad'
_DIVISION_KEY = 'cells'


class EmulatedService:
    """Entry VMs, workers, the store, clients and what lies between them.

    Attributes:
        experiment: What is played.
        clients: The clients.
        checks: The rules.
        network: What lies between processes.
        store: The platform's store.
        operators: Write into the store.
        vms: The entry VMs.
        worker_by_id: The present lives of all workers.

    Args:
        experiment: What is played.
        seed: Gives the jobs and the random numbers of the daemons.
        way: Settings of the daemons that differ from the standing ones.
    """

    def __init__(
        self,
        experiment: _settings.Experiment,
        seed: int,
        way: collections.abc.Mapping[str, typing.Any],
    ) -> None:
        self.experiment = experiment
        self._seed = seed
        self._domain_by_name: dict[str, str] = {}
        self._work_by_job: dict[str, tuple[_workers.TaskWork, ...]] = {}
        self._numbers = itertools.count(1)
        self.network = _network.Network(
            experiment.delays, self._domain_by_name
        )
        self.store = _store.EmulatedStore()
        self.operators = _adapter.Operators(self.store)
        self.checks = _checks.RuleChecks(self._domain_by_name.get)
        self.worker_by_id: dict[str, _workers.EmulatedWorker] = {}
        self.vms = self._make_vms(way)
        self._divides_by_room = any(
            vm.settings.scheduling.cells.by_room for vm in self.vms
        )
        balancer = _clients.Balancer(self.vms, self.network)
        self.clients = _clients.Clients(experiment, balancer)
        self._balancer = balancer

    async def play(self) -> None:
        """Plays the experiment to its end."""
        loop = asyncio.get_running_loop()
        loop.set_task_factory(_lives.make_task)
        self.operators.put_queues(_workload.queue_table(self.experiment))
        for worker, pace in _workload.make_workers(self.experiment):
            self.add_worker(worker, pace)
        division = json.dumps(structure.unstructure(self._divide()))
        self.store.put(_DIVISION_TABLE, _DIVISION_KEY, division)
        for vm in self.vms:
            vm.power_on()
        probing = loop.create_task(self._balancer.run())
        await asyncio.sleep(_LEAD_S)
        requests = _workload.draw(self.experiment, self._seed)
        self._work_by_job = {item.job.id: item.work for item in requests}
        self.clients.expect(requests)
        await self._play_events()
        probing.cancel()
        for vm in self.vms:
            vm.kill()

    @property
    def now(self) -> float:
        """The time in milliseconds."""
        return _loop.now_ms()

    def make_rng(self, *names: object) -> random.Random:
        """Returns random numbers of their own for something."""
        return _workload.make_rng(self._seed, *names)

    def names_in(self, domain: str) -> set[str]:
        """Returns the entry VMs and workers of a failure domain."""
        return {
            name
            for name, found in self._domain_by_name.items()
            if found == domain
        }

    def everybody(self) -> set[str]:
        """Returns all entry VMs and workers, and the store."""
        return {*self._domain_by_name, _store.STORE}

    def add_worker(self, worker: model.Worker, pace: float) -> None:
        """Starts a worker."""
        self._domain_by_name[worker.id] = worker.failure_domain
        self.worker_by_id[worker.id] = _workers.EmulatedWorker(
            worker,
            pace,
            self.experiment.lease_ms,
            self._work_of,
            self.checks,
            self.make_rng('worker', worker.id).random,
        )
        self.operators.list_worker(worker)

    def add_another_worker(self, like: model.Worker, pace: float) -> None:
        """Starts a worker in place of one that is gone."""
        name = f'{like.id}-{next(self._numbers)}'
        self.add_worker(attrs.evolve(like, id=name, leaving=False), pace)

    def _divide(self) -> dispatching.Cells:
        cells = dispatching.Cells(self.experiment.cells)
        if not self._divides_by_room:
            return cells
        workers = [worker.entry for worker in self.worker_by_id.values()]
        return dispatching.share_by_room(cells, workers)

    def _work_of(self, task: model.TaskId) -> _workers.TaskWork:
        return self._work_by_job[task.job][task.index]

    def _make_vms(
        self, way: collections.abc.Mapping[str, typing.Any]
    ) -> list[_vm.EmulatedVm]:
        surroundings = _vm.Surroundings(
            self.network,
            _links.Fabric(self.network),
            self.store,
            self.worker_by_id,
        )
        made = []
        for domain in self.experiment.domains:
            groups = self.experiment.entry_vms
            sized = [item for item in groups for _ in range(item.per_domain)]
            for number, group in enumerate(sized, 1):
                name = f'entry-{domain}-{number}'
                self._domain_by_name[name] = domain
                made.append(
                    _vm.EmulatedVm(
                        self._make_settings(name, domain, group, way),
                        group.start_ms,
                        surroundings,
                        self.make_rng('vm', name),
                    )
                )
        return made

    def _make_settings(
        self,
        name: str,
        domain: str,
        group: _settings.VmGroup,
        way: collections.abc.Mapping[str, typing.Any],
    ) -> jobserver.JobSettings:
        address = '127.0.0.1:1'
        listen = dict.fromkeys(
            ('callers', 'readiness', 'operators', 'peers'), address
        )
        raw = {
            'vm': name,
            'failure_domain': domain,
            'region': 'emulated',
            'listen': listen,
            'platform': {'address': address},
            'times': {'lease_ms': self.experiment.lease_ms},
            'cores': group.cores,
            'speed': group.speed,
            **way,
        }
        return structure.structure(raw, jobserver.JobSettings)

    async def _play_events(self) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        playing = [
            loop.create_task(_events.play(event, self, start_s))
            for event in self.experiment.events
        ]
        end_s = start_s + self.experiment.seconds + _FINISH_S
        await asyncio.sleep(end_s - loop.time())
        for task in playing:
            task.cancel()
        for error in await asyncio.gather(*playing, return_exceptions=True):
            if isinstance(error, Exception):
                raise error


def play(
    experiment: _settings.Experiment,
    seed: int,
    way: collections.abc.Mapping[str, typing.Any],
) -> EmulatedService:
    """Plays an experiment on a clock of its own, to its end."""

    async def main() -> EmulatedService:
        service = EmulatedService(experiment, seed, way)
        await service.play()
        return service

    return _loop.run(main())
