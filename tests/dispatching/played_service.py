"""Plays a whole service: homes, dispatchers, workers and what parts them.

Everything that decides is the daemon's own: who dispatches, the homes and the
dispatchers of jobs. Links, calls and workers are played on one clock, so that
a fault can be put between any two of them at any moment.
"""

import asyncio
import collections
import collections.abc
import heapq
import itertools
import math

import attrs

from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import jobserver
from rosemaryroad import model
from rosemaryroad.jobserver import _acknowledged
from tests.dispatching import case
from tests.dispatching import played_worker

STORE = 'store'
_HOP_MS = 1.0
_STEP_MS = 10.0
_ANSWER_MS = 120.0
_BUSY_WAIT_MS = 300.0
_IDLE_WAIT_MS = 900.0
_SHARED_WAIT_MS = 100.0
_BACKOFF_MS = 400.0
_REFUSED_PAUSE_MS = 50.0
_FENCE_OFF_MS = 15_000.0
_RELINK_MS = 100.0
_LONG_MS = 3_600_000.0
_LIMITS = dispatching.DispatchLimits(lease_ms=played_worker.LEASE_MS)

# How long after a change, or after the store is reached again, a VM reads it.
_READ_MS = 100.0
_RETRY_MS = 600.0

# A VM that has reached the store for so long knows what is drained.
KNOWN_AFTER_MS = 1_000.0


@attrs.frozen
class Doubled:
    """A task that ran twice at the same time.

    Attributes:
        at: When the second run began.
        task: The task.
        first: The worker of the first run, and who had started it.
        second: The same of the second run.
    """

    at: float
    task: model.TaskId
    first: tuple[str, str]
    second: tuple[str, str]


@attrs.frozen
class DrainedStart:
    """A task that was started in a failure domain that was drained.

    Attributes:
        at: When.
        task: The task.
        worker: Where.
        starter: The VM that started it.
        known_ms: For how long operators had been told that it is drained.
    """

    at: float
    task: model.TaskId
    worker: str
    starter: str
    known_ms: float


@attrs.frozen
class WrongStart:
    """A task that was started on a worker without the label it requires.

    Attributes:
        at: When.
        task: The task.
        worker: Where.
        starter: Who started it.
        is_late: Whether the order was carried out late.
    """

    at: float
    task: model.TaskId
    worker: str
    starter: str
    is_late: bool


@attrs.frozen
class _Sign:
    """A sign of life."""

    pulse: model.Pulse
    drains: model.DomainDrains


@attrs.define(eq=False)
class _Held:
    """What a dispatcher's VM knows of one worker's calls."""

    acknowledged: _acknowledged.Acknowledged = attrs.field(
        factory=_acknowledged.Acknowledged
    )
    failures: int = 0
    next_at: float = 0.0
    question: int = 0


@attrs.define(eq=False)
class _Vm:
    name: str
    leadership: dispatching.Leadership
    home: jobserver.JobHome
    tick_at: float
    role: dispatching.Role
    dispatcher: dispatching.JobDispatcher | None = None
    pulse_at: float = 0.0
    frozen_until: float = 0.0
    drains: dispatching.DrainBook = attrs.field(factory=dispatching.DrainBook)
    in_touch_since: float = 0.0
    reads_from: float = 0.0
    linked: set[str] = attrs.field(factory=set)
    told_at_by_vm: dict[str, float] = attrs.field(factory=dict)
    held_by_worker: dict[str, _Held] = attrs.field(factory=dict)
    waiting: list = attrs.field(factory=list)
    gone_until_by_worker: dict[str, float] = attrs.field(factory=dict)


class PlayedService:
    """Domains of some entry VMs and workers each.

    Attributes:
        doubled: Tasks that ran twice at the same time.
        repeated: Tasks that were started after they had ended well.
        drained_starts: Tasks that were started in a drained failure domain
            later than a VM that is in touch has to know of the drain.
        wrong_starts: Tasks that were started without the label they require.
        late_at_by_worker: When the last late start comes to each worker that
            got one.
        starts: How many tasks were started.
        preemptions: How many tasks were stopped for more urgent jobs.

    Args:
        domains: How many failure domains there are.
        workers: How many workers each of them has.
        run_ms: How long a task takes.
        vms: How many entry VMs each domain has.
        limits: Figures of the deployment.
        stop_ms: How long a worker takes to stop a task.
        tells_fenced_stops: Whether a worker that has seen a higher fence
            says so to an order to stop, as the platform's workers do. The
            older lists of drawn faults are played with workers that answer as
            if they had stopped the attempt.
        labels: The labels of the workers of each domain, in turn.
    """

    def __init__(
        self,
        domains: int = 3,
        workers: int = 4,
        run_ms: float = 900.0,
        vms: int = 2,
        limits: dispatching.DispatchLimits = _LIMITS,
        stop_ms: float = 0.0,
        tells_fenced_stops: bool = False,
        labels: collections.abc.Sequence[str] = (),
    ) -> None:
        self.clock = clock_module.ManualClock(100_000.0)
        self.doubled: list[Doubled] = []
        self.repeated: list[model.TaskId] = []
        self.drained_starts: list[DrainedStart] = []
        self.wrong_starts: list[WrongStart] = []
        self.late_at_by_worker: dict[str, float] = {}
        self.starts = 0
        self.preemptions = 0
        self._limits = limits
        self._stop_ms = stop_ms
        self._tells_fenced_stops = tells_fenced_stops
        self._events: list = []
        self._numbers = itertools.count()
        self._blocked: set[tuple[str, str]] = set()
        self._deaf: set[str] = set()
        self._delay_by_worker: dict[str, float] = {}
        self._stop_delay_by_worker: dict[str, float] = {}
        self._run_ms_by_job: dict[str, float] = {}
        self._label_by_job: dict[str, str] = {}
        self._draw_lateness: collections.abc.Callable[[], float | None] = (
            lambda: None
        )
        self._questions = itertools.count(1)
        self._lives_changed_at = -math.inf
        self._row = dispatching.LeaseRow(0, '')
        self._drains = model.DomainDrains(1)
        self._drained_at_by_domain: dict[str, float] = {}
        self._relink_at = 0.0
        self.vm_by_name: dict[str, _Vm] = {}
        self.worker_by_id: dict[str, played_worker.PlayedWorker] = {}
        self._tasks: set[asyncio.Task] = set()
        for letter in 'abcdefgh'[:domains]:
            for number in range(workers):
                worker = attrs.evolve(
                    case.make_worker(f'{letter}-w{number}'),
                    failure_domain=letter,
                    labels=(labels[number % len(labels)],) if labels else (),
                )
                self.worker_by_id[worker.id] = played_worker.PlayedWorker(
                    worker, run_ms, self._run_ms_by_job
                )
            for number in range(1, vms + 1):
                self._add_vm(f'{letter}{number}')
        known = dict.fromkeys(self.vm_by_name, 1.0)
        for vm in self.vm_by_name.values():
            vm.leadership.peers_known(known)
            vm.leadership.inform(self.now)
            vm.drains.apply(self._drains, self.now)
        self._relink()

    @property
    def now(self) -> float:
        """The time."""
        return self.clock.now()

    def names_of(self, domain: str) -> set[str]:
        """Returns the VMs and workers of a domain."""
        vms = {vm.name for vm in self.vm_by_name.values()}
        return {n for n in vms | set(self.worker_by_id) if n[0] == domain}

    def dispatcher(self) -> str:
        """Returns the VM that dispatches for most."""
        counts = collections.Counter(
            vm.role.dispatcher for vm in self.vm_by_name.values()
        )
        return counts.most_common(1)[0][0]

    def dispatchers(self) -> list[str]:
        """Returns the VMs that give orders."""
        return sorted(
            vm.name
            for vm in self.vm_by_name.values()
            if vm.role.claim is not model.Claim.NONE
        )

    # Faults.

    def block(self, senders: set[str], receivers: set[str]) -> None:
        """Lets nothing through from some to others."""
        self._blocked |= {
            (one, other)
            for one in senders
            for other in receivers
            if one != other
        }

    def let_through(self, names: set[str], others: set[str]) -> None:
        """Lets everything through again between some and others."""
        self._blocked -= set(itertools.product(names, others))
        self._blocked -= set(itertools.product(others, names))

    def part(self, names: set[str]) -> None:
        """Cuts some off from all others, the store among them."""
        others = self.everybody() - names
        self.block(names, others)
        self.block(others, names)

    def deafen(self, workers: set[str]) -> None:
        """Loses all orders to some workers; they tell what they run."""
        self._deaf |= workers

    def delay(self, workers: set[str], ms: float) -> None:
        """Has starts reach some workers late; they stay unanswered."""
        self._delay_by_worker |= dict.fromkeys(workers, ms)

    def delay_some(
        self, draw_lateness: collections.abc.Callable[[], float | None]
    ) -> None:
        """Has some starts come late; they stay unanswered.

        Args:
            draw_lateness: Returns by how many ms the next one is late, or
                None for one that is not.
        """
        self._draw_lateness = draw_lateness

    def delay_stops(self, workers: set[str], ms: float) -> None:
        """Has stops reach some workers late, or never where it is infinite.

        They stay unanswered; starts are carried out as usual.
        """
        self._stop_delay_by_worker |= dict.fromkeys(workers, ms)

    def drain(self, domains: set[str]) -> None:
        """Has operators drain some failure domains, and no others."""
        known = self._drained_at_by_domain
        self._drained_at_by_domain = {
            domain: known.get(domain, self.now) for domain in domains
        }
        version = self._drains.version + 1
        self._drains = model.DomainDrains(version, tuple(sorted(domains)))
        for vm in self.vm_by_name.values():
            self._at(self.now + _READ_MS, self._read_store, vm)

    def restart(
        self, worker: str, listed_after_ms: float, breaks_calls: bool = True
    ) -> None:
        """Has a worker start again under its id.

        Args:
            worker: The worker.
            listed_after_ms: When its entry tells so.
            breaks_calls: Whether those who hold it lose a call by that.
        """
        restarted = self.worker_by_id[worker]
        questions = restarted.waiting
        restarted.restart(self.now)
        if not breaks_calls:
            # They reach it after it has started again.
            restarted.waiting = questions
            questions = []
        self._break_calls(questions)
        self._at(self.now + listed_after_ms, self._list_again, worker)

    def _break_calls(self, questions: list) -> None:
        for question in questions:
            self._at(self.now + _HOP_MS, self._hold_unanswered, *question)

    def crash(
        self,
        worker: str,
        down_ms: float,
        expires_after_ms: float,
        listed_after_ms: float,
        labels: tuple[str, ...] | None = None,
    ) -> None:
        """Has a worker crash, and start again under its id.

        Args:
            worker: The worker.
            down_ms: For how long it is down.
            expires_after_ms: When its entry is dropped, if it is down still.
            listed_after_ms: How long after its start its new entry stands.
            labels: What it is from then on, if not what it was.
        """
        crashed = self.worker_by_id[worker]
        born = crashed.born
        self._break_calls(crashed.waiting)
        crashed.crash()
        self._at(self.now + expires_after_ms, self._expire, worker, born)
        back_at = self.now + down_ms
        self._at(back_at, self._return, worker, labels)
        self._at(back_at + listed_after_ms, self._list_again, worker)

    def _return(self, worker: str, labels: tuple[str, ...] | None) -> None:
        returned = self.worker_by_id[worker]
        if labels is not None:
            returned.labels = labels
        returned.restart(self.now)

    def _expire(self, worker: str, born: int) -> None:
        expired = self.worker_by_id[worker]
        if expired.listed is not None and expired.listed.born == born:
            expired.listed = None
            self._lives_changed_at = self.now
            until = self.now + _FENCE_OFF_MS
            for vm in self.vm_by_name.values():
                vm.gone_until_by_worker[worker] = until
            self._list_everywhere()

    def heal(self) -> None:
        """Lets everything through again."""
        self._blocked.clear()
        self._deaf.clear()
        self._delay_by_worker.clear()
        self._draw_lateness = lambda: None
        self._stop_delay_by_worker.clear()

    def freeze(self, vm: str, ms: float) -> None:
        """Stops a VM for a while; what reaches it meanwhile waits."""
        self.vm_by_name[vm].frozen_until = self.now + ms

    def kill(self, vm: str) -> None:
        """Ends a VM; those who can hear that do."""
        gone = self.vm_by_name.pop(vm)
        gone.dispatcher = None
        for other in self.vm_by_name.values():
            if vm in other.linked and (vm, other.name) not in self._blocked:
                self._lose(other, vm)
        self.block({vm}, self.everybody())

    # Clients.

    def submit(
        self,
        vm: str,
        job_id: str,
        left_ms: float = 6_000.0,
        run_ms: float | None = None,
        **fields,
    ) -> asyncio.Task:
        """Hands a job of two tasks in, or the same one again.

        Args:
            vm: The home.
            job_id: The job's id.
            left_ms: When its client stops waiting.
            run_ms: How long its tasks take, if not as long as usual.
            **fields: Fields of the job that differ from the usual ones.

        Returns:
            What waits for its answer.
        """
        usual = {'tasks': 2, 'cores': 20.0, 'estimate_ms': 900.0}
        job = case.make_job(job_id, **(usual | fields))
        if run_ms is not None:
            self._run_ms_by_job[job_id] = run_ms
        self._label_by_job[job_id] = job.label
        home = self.vm_by_name[vm].home
        # The service's own clock ends jobs, not the loop's.
        task = asyncio.ensure_future(home.submit(job, _LONG_MS))
        self._tasks.add(task)
        self._at(self.now + left_ms, task.cancel)
        return task

    def call_later(
        self, ms: float, what: collections.abc.Callable, *arguments
    ) -> None:
        """Has something happen after a while."""
        self._at(self.now + ms, what, *arguments)

    async def run(self, ms: float) -> None:
        """Lets time pass."""
        until = self.now + ms
        while self.now < until:
            await asyncio.sleep(0)
            step_end = self.now + _STEP_MS
            while self._events and self._events[0][0] <= step_end:
                when, _, what, arguments = heapq.heappop(self._events)
                self.clock.advance(max(0.0, when - self.now))
                what(*arguments)
            self.clock.advance(max(0.0, step_end - self.now))
            for worker in self.worker_by_id.values():
                worker.settle(self.now)
                self._tell_ends(worker)
            for vm in list(self.vm_by_name.values()):
                self._step(vm)
            if self.now >= self._relink_at:
                self._relink()

    def ends(self) -> list[model.JobEnd | None]:
        """Returns how all jobs so far have ended; None for no answer yet."""
        return [end_of(task) for task in self._tasks]

    async def close(self) -> None:
        """Ends what clients wait for."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Parts of the above.

    def everybody(self) -> set[str]:
        return set(self.vm_by_name) | set(self.worker_by_id) | {STORE}

    def _add_vm(self, name: str) -> None:
        leadership = dispatching.Leadership(name, self.now, 1.0, 1)

        def send(receiver: str, message: model.JobMessage) -> bool:
            return self._send(name, receiver, message)

        home = jobserver.JobHome(name, self.clock, send)
        home.divide(dispatching.Cells())
        self.vm_by_name[name] = _Vm(
            name, leadership, home, self.now, leadership.role
        )

    def _at(self, when: float, what, *arguments) -> None:
        entry = (when, next(self._numbers), what, arguments)
        heapq.heappush(self._events, entry)

    def _reaches(self, one: str, other: str) -> bool:
        return (one, other) not in self._blocked

    def _lose(self, vm: _Vm, peer: str) -> None:
        vm.linked.discard(peer)
        vm.leadership.lost(peer, self.now)
        vm.home.peer_lost(peer)
        if vm.dispatcher is not None:
            self._carry_out(vm, vm.dispatcher.home_lost(peer, self.now))
        self._check_role(vm)

    def _relink(self) -> None:
        self._relink_at = self.now + _RELINK_MS
        for one, other in itertools.combinations(
            list(self.vm_by_name.values()), 2
        ):
            stands = other.name in one.linked and one.name in other.linked
            through = self._reaches(one.name, other.name) and self._reaches(
                other.name, one.name
            )
            frozen = max(one.frozen_until, other.frozen_until) > self.now
            if stands or frozen or not through:
                continue
            for vm, peer in ((one, other), (other, one)):
                vm.linked.add(peer.name)
                vm.leadership.joined(peer.name, self.now)
            self._pulse_to(one, other.name)
            self._pulse_to(other, one.name)

    def _step(self, vm: _Vm) -> None:
        self._follow_store(vm)
        if vm.frozen_until > self.now:
            return
        if vm.waiting:
            waiting, vm.waiting = vm.waiting, []
            for what, arguments in waiting:
                what(*arguments)
        if self.now - vm.tick_at < dispatching.TICK_MS:
            return
        vm.tick_at = self.now
        vm.leadership.tick(self.now)
        for peer in vm.leadership.silent(self.now):
            if peer in vm.linked:
                self._lose(vm, peer)
                closed = self.vm_by_name.get(peer)
                if closed is not None and self._reaches(vm.name, peer):
                    self._lose(closed, vm.name)
        self._claim(vm)
        self._check_role(vm)
        if vm.dispatcher is not None and vm.leadership.may_order(self.now):
            self._count_votes(vm)
            self._carry_out(vm, vm.dispatcher.tick(self.now))
            self._hold_all(vm)
            self._fence_off(vm)
        vm.home.hand_again()
        self._pulse_if_due(vm)

    def _count_votes(self, vm: _Vm) -> None:
        leads_most = vm.leadership.leads_most(self.now)
        followed_at = vm.leadership.followed_at
        vm.dispatcher.lead_most(leads_most, followed_at, self.now)

    def _claim(self, vm: _Vm) -> None:
        wanted = vm.leadership.wants_claim(self.now)
        if wanted is None:
            return
        reaches = self._reaches(vm.name, STORE) and self._reaches(
            STORE, vm.name
        )
        if reaches and wanted.term <= self._row.term:
            vm.leadership.claim_lost(self._row, self.now)
            return
        if reaches:
            self._row = wanted
        vm.leadership.claim_won(wanted, self.now)

    def _check_role(self, vm: _Vm) -> None:
        role = vm.leadership.role
        if role == vm.role:
            return
        vm.role = role
        acts = role.claim is not model.Claim.NONE
        if acts and vm.dispatcher is None:
            is_deputy = role.claim is model.Claim.DEPUTY
            vm.dispatcher = dispatching.JobDispatcher(
                self._limits, is_deputy, vm.leadership.pace.silent_ms
            )
            lives_changed_ms = self.now - self._lives_changed_at
            if is_deputy and lives_changed_ms < _FENCE_OFF_MS:
                vm.leadership.raise_fence()
            vm.held_by_worker = {key: _Held() for key in self.worker_by_id}
            self._drain_workers(vm)
            self._list_workers(vm)
        elif not acts:
            vm.dispatcher = None
        vm.home.follow(0, role.dispatcher)
        self._pulse(vm)

    def _list_workers(self, vm: _Vm) -> None:
        workers = [
            item.listed
            for item in self.worker_by_id.values()
            if item.listed is not None
        ]
        actions = vm.dispatcher.workers_listed(workers, self.now)
        self._sync_sessions(vm)
        # Questions that are asked for go out after sessions know the life.
        for worker in workers:
            held = vm.held_by_worker[worker.id]
            held.acknowledged.life_listed(worker.born)
        self._carry_out(vm, actions)

    def _sync_sessions(self, vm: _Vm) -> None:
        wanted = vm.dispatcher.worker_ids
        if wanted == vm.held_by_worker.keys():
            return
        for key in vm.held_by_worker.keys() - wanted:
            del vm.held_by_worker[key]
        for key in self.worker_by_id:
            if key in wanted and key not in vm.held_by_worker:
                vm.held_by_worker[key] = _Held()

    def _list_again(self, worker_id: str) -> None:
        worker = self.worker_by_id[worker_id]
        if worker.is_up:
            worker.register()
            self._lives_changed_at = self.now
            self._list_everywhere()

    def _list_everywhere(self) -> None:
        for vm in self.vm_by_name.values():
            if vm.dispatcher is not None:
                self._list_workers(vm)

    # Drained failure domains.

    def _read_store(self, vm: _Vm) -> None:
        """Has a VM read what is drained, if it reaches the store."""
        if vm.frozen_until > self.now:
            vm.waiting.append((self._read_store, (vm,)))
        elif self._reaches_store(vm):
            self._take_drains(vm, self._drains)

    def _reaches_store(self, vm: _Vm) -> bool:
        reaches = self._reaches(vm.name, STORE)
        return reaches and self._reaches(STORE, vm.name)

    def _follow_store(self, vm: _Vm) -> None:
        """Has a VM that reaches the store again read it after a while."""
        if vm.frozen_until > self.now or not self._reaches_store(vm):
            vm.in_touch_since = self.now
            vm.reads_from = self.now + _RETRY_MS
        elif self.now >= vm.reads_from:
            vm.reads_from = math.inf
            self._read_store(vm)

    def _take_drains(self, vm: _Vm, drains: model.DomainDrains) -> None:
        change = vm.drains.apply(drains, self.now)
        if change is None or not (change.began or change.ended):
            return
        if vm.dispatcher is not None:
            self._drain_workers(vm)

    def _drain_workers(self, vm: _Vm) -> None:
        domains = vm.drains.domains
        actions = vm.dispatcher.drain_domains(domains, self.now)
        self._carry_out(vm, actions)

    def _note_drained_start(
        self, order: dispatching.StartTask, starter: str
    ) -> None:
        worker = self.worker_by_id[order.worker]
        drained_at = self._drained_at_by_domain.get(worker.failure_domain)
        vm = self.vm_by_name.get(starter)
        if drained_at is None or vm is None:
            return
        known_at = max(drained_at, vm.in_touch_since)
        if self.now - known_at > KNOWN_AFTER_MS:
            self.drained_starts.append(
                DrainedStart(
                    self.now,
                    order.task,
                    order.worker,
                    starter,
                    self.now - drained_at,
                )
            )

    # Messages.

    def _pulse_if_due(self, vm: _Vm) -> None:
        if self.now - vm.pulse_at >= vm.leadership.pulse_every_ms:
            self._pulse(vm)
            return
        for peer in vm.leadership.dispatching_peers(self.now):
            told_at = max(vm.pulse_at, vm.told_at_by_vm.get(peer, 0.0))
            if self.now - told_at >= vm.leadership.pace.pulse_ms:
                self._pulse_to(vm, peer)

    def _pulse(self, vm: _Vm) -> None:
        vm.pulse_at = self.now
        for peer in sorted(vm.linked):
            self._pulse_to(vm, peer)

    def _pulse_to(self, vm: _Vm, peer: str) -> None:
        pulse = vm.leadership.pulse()
        self._send(vm.name, peer, _Sign(pulse, vm.drains.drains))

    def _send(self, sender: str, receiver: str, message: object) -> bool:
        if sender == receiver:
            self._take(sender, receiver, message)
            return True
        vm = self.vm_by_name.get(sender)
        if vm is None or receiver not in vm.linked:
            return False
        vm.told_at_by_vm[receiver] = self.now
        if self._reaches(sender, receiver):
            arrival = self.now + _HOP_MS
            self._at(arrival, self._arrive, sender, receiver, message)
        return True

    def _arrive(self, sender: str, receiver: str, message: object) -> None:
        vm = self.vm_by_name.get(receiver)
        if vm is None:
            return
        if vm.frozen_until > self.now:
            vm.waiting.append((self._arrive, (sender, receiver, message)))
        elif sender in vm.linked:
            self._take(sender, receiver, message)

    def _take(self, sender: str, receiver: str, message: object) -> None:
        vm = self.vm_by_name[receiver]
        if isinstance(message, _Sign):
            self._take_drains(vm, message.drains)
            vm.leadership.heard(sender, message.pulse, self.now)
            self._check_role(vm)
            return
        vm.leadership.heard_from(sender, self.now)
        if not jobserver.take_message(message, vm.home, sender):
            self._take_as_dispatcher(vm, sender, message)

    def _take_as_dispatcher(
        self, vm: _Vm, sender: str, message: object
    ) -> None:
        if vm.dispatcher is not None:
            actions = dispatching.take_message(
                message, vm.dispatcher, sender, self.now
            )
            self._carry_out(vm, actions)
        if isinstance(message, model.JobWithdrawn) and message.release:
            self._send(vm.name, sender, model.JobReleased(message.job))

    # Orders.

    def _takes_order(self, vm: _Vm, worker_id: str) -> bool:
        return (
            self._reaches(vm.name, worker_id)
            and worker_id not in self._deaf
            and self.worker_by_id[worker_id].is_up
        )

    def _carry_out(self, vm: _Vm, actions: list[dispatching.Action]) -> None:
        if vm.dispatcher is not None:
            self._sync_sessions(vm)
        for action in actions:
            if isinstance(action, dispatching.TellHome):
                self._send(vm.name, action.vm, action.message)
            elif isinstance(action, dispatching.StartTask):
                self._start(vm, action)
            elif isinstance(action, dispatching.StopTask):
                self._stop(vm, action)
            elif isinstance(action, dispatching.LookAt):
                self._ask(vm, action.worker)
            elif isinstance(action, dispatching.RaiseFence):
                vm.leadership.raise_fence()
            elif isinstance(action, dispatching.Noted):
                self.preemptions += action.event == 'task_preempted'

    def _start(self, vm: _Vm, order: dispatching.StartTask) -> None:
        dispatcher = vm.dispatcher
        wanted = dispatcher is not None and dispatcher.is_wanted(order)
        if not wanted or not vm.leadership.may_order(self.now):
            reply = model.OrderReply(model.OrderResult.NOT_SENT)
            self._reply(vm, dispatcher, order, reply, 0)
            return
        dispatcher.start_sent(order.worker, self.now)
        fence = vm.leadership.fence
        lease_ms = dispatcher.order_validity_ms(order.worker, self.now)
        result = model.OrderResult.UNKNOWN
        if self._takes_order(vm, order.worker):
            worker = self.worker_by_id[order.worker]
            lease_end = worker.clock(self.now) + lease_ms
            delay_ms = self._delay_by_worker.get(order.worker)
            if delay_ms is None:
                delay_ms = self._draw_lateness()
            arguments = (order, vm.name, fence, lease_end)
            if delay_ms is None:
                result = self._arrive_at_worker(*arguments)
            else:
                self.late_at_by_worker[order.worker] = self.now + delay_ms
                when = self.now + delay_ms
                self._at(when, self._arrive_at_worker, *arguments, True)
        self._answer(vm, dispatcher, order, result, fence)

    def _arrive_at_worker(
        self,
        order: dispatching.StartTask,
        starter: str,
        fence: int,
        lease_end: float,
        is_late: bool = False,
    ) -> model.OrderResult:
        worker = self.worker_by_id[order.worker]
        if not worker.is_up:
            return model.OrderResult.UNKNOWN
        worker.settle(self.now)
        result = worker.start(order, starter, fence, self.now, lease_end)
        if result is model.OrderResult.DONE:
            self._note_start(order, starter, is_late)
        return result

    def _note_wrong_start(
        self, order: dispatching.StartTask, starter: str, is_late: bool
    ) -> None:
        label = self._label_by_job.get(order.task.job)
        if label and label not in self.worker_by_id[order.worker].labels:
            self.wrong_starts.append(
                WrongStart(
                    self.now, order.task, order.worker, starter, is_late
                )
            )

    def _note_start(
        self, order: dispatching.StartTask, starter: str, is_late: bool
    ) -> None:
        self.starts += 1
        self._note_drained_start(order, starter)
        self._note_wrong_start(order, starter, is_late)
        if any(order.task in w.done for w in self.worker_by_id.values()):
            self.repeated.append(order.task)
        for worker_id, worker in self.worker_by_id.items():
            worker.settle(self.now)
            for (task, attempt), run in worker.runs.items():
                present = (order.worker, order.attempt)
                if task == order.task and (worker_id, attempt) != present:
                    self.doubled.append(
                        Doubled(
                            self.now,
                            task,
                            (worker_id, run.starter),
                            (order.worker, starter),
                        )
                    )

    def _stop(self, vm: _Vm, order: dispatching.StopTask) -> None:
        result = model.OrderResult.UNKNOWN
        delay_ms = self._stop_delay_by_worker.get(order.worker)
        fence = vm.leadership.fence
        if self._takes_order(vm, order.worker):
            if delay_ms is None:
                result = self._stop_at_worker(order, fence)
            elif not math.isinf(delay_ms):
                when = self.now + delay_ms
                self._at(when, self._stop_at_worker, order, fence)
        self._answer(vm, vm.dispatcher, order, result, fence)

    def _stop_at_worker(
        self, order: dispatching.StopTask, fence: int
    ) -> model.OrderResult:
        worker = self.worker_by_id[order.worker]
        if not worker.is_up:
            return model.OrderResult.UNKNOWN
        worker.settle(self.now)
        is_done = worker.stop(order, fence, self.now, self._stop_ms)
        if is_done or not self._tells_fenced_stops:
            return model.OrderResult.DONE
        return model.OrderResult.FENCED

    def _answer(
        self,
        vm: _Vm,
        dispatcher: dispatching.JobDispatcher,
        order: dispatching.StartTask | dispatching.StopTask,
        result: model.OrderResult,
        fence: int,
    ) -> None:
        if not self._reaches(order.worker, vm.name):
            result = model.OrderResult.UNKNOWN
        is_lost = result is model.OrderResult.UNKNOWN
        when = self.now + (_ANSWER_MS if is_lost else 2 * _HOP_MS)
        worker_clock = self.worker_by_id[order.worker].clock(self.now)
        reply = model.OrderReply(result, 0.0 if is_lost else worker_clock)
        self._at(when, self._reply, vm, dispatcher, order, reply, fence)

    def _reply(
        self,
        vm: _Vm,
        dispatcher: dispatching.JobDispatcher | None,
        order: dispatching.StartTask | dispatching.StopTask,
        reply: model.OrderReply,
        fence: int,
    ) -> None:
        if dispatcher is None or vm.dispatcher is not dispatcher:
            return
        if vm.frozen_until > self.now:
            arguments = (vm, dispatcher, order, reply, fence)
            vm.waiting.append((self._reply, arguments))
            return
        held = vm.held_by_worker.get(order.worker)
        if held is None:
            return
        if reply.result is model.OrderResult.FENCED:
            vm.leadership.fenced(fence)
        elif reply.result is model.OrderResult.UNKNOWN:
            held.acknowledged.call_lost()
        if isinstance(order, dispatching.StartTask):
            actions = dispatcher.start_answered(order, reply, self.now)
        else:
            actions = dispatcher.stop_answered(order, reply, self.now)
        self._carry_out(vm, actions)

    def _hold_all(self, vm: _Vm) -> None:
        for worker_id, held in list(vm.held_by_worker.items()):
            if vm.dispatcher is not None and self.now >= held.next_at:
                self._hold(vm, worker_id)

    def _fence_off(self, vm: _Vm) -> None:
        """Brings the fence to workers that are gone, where they are back."""
        for worker_id, until in list(vm.gone_until_by_worker.items()):
            worker = self.worker_by_id[worker_id]
            if self.now >= until or worker.listed is not None:
                del vm.gone_until_by_worker[worker_id]
                continue
            if not worker.is_up or not self._reaches(vm.name, worker_id):
                continue
            if worker_id in vm.held_by_worker:
                continue
            fence = vm.leadership.fence
            if worker.hold(fence, 0, 0.0, self.now):
                del vm.gone_until_by_worker[worker_id]
            else:
                vm.leadership.fenced(fence)

    def _hold(self, vm: _Vm, worker_id: str) -> None:
        """Asks a worker; it waits for an end before it answers."""
        dispatcher = vm.dispatcher
        held = vm.held_by_worker.get(worker_id)
        if held is None or dispatcher is None:
            return
        if not vm.leadership.may_order(self.now):
            return
        wait_ms = 0.0
        if held.question and not held.failures:
            is_busy = dispatcher.has_work(worker_id)
            wait_ms = _BUSY_WAIT_MS if is_busy else _IDLE_WAIT_MS
            if dispatcher.is_outvoted:
                wait_ms = _SHARED_WAIT_MS
        held.question = next(self._questions)
        held.next_at = self.now + _LONG_MS
        prolong = dispatcher.may_prolong(worker_id, self.now)
        lease_ms = _lease_ms(dispatcher) if prolong else 0.0
        dispatcher.held(worker_id, self.now)
        asked = held.acknowledged.mark
        question = (vm, dispatcher, worker_id, held.question, self.now, asked)
        worker = self.worker_by_id[worker_id]
        if self._reaches(vm.name, worker_id) and worker.is_up:
            worker.settle(self.now)
            fence = vm.leadership.fence
            if not worker.hold(fence, asked.number, lease_ms, self.now):
                vm.leadership.fenced(fence)
                held.next_at = self.now + 2 * _HOP_MS
                return
            worker.waiting.append(question)
            self._at(self.now + wait_ms, self._tell, worker, question)
        # A worker that is down refuses the connection.
        left_ms = wait_ms + _ANSWER_MS if worker.is_up else _HOP_MS
        self._at(self.now + left_ms, self._hold_unanswered, *question)

    def _tell_ends(self, worker: played_worker.PlayedWorker) -> None:
        for question in list(worker.waiting):
            if worker.has_ends:
                self._tell(worker, question)

    def _tell(
        self, worker: played_worker.PlayedWorker, question: tuple
    ) -> None:
        if question not in worker.waiting:
            return
        worker.waiting.remove(question)
        vm, dispatcher, worker_id, _, asked_at, _ = question
        if vm.dispatcher is not dispatcher:
            return
        worker.settle(self.now)
        report = worker.report(asked_at, self.now)
        if self._reaches(worker_id, vm.name):
            self._at(self.now + 2 * _HOP_MS, self._held, *question, report)

    def _held(
        self,
        vm: _Vm,
        dispatcher,
        worker_id: str,
        number: int,
        _,
        asked,
        report,
    ) -> None:
        held = vm.held_by_worker.get(worker_id)
        if vm.dispatcher is not dispatcher or held is None:
            return
        if held.question != number:
            return
        if vm.frozen_until > self.now:
            arguments = (vm, dispatcher, worker_id, number, 0, asked, report)
            vm.waiting.append((self._held, arguments))
            return
        held.failures = 0
        held.next_at = self.now
        self._reported(vm, dispatcher, worker_id, asked, report)
        if vm.dispatcher is dispatcher:
            self._hold(vm, worker_id)

    def _hold_unanswered(
        self, vm: _Vm, dispatcher, worker_id: str, number: int, *_
    ) -> None:
        held = vm.held_by_worker.get(worker_id)
        if vm.dispatcher is not dispatcher or held is None:
            return
        if held.question != number:
            return
        if vm.frozen_until > self.now:
            arguments = (vm, dispatcher, worker_id, number)
            vm.waiting.append((self._hold_unanswered, arguments))
            return
        held.next_at = self.now
        held.failures += 1
        held.acknowledged.call_lost()
        dispatcher.call_lost(worker_id, self.now)
        if held.failures >= 2:
            is_up = self.worker_by_id[worker_id].is_up
            held.next_at += _BACKOFF_MS if is_up else _REFUSED_PAUSE_MS
            actions = dispatcher.silent(worker_id, 'no answer', self.now)
            self._carry_out(vm, actions)

    def _ask(self, vm: _Vm, worker_id: str) -> None:
        """Asks a worker out of turn; it answers at once, or not at all."""
        dispatcher = vm.dispatcher
        held = vm.held_by_worker.get(worker_id)
        if dispatcher is None or held is None:
            return
        if not vm.leadership.may_order(self.now):
            return
        prolong = dispatcher.may_prolong(worker_id, self.now)
        lease_ms = _lease_ms(dispatcher) if prolong else 0.0
        dispatcher.held(worker_id, self.now)
        worker = self.worker_by_id[worker_id]
        if not self._reaches(vm.name, worker_id) or not worker.is_up:
            return
        worker.settle(self.now)
        asked = held.acknowledged.mark
        fence = vm.leadership.fence
        if not worker.hold(fence, asked.number, lease_ms, self.now):
            vm.leadership.fenced(fence)
            return
        report = worker.report(self.now, self.now)
        if self._reaches(worker_id, vm.name):
            self._at(
                self.now + 2 * _HOP_MS,
                self._reported,
                vm,
                dispatcher,
                worker_id,
                asked,
                report,
            )

    def _reported(
        self, vm: _Vm, dispatcher, worker_id: str, asked, report
    ) -> None:
        if vm.dispatcher is not dispatcher:
            return
        if vm.frozen_until > self.now:
            arguments = (vm, dispatcher, worker_id, asked, report)
            vm.waiting.append((self._reported, arguments))
            return
        held = vm.held_by_worker.get(worker_id)
        if held is None:
            return
        report = held.acknowledged.told(
            asked,
            report,
            lambda row: dispatcher.concerns(worker_id, row),
            self.now,
        )
        actions = dispatcher.reported(worker_id, report, self.now)
        self._carry_out(vm, actions)


def _lease_ms(dispatcher: dispatching.JobDispatcher) -> float:
    return played_worker.LEASE_MS - dispatcher.spare_ms


def end_of(task: asyncio.Task) -> model.JobEnd | None:
    """Returns how a job has ended, or None where its client has no answer."""
    # A client of a VM that was killed gets no answer.
    if not task.done() or task.cancelled() or task.exception():
        return None
    return task.result().end
