"""Plays preemption beside faults, drawn from a seed.

Long tasks of a less urgent queue fill the workers, and short jobs of an urgent
one come in bursts. VMs, links and workers fail as in ``drawn_faults``; orders
to stop are lost or late as well, and workers take their time to carry them
out. No worker starts again: a late start that its new life carries out before
a late stop is what ``docs/design/platform.md`` names as remaining.
"""

import collections.abc
import math

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import drawn_faults
from tests.dispatching import played_service

_LIMITS = dispatching.DispatchLimits(
    scheduling=dispatching.SchedulingPolicy(
        priorities=dispatching.PriorityPolicy(preempt=True)
    )
)
_STOPS_MS = (0.0, 20.0, 50.0)
_STOP_DELAYS_MS = (60, 200, 500, 900, 2_000)
_PAUSES_MS = (30, 60, 100, 200, 300, 500, 800, 1_200)
_BURST_MS = 300
_TASKS_PER_WORKER = 3
_URGENT_RUN_MS = 100.0
_URGENT_TERMS = model.JobTerms(0, 1.6, 60.0, 3)
_LONG_TERMS = model.JobTerms(2, 1.6, 60.0, 3)


class DrawnPreemptions(drawn_faults.DrawnFaults):
    """One play: bursts of urgent jobs with faults between them."""

    async def play(self) -> None:
        """Plays two to five bursts with a fault before each."""
        draw, service = self._draw, self.service
        await self._begin()
        await self._submit_for(self._run_ms)
        for _ in range(draw.randint(2, 5)):
            if draw.random() < 0.5:
                draw.choice(_STOP_FAULTS)(self, self._draw_vm())
            draw.choice(drawn_faults._FAULTS)(self, self._draw_vm())
            await self._submit_for(draw.choice(_PAUSES_MS))
            await self._burst()
        if draw.random() < 0.5:
            service.heal()
            await self._burst()
        await self._finish()

    def _make_service(
        self, run_ms: float, vms: int
    ) -> played_service.PlayedService:
        self._run_ms = run_ms
        # Longer queues leave the tasks at their ends no time to run again.
        tasks_at_once = _TASKS_PER_WORKER * 3 * self._workers
        self._long_every_ms = run_ms * self._long_tasks / tasks_at_once
        return played_service.PlayedService(
            workers=self._workers,
            run_ms=run_ms,
            vms=vms,
            limits=_LIMITS,
            stop_ms=self._draw.choice(_STOPS_MS),
            tells_fenced_stops=True,
        )

    @property
    def _long_tasks(self) -> int:
        return self._workers // 3 + 1

    async def _submit_for(self, ms: float) -> None:
        """Hands in about as many long jobs as the workers can run."""
        draw, service = self._draw, self.service
        until = service.now + ms
        while service.now < until:
            self._submit_long()
            if draw.random() < 0.2:
                self._submit_urgent()
            await service.run(
                draw.choice((0.8, 1.0, 1.3)) * self._long_every_ms
            )

    async def _burst(self) -> None:
        draw, service = self._draw, self.service
        until = service.now + _BURST_MS
        while service.now < until:
            self._submit_urgent()
            if draw.random() < 0.3:
                self._submit_long()
            await service.run(draw.choice((10, 20, 30)))

    def _submit_long(self) -> None:
        self._submit(
            'long',
            tasks=self._long_tasks,
            estimate_ms=self._run_ms,
            terms=_LONG_TERMS,
        )

    def _submit_urgent(self) -> None:
        self._submit(
            'urgent',
            tasks=self._draw.choice((1, 2, 4)),
            terms=_URGENT_TERMS,
            estimate_ms=_URGENT_RUN_MS,
            run_ms=_URGENT_RUN_MS,
        )

    def _submit(self, queue: str, **fields) -> None:
        draw = self._draw
        home = draw.choice(self._names())
        left_ms = draw.choice((3_000.0, 6_000.0))
        job = f'j{self._jobs}'
        self.service.submit(home, job, left_ms, queue=queue, **fields)
        self._jobs += 1

    # Faults, each at a VM.

    def _lose_stops(self, _: str) -> None:
        self.service.delay_stops(self._some_workers(), math.inf)

    def _lose_all_stops(self, _: str) -> None:
        self.service.delay_stops(set(self.service.worker_by_id), math.inf)

    def _delay_stops(self, _: str) -> None:
        workers = self._some_workers()
        self.service.delay_stops(workers, self._draw.choice(_STOP_DELAYS_MS))

    def _delay_all_stops(self, _: str) -> None:
        workers = set(self.service.worker_by_id)
        self.service.delay_stops(workers, self._draw.choice(_STOP_DELAYS_MS))


_Fault = collections.abc.Callable[[DrawnPreemptions, str], None]

# Their order belongs to the seeds.
_STOP_FAULTS: tuple[_Fault, ...] = (
    DrawnPreemptions._lose_stops,
    DrawnPreemptions._lose_all_stops,
    DrawnPreemptions._delay_stops,
    DrawnPreemptions._delay_all_stops,
)
