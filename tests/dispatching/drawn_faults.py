"""Plays faults that are drawn from a seed on a whole service.

Homes, dispatchers and workers are those of ``played_service``. A seed gives
the same play each time, so that one that has doubled a task stays a test.
"""

import collections.abc
import random

from tests.dispatching import played_service

_DOMAINS = 'abc'
_FREEZES_MS = (100, 200, 350, 700, 2_000)
_DELAYS_MS = (60, 200, 500, 900)
_PAUSES_MS = (30, 60, 100, 200, 300, 500, 800, 1_200, 1_800)
_LAST_PAUSES_MS = (500, 1_500, 3_000)
_MOST_KILLS = 2
_LEAST_VMS = 5


class DrawnFaults:
    """One play.

    Attributes:
        service: What is played.

    Args:
        seed: Gives the size of the service, the faults and the jobs.
    """

    def __init__(self, seed: int) -> None:
        self._draw = random.Random(seed)
        draw = self._draw
        vms = draw.choice((2, 5))
        run_ms = draw.choice((900.0, 3_200.0))
        self._workers = draw.choice((3, 6))
        self.service = self._make_service(run_ms, vms)
        self._jobs = 0
        self._kills = 0
        self._cuts: list[tuple[set[str], set[str]]] = []

    async def play(self) -> None:
        """Plays two to five faults, and heals them."""
        await self._begin()
        await self._play_faults(self._draw.randint(2, 5), _FAULTS, _PAUSES_MS)
        await self._finish()

    async def _begin(self) -> None:
        """Lets a dispatcher be chosen."""
        await self.service.run(4_000 + self._draw.randrange(12) * 10)

    async def _play_faults(
        self,
        count: int,
        faults: collections.abc.Sequence[collections.abc.Callable],
        pauses_ms: collections.abc.Sequence[int],
    ) -> None:
        """Plays some faults, with jobs that come after each."""
        for _ in range(count):
            fault = self._draw.choice(faults)
            fault(self, self._draw_vm())
            await self._submit_for(self._draw.choice(pauses_ms))

    async def _finish(
        self,
        pauses_ms: collections.abc.Sequence[int] = _LAST_PAUSES_MS,
    ) -> None:
        """Heals all faults after a pause, and lets what runs end."""
        await self.service.run(self._draw.choice(pauses_ms))
        self.service.heal()
        await self.service.run(3_000)

    def _make_service(
        self, run_ms: float, vms: int
    ) -> played_service.PlayedService:
        return played_service.PlayedService(
            workers=self._workers, run_ms=run_ms, vms=vms
        )

    def _names(self) -> list[str]:
        return sorted(self.service.vm_by_name)

    def _draw_vm(self) -> str:
        names = self._names()
        dispatcher = self.service.dispatcher()
        if dispatcher not in names:
            dispatcher = names[0]
        acting = self.service.dispatchers() or [dispatcher]
        others = (self._draw.choice(acting), self._draw.choice(names))
        return self._draw.choice((dispatcher, *others))

    async def _submit_for(self, ms: float) -> None:
        draw, service = self._draw, self.service
        until = service.now + ms
        while service.now < until:
            home = draw.choice(self._names())
            left_ms = draw.choice((3_000.0, 6_000.0))
            service.submit(home, f'j{self._jobs}', left_ms)
            self._jobs += 1
            await service.run(draw.choice((20, 30, 50)))

    def _cut(self, one: set[str], other: set[str]) -> None:
        self.service.block(one, other)
        self.service.block(other, one)
        self._cuts.append((one, other))

    def _some_workers(self) -> set[str]:
        workers = sorted(self.service.worker_by_id)
        return set(self._draw.sample(workers, self._workers))

    # Faults, each at a VM.

    def _part_domain(self, vm: str) -> None:
        names = self.service.names_of(vm[0])
        self._cut(names, self.service.everybody() - names)

    def _part_vms(self, vm: str) -> None:
        names = {name for name in self._names() if name[0] == vm[0]}
        self._cut(names, set(self._names()) - names)

    def _part_two(self, vm: str) -> None:
        other = self._draw.choice([n for n in self._names() if n != vm])
        self._cut({vm}, {other})

    def _lose_far_workers(self, vm: str) -> None:
        workers = self.service.worker_by_id
        self._cut({vm}, {key for key in workers if key[0] != vm[0]})

    def _lose_workers_of_one(self, vm: str) -> None:
        domain = self._draw.choice(_DOMAINS)
        names = {name for name in self._names() if name[0] == vm[0]}
        workers = self.service.worker_by_id
        self._cut(names, {key for key in workers if key[0] == domain})

    def _deafen(self, _: str) -> None:
        self.service.deafen(self._some_workers())

    def _freeze(self, vm: str) -> None:
        self.service.freeze(vm, self._draw.choice(_FREEZES_MS))

    def _delay(self, _: str) -> None:
        workers = self._some_workers()
        self.service.delay(workers, self._draw.choice(_DELAYS_MS))

    def _heal_one(self, _: str) -> None:
        if self._cuts:
            cut = self._cuts.pop(self._draw.randrange(len(self._cuts)))
            self.service.let_through(*cut)

    def _kill(self, vm: str) -> None:
        if self._kills < _MOST_KILLS and len(self._names()) >= _LEAST_VMS:
            self.service.kill(vm)
            self._kills += 1

    def _part_two_domains(self, vm: str) -> None:
        others = [domain for domain in _DOMAINS if domain != vm[0]]
        other = self._draw.choice(others)
        self._cut(self.service.names_of(vm[0]), self.service.names_of(other))

    def _part_one_way(self, vm: str) -> None:
        names = self.service.names_of(vm[0])
        others = self.service.everybody() - names
        self.service.block(names, others)
        self._cuts.append((names, others))


_Fault = collections.abc.Callable[[DrawnFaults, str], None]

# Their order belongs to the seeds.
_FAULTS: tuple[_Fault, ...] = (
    DrawnFaults._part_domain,
    DrawnFaults._part_vms,
    DrawnFaults._part_two,
    DrawnFaults._lose_far_workers,
    DrawnFaults._lose_workers_of_one,
    DrawnFaults._deafen,
    DrawnFaults._freeze,
    DrawnFaults._delay,
    DrawnFaults._heal_one,
    DrawnFaults._kill,
    DrawnFaults._part_two_domains,
    DrawnFaults._part_one_way,
)
