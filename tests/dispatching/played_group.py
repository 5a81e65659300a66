"""Plays a group of entry VMs that settle who dispatches.

Links carry signs of life with a hop of a millisecond, a table keeps the row,
and tests cut links, stop VMs for a while or kill them.
"""

import collections.abc

import attrs

from rosemaryroad import dispatching
from rosemaryroad import model

_STEP_MS = 10.0


@attrs.define(eq=False)
class _Vm:
    leadership: dispatching.Leadership
    cores: float
    pulse_at: float
    tick_at: float
    role: dispatching.Role
    frozen: bool = False
    tick_ms: float = dispatching.TICK_MS
    reaches_table: bool = True
    told_at_by_vm: dict[str, float] = attrs.field(factory=dict)


class PlayedGroup:
    """Entry VMs with links, on a clock of their own.

    Attributes:
        away: VMs that the platform's table names and that aren't there.

    Args:
        names: The VMs.
    """

    def __init__(self, *names: str) -> None:
        self.now = 100_000.0
        self.row = dispatching.LeaseRow(0, '')
        self.vm_by_name: dict[str, _Vm] = {}
        self.signs_sent = 0
        self.away: set[str] = set()
        self.given_up_at: dict[tuple[str, str], float] = {}
        self._silent: set[frozenset[str]] = set()
        # Each end of a link by itself: behind a cut, one may have given it
        # up long before the other learns of that.
        self._linked: set[tuple[str, str]] = set()
        for name in names:
            self.add(name)

    def add(
        self,
        name: str,
        informed: bool = True,
        links: tuple[str, ...] | None = None,
        cores: float = 1.0,
    ) -> None:
        """Starts a VM.

        Args:
            name: Its id.
            informed: Whether it reaches the platform's lists and row.
            links: The VMs that it is linked to; all by default.
            cores: Its processor.
        """
        leadership = dispatching.Leadership(
            name, self.now, cores, int(self.now)
        )
        self.vm_by_name[name] = _Vm(
            leadership, cores, self.now, self.now, leadership.role
        )
        if informed:
            self.inform(name)
        known = {vm: item.cores for vm, item in self.vm_by_name.items()}
        known |= dict.fromkeys(self.away, 1.0)
        for other in self.vm_by_name:
            self.vm_by_name[other].leadership.peers_known(known)
            wanted = links is None or other in links
            if other != name and wanted:
                self.link(name, other)

    def inform(self, name: str) -> None:
        """Lets a VM read the platform's lists and row."""
        leadership = self.vm_by_name[name].leadership
        leadership.row_read(self.row, self.now)
        leadership.inform(self.now)
        self._pulse(name)

    def link(self, one: str, other: str) -> None:
        """Opens a link between two VMs."""
        self._silent.discard(frozenset((one, other)))
        ends = ((one, other), (other, one))
        for name, peer in ends:
            self._linked.add((name, peer))
            leadership = self.vm_by_name[name].leadership
            leadership.joined(peer, self.now)
        for name, peer in ends:
            self._pulse_to(peer, name)

    def unlink(self, one: str, other: str) -> None:
        """Resets the link between two VMs."""
        for name, peer in ((one, other), (other, one)):
            self._give_up(name, peer)

    def _give_up(self, name: str, peer: str) -> None:
        if (name, peer) in self._linked:
            self._linked.discard((name, peer))
            self.vm_by_name[name].leadership.lost(peer, self.now)

    def silence(self, one: str, other: str) -> None:
        """Lets a link stand and carry nothing."""
        self._silent.add(frozenset((one, other)))

    def part(self, *names: str) -> None:
        """Silences all links between these VMs and the others."""
        for name in names:
            for other in self.vm_by_name:
                if other not in names:
                    self.silence(name, other)

    def heal(self) -> None:
        """Lets all links carry again; those that were given up reopen."""
        self._silent.clear()
        names = sorted(self.vm_by_name)
        for name in names:
            for other in names:
                pair = {(name, other), (other, name)}
                if name < other and not pair <= self._linked:
                    self.link(name, other)

    def kill(self, name: str) -> None:
        """Ends a VM; its links are reset."""
        for other in list(self.vm_by_name):
            if other != name:
                self.unlink(name, other)
        del self.vm_by_name[name]

    def run(self, ms: float) -> None:
        """Lets time pass."""
        until = self.now + ms
        while self.now < until:
            self.now += _STEP_MS
            for name in list(self.vm_by_name):
                self._step(name)

    def claims(self) -> dict[str, model.Claim]:
        """Returns what each VM that gives orders claims to be."""
        return {
            name: vm.leadership.role.claim
            for name, vm in self.vm_by_name.items()
            if vm.leadership.role.claim is not model.Claim.NONE
        }

    def followed(self) -> set[str]:
        """Returns whom the VMs hand their jobs to."""
        return {
            vm.leadership.role.dispatcher for vm in self.vm_by_name.values()
        }

    def run_until_one(self, limit_ms: float) -> float:
        """Runs until all VMs follow one dispatcher; returns how long.

        Raises:
            AssertionError: It took longer than the limit.
        """
        began = self.now
        while self.now - began <= limit_ms:
            followed = self.followed()
            if len(followed) == 1 and '' not in followed:
                return self.now - began
            self.run(_STEP_MS)
        raise AssertionError(f'{self.followed()} after {limit_ms} ms')

    def _step(self, name: str) -> None:
        vm = self.vm_by_name[name]
        if vm.frozen:
            return
        leadership = vm.leadership
        if self.now - vm.tick_at >= vm.tick_ms:
            vm.tick_at = self.now
            leadership.tick(self.now)
            for peer in leadership.silent(self.now):
                self.given_up_at[name, peer] = self.now
                self._give_up(name, peer)
                if frozenset((name, peer)) not in self._silent:
                    self._give_up(peer, name)
            self._claim(name)
        if leadership.role != vm.role:
            vm.role = leadership.role
            self._pulse(name)
        if self.now - vm.pulse_at >= leadership.pulse_every_ms:
            self._pulse(name)
        else:
            self._pulse_to_dispatchers(name)

    def _claim(self, name: str) -> None:
        vm = self.vm_by_name[name]
        wanted = vm.leadership.wants_claim(self.now)
        if wanted is None:
            return
        if not vm.reaches_table:
            vm.leadership.claim_won(wanted, self.now)
        elif wanted.term > self.row.term:
            self.row = wanted
            vm.leadership.claim_won(wanted, self.now)
            for other in self.vm_by_name.values():
                if other.reaches_table:
                    other.leadership.row_read(self.row, self.now)
        else:
            vm.leadership.claim_lost(self.row, self.now)

    def _pulse_to_dispatchers(self, name: str) -> None:
        vm = self.vm_by_name[name]
        for peer in vm.leadership.dispatching_peers(self.now):
            told_at = max(vm.pulse_at, vm.told_at_by_vm.get(peer, 0.0))
            is_linked = (name, peer) in self._linked
            if is_linked and self.now - told_at >= vm.leadership.pace.pulse_ms:
                vm.told_at_by_vm[peer] = self.now
                self.signs_sent += 1
                self._pulse_to(peer, name)

    def _pulse(self, name: str) -> None:
        vm = self.vm_by_name[name]
        vm.pulse_at = self.now
        for other in list(self.vm_by_name):
            if (name, other) in self._linked:
                self.signs_sent += 1
                self._pulse_to(other, name)

    def _pulse_to(self, receiver: str, sender: str) -> None:
        if frozenset((receiver, sender)) in self._silent:
            return
        target = self.vm_by_name[receiver]
        if not target.frozen and (receiver, sender) in self._linked:
            pulse = self.vm_by_name[sender].leadership.pulse()
            target.leadership.heard(sender, pulse, self.now)


class PlayedCells:
    """One group of entry VMs that settles who dispatches several cells.

    Args:
        count: How many cells there are.
        names: The VMs.
    """

    def __init__(self, count: int, *names: str) -> None:
        self.by_cell = [PlayedGroup(*names) for _ in range(count)]

    def run(self, ms: float) -> None:
        """Lets time pass in all cells."""
        steps = round(ms / _STEP_MS)
        for _ in range(steps):
            for group in self.by_cell:
                self._tell_elsewhere(group)
                group.run(_STEP_MS)

    def kill(self, name: str) -> None:
        """Ends a VM."""
        for group in self.by_cell:
            group.kill(name)

    def slow_down_at_work(
        self, names: collections.abc.Iterable[str], tick_ms: float
    ) -> None:
        """Lets VMs look at the time this seldom while they give orders."""
        for group in self.by_cell:
            for name in names:
                vm = group.vm_by_name[name]
                acts = any(
                    other.vm_by_name[name].leadership.is_acting
                    for other in self.by_cell
                )
                vm.tick_ms = tick_ms if acts else dispatching.TICK_MS

    def dispatchers(self) -> list[str]:
        """Returns the VM that all follow in each cell, or ''."""
        return [
            followed.pop() if len(followed) == 1 else ''
            for followed in (group.followed() for group in self.by_cell)
        ]

    def _tell_elsewhere(self, group: PlayedGroup) -> None:
        others = [other for other in self.by_cell if other is not group]
        for name, vm in group.vm_by_name.items():
            vm.leadership.take_elsewhere(
                other.vm_by_name[name].leadership for other in others
            )
