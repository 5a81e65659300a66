"""Which entry VMs there are, who dispatches, and what they tell."""

import collections.abc
import logging
import random

from rosemaryroad import _background
from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import peers
from rosemaryroad import platform
from rosemaryroad.jobserver import _election
from rosemaryroad.jobserver import _handler
from rosemaryroad.jobserver import _rows
from rosemaryroad.jobserver import _sharing

_LOG = logging.getLogger(__name__)

# A VM that reads the store has a new configuration some 100 ms after the
# others, and has to have it within two seconds.
_QUEUES_PATIENCE_MS = 600.0


class JobLinkHandler(peers.PeerHandler):
    """Hands what peers tell to those whom it concerns."""

    def __init__(self) -> None:
        self._members: Members | None = None

    def connect(self, members: 'Members') -> None:
        """Sets who hears of the peers."""
        self._members = members

    def job_message(self, vm: str, message: model.JobMessage) -> None:
        """Takes in what a peer tells."""
        self._members.receive(vm, message)

    def peer_joined(self, vm: str, incarnation: model.Incarnation) -> None:
        """Takes in that a peer can be reached."""
        self._members.joined(vm)

    def peer_lost(self, vm: str) -> None:
        """Takes in that no link to a peer is left."""
        self._members.lost(vm)

    def heartbeat(self, vm: str, message: model.Heartbeat) -> None:
        """Ignores what daemons without jobs tell each other."""

    async def forward(
        self, vm: str, message: model.Forward
    ) -> model.ForwardAnswer:
        """Refuses a question that no daemon with jobs asks."""
        raise errors.InvalidRequest('no sessions are served here')

    async def cancel_forward(
        self, vm: str, message: model.CancelForward
    ) -> model.ForwardAnswer:
        """Refuses a question that no daemon with jobs asks."""
        raise errors.InvalidRequest('no sessions are served here')


class Members:
    """Keeps the links, sends signs of life and settles who dispatches.

    Args:
        vm: This VM's row.
        make_leadership: Returns the decisions about one more cell.
        links: The links.
        tables: The store.
        handler: What follows.
        clock: The clock.
        rng: Where jitter comes from.
        queue_table: Returns the queues in force, if there are any.
        workers: Returns the workers, or None before they are known.
        drains: Returns what is known of the drained failure domains.
        divides_by_room: Whether cells get jobs by their workers' cores, if
            this VM makes the first division.
    """

    def __init__(
        self,
        vm: model.EntryVm,
        make_leadership: collections.abc.Callable[[], dispatching.Leadership],
        links: peers.PeerLinks,
        tables: platform.TableService,
        handler: _handler.MembersHandler,
        clock: clock_module.Clock,
        rng: random.Random,
        queue_table: collections.abc.Callable[[], model.QueueTable | None],
        workers: collections.abc.Callable[[], tuple[model.Worker, ...] | None],
        drains: collections.abc.Callable[[], model.DomainDrains],
        divides_by_room: bool = False,
    ) -> None:
        self._row = vm
        self._make_leadership = make_leadership
        self._links = links
        self._tables = tables
        self._handler = handler
        self._clock = clock
        self._rng = rng
        self._queue_table = queue_table
        self._workers = workers
        self._drains = drains
        self._divides_by_room = divides_by_room
        self._vms: tuple[model.EntryVm, ...] = ()
        self._cells: dispatching.Cells | None = None
        self._elections = [self._make_election(0)]
        self._rows: collections.abc.Mapping[str, platform.Row] = {}
        self._vm_rows = _rows.VmRows()
        self._first_division = dispatching.FirstDivision(clock.now())
        self._propose_at = clock.now()
        self._closed = False
        self._joins_running_group = False
        self._has_hurried = False
        self._pulse_at = 0.0
        self._last_pulses: model.Pulses | None = None
        self._last_queues: model.QueuesShared | None = None
        self._told_at_by_vm: dict[str, float] = {}
        # In large groups only dispatchers hear from all peers often.
        self._queues_sharing = _sharing.Sharing(
            vm.vm, _QUEUES_PATIENCE_MS, self._dispatching_vms
        )
        self._directory_sharing = _sharing.Sharing(vm.vm, 0.0)
        self._background = _background.BackgroundTasks(
            lambda error: logs.fault(_LOG, 'claim_failed', error)
        )

    @property
    def stride(self) -> int:
        """How many times as seldom the VMs of a large group do things."""
        return self._elections[0].leadership.pace.stride

    @property
    def knows_cells(self) -> bool:
        """Whether the number of cells is known."""
        return self._cells is not None

    @property
    def roles(self) -> list[dispatching.Role]:
        """What this VM does in each cell, as it is known so far."""
        return [election.leadership.role for election in self._elections]

    def send(self, vm: str, message: model.JobMessage) -> bool:
        """Sends a message to a VM, this one included."""
        if vm == self._row.vm:
            self._handler.job_message(vm, message)
            return True
        self._told_at_by_vm[vm] = self._clock.now()
        return self._links.tell(vm, message)

    def receive(self, vm: str, message: model.JobMessage) -> None:
        """Takes in what a peer tells."""
        if isinstance(message, model.Pulses):
            self._take_pulses(vm, message)
            return
        now = self._clock.now()
        for election in self._elections:
            election.leadership.heard_from(vm, now)
        if isinstance(message, model.QueuesShared):
            self._handler.queues_shared(message.table)
        elif isinstance(message, model.DirectoryShared):
            self._take_directory(message)
        else:
            self._handler.job_message(vm, message)

    def joined(self, vm: str) -> None:
        """Takes in that a peer can be reached."""
        for election in self._elections:
            election.leadership.joined(vm, self._clock.now())
        self._links.tell(vm, self._make_pulses())

    def lost(self, vm: str) -> None:
        """Takes in that no link to a peer is left."""
        if self._closed:
            # The links end one by one, and nobody has failed.
            return
        for election in self._elections:
            election.leadership.lost(vm, self._clock.now())
        self._told_at_by_vm.pop(vm, None)
        self._queues_sharing.lost(vm)
        self._directory_sharing.lost(vm)
        self._handler.peer_lost(vm)
        # Where this VM has lost its dispatcher, the others wait for its word
        # before one of them takes over. Any other loss is news to nobody.
        self._check_roles()

    def rows_changed(
        self, rows: collections.abc.Mapping[str, platform.Row]
    ) -> None:
        """Takes in the table in which the entry VMs find each other."""
        self._rows = rows
        self._set_vms(self._vm_rows.read(rows))
        row = rows.get(_rows.CELLS_KEY)
        if row is not None:
            self._take_cells(_rows.read(row, dispatching.Cells), 'store')
        for election in self._elections:
            election.rows_changed(rows)
        self._check_roles()

    async def run(self) -> None:
        """Keeps time for as long as the process lives."""
        while True:
            self.tick()
            await self._clock.sleep(dispatching.TICK_MS)

    async def announce(self) -> None:
        """Writes this VM's own row until the store has taken it."""
        await _rows.announce(self._tables, self._row, self._clock, self._rng)

    def leave(self) -> None:
        """Tells the others that this VM is shutting down."""
        for election in self._elections:
            election.leadership.leave(self._clock.now())
        self._check_roles()
        self._pulse()

    def close(self) -> None:
        """Ends what still runs, and follows the links no further."""
        self._closed = True
        self._background.cancel()

    # Parts of the above.

    def _make_election(self, cell: int) -> _election.Election:
        return _election.Election(
            cell, self._make_leadership(), self._tables, self._clock
        )

    def tick(self) -> None:
        """Looks at the time; ``run`` does it every few ten milliseconds."""
        now = self._clock.now()
        silent = set()
        for election in self._elections:
            election.leadership.tick(now)
            silent.update(election.leadership.silent(now))
        # Before the roles are told: the others have to know at once that a VM
        # which steps aside in one cell is no candidate in the others.
        for election in self._elections:
            self._take_elsewhere(election)
        for vm in silent:
            logs.event(_LOG, logging.INFO, 'peer_silent', vm=vm)
            self._links.drop(vm)
        self._check_roles()
        self._claim_cells(now)
        self._propose_cells(now)
        if now - self._pulse_at >= self._pulse_every_ms():
            self._pulse()
        else:
            self._pulse_to_dispatchers(now)

    def _pulse_every_ms(self) -> float:
        return min(
            election.leadership.pulse_every_ms for election in self._elections
        )

    def _claim_cells(self, now: float) -> None:
        for election in self._elections:
            self._take_elsewhere(election)
            wanted = election.leadership.wants_claim(now)
            if wanted is not None:
                self._background.spawn(self._claim(election, wanted))

    def _take_elsewhere(self, election: _election.Election) -> None:
        election.leadership.take_elsewhere(
            item.leadership for item in self._elections if item is not election
        )

    async def _claim(
        self, election: _election.Election, wanted: dispatching.LeaseRow
    ) -> None:
        self._handler.claiming()
        await election.claim(wanted)
        self._check_roles()

    def _check_roles(self) -> None:
        changed = False
        for cell, election in enumerate(self._elections):
            if election.check_role():
                changed = True
                self._handler.role_changed(cell, election.role)
        if changed:
            self._pulse()

    def _pulse(self) -> None:
        self._pulse_at = self._clock.now()
        pulses = self._make_pulses()
        self._links.broadcast(lambda _: pulses)

    def _pulse_to_dispatchers(self, now: float) -> None:
        """Gives those a sign of life that would miss it first."""
        pulse_ms = self._elections[0].leadership.pace.pulse_ms
        for vm in self._dispatching_peers(now):
            told_at = self._told_at_by_vm.get(vm, 0.0)
            if now - max(told_at, self._pulse_at) >= pulse_ms:
                self.send(vm, self._make_pulses())

    def _dispatching_peers(self, now: float) -> set[str]:
        return set().union(
            *(
                election.leadership.dispatching_peers(now)
                for election in self._elections
            )
        )

    def _dispatching_vms(self) -> set[str]:
        found = self._dispatching_peers(self._clock.now())
        if any(item.leadership.is_acting for item in self._elections):
            found.add(self._row.vm)
        return found

    def _make_pulses(self) -> model.Pulses:
        table = self._queue_table()
        version = table.version if table is not None else 0
        pulses = model.Pulses(
            tuple(election.leadership.pulse() for election in self._elections),
            version,
            0 if self._cells is None else self._cells.count,
            self._drains(),
            () if self._cells is None else self._cells.shares,
        )
        if pulses != self._last_pulses:
            # What hasn't changed is encoded once, however often it is sent.
            self._last_pulses = pulses
        return self._last_pulses

    def _take_pulses(self, vm: str, message: model.Pulses) -> None:
        if self._cells is None and message.cells > 0:
            # The peer has read the row; this VM may be parted from it.
            self._take_cells(_heard_cells(vm, message), 'peer')
        if message.drains.version > self._drains().version:
            # Before the signs, by which orders may be allowed again.
            self._handler.drains_shared(message.drains)
        now = self._clock.now()
        for election, pulse in zip(
            self._elections, message.by_cell, strict=False
        ):
            election.leadership.heard(vm, pulse, now)
            self._links.hurry(pulse.dispatcher)
        self._share_queues(vm, message)
        self._share_directory(vm, message)
        self._check_roles()
        if any(pulse.settled for pulse in message.by_cell):
            self._joins_running_group = True
            self._hurry_links()

    def _hurry_links(self) -> None:
        """Has all peers dialed, at the start in a group that has run before.

        They dial a VM seldom that has been away for a while.
        """
        if self._has_hurried or not (self._joins_running_group and self._vms):
            return
        self._has_hurried = True
        self._links.hurry_all()

    def _propose_cells(self, now: float) -> None:
        """Writes how many cells there are, if nobody has done so yet."""
        workers = self._workers()
        if self._cells is not None or workers is None or not self._vms:
            return
        cells = self._first_division.cells(len(workers), now)
        if cells is None or now < self._propose_at:
            return
        self._propose_at = now + _rows.WRITE_AGAIN_MS
        if self._divides_by_room:
            cells = dispatching.share_by_room(cells, workers)
        self._background.spawn(self._write_cells(cells))

    async def _write_cells(self, cells: dispatching.Cells) -> None:
        if await _rows.propose_cells(self._tables, cells):
            self._take_cells(cells, 'own')

    def _take_cells(
        self, cells: dispatching.Cells | None, source: str
    ) -> None:
        if cells is None or self._cells is not None:
            return
        self._cells = cells
        logs.event(
            _LOG,
            logging.INFO,
            'cells_known',
            count=cells.count,
            source=source,
            shares=cells.shares,
        )
        for cell in range(1, cells.count):
            self._add_election(cell)
        self._handler.cells_known(
            cells, [election.leadership for election in self._elections]
        )
        self.check_informed()

    def _add_election(self, cell: int) -> None:
        election = self._make_election(cell)
        self._elections.append(election)
        for vm in self._links.linked():
            election.leadership.joined(vm, self._clock.now())
        election.leadership.peers_known(self._cores_by_vm())
        election.rows_changed(self._rows)

    def _cores_by_vm(self) -> dict[str, float]:
        return {item.vm: item.cores for item in self._vms}

    def _set_vms(self, vms: tuple[model.EntryVm, ...]) -> None:
        if vms == self._vms:
            # Another row of the table has changed.
            return
        self._vms = vms
        addresses = {
            item.vm: model.Address.parse(item.address) for item in vms
        }
        self._links.set_peers(addresses)
        self._hurry_links()
        for election in self._elections:
            election.leadership.peers_known(self._cores_by_vm())
        self.check_informed()

    def check_informed(self) -> None:
        """Looks whether this VM knows enough to dispatch."""
        if not self._vms or self._cells is None or self._workers() is None:
            return
        if not self._drains().version:
            # It might start tasks in a failure domain that is drained.
            return
        now = self._clock.now()
        news = [item.leadership.inform(now) for item in self._elections]
        if any(news):
            # The others count on it, where this VM is the stronger one.
            self._pulse()

    def _share_directory(self, vm: str, message: model.Pulses) -> None:
        """Tells a peer that has just started what it may not read itself."""
        workers = self._workers()
        theirs = all(pulse.informed for pulse in message.by_cell)
        # Before the first division nobody is informed, and all VMs would send
        # each other everything.
        own = self.knows_cells and workers is not None and bool(self._vms)
        now = self._clock.now()
        if self._directory_sharing.is_due(vm, theirs, own, now):
            self._links.tell(vm, model.DirectoryShared(workers, self._vms))

    def _take_directory(self, message: model.DirectoryShared) -> None:
        if not self._vms:
            self._set_vms(message.vms)
        if self._workers() is None:
            self._handler.workers_shared(message.workers)
        self.check_informed()

    def _share_queues(self, vm: str, message: model.Pulses) -> None:
        """Tells a peer the queues in force.

        It may be parted from the store, and would go on with queues that
        operators have taken away.
        """
        table = self._queue_table()
        own = 0 if table is None else table.version
        theirs = message.table_version
        if self._queues_sharing.is_due(vm, theirs, own, self._clock.now()):
            self._links.tell(vm, self._make_queues(table))

    def _make_queues(self, table: model.QueueTable) -> model.QueuesShared:
        if self._last_queues is None or self._last_queues.table is not table:
            # What goes to several peers is encoded once.
            self._last_queues = model.QueuesShared(table)
        return self._last_queues


def _heard_cells(vm: str, message: model.Pulses) -> dispatching.Cells | None:
    """Returns the division that a peer tells, or None if it is invalid."""
    try:
        return dispatching.Cells(message.cells, message.cell_shares)
    except ValueError as error:
        logs.event(
            _LOG, logging.WARNING, 'entry_skipped', entry=vm, cause=error
        )
        return None
