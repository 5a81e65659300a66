"""Carries out what the dispatcher of jobs decides."""

import collections.abc
import functools
import logging

from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import endpoints
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.jobserver import _fencing
from rosemaryroad.jobserver import _metrics
from rosemaryroad.jobserver import _sessions

_LOG = logging.getLogger(__name__)

# Calls that go unanswered at so many workers within this time are lost on
# their way; at fewer, the workers are at fault.
_LOSSY_WORKERS = 3
_LOSSY_MS = 2_000.0

# A worker that is down is asked often: until a call has reached its next life,
# nothing refuses an order that comes late there. Many that are down share what
# that costs.
_DOWN_PAUSE_MS = 5.0
_MIN_DOWN_PAUSE_MS = 50.0
_MAX_DOWN_PAUSE_MS = 400.0

# A worker writes its entry right after it has started. One that is later is
# read when the table is read anyway.
_ENTRY_DUE_MS = 500.0

_Send = collections.abc.Callable[[str, model.JobMessage], bool]


class Dispatching(_sessions.SessionHandler):
    """The dispatcher of a cell together with the I/O that it asks for.

    It has state only while this VM gives orders; what it knew before is
    of no use once another one has given some.

    Args:
        leadership: Whether this VM gives orders, and under which term.
        client: Speaks to workers.
        limits: Figures of the deployment.
        clock: The clock.
        send: Sends a message to a VM, this one included.
        metrics: What is counted.
        read_entries: Has the workers' entries read now.
    """

    def __init__(
        self,
        leadership: dispatching.Leadership,
        client: endpoints.WorkerClient,
        limits: dispatching.DispatchLimits,
        clock: clock_module.Clock,
        send: _Send,
        metrics: _metrics.JobMetrics,
        read_entries: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._leadership = leadership
        self._client = client
        self._limits = limits
        self._clock = clock
        self._send = send
        self._metrics = metrics
        self._read_entries = read_entries
        self._dispatcher: dispatching.JobDispatcher | None = None
        self._session_by_worker: dict[str, _sessions.WorkerSession] = {}
        self._lost_at_by_worker: dict[str, float] = {}
        self._down: set[str] = set()
        self._workers: tuple[model.Worker, ...] = ()
        self._drained_domains: frozenset[str] = frozenset()
        self._past_counts = dispatching.DecisionCounts()
        self._fencing = _fencing.Fencing(
            client,
            self.fence,
            self.fenced,
            self._session_by_worker.__contains__,
            clock,
            _note_fault,
        )

    @property
    def is_acting(self) -> bool:
        """Whether this VM gives orders."""
        return self._dispatcher is not None

    @property
    def is_entry_due(self) -> bool:
        """Whether a worker waits for its entry that may come any moment."""
        since = self._clock.now() - _ENTRY_DUE_MS
        dispatcher = self._dispatcher
        return dispatcher is not None and dispatcher.is_entry_due(since)

    def act(self, acting: bool) -> None:
        """Begins to give orders, or ends."""
        if acting == self.is_acting:
            return
        if acting:
            is_deputy = self._leadership.role.claim is model.Claim.DEPUTY
            self._dispatcher = dispatching.JobDispatcher(
                self._limits, is_deputy, self._leadership.pace.silent_ms
            )
            if is_deputy and self._fencing.may_orders_be_late:
                # The dispatcher that it can't hear, whose fence it has, may
                # have given them. That one goes up where both use a worker.
                self.raise_fence(dispatching.RaiseFence('a deputy begins'))
            self._count_votes()
            self.drain_domains(self._drained_domains)
            self.list_workers(self._workers)
            self._fencing.act(True)
            return
        self._past_counts.add(self._dispatcher.counts())
        self._dispatcher = None
        for session in self._session_by_worker.values():
            session.close()
        self._session_by_worker.clear()
        self._down.clear()
        self._fencing.act(False)

    def list_workers(self, workers: tuple[model.Worker, ...]) -> None:
        """Takes in which workers the cell has."""
        self._workers = workers
        self._fencing.list_workers(workers)
        if self._dispatcher is None:
            return
        now = self._clock.now()
        self._carry_out(self._dispatcher.workers_listed(workers, now))
        for key, session in self._session_by_worker.items():
            session.update(self._dispatcher.worker(key))

    def drain_domains(self, domains: frozenset[str]) -> None:
        """Takes in the failure domains where nothing new may start."""
        self._drained_domains = domains
        if self._dispatcher is not None:
            now = self._clock.now()
            self._carry_out(self._dispatcher.drain_domains(domains, now))

    def message(self, vm: str, message: model.JobMessage) -> None:
        """Takes in what a home tells."""
        # Without a dispatcher, the home finds out by the next sign of life,
        # and hands its jobs to whoever dispatches then.
        if self._dispatcher is not None:
            now = self._clock.now()
            actions = dispatching.take_message(
                message, self._dispatcher, vm, now
            )
            self._carry_out(actions)
        if isinstance(message, model.JobWithdrawn) and message.release:
            self._send(vm, model.JobReleased(message.job))

    def home_lost(self, vm: str) -> None:
        """Takes in that an entry VM can't be reached."""
        if self._dispatcher is not None:
            now = self._clock.now()
            self._carry_out(self._dispatcher.home_lost(vm, now))

    def tick(self) -> None:
        """Does what is due by the time alone."""
        now = self._clock.now()
        if self._dispatcher is None or not self._leadership.may_order(now):
            return
        self._count_votes()
        self._carry_out(self._dispatcher.tick(now))

    def load(self) -> dispatching.DispatcherLoad:
        """Returns what is held here, for operators."""
        if self._dispatcher is None:
            return dispatching.DispatcherLoad()
        return self._dispatcher.load(self._clock.now())

    def view(self) -> dispatching.SchedulingView:
        """Returns what is done with the room here, for operators."""
        if self._dispatcher is None:
            return dispatching.SchedulingView()
        return self._dispatcher.view(self._clock.now())

    def counts(self) -> dispatching.DecisionCounts:
        """Returns what was decided here, also by earlier dispatchers."""
        counts = dispatching.DecisionCounts()
        counts.add(self._past_counts)
        if self._dispatcher is not None:
            counts.add(self._dispatcher.counts())
        return counts

    def close(self) -> None:
        """Ends all sessions."""
        self.act(False)

    # What sessions ask and tell.

    def fence(self) -> int:
        """Returns the fence of orders."""
        return self._leadership.fence

    def may_order(self) -> bool:
        """Tells whether orders may go out now."""
        if self._dispatcher is None:
            return False
        return self._leadership.may_order(self._clock.now())

    def is_busy(self, worker: str) -> bool:
        """Tells whether anything runs at a worker."""
        dispatcher = self._dispatcher
        return dispatcher is not None and dispatcher.has_work(worker)

    def call_lost(self, worker: str) -> None:
        """Takes in that a call got no answer."""
        now = self._clock.now()
        self._lost_at_by_worker[worker] = now
        if self._dispatcher is not None:
            self._dispatcher.call_lost(worker, now)

    def is_lossy(self) -> bool:
        """Tells whether answers of several workers got lost lately."""
        since = self._clock.now() - _LOSSY_MS
        lost = self._lost_at_by_worker
        if len(lost) < _LOSSY_WORKERS:
            return False
        for worker in [key for key, at in lost.items() if at < since]:
            del lost[worker]
        return len(lost) >= _LOSSY_WORKERS

    def may_prolong(self, worker: str) -> bool:
        """Tells whether a worker's leases may be prolonged."""
        dispatcher = self._dispatcher
        now = self._clock.now()
        return dispatcher is not None and dispatcher.may_prolong(worker, now)

    def is_outvoted(self) -> bool:
        """Tells whether most VMs don't follow this one."""
        return self._dispatcher is not None and self._dispatcher.is_outvoted

    def spare_ms(self) -> float:
        """Returns how much sooner leases end than the longest ones."""
        return 0.0 if self._dispatcher is None else self._dispatcher.spare_ms

    def is_wanted(self, start: dispatching.StartTask) -> bool:
        """Tells whether an order to start still stands."""
        dispatcher = self._dispatcher
        return dispatcher is not None and dispatcher.is_wanted(start)

    def order_validity_ms(self, worker: str) -> float:
        """Returns how long an order to start that is sent now is valid."""
        return self._dispatcher.order_validity_ms(worker, self._clock.now())

    def start_sent(self, worker: str) -> None:
        """Notes that an order to start is sent now."""
        self._dispatcher.start_sent(worker, self._clock.now())

    def held(self, worker: str) -> None:
        """Notes that a call which prolongs leases goes out."""
        if self._dispatcher is not None:
            self._dispatcher.held(worker, self._clock.now())

    def concerns(self, worker: str, row: model.EndedTask) -> bool:
        """Tells whether an end is of a task that was ordered here."""
        dispatcher = self._dispatcher
        return dispatcher is not None and dispatcher.concerns(worker, row)

    def reported(self, worker: str, report: model.WorkerReport) -> None:
        """Takes in a report."""
        self._down.discard(worker)
        if self._dispatcher is None:
            return
        now = self._clock.now()
        if not self._dispatcher.is_outdated(worker, report):
            self._note_ends(worker, report, now)
        self._carry_out(self._dispatcher.reported(worker, report, now))

    def _note_ends(
        self, worker: str, report: model.WorkerReport, now: float
    ) -> None:
        for row in report.ended:
            if not self._dispatcher.concerns(worker, row):
                # It is told again until it is left no more.
                continue
            ran_ms = self._dispatcher.ran_ms(worker, row, now)
            self._metrics.task_ended(row.end, ran_ms)
            logs.event(
                _LOG,
                logging.INFO,
                'task_ended',
                request_id=row.task.job,
                task=row.task.index,
                attempt=row.attempt,
                worker=worker,
                end=row.end.value,
                ran_ms=ran_ms,
            )

    def silent(self, worker: str, cause: str) -> None:
        """Takes in that a worker did not answer."""
        if self._dispatcher is not None:
            now = self._clock.now()
            self._carry_out(self._dispatcher.silent(worker, cause, now))

    def down(self, worker: str) -> float:
        """Takes in that nobody listens at a worker's address."""
        self._down.add(worker)
        pause = _DOWN_PAUSE_MS * len(self._down)
        return min(max(pause, _MIN_DOWN_PAUSE_MS), _MAX_DOWN_PAUSE_MS)

    def replaced(self, worker: str) -> None:
        """Takes in that this life of a worker has ended."""
        if self._dispatcher is not None:
            now = self._clock.now()
            self._carry_out(self._dispatcher.worker_gone(worker, now))

    def fenced(self, worker: str, fence: int) -> None:
        """Takes in that a worker has seen a higher fence than this one."""
        if fence < self._leadership.fence:
            # It has been raised since that call was sent.
            return
        logs.event(
            _LOG, logging.WARNING, 'order_fenced', worker=worker, fence=fence
        )
        if self.may_order():
            self._leadership.fenced(fence)

    def _count_votes(self) -> None:
        now = self._clock.now()
        leadership = self._leadership
        self._dispatcher.lead_most(
            leadership.leads_most(now), leadership.followed_at, now
        )

    # Actions.

    def _carry_out(
        self, actions: collections.abc.Iterable[dispatching.Action]
    ) -> None:
        for action in actions:
            _perform(action, self)
        self._sync_sessions()

    def _sync_sessions(self) -> None:
        if self._dispatcher is None:
            return
        wanted = self._dispatcher.worker_ids
        if wanted == self._session_by_worker.keys():
            return
        for key in list(self._session_by_worker.keys() - wanted):
            self._session_by_worker.pop(key).close()
            self._down.discard(key)
        for key in wanted - self._session_by_worker.keys():
            session = _sessions.WorkerSession(
                self._dispatcher.worker(key), self._client, self, self._clock
            )
            self._session_by_worker[key] = session
            session.open()

    def start(self, action: dispatching.StartTask) -> None:
        """Gives an order to start."""
        session = self._session_by_worker.get(action.worker)
        logs.event(
            _LOG,
            logging.INFO,
            'task_ordered',
            request_id=action.task.job,
            task=action.task.index,
            attempt=action.attempt,
            worker=action.worker,
            fence=self.fence(),
            waited_ms=action.waited_ms,
        )
        self._metrics.waited(action.waited_ms)
        if session is not None:
            session.start(action, self._on_start)

    def stop(self, action: dispatching.StopTask) -> None:
        """Gives an order to stop."""
        session = self._session_by_worker.get(action.worker)
        logs.event(
            _LOG,
            logging.INFO,
            'task_stopped',
            request_id=action.task.job,
            task=action.task.index,
            attempt=action.attempt,
            worker=action.worker,
            cause=action.cause,
        )
        if session is not None:
            session.stop(action, self._on_stop)

    def look(self, action: dispatching.LookAt) -> None:
        """Asks a worker what it runs."""
        session = self._session_by_worker.get(action.worker)
        if session is not None:
            session.look()

    def read_entry(self, _: dispatching.ReadEntry) -> None:
        """Has the entry of a worker's new life read."""
        self._read_entries()

    def raise_fence(self, action: dispatching.RaiseFence) -> None:
        """Has workers refuse the orders that were given so far."""
        self._leadership.raise_fence()
        logs.event(
            _LOG,
            logging.INFO,
            'fence_raised',
            fence=self.fence(),
            cause=action.cause,
        )

    def tell(self, action: dispatching.TellHome) -> None:
        """Tells a home about a job."""
        message = action.message
        if isinstance(message, model.JobSettled):
            logs.event(
                _LOG,
                logging.INFO,
                'job_settled',
                request_id=message.job,
                home=action.vm,
                end=message.end.value,
                cause=action.cause,
            )
        self._send(action.vm, message)

    def _on_start(
        self, start: dispatching.StartTask, reply: model.OrderReply
    ) -> None:
        self._note_reply('start', start, reply)
        if self._dispatcher is not None:
            now = self._clock.now()
            actions = self._dispatcher.start_answered(start, reply, now)
            self._carry_out(actions)

    def _on_stop(
        self, stop: dispatching.StopTask, reply: model.OrderReply
    ) -> None:
        self._note_reply('stop', stop, reply)
        if self._dispatcher is not None:
            now = self._clock.now()
            actions = self._dispatcher.stop_answered(stop, reply, now)
            self._carry_out(actions)

    def _note_reply(
        self,
        order: str,
        action: dispatching.StartTask | dispatching.StopTask,
        reply: model.OrderReply,
    ) -> None:
        self._metrics.ordered(order, reply.result)
        if reply.result is model.OrderResult.UNKNOWN:
            self.call_lost(action.worker)
        if reply.result is not model.OrderResult.DONE:
            _log_refused(order, action, reply)


def _log_refused(
    order: str,
    action: dispatching.StartTask | dispatching.StopTask,
    reply: model.OrderReply,
) -> None:
    logs.event(
        _LOG,
        logging.INFO,
        'order_failed',
        order=order,
        request_id=action.task.job,
        task=action.task.index,
        attempt=action.attempt,
        worker=action.worker,
        result=reply.result.value,
    )


def _note_fault(error: BaseException) -> None:
    logs.fault(_LOG, 'fencing_failed', error)


@functools.singledispatch
def _perform(action: dispatching.Action, _: Dispatching) -> None:
    raise TypeError(f'not an action: {action!r}')


@_perform.register
def _(action: dispatching.StartTask, to: Dispatching) -> None:
    to.start(action)


@_perform.register
def _(action: dispatching.StopTask, to: Dispatching) -> None:
    to.stop(action)


@_perform.register
def _(action: dispatching.LookAt, to: Dispatching) -> None:
    to.look(action)


@_perform.register
def _(action: dispatching.ReadEntry, to: Dispatching) -> None:
    to.read_entry(action)


@_perform.register
def _(action: dispatching.RaiseFence, to: Dispatching) -> None:
    to.raise_fence(action)


@_perform.register
def _(action: dispatching.TellHome, to: Dispatching) -> None:
    to.tell(action)


@_perform.register
def _(action: dispatching.Noted, _: Dispatching) -> None:
    logs.event(
        _LOG,
        logging.INFO,
        action.event,
        subject=action.subject,
        detail=action.detail,
    )
