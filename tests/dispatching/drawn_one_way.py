"""Plays faults that closely follow a one-way cut, drawn from a seed.

After a one-way cut, a dispatcher and the other VMs disagree for some hundred
milliseconds on whether it is reachable. ``drawn_faults`` rarely draws a
further fault within that time.
"""

import collections.abc

from tests.dispatching import drawn_faults

_PAUSES_MS = (10, 30, 60, 100, 150, 250)
_LATER_PAUSES_MS = (300, 600, 1_200)


class OneWayFaults(drawn_faults.DrawnFaults):
    """One play: a one-way cut, two faults soon after it, and later ones."""

    async def play(self) -> None:
        """Plays three to five faults, and heals them."""
        draw = self._draw
        await self._begin()
        await self._submit_for(draw.choice(_LATER_PAUSES_MS))
        draw.choice(_CUTS)(self, self._draw_vm())
        for _ in range(2):
            await self._submit_for(draw.choice(_PAUSES_MS))
            draw.choice(_NEXT_FAULTS)(self, self._draw_vm())
        await self._submit_for(draw.choice(_LATER_PAUSES_MS))
        draw.choice(drawn_faults._FAULTS)(self, self._draw_vm())
        if draw.random() < 0.5:
            await self._submit_for(draw.choice(_LATER_PAUSES_MS))
            draw.choice(_CUTS)(self, self._draw_vm())
        await self._submit_for(draw.choice(_LATER_PAUSES_MS))
        await self._finish()

    def _draw_vm(self) -> str:
        """Draws the main dispatcher, another acting one, or another VM."""
        names = self._names()
        acting = [n for n in self.service.dispatchers() if n in names]
        most = self.service.dispatcher()
        dispatcher = [most] if most in names else []
        deputies = [name for name in acting if name != most]
        homes = [name for name in names if name not in acting]
        roles = [role for role in (dispatcher, deputies, homes) if role]
        return self._draw.choice(self._draw.choice(roles))

    # Faults, each at a VM.

    def _block_to_domain(self, vm: str) -> None:
        names = self.service.names_of(vm[0])
        self._block(self.service.everybody() - names, names)

    def _block_from_vm(self, vm: str) -> None:
        self._block({vm}, self.service.everybody() - {vm})

    def _block_from_vm_to_vms(self, vm: str) -> None:
        self._block({vm}, set(self._names()) - {vm})

    def _block_to_vm_from_vms(self, vm: str) -> None:
        self._block(set(self._names()) - {vm}, {vm})

    def _lose_own_workers(self, vm: str) -> None:
        names = {name for name in self._names() if name[0] == vm[0]}
        workers = self.service.names_of(vm[0]) - names
        self._cut(names, workers)

    def _block(self, senders: set[str], receivers: set[str]) -> None:
        self.service.block(senders, receivers)
        self._cuts.append((senders, receivers))


_Fault = collections.abc.Callable[[OneWayFaults, str], None]

# Their order belongs to the seeds.
_CUTS: tuple[_Fault, ...] = (
    drawn_faults.DrawnFaults._part_one_way,
    OneWayFaults._block_to_domain,
    OneWayFaults._block_from_vm,
    OneWayFaults._block_from_vm_to_vms,
    OneWayFaults._block_to_vm_from_vms,
)

# Faults that lose orders to stop, or the dispatcher that sends them. Their
# order belongs to the seeds.
_NEXT_FAULTS: tuple[_Fault, ...] = (
    drawn_faults.DrawnFaults._kill,
    drawn_faults.DrawnFaults._deafen,
    drawn_faults.DrawnFaults._delay,
    drawn_faults.DrawnFaults._freeze,
    drawn_faults.DrawnFaults._lose_far_workers,
    drawn_faults.DrawnFaults._part_vms,
    OneWayFaults._lose_own_workers,
    drawn_faults.DrawnFaults._part_domain,
    *_CUTS,
)
