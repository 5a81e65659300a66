"""Emulated entry VMs: the daemon's own code without its sockets."""

import asyncio
import collections.abc
import random

import attrs

from rosemaryroad import jobserver
from rosemaryroad import jobservice
from rosemaryroad import model
from rosemaryroad import peers
from rosemaryroad.emulation import _adapter
from rosemaryroad.emulation import _links
from rosemaryroad.emulation import _lives
from rosemaryroad.emulation import _loop
from rosemaryroad.emulation import _network
from rosemaryroad.emulation import _store
from rosemaryroad.emulation import _worker_calls
from rosemaryroad.emulation import _workers

_MS_PER_SECOND = 1000.0


@attrs.frozen
class Surroundings:
    """What all VMs of a service share.

    Attributes:
        network: What lies between processes.
        fabric: The links between VMs.
        store: The platform's store.
        worker_by_id: The present lives of all workers.
    """

    network: _network.Network
    fabric: _links.Fabric
    store: _store.EmulatedStore
    worker_by_id: collections.abc.Mapping[str, _workers.EmulatedWorker]


class EmulatedVm:
    """One entry VM, up or down.

    Attributes:
        settings: The settings of its daemon.
        start_ms: How long its daemon takes to start.

    Args:
        settings: The settings of its daemon.
        start_ms: How long its daemon takes to start.
        surroundings: What it shares with the others.
        rng: Where its jitter comes from.
    """

    def __init__(
        self,
        settings: jobserver.JobSettings,
        start_ms: float,
        surroundings: Surroundings,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.start_ms = start_ms
        self._surroundings = surroundings
        self._rng = rng
        self._life: _lives.Life | None = None
        self._node: jobserver.JobNode | None = None
        self._adapter: _adapter.EmulatedAdapter | None = None

    @property
    def name(self) -> str:
        """Its name."""
        return self.settings.vm

    @property
    def domain(self) -> str:
        """Its failure domain."""
        return self.settings.failure_domain

    @property
    def front(self) -> jobservice.JobService | None:
        """What serves callers, or None while nothing listens."""
        return None if self._adapter is None else self._adapter.front

    @property
    def claims(self) -> list[model.Claim]:
        """What it claims to be in each cell."""
        if self._node is None:
            return []
        return [role.claim for role in self._node.roles]

    def power_on(self, after_ms: float = 0.0) -> None:
        """Starts its daemon.

        Args:
            after_ms: How long until it has power.
        """
        self._life = _lives.Life(self.name)
        self._life.spawn(self._start(self._life, after_ms + self.start_ms))

    def kill(self, silently: bool = False) -> None:
        """Ends its daemon at once.

        Args:
            silently: Whether its peers hear nothing, as after a loss of power.
        """
        self._surroundings.fabric.vanish(self.name, silently)
        if self._life is not None:
            self._life.kill()
        self._life = None
        self._node = None
        self._adapter = None

    def restart_in_order(self) -> None:
        """Has its daemon leave, and starts it again."""
        if self._node is None:
            return
        life = self._life
        leaving = life.spawn(self._node.leave())
        loop = asyncio.get_running_loop()
        loop.create_task(self._start_again(life, leaving))

    def spawn(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Begins some work in its daemon."""
        return self._life.spawn(work)

    async def _start_again(
        self, life: _lives.Life, leaving: asyncio.Task
    ) -> None:
        await leaving
        if self._life is life:
            self.kill()
            self.power_on()

    async def _start(self, life: _lives.Life, after_ms: float) -> None:
        await asyncio.sleep(after_ms / _MS_PER_SECOND)
        shared = self._surroundings
        clock = _loop.LoopClock(asyncio.get_running_loop())
        adapter = _adapter.EmulatedAdapter(
            _store.EmulatedTables(self.name, shared.store, shared.network),
            _worker_calls.EmulatedWorkerClient(
                self.name,
                shared.worker_by_id,
                shared.network,
            ),
        )
        started = int(clock.now())
        incarnation = model.Incarnation(self.name, started, 'emulated')

        def make_links(handler: peers.PeerHandler) -> _links.EmulatedLinks:
            return _links.EmulatedLinks(
                shared.fabric, incarnation, life, handler
            )

        self._node = jobserver.JobNode(
            self.settings,
            adapter,
            clock,
            incarnation=incarnation,
            make_links=make_links,
            rng=self._rng,
        )
        self._adapter = adapter
        await self._node.start()
