"""The dispatcher of jobs: events go in, actions come out."""

import collections.abc
import math

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _admission
from rosemaryroad.dispatching import _answers
from rosemaryroad.dispatching import _checks
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _draining
from rosemaryroad.dispatching import _foreign
from rosemaryroad.dispatching import _handover
from rosemaryroad.dispatching import _holding
from rosemaryroad.dispatching import _lives
from rosemaryroad.dispatching import _load
from rosemaryroad.dispatching import _preemption
from rosemaryroad.dispatching import _queue
from rosemaryroad.dispatching import _recording
from rosemaryroad.dispatching import _repeats
from rosemaryroad.dispatching import _reports
from rosemaryroad.dispatching import _state
from rosemaryroad.dispatching import _view
from rosemaryroad.dispatching import _viewing

_Actions = list[_actions.Action]


class JobDispatcher:
    """Holds the queue and the room of all workers; it does no I/O.

    Every method takes an event in and returns what has to be done.

    Args:
        limits: Figures of the deployment.
        is_deputy: Whether another dispatcher may be at work that can't be
            heard, from the start on.
        silence_ms: How long a home hears nothing from this dispatcher
            before it may hand its jobs to another one.
    """

    def __init__(
        self,
        limits: _context.DispatchLimits,
        is_deputy: bool = False,
        silence_ms: float = math.inf,
    ) -> None:
        outvoted_since = 0.0 if is_deputy else None
        self._context = _context.Context(limits, outvoted_since, silence_ms)

    @property
    def worker_ids(self) -> collections.abc.KeysView[str]:
        """The ids of the workers to be held."""
        return self._context.workers_by_id.keys()

    def worker(self, worker_id: str) -> model.Worker:
        """Returns one of the workers to be held."""
        return self._context.workers_by_id[worker_id].worker

    def has_work(self, worker_id: str) -> bool:
        """Tells whether anything takes room at a worker."""
        worker = self._context.workers_by_id.get(worker_id)
        return worker is not None and bool(worker.orders_by_key)

    def load(self, now: float) -> _load.DispatcherLoad:
        """Returns what this dispatcher holds."""
        return _load.measure(self._context, now)

    def view(self, now: float) -> _view.SchedulingView:
        """Returns what this dispatcher does with its room."""
        return _viewing.measure(self._context, now)

    def counts(self) -> _view.DecisionCounts:
        """Returns what this dispatcher has decided since its start."""
        return _viewing.count(self._context)

    def is_outdated(self, worker_id: str, report: model.WorkerReport) -> bool:
        """Tells whether a report is of an earlier life of its worker."""
        worker = self._context.workers_by_id.get(worker_id)
        return worker is not None and _lives.is_outdated(worker, report)

    def concerns(self, worker_id: str, row: model.EndedTask) -> bool:
        """Tells whether an end is of a task that was ordered here.

        Or of one whose job is here, if another dispatcher ordered it.
        """
        if row.task.job in self._context.jobs_by_id:
            return True
        worker = self._context.workers_by_id.get(worker_id)
        if worker is None:
            return False
        order = worker.orders_by_key.get((row.task, row.attempt))
        return order is not None and not order.is_foreign

    def ran_ms(
        self, worker_id: str, row: model.EndedTask, now: float
    ) -> float | None:
        """Returns how long ago an attempt was ordered, if it was here."""
        worker = self._context.workers_by_id.get(worker_id)
        if worker is None:
            return None
        order = worker.orders_by_key.get((row.task, row.attempt))
        if order is None or order.adopted:
            return None
        return now - order.at

    def lead_most(
        self, leads_most: bool, followed_at: float, now: float
    ) -> None:
        """Takes in whether most of all VMs follow this one.

        Args:
            leads_most: Whether they do, as far as is known now.
            followed_at: A time at which they still did.
            now: The present time.
        """
        context = self._context
        if leads_most is not context.is_outvoted:
            return
        if leads_most:
            _holding.trust_again(context, now)
        else:
            _holding.lose_majority(context, followed_at, now)
        context.note(
            'majority_changed',
            'dispatcher',
            f'leads most: {leads_most},'
            f' surely did {now - followed_at:.0f} ms ago',
        )

    # Jobs.

    def submit(
        self, home: str, message: model.JobSubmitted, now: float
    ) -> _Actions:
        """Takes a job in, or one more home of a job that is here."""
        context = self._context
        if _repeats.answer_ended(context, home, message, now):
            return context.take_actions()
        known = context.jobs_by_id.get(message.job.id)
        if known is not None:
            known.deadline = max(known.deadline, now + message.left_ms)
            is_resubmitted = home in known.homes and message.attempt > 0
            if is_resubmitted:
                _recording.cancel_job_starts(context, known, now)
            elif home not in known.homes:
                known.homes.add(home)
                _recording.home_joined(context, home, known, now)
            if is_resubmitted or message.attempt > known.highest_attempt:
                _handover.take_again(context, known, message, now)
            if known.started:
                _tell_all(context, known)
            _queue.fill_changed(context, now)
            _recording.announce_queued(context, known, now)
            return context.take_actions()
        state = _handover.make_state(home, message, now)
        context.jobs_by_id[message.job.id] = state
        context.job_waits(state, now)
        context.job_arrived(state, now)
        if state.left == 0:
            context.settle(state, model.JobEnd.COMPLETED, 'done before', now)
            return context.take_actions()
        _handover.find_earlier(context, state, message, now)
        if not state.started:
            _queue.refuse_unless_it_fits(context, state, now)
        _queue.fill_changed(context, now)
        _admission.review_arrival(context, state, now)
        _recording.announce_queued(context, state, now)
        return context.take_actions()

    def placements_recorded(
        self, home: str, message: model.PlacementsRecorded, now: float
    ) -> _Actions:
        """Takes in that a home has recorded what it was told of a job."""
        _recording.placements_recorded(self._context, home, message, now)
        _queue.fill_changed(self._context, now)
        return self._context.take_actions()

    def withdraw(self, home: str, job_id: str, now: float) -> _Actions:
        """Takes a home away; the job ends with its last one."""
        state = self._context.jobs_by_id.get(job_id)
        if state is not None:
            self._leave(home, state, 'withdrawn', now)
        _queue.fill(self._context, now)
        return self._context.take_actions()

    def cancel(
        self, home: str, message: model.JobCancelled, now: float
    ) -> _Actions:
        """Ends a job for good, whichever its homes are."""
        _repeats.cancel(self._context, home, message, now)
        _queue.fill(self._context, now)
        return self._context.take_actions()

    def jobs_ended(self, message: model.JobsEnded, now: float) -> _Actions:
        """Takes in which jobs have ended before this dispatcher acted."""
        _repeats.take_ended(self._context, message, now)
        _queue.fill(self._context, now)
        return self._context.take_actions()

    def home_lost(self, home: str, now: float) -> _Actions:
        """Ends the jobs of an entry VM that can't be reached any more.

        Its clients come again at another one; what ran on meanwhile would
        run beside the repetition.
        """
        for state in list(self._context.jobs_by_id.values()):
            if home in state.homes:
                self._leave(home, state, 'home lost', now)
        _foreign.vm_lost(self._context, now)
        _queue.fill(self._context, now)
        return self._context.take_actions()

    # Workers.

    def workers_listed(
        self,
        workers: collections.abc.Iterable[model.Worker],
        now: float,
    ) -> _Actions:
        """Takes in which workers there are."""
        context = self._context
        listed = {worker.id: worker for worker in workers}
        for key, worker in listed.items():
            known = context.workers_by_id.get(key)
            if known is None:
                # Another dispatcher may have prolonged its leases just now.
                known = _state.WorkerState(worker, held_at=now)
                context.workers_by_id[key] = known
                _lives.take_warm_up(context, known, worker, now)
                context.note('worker_listed', key, worker.failure_domain)
                continue
            _lives.take_entry(context, known, worker, now)
            known.listed = True
        for key, state in context.workers_by_id.items():
            if key not in listed and state.listed:
                state.listed = False
                context.note('worker_unlisted', key, 'entry gone')
        context.run_times.workers_known(
            state.worker for state in context.workers_by_id.values()
        )
        self._drop_unlisted()
        _queue.fill(context, now)
        return context.take_actions()

    def drain_domains(self, domains: frozenset[str], now: float) -> _Actions:
        """Takes in the failure domains where nothing new may start."""
        _draining.set_domains(self._context, domains, now)
        _queue.fill(self._context, now)
        return self._context.take_actions()

    def is_entry_due(self, since: float) -> bool:
        """Tells whether the entry of a new life is waited for.

        Args:
            since: Lives that were told of before then don't count.
        """
        return any(
            worker.entry_due_since is not None
            and worker.entry_due_since >= since
            for worker in self._context.workers_by_id.values()
        )

    @property
    def is_outvoted(self) -> bool:
        """Whether most VMs don't follow this one."""
        return self._context.is_outvoted

    @property
    def spare_ms(self) -> float:
        """How much sooner leases end than the longest ones would."""
        return _holding.spare_ms(self._context)

    def may_prolong(self, worker_id: str, now: float) -> bool:
        """Tells whether a worker's leases may be prolonged.

        Those of one that gives no answer have to lapse: its tasks can't
        start elsewhere before.
        """
        worker = self._context.workers_by_id.get(worker_id)
        if worker is None or worker.silent_since is not None:
            return False
        return _holding.may_prolong(self._context, worker, now)

    def is_wanted(self, start: _actions.StartTask) -> bool:
        """Tells whether an order to start still stands."""
        worker = self._context.workers_by_id.get(start.worker)
        if worker is None or self._context.is_drained(worker):
            return False
        if worker.unanswered_at is not None:
            return False
        order = worker.orders_by_key.get((start.task, start.attempt))
        if order is None or order.is_older:
            # Its worker has started again, maybe as another kind.
            return False
        return order.phase is _state.OrderPhase.STARTING

    def order_validity_ms(self, worker_id: str, now: float) -> float:
        """Returns how long an order to start that is sent now is valid."""
        worker = self._context.workers_by_id[worker_id]
        return _holding.order_validity_ms(self._context, worker, now)

    def start_sent(self, worker_id: str, now: float) -> None:
        """Notes that an order to start is sent now."""
        worker = self._context.workers_by_id[worker_id]
        worker.held_at = now
        worker.was_ordered = True

    def held(self, worker_id: str, now: float) -> None:
        """Notes that a call which prolongs leases goes out now."""
        if self.may_prolong(worker_id, now):
            worker = self._context.workers_by_id[worker_id]
            _holding.held(self._context, worker, now)

    def reported(
        self, worker_id: str, report: model.WorkerReport, now: float
    ) -> _Actions:
        """Takes in what a worker runs and what has ended there."""
        worker = self._context.workers_by_id.get(worker_id)
        if worker is not None:
            _reports.take(self._context, worker, report, now)
            self._context.worker_changed(worker)
            _queue.fill_changed(self._context, now)
        return self._context.take_actions()

    def call_lost(self, worker_id: str, now: float) -> None:
        """Takes in that a call which holds a worker got no answer.

        It may have crashed; what is sent next may come to another life.
        """
        worker = self._context.workers_by_id.get(worker_id)
        if worker is not None:
            worker.unanswered_at = now

    def silent(self, worker_id: str, cause: str, now: float) -> _Actions:
        """Takes in that a worker did not answer when asked."""
        worker = self._context.workers_by_id.get(worker_id)
        if worker is not None and worker.silent_since is None:
            worker.silent_since = now
            self._context.note('worker_silent', worker_id, cause)
        return self._context.take_actions()

    def worker_gone(self, worker_id: str, now: float) -> _Actions:
        """Takes in that this life of a worker has certainly ended."""
        worker = self._context.workers_by_id.get(worker_id)
        if worker is not None:
            worker.listed = False
            orders = list(worker.orders_by_key.values())
            self._context.drop_orders(
                worker, orders, 'this life has ended', now
            )
            self._drop_unlisted()
            _queue.fill(self._context, now)
        return self._context.take_actions()

    def start_answered(
        self, start: _actions.StartTask, reply: model.OrderReply, now: float
    ) -> _Actions:
        """Takes in what became of an order to start."""
        worker = self._context.workers_by_id.get(start.worker)
        if worker is None:
            return []
        order = worker.orders_by_key.get((start.task, start.attempt))
        if order is not None:
            _answers.take_start(self._context, worker, order, reply, now)
        elif reply.result is model.OrderResult.DONE:
            # It was given up for lapsed, and has begun all the same.
            late = _state.Order(
                start.task, start.attempt, model.Needs(), None, now
            )
            _lives.start_answered(late, reply, now)
            self._context.add_order(worker, late)
            self._context.stop(worker, late, 'given up before', now)
        _queue.fill_changed(self._context, now)
        return self._context.take_actions()

    def stop_answered(
        self, stop: _actions.StopTask, reply: model.OrderReply, now: float
    ) -> _Actions:
        """Takes in what became of an order to stop."""
        worker = self._context.workers_by_id.get(stop.worker)
        if worker is None:
            return []
        order = worker.orders_by_key.get((stop.task, stop.attempt))
        if order is None or not _lives.binds(worker, stop):
            return []
        if reply.result is model.OrderResult.UNKNOWN:
            # Its room and its task wait for this answer; the lost one has
            # been waited for already. Where the next is lost as well, this
            # VM may itself be too slow to read them, and more would only
            # add to that.
            self._stop_once_more(worker, order, 'stop unanswered', now)
            return self._context.take_actions()
        if reply.result is model.OrderResult.FENCED:
            # The fence is higher now.
            self._stop_once_more(worker, order, 'stop fenced', now)
            return self._context.take_actions()
        if reply.result is not model.OrderResult.DONE:
            return []
        order.phase = _state.OrderPhase.STOPPED
        order.told(reply.worker_clock, now)
        self._context.ask(_actions.LookAt(stop.worker))
        return self._context.take_actions()

    def tick(self, now: float) -> _Actions:
        """Does what is due by the time alone; to be called often."""
        context = self._context
        for worker in list(context.workers_by_id.values()):
            _checks.check_worker(context, worker, now)
        _foreign.stop_unclaimed(context, now)
        for state in context.expecting:
            _handover.stop_expecting(context, state, now)
        context.expecting = [
            state for state in context.expecting if state.unseen
        ]
        cores = context.cores()
        context.shares.refresh(now, cores, context.waiting.has_waiting())
        context.waiting.refresh(now, cores)
        _recording.resend_unanswered(context, now)
        _recording.probe_homes(context, now)
        _queue.refuse_hopeless(context, now)
        _admission.review_waiting(context, now)
        self._drop_unlisted()
        _preemption.preempt(context, now)
        _queue.fill(context, now)
        return context.take_actions()

    # Parts of the above.

    def _leave(
        self, home: str, state: _state.JobState, cause: str, now: float
    ) -> None:
        state.homes.discard(home)
        if not state.homes:
            self._context.forget_job(state, cause, now)
            return
        _recording.home_left(self._context, home, state, now)

    def _stop_once_more(
        self,
        worker: _state.WorkerState,
        order: _state.Order,
        cause: str,
        now: float,
    ) -> None:
        if order.phase is _state.OrderPhase.STOPPING and order.stops == 1:
            self._context.stop(worker, order, cause, now)

    def _drop_unlisted(self) -> None:
        workers = self._context.workers_by_id
        for key, worker in list(workers.items()):
            if not worker.listed and not worker.orders_by_key:
                del workers[key]
                self._context.run_times.forget(key)
                # It may return under its id, as a worker that is new here.
                cause = 'a worker is gone'
                _lives.bar_earlier_orders(self._context, worker, cause)


def _tell_all(context: _context.Context, state: _state.JobState) -> None:
    news = context.news_of(state)
    for task in state.tasks:
        if task.phase is _state.Phase.DONE:
            news.done.append(task.id.index)
        for worker in context.orders_by_task.get(task.id, ()):
            news.placed.append(model.Placement(task.id.index, worker))
