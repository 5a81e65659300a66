"""Plays clients that come again at another VM, beside VMs that are cut off.

A client whose connection breaks, or whose deadline passes, sends its job again
to another entry VM. The first one may have started it as a deputy, on workers
that it shares with the dispatcher, and may be unable to stop it.
"""

import asyncio
import collections.abc

import attrs

from rosemaryroad import model
from tests.dispatching import drawn_faults
from tests.dispatching import played_service

_RESEND_MS = 1_300.0
_DEADLINES_MS = (600.0, 1_500.0, 3_000.0)
_STOPS_MS = (0.0, 50.0)
_FIRST_PAUSES_MS = (800, 1_200, 2_000)
_PAUSES_MS = (30, 120, 250, 500, 900, 1_400)
_LAST_PAUSES_MS = (1_500, 3_000, 4_500)
_MOST_RETURNS = 2

# How long a zone or a VM is back between two cuts.
_GAPS_MS = (50, 120, 250)


@attrs.define(eq=False)
class _Client:
    """One that waits for a job.

    Attributes:
        job: The job's id.
        vm: Where it waits.
        answer: What it waits for.
        returns: How often it has come again.
    """

    job: str
    vm: str
    answer: asyncio.Task
    returns: int = 0


class DrawnReturns(drawn_faults.DrawnFaults):
    """One play: a VM is cut off alone, and other faults follow.

    Attributes:
        LABELS: The labels of the workers of each domain, in turn.
    """

    LABELS: tuple[str, ...] = ()

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._waiting: list[_Client] = []
        self._fields_by_job: dict[str, dict[str, object]] = {}
        self._alone: list[str] = []

    async def play(self) -> None:
        """Plays a VM that is cut off and one to four faults, and heals."""
        draw = self._draw
        await self._begin()
        self._part_alone(draw.choice(self._names()))
        await self._submit_for(draw.choice(_FIRST_PAUSES_MS))
        await self._play_faults(draw.randint(1, 4), _FAULTS, _PAUSES_MS)
        await self._finish(_LAST_PAUSES_MS)

    def _make_service(
        self, run_ms: float, vms: int
    ) -> played_service.PlayedService:
        return played_service.PlayedService(
            workers=self._workers,
            run_ms=run_ms,
            vms=vms,
            stop_ms=self._draw.choice(_STOPS_MS),
            tells_fenced_stops=True,
            labels=self.LABELS,
        )

    def _draw_vm(self) -> str:
        """Draws a VM that is cut off, one beside it, or another one."""
        names = self._names()
        alone = [name for name in self._alone if name in names]
        if not alone or self._draw.random() < 0.3:
            return super()._draw_vm()
        name = self._draw.choice(alone)
        beside = [other for other in names if other[0] == name[0]]
        return self._draw.choice((name, *beside))

    async def _submit_for(self, ms: float) -> None:
        draw, service = self._draw, self.service
        until = service.now + ms
        while service.now < until:
            deadline_ms = draw.choice(_DEADLINES_MS)
            self._submit(f'j{self._jobs}', self._draw_vm(), deadline_ms)
            self._jobs += 1
            await service.run(draw.choice((20, 30, 50)))

    def _submit(
        self, job: str, vm: str, deadline_ms: float, returns: int = 0
    ) -> None:
        fields = self._fields_by_job.get(job)
        if fields is None:
            fields = self._fields_by_job[job] = self._job_fields()
        answer = self.service.submit(vm, job, deadline_ms, **fields)
        client = _Client(job, vm, answer, returns)
        self._waiting.append(client)
        self.service.call_later(deadline_ms, self._leave, client, deadline_ms)

    def _job_fields(self) -> dict[str, object]:
        """Returns the fields of a job that differ from the usual ones."""
        return {}

    def _leave(self, client: _Client, deadline_ms: float) -> None:
        """Has a client come again that was given no final answer."""
        if client not in self._waiting:
            return
        self._waiting.remove(client)
        end = played_service.end_of(client.answer)
        if end in (None, model.JobEnd.GIVEN_UP):
            self.service.call_later(
                _RESEND_MS, self._return, client, deadline_ms
            )

    def _return(self, client: _Client, deadline_ms: float) -> None:
        names = [name for name in self._names() if name != client.vm]
        near = [name for name in names if name[0] == client.vm[0]]
        if client.returns < _MOST_RETURNS:
            vm = self._draw.choice(near or names)
            self._submit(client.job, vm, deadline_ms, client.returns + 1)

    # Faults, each at a VM.

    def _part_alone(self, vm: str) -> None:
        others = set(self._names()) - {vm}
        self._cut({vm}, others | {played_service.STORE})
        self._alone.append(vm)

    def _kill(self, vm: str) -> None:
        """Ends a VM; its clients' connections break."""
        super()._kill(vm)
        if vm in self.service.vm_by_name:
            return
        for client in [item for item in self._waiting if item.vm == vm]:
            self._leave(client, self._draw.choice(_DEADLINES_MS))

    def _part_domain_again(self, vm: str) -> None:
        """Cuts a domain off that was back for a moment."""
        self._part_domain(vm)
        cut = self._cuts[-1]
        pause = self._draw.choice((600, 1_200))
        gap = self._draw.choice(_GAPS_MS)
        self.service.call_later(pause, self.service.let_through, *cut)
        self.service.call_later(pause + gap, self._cut, *cut)

    def _delay_stops(self, _: str) -> None:
        workers = self._some_workers()
        self.service.delay_stops(workers, self._draw.choice((60.0, 500.0)))


_Fault = collections.abc.Callable[[DrawnReturns, str], None]

# Their order belongs to the seeds.
_FAULTS: tuple[_Fault, ...] = (
    drawn_faults.DrawnFaults._part_domain,
    drawn_faults.DrawnFaults._part_domain,
    DrawnReturns._part_domain_again,
    DrawnReturns._part_alone,
    DrawnReturns._kill,
    DrawnReturns._delay_stops,
    drawn_faults.DrawnFaults._freeze,
    drawn_faults.DrawnFaults._part_vms,
    drawn_faults.DrawnFaults._heal_one,
    drawn_faults.DrawnFaults._lose_far_workers,
    drawn_faults.DrawnFaults._part_two_domains,
)
