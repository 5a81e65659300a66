"""The dispatcher's state, and the changes that keep it consistent."""

import collections
import itertools
import math

import attrs

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _ended_jobs
from rosemaryroad.dispatching import _forecast
from rosemaryroad.dispatching import _paces
from rosemaryroad.dispatching import _refusals
from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _scheduling
from rosemaryroad.dispatching import _sharing
from rosemaryroad.dispatching import _state
from rosemaryroad.dispatching import _view
from rosemaryroad.dispatching import _waiting

# A worker refuses an order to start that arrives later than this. Delivery
# usually takes 2 ms, and some tens of milliseconds to a VM that is slowed
# down. The share is of a lease, for leases that are short.
_MAX_ORDER_VALIDITY_MS = 300.0
_ORDER_VALIDITY_SHARE = 0.3

# A worker's clock may run 2 % slow, and its answer takes its time.
_CLOCK_DRIFT = 1.02
_LAPSE_MARGIN_MS = 50.0

# Two failures in a row may be the jobs' own; with a fifth of a per cent of
# tasks failing by themselves, three are the worker's but for one in 10^8.
_BAD_BEFORE_SUSPENSION = 2
_SUSPENSION_MS = 1_000.0
_MOST_DOUBLINGS = 3


@attrs.frozen
class DispatchLimits:
    """Figures of the deployment.

    Attributes:
        lease_ms: The longest lease that a worker gives.
        remote_factor: How many times as long a task takes away from the
            rack where its data is.
        scheduling: How scarce or uneven room is shared out.
        keep_ended_ms: For how long a job that has ended is remembered.
    """

    lease_ms: float = 1_000.0
    remote_factor: float = 3.0
    scheduling: _scheduling.SchedulingPolicy = _scheduling.SchedulingPolicy()
    keep_ended_ms: float = _ended_jobs.KEEP_ENDED_MS

    @property
    def order_validity_ms(self) -> float:
        """How long after it was sent an order to start is valid.

        A report that is requested later shows whether the task was started.
        """
        return min(
            _MAX_ORDER_VALIDITY_MS, _ORDER_VALIDITY_SHARE * self.lease_ms
        )

    @property
    def lapse_ms(self) -> float:
        """How long after the last prolongation nothing runs any more."""
        return self.lease_ms * _CLOCK_DRIFT + _LAPSE_MARGIN_MS


@attrs.define
class Changes:
    """What may let waiting tasks start.

    Attributes:
        jobs_by_id: Jobs of which a task has come to wait.
        workers_by_id: Workers that may have more room, or be trusted again.
        promised_rooms: Room that preemption has freed, or that is given back
            after it.
    """

    jobs_by_id: dict[str, _state.JobState] = attrs.field(factory=dict)
    workers_by_id: dict[str, _state.WorkerState] = attrs.field(factory=dict)
    promised_rooms: list[_state.PromisedRoom] = attrs.field(factory=list)


class Context:
    """Jobs, workers and attempts; all changes go through here.

    Attributes:
        limits: Figures of the deployment.
        outvoted_since: Since when no more than half of all VMs follow this
            one, so that another dispatcher may be at work; None while most
            do.
        followed_until: Until when most VMs are known to have followed this
            one, before that.
        led_since: Since when most follow this one, if they didn't at first.
        vm_lost_at: When it last lost an entry VM, to which clients of others
            may come.
        silence_ms: How long a home hears nothing from this dispatcher
            before it may hand its jobs to another one.
        run_times: What tasks take.
        forecast: When room comes free.
        refusals: Which jobs the forecast has had refused.
        next_review_at: When all waiting jobs are next checked against it.
        shares: Who has had more than a fair share of the room.
        waiting: The jobs with waiting tasks, in order.
        jobs_by_id: All jobs that are not settled.
        workers_by_id: All workers that matter still.
        ended: Jobs that have ended, and must not run again.
        expecting: Jobs that wait for reports of workers.
        orders_by_task: Every attempt that may run, by task and worker. A
            task is started only while it has none: two at a time would
            leave two results, which one would notice as doubled work.
        pending_record_by_number: Messages that homes have yet to record,
            with the orders to start that wait for that.
        probe_by_number: Probes that homes have not answered yet.
        acked_sent_at_by_home: When the newest message that a home has
            answered was sent.
        drained_domains: Failure domains whose workers get no new tasks.
        refusals_by_queue: How many jobs were refused, by queue and cause.
        preemptions_by_queue: How many running tasks of each queue were
            stopped for more urgent jobs.
        suspicion_by_key: Tasks that seem slow while it isn't known whether
            the job's others are, too, by task and attempt.
    """

    def __init__(
        self,
        limits: DispatchLimits,
        outvoted_since: float | None,
        silence_ms: float,
    ) -> None:
        self.limits = limits
        self.outvoted_since = outvoted_since
        self.followed_until = -math.inf
        self.led_since = -math.inf
        self.vm_lost_at = -math.inf
        self.silence_ms = silence_ms
        scheduling = limits.scheduling
        self.run_times = _make_run_times(scheduling.paces)
        self.forecast = _forecast.Forecast(scheduling.admission.forecast)
        self.refusals = _refusals.RecentRefusals()
        self.next_review_at = -math.inf
        self.shares = _sharing.Shares(scheduling.sharing)
        self.waiting = _waiting.WaitingJobs(
            self.run_times, scheduling.priorities, self.shares
        )
        self.jobs_by_id: dict[str, _state.JobState] = {}
        self.workers_by_id: dict[str, _state.WorkerState] = {}
        self.orders_by_task: dict[model.TaskId, dict[str, _state.Order]] = {}
        self.ended = _ended_jobs.EndedJobs(limits.keep_ended_ms)
        self.expecting: list[_state.JobState] = []
        self.pending_record_by_number: dict[int, _state.PendingRecord] = {}
        self.probe_by_number: dict[int, _state.Probe] = {}
        self.acked_sent_at_by_home: dict[str, float] = {}
        self.drained_domains: frozenset[str] = frozenset()
        self.refusals_by_queue: collections.defaultdict[
            str, collections.Counter[_view.RefusalCause]
        ] = collections.defaultdict(collections.Counter)
        self.preemptions_by_queue: collections.Counter[str] = (
            collections.Counter()
        )
        self.suspicion_by_key: dict[
            tuple[model.TaskId, int], _state.Suspicion
        ] = {}
        self._fence_cause = ''
        self._numbers = itertools.count(1)
        self._changes = Changes()
        self._actions: list[_actions.Action] = []
        self._told: list[_state.JobState] = []

    def take_actions(self) -> list[_actions.Action]:
        """Returns the actions asked for since the last call.

        What homes have to know comes first: one that hears of a start
        after it was made could call a job not run meanwhile.
        """
        taken = [
            action for state in self._told for action in self._tell(state)
        ]
        if self._fence_cause:
            taken.append(_actions.RaiseFence(self._fence_cause))
        taken += self._actions
        self._told = []
        self._fence_cause = ''
        self._actions = []
        return taken

    def next_number(self) -> int:
        """Returns a number for a message that homes have to answer."""
        return next(self._numbers)

    def news_of(self, state: _state.JobState) -> _state.JobNews:
        """Returns what the homes of a job are to be told with the rest."""
        if state.news is None:
            state.news = _state.JobNews()
            self._told.append(state)
        return state.news

    def ask(self, action: _actions.Action) -> None:
        """Asks for an action."""
        self._actions.append(action)

    def raise_fence(self, cause: str) -> None:
        """Has all orders given so far refused, before any other action.

        Whatever has called for it since the last actions were taken, the
        fence is raised once.
        """
        self._fence_cause = self._fence_cause or cause

    def note(self, event: str, subject: str, detail: str) -> None:
        """Asks for a log line about a change of belief."""
        self.ask(_actions.Noted(event, subject, detail))

    # Work.

    def job_arrived(self, state: _state.JobState, now: float) -> None:
        """Takes in the work of a job that has just come."""
        self.forecast.job_arrived(state, now)
        self.shares.job_arrived(state, now)

    def task_placed(self, state: _state.JobState, now: float) -> None:
        """Takes in that room is taken for a task of a job."""
        self.shares.task_placed(state, state.expected_ms, now)

    # Changes.

    def take_changes(self) -> Changes:
        """Returns what has changed since the last call."""
        taken = self._changes
        self._changes = Changes()
        return taken

    def job_waits(self, state: _state.JobState, now: float) -> None:
        """Lets a job's tasks wait for room."""
        self.waiting.add(state, now)
        self._changes.jobs_by_id[state.job.id] = state

    def worker_changed(self, worker: _state.WorkerState) -> None:
        """Notes that a worker may have more room, or be trusted again."""
        self._changes.workers_by_id[worker.worker.id] = worker

    # Attempts.

    def add_order(
        self, worker: _state.WorkerState, order: _state.Order
    ) -> None:
        """Enters an attempt."""
        worker.add(order)
        by_worker = self.orders_by_task.setdefault(order.task, {})
        by_worker[worker.worker.id] = order

    def remove_order(
        self, worker: _state.WorkerState, order: _state.Order
    ) -> None:
        """Takes out an attempt that can't run any more."""
        worker.remove(order)
        if order.may_begin_late and worker.worker.born is not None:
            worker.late_orders.append(attrs.evolve(order, job=None))
        self.worker_changed(worker)
        self._promise_room(worker, order)
        by_worker = self.orders_by_task.get(order.task, {})
        if by_worker.get(worker.worker.id) is order:
            del by_worker[worker.worker.id]
        if by_worker:
            return
        self.orders_by_task.pop(order.task, None)
        state = self.jobs_by_id.get(order.task.job)
        if state is not None and state.waiting:
            # The task may have waited for the end of this very attempt.
            self._changes.jobs_by_id[state.job.id] = state

    def _promise_room(
        self, worker: _state.WorkerState, order: _state.Order
    ) -> None:
        job, lender = order.preempted_for, order.job
        if job is None:
            job, lender = order.room_lender, None
        if job is not None:
            room = _state.PromisedRoom(worker.worker.id, job, lender)
            self._changes.promised_rooms.append(room)

    def stop(
        self,
        worker: _state.WorkerState,
        order: _state.Order,
        cause: str,
        now: float,
    ) -> None:
        """Has an attempt stopped; its room counts until it is gone."""
        if order.phase is _state.OrderPhase.PLANNED:
            self.remove_order(worker, order)
            return
        if order.phase is not _state.OrderPhase.STOPPED:
            order.phase = _state.OrderPhase.STOPPING
        order.stop_sent_at = now
        order.stops += 1
        self.ask(
            _actions.StopTask(
                worker.worker.id,
                worker.worker.address,
                order.task,
                order.attempt,
                cause,
                worker.worker.born,
            )
        )

    def requeue(self, order: _state.Order, now: float) -> None:
        """Lets the task of an attempt that is gone wait again."""
        state = order.job
        if state is None or self.jobs_by_id.get(state.job.id) is not state:
            return
        if order.may_lack_end:
            # Started again, a task that has ended well would be done twice.
            cause = f'the end of task {order.task.index} may be lost'
            self.settle(state, model.JobEnd.GIVEN_UP, cause, now)
            return
        task = state.tasks[order.task.index]
        if task.order is order:
            task.phase = _state.Phase.WAITING
            task.order = None
            state.waiting += 1
            self.job_waits(state, now)

    def drop_orders(
        self,
        worker: _state.WorkerState,
        orders: list[_state.Order],
        cause: str,
        now: float,
    ) -> None:
        """Gives up attempts that no longer run at a worker."""
        if orders:
            self.note(
                'attempts_lost',
                worker.worker.id,
                f'{len(orders)} attempts: {cause}; held'
                f' {now - worker.held_at:.0f} ms ago, heard'
                f' {now - worker.heard_at:.0f} ms ago',
            )
        for order in orders:
            self.remove_order(worker, order)
            self.requeue(order, now)

    # Jobs.

    def settle(
        self,
        state: _state.JobState,
        end: model.JobEnd,
        cause: str,
        now: float,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Ends a job; what still runs of it is stopped."""
        message = model.JobSettled(state.job.id, end, retry_after_ms)
        for vm in state.homes:
            self.ask(_actions.TellHome(vm, message, cause))
        if state.news is not None:
            self._told.remove(state)
            state.news = None
        if end.is_final:
            ended = _ended_jobs.EndedJob(state.job.queue, end, False, now)
            self.ended.add(state.job.id, ended, now)
        self.forget_job(state, cause, now)

    def refuse(
        self,
        state: _state.JobState,
        cause: _view.RefusalCause,
        detail: str,
        now: float,
        retry_after_ms: float,
    ) -> None:
        """Ends a job none of whose tasks was ever told to start.

        Args:
            state: The job.
            cause: Why, for the counts.
            detail: Why, for the log.
            now: The present time.
            retry_after_ms: When its client may come back.
        """
        self.refusals_by_queue[state.job.queue][cause] += 1
        self.settle(state, model.JobEnd.NOT_RUN, detail, now, retry_after_ms)

    def forget_job(
        self, state: _state.JobState, cause: str, now: float
    ) -> None:
        """Takes a job out; what still runs of it is stopped."""
        self.jobs_by_id.pop(state.job.id, None)
        state.is_over = True
        for number, pending in list(self.pending_record_by_number.items()):
            if pending.state is state:
                del self.pending_record_by_number[number]
        for task in state.tasks:
            for vm, order in list(
                self.orders_by_task.get(task.id, {}).items()
            ):
                worker = self.workers_by_id.get(vm)
                if worker is not None and order.job is state:
                    worker.disown(order)
                    self.stop(worker, order, cause, now)

    # Workers.

    @property
    def is_outvoted(self) -> bool:
        """Whether another dispatcher may be at work."""
        return self.outvoted_since is not None

    def is_drained(self, worker: _state.WorkerState) -> bool:
        """Tells whether a worker's failure domain is drained."""
        return worker.worker.failure_domain in self.drained_domains

    def blame(
        self, worker: _state.WorkerState, now: float, cause: str
    ) -> None:
        """Counts an attempt that failed against its worker."""
        worker.bad += 1
        if worker.bad >= _BAD_BEFORE_SUSPENSION:
            self.suspend(worker, now, f'{cause}, {worker.bad} in a row')

    def suspend(
        self, worker: _state.WorkerState, now: float, cause: str
    ) -> None:
        """Gives a worker no work for a while, longer each time."""
        if now < worker.suspended_until or not self._can_spare(now):
            return
        doublings = min(worker.suspensions, _MOST_DOUBLINGS)
        pause_ms = _SUSPENSION_MS * 2**doublings
        worker.suspended_until = now + pause_ms
        worker.suspensions += 1
        self.note(
            'worker_suspended',
            worker.worker.id,
            f'{cause}, for {pause_ms:.0f} ms',
        )

    def cores(self) -> float:
        """Returns the cores of all workers that may get tasks.

        An entry alone, of a worker that has never answered, adds none: by
        the number in it, all others would seem to be next to nothing.
        """
        return sum(
            worker.worker.capacity.cores
            for worker in self.workers_by_id.values()
            if worker.reported and not self.is_drained(worker)
        )

    def _can_spare(self, now: float) -> bool:
        # Where most workers seem bad, it is the tasks, or the estimates of
        # them; with all workers suspended nobody would be served.
        others = [
            worker
            for worker in self.workers_by_id.values()
            if not self.is_drained(worker)
        ]
        away = sum(worker.suspended_until > now for worker in others)
        return 2 * (away + 1) <= len(others)

    def praise(self, worker: _state.WorkerState) -> None:
        """Takes a worker back whose attempt ended well."""
        worker.bad = 0
        if worker.suspensions:
            worker.suspensions = 0
            worker.suspended_until = 0.0
            self.note('worker_trusted', worker.worker.id, 'a task ended well')

    def _tell(self, state: _state.JobState) -> list[_actions.Action]:
        news = state.news
        state.news = None
        needs_answer = bool(news.starts) or news.queued
        number = self.next_number() if needs_answer else 0
        message = model.JobProgress(
            state.job.id,
            state.highest_attempt,
            tuple(news.done),
            tuple(news.placed),
            number,
            news.queued,
        )
        if needs_answer:
            self.pending_record_by_number[number] = _state.PendingRecord(
                state,
                message,
                news.starts,
                set(state.homes),
                news.updated_at,
            )
        return [_actions.TellHome(vm, message) for vm in state.homes]


def _make_run_times(paces: _scheduling.PacePolicy) -> _run_times.RunTimes:
    if paces.compare_siblings:
        return _paces.ComparedRunTimes()
    return _run_times.RunTimes()
