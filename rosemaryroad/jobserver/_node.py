"""One entry VM that serves jobs, put together from its parts."""

import asyncio
import collections.abc
import logging
import os
import random

from rosemaryroad import _daemons
from rosemaryroad import _loops
from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import logs
from rosemaryroad import logsink
from rosemaryroad import model
from rosemaryroad import peers
from rosemaryroad import platform
from rosemaryroad.jobserver import _cell_dispatching
from rosemaryroad.jobserver import _dispatcher_messages
from rosemaryroad.jobserver import _dispatching
from rosemaryroad.jobserver import _following
from rosemaryroad.jobserver import _front
from rosemaryroad.jobserver import _handler
from rosemaryroad.jobserver import _home
from rosemaryroad.jobserver import _members
from rosemaryroad.jobserver import _metrics
from rosemaryroad.jobserver import _queues
from rosemaryroad.jobserver import _rows
from rosemaryroad.jobserver import _settings

_LOG = logging.getLogger(__name__)

# A link that carries nothing is found out by the signs of life; the library's
# own pings only back them up. At a short interval those of a large group cost
# as much as the signs.
_LINK_LIMITS = peers.LinkLimits(
    ping_interval_ms=30_000.0,
    ping_timeout_ms=5_000.0,
    close_timeout_ms=100.0,
    open_timeout_ms=400.0,
    grace_ms=300.0,
    backoff_ms=60.0,
    max_backoff_ms=500.0,
)

# How often a leaving daemon looks whether its last client is answered.
_DRAIN_POLL_MS = 20.0

# Connections that the balancer gave out before it noticed still bring
# jobs; it asks once a second and takes two misses.
_LINGER_MS = 2_300.0

_FLUSH_MS = 100.0

# A worker that leaves must get no task two seconds after it has said so.
# A VM that doesn't dispatch only keeps a list to begin with, should the
# store be away when it takes over.
_WORKERS_REST_MS = 400.0
_WORKERS_IDLE_REST_MS = 2_000.0

# A worker that has started again gets nothing before its entry is read.
_ENTRY_DUE_REST_MS = 20.0

# How long a call waits for changes. Workers that leave, new queues and
# drained failure domains have to be known within some seconds of the store's
# return; new VMs also link to the ones that know of them.
_WORKERS_WAIT_MS = 1_500.0
_WORKERS_KEEP_MS = 2_000.0
_OPERATORS_WAIT_MS = 2_500.0
_OPERATORS_SUCCESSION_REST_MS = 150.0
_VMS_WAIT_MS = 10_000.0

_MakeLinks = collections.abc.Callable[[peers.PeerHandler], peers.PeerLinks]


class JobNode(_handler.MembersHandler):
    """The parts of one daemon.

    Args:
        settings: The checked settings.
        adapter: What speaks to the platform.
        clock: The time.
        sink: Where log lines wait, or None.
        incarnation: This life of the daemon; a new one by default.
        make_links: Makes the links to peers, for whom hears of them;
            websockets by default.
        rng: Where jitter comes from.
    """

    def __init__(
        self,
        settings: _settings.JobSettings,
        adapter: platform.JobPlatformAdapter,
        clock: clock_module.Clock,
        sink: logsink.BoundedHandler | None = None,
        *,
        incarnation: model.Incarnation | None = None,
        make_links: _MakeLinks | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._sink = sink
        self._rng = rng or random.Random(os.urandom(16))
        self._loops: list[asyncio.Task] = []
        self.drain_requested = asyncio.Event()
        self.incarnation = incarnation or _daemons.new_incarnation(settings.vm)
        self.metrics = _metrics.JobMetrics(settings.vm)
        self.queues = _queues.QueueBook()
        self._drains = dispatching.DrainBook()
        self._home = _home.JobHome(
            settings.vm,
            clock,
            self._send,
            settings.failure_domain,
            settings.times.keep_ended_ms,
        )
        self._dispatching = _cell_dispatching.CellDispatching(
            self._make_dispatching
        )
        self.front = _front.JobFront(
            self.queues,
            self._home,
            self._drains,
            self.metrics,
            clock,
            self._dispatching.view,
        )
        handler = _members.JobLinkHandler()
        self._links = (make_links or self._make_links)(handler)
        self._members = _members.Members(
            model.EntryVm(settings.vm, settings.listen.peers, self._strength),
            self._make_leadership,
            self._links,
            adapter.tables,
            self,
            clock,
            self._rng,
            lambda: self.queues.table,
            lambda: self._dispatching.workers,
            lambda: self._drains.drains,
            settings.scheduling.cells.by_room,
        )
        handler.connect(self._members)
        self._workers_follower = self._follower(
            adapter.workers_table,
            self._on_workers,
            _WORKERS_WAIT_MS,
            self._workers_rest_ms,
            _WORKERS_KEEP_MS,
        )
        self._operators_follower = self._follower(
            adapter.operators_table,
            self._on_operators,
            _OPERATORS_WAIT_MS,
            succession_rest_ms=_OPERATORS_SUCCESSION_REST_MS,
        )
        self._followers = (
            self._workers_follower,
            self._operators_follower,
            self._follower(
                _rows.TABLE, self._members.rows_changed, _VMS_WAIT_MS
            ),
        )
        self._queues_since = clock.now()

    async def start(self) -> None:
        """Listens and begins all loops.

        Raises:
            OSError: An address can't be bound.
        """
        listen = self._settings.listen
        host, _, port = listen.peers.rpartition(':')
        await self._links.serve(host, int(port))
        await self._adapter.serve(
            self.front,
            self._render_metrics,
            listen.callers,
            (listen.readiness, listen.operators),
        )
        for run in (
            self._members.run,
            *(follower.run for follower in self._followers),
            self._keep_dispatching,
            self._keep_home,
        ):
            self._loops.append(asyncio.create_task(_loops.keep_running(run)))
        self._loops.append(asyncio.create_task(self._members.announce()))
        logs.event(
            _LOG,
            logging.INFO,
            'started',
            incarnation=self.incarnation,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
            callers=listen.callers,
            peers=listen.peers,
        )

    async def leave(self) -> bool:
        """Hands over, answers what is held, then ends everything.

        Returns:
            Whether no client was left without its answer.
        """
        began = self._clock.now()
        limit = began + self._settings.times.drain_ms
        logs.event(
            _LOG, logging.INFO, 'drain_started', jobs=self._home.jobs_held
        )
        self.front.is_leaving = True
        self.front.is_ready = False
        with _daemons.drain_step('tell_peers'):
            self._members.leave()
        self.front.ends_at = limit
        while self._clock.now() < limit:
            lingered = self._clock.now() - began >= _LINGER_MS
            if lingered and not self._is_needed:
                break
            await self._clock.sleep(_DRAIN_POLL_MS)
        # From here on no job is taken in; one that came between this look
        # and the end of its connection would be cut off unanswered.
        self.front.ends_at = self._clock.now()
        answered = not self._home.jobs_held
        with _daemons.drain_step('give_up'):
            self._home.give_up_held()
        await self._clock.sleep(_DRAIN_POLL_MS)
        with _daemons.drain_step('stop_serving'):
            await self._adapter.stop_serving()
        with _daemons.drain_step('close'):
            await self._close()
        logs.event(
            _LOG,
            logging.INFO,
            'drained',
            answered=answered,
            connections=self._adapter.connections,
            took_ms=self._clock.now() - began,
        )
        return answered

    @property
    def roles(self) -> list[dispatching.Role]:
        """What this VM does in each cell."""
        return self._members.roles

    @property
    def _is_needed(self) -> bool:
        # A VM that leaves dispatches on where nobody can take over.
        return bool(self._home.jobs_held) or self._dispatching.is_acting

    # What the members tell.

    def cells_known(
        self,
        cells: dispatching.Cells,
        leaderships: collections.abc.Sequence[dispatching.Leadership],
    ) -> None:
        """Divides workers and jobs."""
        self._dispatching.divide(cells, leaderships)
        self._home.divide(cells)

    def claiming(self) -> None:
        """Reads the workers while the store takes the claim."""
        if not self._dispatching.is_acting:
            self._workers_follower.hurry()

    def role_changed(self, cell: int, role: dispatching.Role) -> None:
        """Follows whoever dispatches a cell now."""
        acts = role.claim is not model.Claim.NONE
        if acts and not self._dispatching.is_acting:
            self._workers_follower.hurry()
        self._dispatching.act(cell, acts)
        self._home.follow(cell, role.dispatcher)
        self.metrics.dispatcher_changed()
        self._check_ready()

    def job_message(self, vm: str, message: model.JobMessage) -> None:
        """Takes in what a VM tells about a job."""
        if not _dispatcher_messages.take_message(message, self._home, vm):
            self._dispatching.message(vm, message)

    def peer_lost(self, vm: str) -> None:
        """Takes in that a VM can't be reached."""
        self._home.peer_lost(vm)
        self._dispatching.home_lost(vm)

    def queues_shared(self, table: model.QueueTable) -> None:
        """Takes in the queues that another VM has in force."""
        self._apply_queues(table, 'peer')

    def drains_shared(self, drains: model.DomainDrains) -> None:
        """Takes in the drained failure domains that another VM knows."""
        self._apply_drains(drains, 'peer')

    def workers_shared(self, workers: tuple[model.Worker, ...]) -> None:
        """Takes in the workers that another VM knows."""
        self._list_workers(workers, 'peer')

    # What the store tells.

    def _on_operators(
        self, rows: collections.abc.Mapping[str, platform.Row]
    ) -> None:
        version = self._operators_follower.version
        domains = self._adapter.read_drained_domains(rows)
        self._apply_drains(model.DomainDrains(version, domains), 'store')
        table = self._adapter.read_queues(rows)
        if table is not None:
            self._apply_queues(table, 'store')

    def _on_workers(
        self, rows: collections.abc.Mapping[str, platform.Row]
    ) -> None:
        self._list_workers(self._adapter.read_workers(rows), 'store')

    # Parts of the above.

    @property
    def _strength(self) -> float:
        return self._settings.cores * self._settings.speed

    def _make_links(self, handler: peers.PeerHandler) -> peers.PeerLinks:
        return peers.PeerLinks(
            self.incarnation,
            self._settings.failure_domain,
            self._settings.deployment,
            handler,
            self._clock,
            limits=_LINK_LIMITS,
        )

    def _make_leadership(self) -> dispatching.Leadership:
        return dispatching.Leadership(
            self._settings.vm,
            self._clock.now(),
            self._strength,
            self.incarnation.started,
        )

    def _make_dispatching(
        self, leadership: dispatching.Leadership
    ) -> _dispatching.Dispatching:
        times = self._settings.times
        return _dispatching.Dispatching(
            leadership,
            self._adapter.workers,
            dispatching.DispatchLimits(
                times.lease_ms,
                times.remote_factor,
                self._settings.scheduling,
                times.keep_ended_ms,
            ),
            self._clock,
            self._send,
            self.metrics,
            self._read_entries,
        )

    def _read_entries(self) -> None:
        self._workers_follower.wake()

    def _send(self, vm: str, message: model.JobMessage) -> bool:
        return self._members.send(vm, message)

    def _apply_queues(self, table: model.QueueTable, source: str) -> None:
        before = self.queues.version
        if self.queues.apply(table):
            self._queues_since = self._clock.now()
            logs.event(
                _LOG,
                logging.INFO,
                'queues_applied',
                version=table.version,
                before=before,
                source=source,
                queues=len(table.routes),
            )
            self._check_ready()

    def _apply_drains(self, drains: model.DomainDrains, source: str) -> None:
        change = self._drains.apply(drains, self._clock.now())
        if change is None:
            return
        for domain in change.began:
            logs.event(
                _LOG,
                logging.INFO,
                'domain_drained',
                failure_domain=domain,
                version=drains.version,
                source=source,
                workers=self._dispatching.count_workers(domain),
            )
        for domain, lasted_ms in change.ended.items():
            logs.event(
                _LOG,
                logging.INFO,
                'domain_drain_ended',
                failure_domain=domain,
                version=drains.version,
                source=source,
                lasted_ms=lasted_ms,
            )
        if change.began or change.ended:
            self._dispatching.drain_domains(self._drains.domains)
        self._members.check_informed()

    def _list_workers(
        self, workers: tuple[model.Worker, ...], source: str
    ) -> None:
        if self._dispatching.workers is None:
            logs.event(
                _LOG,
                logging.INFO,
                'workers_known',
                count=len(workers),
                source=source,
            )
        self._dispatching.list_workers(workers)
        self._members.check_informed()

    def _check_ready(self) -> None:
        ready = (
            bool(self.queues.version)
            and any(role.dispatcher for role in self._members.roles)
            and not self.front.is_leaving
        )
        if ready != self.front.is_ready:
            self.front.is_ready = ready
            logs.event(_LOG, logging.INFO, 'readiness_changed', ready=ready)

    def _workers_rest_ms(self) -> float:
        if self._dispatching.is_entry_due:
            return _ENTRY_DUE_REST_MS
        # The first division goes by the number of workers that are listed.
        if self._dispatching.is_acting or not self._members.knows_cells:
            return _WORKERS_REST_MS
        return _WORKERS_IDLE_REST_MS * self._members.stride

    def _follower(
        self,
        table: str,
        on_rows: collections.abc.Callable,
        wait_ms: float,
        rest_ms: collections.abc.Callable[[], float] = lambda: 0.0,
        keep_ms: float = 0.0,
        succession_rest_ms: float = 0.0,
    ) -> _following.TableFollower:
        return _following.TableFollower(
            self._adapter.tables,
            table,
            on_rows,
            self._clock,
            self._rng,
            self.metrics,
            wait_ms,
            rest_ms,
            keep_ms,
            succession_rest_ms,
        )

    async def _keep_dispatching(self) -> None:
        while True:
            self._dispatching.tick()
            await self._clock.sleep(dispatching.TICK_MS)

    async def _keep_home(self) -> None:
        flushed_at = 0.0
        while True:
            self._home.hand_again()
            now = self._clock.now()
            if self._sink is not None and now - flushed_at >= _FLUSH_MS:
                flushed_at = now
                self._sink.flush()
            await self._clock.sleep(dispatching.TICK_MS)

    def _render_metrics(self) -> str:
        roles = self._members.roles
        self.metrics.set_load(self._dispatching.load())
        self.metrics.set_scheduling(
            self._dispatching.view(), self._dispatching.counts()
        )
        self.metrics.set_state(
            _metrics.NodeState(
                self.queues.version,
                self._clock.now() - self._queues_since,
                max(role.term for role in roles),
                max(role.claim for role in roles),
                self._sink.dropped if self._sink is not None else 0,
                {item.table: item.age_ms for item in self._followers},
                self._drains.domains,
                self._adapter.connections,
            )
        )
        return self.metrics.render()

    async def _close(self) -> None:
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        self._dispatching.close()
        self._members.close()
        await self._links.close()
        await self._adapter.close()
