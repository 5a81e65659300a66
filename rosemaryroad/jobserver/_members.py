"""Which entry VMs there are, who dispatches, and what they tell."""

import abc
import asyncio
import collections.abc
import json
import logging
import random
import secrets

from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import peers
from rosemaryroad import platform
from rosemaryroad import structure

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

# The table in which the entry VMs find each other.
TABLE = 'rosemaryroad'
_VM_PREFIX = 'vm/'
_DISPATCHER_KEY = 'dispatcher'

# A row that could not be written is tried again after this long.
_WRITE_AGAIN_MS = 500.0


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


class MembersHandler(abc.ABC):
    """What follows from what the members tell."""

    @abc.abstractmethod
    def role_changed(self, role: dispatching.Role) -> None:
        """Another VM dispatches, or this one does."""

    @abc.abstractmethod
    def job_message(self, vm: str, message: model.JobMessage) -> None:
        """A VM tells something about a job."""

    @abc.abstractmethod
    def peer_lost(self, vm: str) -> None:
        """A VM can't be reached."""

    @abc.abstractmethod
    def queues_shared(self, table: model.QueueTable) -> None:
        """A VM knows a version of the queues."""

    @abc.abstractmethod
    def workers_shared(self, workers: tuple[model.Worker, ...]) -> None:
        """A VM knows the workers, and this one does not."""


class Members:
    """Keeps the links, sends signs of life and settles who dispatches.

    Args:
        vm: This VM's row.
        leadership: The decisions.
        links: The links.
        tables: The store.
        handler: What follows.
        clock: The clock.
        rng: Where jitter comes from.
        queue_table: Returns the queues in force, if there are any.
        workers: Returns the workers, or None before they are known.
    """

    def __init__(
        self,
        vm: model.EntryVm,
        leadership: dispatching.Leadership,
        links: peers.PeerLinks,
        tables: platform.TableService,
        handler: MembersHandler,
        clock: clock_module.Clock,
        rng: random.Random,
        queue_table: collections.abc.Callable[[], model.QueueTable | None],
        workers: collections.abc.Callable[[], tuple[model.Worker, ...] | None],
    ) -> None:
        self._row = vm
        self._leadership = leadership
        self._links = links
        self._tables = tables
        self._handler = handler
        self._clock = clock
        self._rng = rng
        self._queue_table = queue_table
        self._workers = workers
        self._vms: tuple[model.EntryVm, ...] = ()
        self._role = leadership.role
        self._pulse_at = 0.0
        self._pulses = 0
        self._row_version = 0
        self._written = False
        self._tasks: set[asyncio.Task] = set()

    def send(self, vm: str, message: model.JobMessage) -> bool:
        """Sends a message to a VM, this one included."""
        if vm == self._row.vm:
            self._handler.job_message(vm, message)
            return True
        return self._links.tell(vm, message)

    def receive(self, vm: str, message: model.JobMessage) -> None:
        """Takes in what a peer tells."""
        if isinstance(message, model.Pulse):
            self._leadership.heard(vm, message, self._clock.now())
            self._share_queues(vm, message)
            self._share_directory(vm, message)
            self._check_role()
        elif isinstance(message, model.QueuesShared):
            self._handler.queues_shared(message.table)
        elif isinstance(message, model.DirectoryShared):
            self._take_directory(message)
        else:
            self._handler.job_message(vm, message)

    def joined(self, vm: str) -> None:
        """Takes in that a peer can be reached."""
        self._leadership.joined(vm, self._clock.now())
        self._links.tell(vm, self._make_pulse())

    def lost(self, vm: str) -> None:
        """Takes in that no link to a peer is left."""
        self._leadership.lost(vm, self._clock.now())
        self._handler.peer_lost(vm)
        self._check_role()
        # The others wait for this VM's word before one of them takes over.
        self._pulse()

    def rows_changed(
        self, rows: collections.abc.Mapping[str, platform.Row]
    ) -> None:
        """Takes in the table in which the entry VMs find each other."""
        found = [
            _read_vm(row)
            for key, row in rows.items()
            if key.startswith(_VM_PREFIX)
        ]
        self._set_vms(tuple(item for item in found if item is not None))
        row = rows.get(_DISPATCHER_KEY)
        if row is not None:
            self._take_row(row)
        self._check_role()

    async def run(self) -> None:
        """Keeps time for as long as the process lives."""
        while True:
            self._tick()
            await self._clock.sleep(dispatching.TICK_MS)

    async def announce(self) -> None:
        """Writes this VM's own row until the store has taken it."""
        key = _VM_PREFIX + self._row.vm
        value = json.dumps(structure.unstructure(self._row))
        while True:
            try:
                known = await self._tables.read(TABLE, key)
                if known is not None and known.value == value:
                    return
                version = known.version if known is not None else 0
                put = platform.Put(TABLE, key, value, version)
                result = await self._tables.transact(_transaction(put))
                if isinstance(result, platform.Committed):
                    return
            except (errors.PlatformUnavailable, errors.WriteUnknown) as error:
                logs.event(
                    _LOG, logging.WARNING, 'announce_failed', detail=error
                )
            await self._clock.sleep(
                _WRITE_AGAIN_MS * self._rng.uniform(0.5, 1.0)
            )

    def leave(self) -> None:
        """Tells the others that this VM is shutting down."""
        self._leadership.leave(self._clock.now())
        self._check_role()
        self._pulse()

    def close(self) -> None:
        """Ends what still runs."""
        for task in list(self._tasks):
            task.cancel()

    # Parts of the above.

    def _tick(self) -> None:
        now = self._clock.now()
        self._leadership.tick(now)
        for vm in self._leadership.silent(now):
            logs.event(_LOG, logging.INFO, 'peer_silent', vm=vm)
            self._links.drop(vm)
        self._check_role()
        wanted = self._leadership.wants_claim(now)
        if wanted is not None:
            self._spawn(self._claim(wanted))
        if now - self._pulse_at >= dispatching.PULSE_MS:
            self._pulses += 1
            self._pulse(self._pulses % self._leadership.stride == 0)

    def _check_role(self) -> None:
        role = self._leadership.role
        if role == self._role:
            return
        before = self._role
        self._role = role
        logs.event(
            _LOG,
            logging.INFO,
            'role_changed',
            claim=role.claim.name.lower(),
            term=role.term,
            dispatcher=role.dispatcher or 'none',
            before=before.dispatcher or 'none',
            before_term=before.term,
        )
        self._handler.role_changed(role)
        self._pulse()

    def _pulse(self, to_all: bool = True) -> None:
        """Sends a sign of life.

        Args:
            to_all: Whether to those as well that needn't hear each one.
        """
        self._pulse_at = self._clock.now()
        pulse = self._make_pulse()
        self._links.broadcast(
            lambda vm: (
                pulse if to_all or self._leadership.is_near(vm) else None
            )
        )

    def _make_pulse(self) -> model.Pulse:
        table = self._queue_table()
        version = table.version if table is not None else 0
        return self._leadership.pulse(version)

    def _set_vms(self, vms: tuple[model.EntryVm, ...]) -> None:
        self._vms = vms
        addresses = {
            item.vm: model.Address.parse(item.address) for item in vms
        }
        self._links.set_peers(addresses)
        self._leadership.peers_known(frozenset(addresses))
        self.check_informed()

    def check_informed(self) -> None:
        """Looks whether this VM knows enough to dispatch."""
        if self._vms and self._workers() is not None:
            self._leadership.inform()

    def _share_directory(self, vm: str, pulse: model.Pulse) -> None:
        workers = self._workers()
        if not pulse.informed and workers is not None and self._vms:
            # The peer has just started and may be parted from the store.
            self._links.tell(vm, model.DirectoryShared(workers, self._vms))

    def _take_directory(self, message: model.DirectoryShared) -> None:
        if not self._vms:
            self._set_vms(message.vms)
        if self._workers() is None:
            self._handler.workers_shared(message.workers)
        self.check_informed()

    def _share_queues(self, vm: str, pulse: model.Pulse) -> None:
        table = self._queue_table()
        if table is not None and pulse.table_version < table.version:
            # The peer may be parted from the store; it would go on with
            # queues that operators have taken away.
            self._links.tell(vm, model.QueuesShared(table))

    def _take_row(self, row: platform.Row) -> None:
        self._row_version = row.version
        found = _read_dispatcher(row)
        if found is not None:
            self._leadership.row_read(found, self._clock.now())

    async def _claim(self, wanted: dispatching.LeaseRow) -> None:
        value = json.dumps(structure.unstructure(wanted))
        put = platform.Put(TABLE, _DISPATCHER_KEY, value, self._row_version)
        outcome = 'won'
        try:
            async with asyncio.timeout(
                dispatching.CLAIM_TIMEOUT_MS / _MS_PER_SECOND
            ):
                result = await self._tables.transact(_transaction(put))
                if isinstance(result, platform.Conflict):
                    outcome = 'lost'
                    row = await self._tables.read(TABLE, _DISPATCHER_KEY)
        except (
            errors.PlatformUnavailable,
            errors.WriteUnknown,
            TimeoutError,
        ):
            # The VMs that hear each other need a dispatcher all the same.
            outcome = 'store away'
        logs.event(
            _LOG,
            logging.INFO,
            'dispatcher_claimed',
            term=wanted.term,
            outcome=outcome,
            row_version=self._row_version,
        )
        now = self._clock.now()
        if outcome != 'lost':
            self._leadership.claim_won(wanted, now)
        else:
            found = None
            if row is not None:
                self._row_version = row.version
                found = _read_dispatcher(row)
            self._leadership.claim_lost(
                found or dispatching.LeaseRow(wanted.term, ''), now
            )
        self._check_role()

    def _spawn(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.fault(_LOG, 'claim_failed', task.exception())


def _transaction(put: platform.Put) -> platform.Transaction:
    return platform.Transaction(secrets.token_hex(8), (put,))


def _read_vm(row: platform.Row) -> model.EntryVm | None:
    try:
        found = structure.structure(json.loads(row.value), model.EntryVm)
        model.Address.parse(found.address)
    except (ValueError, errors.CheckFailed) as error:
        logs.event(
            _LOG, logging.WARNING, 'entry_skipped', entry=row.key, cause=error
        )
        return None
    return found


def _read_dispatcher(row: platform.Row) -> dispatching.LeaseRow | None:
    try:
        return structure.structure(json.loads(row.value), dispatching.LeaseRow)
    except (ValueError, errors.CheckFailed) as error:
        logs.event(
            _LOG, logging.WARNING, 'entry_skipped', entry=row.key, cause=error
        )
        return None
