"""Plays drained failure domains beside other faults, drawn from a seed.

Domains are drained and taken back while VMs, links, workers and the store
fail as in ``drawn_faults``.
"""

import collections.abc

from tests.dispatching import drawn_faults
from tests.dispatching import played_service

_SHORT_PAUSES_MS = (30, 100, 300, 800)
_LONG_PAUSES_MS = (1_200, 1_800, 2_500)


class DrawnDrains(drawn_faults.DrawnFaults):
    """One play: drains with faults before, between and after them."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._drained: set[str] = set()

    async def play(self) -> None:
        """Plays four to seven drains and faults, and heals them."""
        draw, service = self._draw, self.service
        await self._begin()
        for _ in range(draw.randint(2, 3)):
            draw.choice(_DRAINS)(self, self._draw_vm())
            await self._submit_for(draw.choice(_SHORT_PAUSES_MS))
            draw.choice(_FAULTS)(self, self._draw_vm())
            await self._submit_for(draw.choice(_LONG_PAUSES_MS))
        if draw.random() < 0.5:
            service.heal()
            await self._submit_for(draw.choice(_LONG_PAUSES_MS))
        await self._finish()

    # Drains and faults, each at a VM.

    def _drain_own(self, vm: str) -> None:
        self._set_drained(self._drained | {vm[0]})

    def _drain_other(self, vm: str) -> None:
        others = sorted(set(drawn_faults._DOMAINS) - {vm[0]})
        self._set_drained(self._drained | {self._draw.choice(others)})

    def _drain_in_turn(self, _: str) -> None:
        """Takes one back as the next one is drained."""
        self._set_drained({self._draw.choice(drawn_faults._DOMAINS)})

    def _take_back(self, _: str) -> None:
        self._set_drained(set())

    def _lose_store(self, _: str) -> None:
        names = set(self._names())
        self._cut(names, {played_service.STORE})

    def _lose_store_of_some(self, _: str) -> None:
        names = self._names()
        turned_away = set(self._draw.sample(names, (len(names) + 2) // 3))
        self._cut(turned_away, {played_service.STORE})

    def _freeze_dispatcher(self, _: str) -> None:
        dispatcher = self.service.dispatcher()
        if dispatcher in self._names():
            self.service.freeze(dispatcher, self._draw.choice((700, 3_500)))

    def _restart_workers(self, vm: str) -> None:
        for worker in sorted(self.service.names_of(vm[0])):
            if worker in self.service.worker_by_id:
                self.service.restart(worker, self._draw.choice((50, 900)))

    def _set_drained(self, domains: set[str]) -> None:
        self._drained = domains
        self.service.drain(domains)


_Fault = collections.abc.Callable[[DrawnDrains, str], None]

# Their order belongs to the seeds.
_DRAINS: tuple[_Fault, ...] = (
    DrawnDrains._drain_own,
    DrawnDrains._drain_other,
    DrawnDrains._drain_in_turn,
    DrawnDrains._take_back,
)

# Their order belongs to the seeds.
_FAULTS: tuple[_Fault, ...] = (
    *drawn_faults._FAULTS,
    DrawnDrains._lose_store,
    DrawnDrains._lose_store_of_some,
    DrawnDrains._freeze_dispatcher,
    DrawnDrains._restart_workers,
)
