"""The decisions of one entry VM about the submissions it is home to.

Events and the time go in, typed actions come out; nothing here awaits,
reads a clock or draws a random number by itself.
"""

import functools
import random

import attrs

from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad.decisions import _arrival
from rosemaryroad.decisions import _ending
from rosemaryroad.decisions import _endpoint_state
from rosemaryroad.decisions import _home_state
from rosemaryroad.decisions import _job
from rosemaryroad.decisions import _memory
from rosemaryroad.decisions import _quota_shares
from rosemaryroad.decisions import _service
from rosemaryroad.decisions import _sessions
from rosemaryroad.decisions import _starting


@attrs.frozen
class ServiceView:
    """What the status page shows of one service.

    Attributes:
        service: The service.
        window: Tasks that may be out at once.
        outstanding: Tasks that are out.
        waiting: Tasks that wait.
        run_ms: The measured run time of a task.
        endpoints: Its endpoints.
        teams: The teams with work here, and their shares of the quota.
    """

    service: str
    window: int
    outstanding: int
    waiting: int
    run_ms: float
    endpoints: tuple[_endpoint_state.EndpointView, ...]
    teams: tuple[_quota_shares.TeamView, ...] = ()


class Dispatcher:
    """Decides on starts, retries, refusals and answers.

    Args:
        home: This incarnation; it is home to the sessions it opens.
        failure_domain: Where this entry VM stands.
        limits: Bounds on sessions, names and kept answers.
        rng: The source of jitter.
        policy: How work is ordered and placed.
        memory: Bounds on the bytes of unanswered submissions.
    """

    def __init__(
        self,
        home: model.Incarnation,
        failure_domain: str,
        limits: _sessions.SessionLimits,
        rng: random.Random,
        policy: _service.Policy | None = None,
        memory: _memory.MemoryLimits | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._policy = policy or _service.Policy()
        self.sessions = _sessions.SessionBook(home, limits)
        self._state = _home_state.HomeState(
            self.sessions, rng, _memory.HeldMemory(memory)
        )
        self._starter = _starting.Starter(self._state)
        self._ender = _ending.Ender(self._state)
        # Deleted services with a state; there are seldom any.
        self._deleted: set[str] = set()

    # What others ask.

    @property
    def is_idle(self) -> bool:
        """Whether no submission is unanswered and no attempt is out."""
        return self._state.is_idle

    @property
    def is_draining(self) -> bool:
        """Whether new sessions and names are refused."""
        return self._state.draining

    @property
    def unanswered(self) -> int:
        """Submissions without a final answer."""
        return len(self._state.jobs_by_key)

    def document(self, service: str) -> model.Document | None:
        """Returns the document in force for a service."""
        state = self._services.get(service)
        return state.document if state and not state.deleted else None

    def is_held(self, service: str) -> bool:
        """Tells whether a service is in force, or work of it is left."""
        return service in self._services

    def services(self) -> tuple[str, ...]:
        """Returns the services in force, and those with work left."""
        return tuple(self._services)

    def next_due(self) -> float | None:
        """Returns when the next ``Tick`` is needed, in milliseconds."""
        return self._state.next_due()

    def progress(self, key: model.SubmissionKey) -> tuple[int, int] | None:
        """Returns tasks done and tasks in all of a running submission."""
        job = self._state.jobs_by_key.get(key)
        if job is None:
            return None
        return len(job.results), len(job.submission.tasks)

    def demand(self) -> tuple[model.ServiceDemand, ...]:
        """Returns what heartbeats tell of the services in use."""
        return tuple(
            model.ServiceDemand(
                name, state.pool.outstanding, state.queue.waiting
            )
            for name, state in self._services.items()
            if state.demand
        )

    def spare(self, service: str) -> int:
        """Returns how much of a service's demand is no peer's concern."""
        state = self._services.get(service)
        return state.window.spare if state else 0

    def team_demand(self) -> tuple[model.TeamDemand, ...]:
        """Returns what heartbeats tell of the teams' quotas."""
        return tuple(
            item
            for state in self._services.values()
            for item in state.team_demand()
        )

    def leaving_marks(self) -> tuple[str, ...]:
        """Returns endpoints known to be leaving, ``id@incarnation``."""
        return tuple(
            mark
            for state in self._services.values()
            for mark in state.pool.leaving_marks()
        )

    def quarantined_marks(self) -> tuple[str, ...]:
        """Returns endpoints in quarantine, ``id@incarnation``."""
        return tuple(
            mark
            for state in self._services.values()
            for mark in state.pool.quarantined_marks()
        )

    def views(self) -> tuple[ServiceView, ...]:
        """Returns the state of all services for the status page."""
        return tuple(
            ServiceView(
                service=name,
                window=state.window_size(),
                outstanding=state.pool.outstanding,
                waiting=state.queue.waiting,
                run_ms=state.pool.run_ms,
                endpoints=state.pool.views(),
                teams=state.team_views(),
            )
            for name, state in sorted(self._services.items())
        )

    @property
    def _services(self) -> dict[str, _service.ServiceState]:
        return self._state.services_by_name

    # Events.

    def handle(self, event: model.Event, now: float) -> list[model.Action]:
        """Takes an event in and returns what to do.

        Args:
            event: What happened.
            now: The present time in milliseconds.

        Returns:
            The actions, to be carried out in this order: starts come
            before cancellations, so that a wave of cancellations does not
            delay work that callers still want.
        """
        # A process that was paused finds events and deadlines waiting
        # together. Were the events taken first, it would start tasks whose
        # callers have long given up; so deadlines always come first.
        self._ender.drop_overdue(now)
        self._on(event, now)
        self._forget_deleted()
        actions = self._state.take_actions()
        actions.sort(key=_is_cancel)
        return actions

    @functools.singledispatchmethod
    def _on(self, event: model.Event, now: float) -> None:
        raise TypeError(f'not an event: {event!r}')

    @_on.register
    def _(self, event: model.SubmissionArrived, now: float) -> None:
        submission = event.submission
        self.sessions.touch(submission.key.session, now)
        record = self.sessions.find(submission.key)
        if record is not None:
            known = _arrival.known_answer(submission, record)
            self._state.actions.extend([known] if known else [])
            return
        failure = _arrival.refusal(submission, self._state, now)
        if failure is None:
            self._admit(submission, now)
            return
        if failure.code is errors.ResultCode.QUOTA_EXCEEDED:
            self._services[submission.service].refused_by_quota(submission)
        self._state.actions.append(
            model.Refuse(submission.key, submission.service, failure)
        )

    @_on.register
    def _(self, event: model.CancelRequested, now: float) -> None:
        self.sessions.touch(event.key.session, now)
        job = self._state.jobs_by_key.get(event.key)
        if job is not None:
            self._ender.give_up(job, errors.ResultCode.CANCELLED, now)
            service = self._services[job.submission.service]
            self._starter.fill(service, now)

    @_on.register
    def _(self, event: model.SessionEnded, now: float) -> None:
        for name in self.sessions.end(event.session):
            job = self._state.jobs_by_key.get(
                model.SubmissionKey(event.session, name)
            )
            if job is not None:
                self._ender.give_up(job, errors.ResultCode.SESSION_ENDED, now)
        self._starter.fill_all(now)

    @_on.register
    def _(self, event: model.AttemptEnded, now: float) -> None:
        attempt = self._state.attempts_by_number.pop(event.attempt, None)
        if attempt is None:
            return
        state = self._services[attempt.service]
        job = attempt.job
        state.pool.ended(event.attempt, event.outcome, str(job.key), now)
        del job.running[event.attempt]
        if not isinstance(event.outcome, model.NotRun):
            job.may_have_run = True
        if not job.settled:
            self._ender.attempt_ended(attempt, event.outcome, state, now)
        state.queue.ended(job)
        self._starter.fill(state, now)

    @_on.register
    def _(self, event: model.DocumentApplied, now: float) -> None:
        document = event.document
        state = self._services.get(document.service)
        if state is None:
            state = _service.ServiceState.create(
                document, self._failure_domain, self._policy
            )
            self._services[document.service] = state
            state.set_team_demand(self._state.team_demand)
        state.deleted = False
        self._deleted.discard(document.service)
        state.apply(document)
        self._starter.fill(state, now)

    @_on.register
    def _(self, event: model.DocumentDeleted, now: float) -> None:
        state = self._services.get(event.service)
        if state is not None:
            # What was let in keeps the document that it was let in by.
            state.deleted = True
            self._deleted.add(event.service)

    @_on.register
    def _(self, event: model.EndpointsListed, now: float) -> None:
        state = self._services.get(event.service)
        if state is not None:
            state.pool.replace(event.endpoints)
            self._starter.fill(state, now)

    @_on.register
    def _(self, event: model.EndpointLeaving, now: float) -> None:
        for state in self._services.values():
            if event.service in ('', state.document.service):
                state.pool.mark_leaving(event.endpoint, event.incarnation)

    @_on.register
    def _(self, event: model.QuarantineReported, now: float) -> None:
        for state in self._services.values():
            state.pool.adopt_quarantine(event.marks, now)

    @_on.register
    def _(self, event: model.DemandReported, now: float) -> None:
        state = self._services.get(event.service)
        if state is not None:
            state.window.set_peers(
                event.peer_demand, event.entry_vms, state.demand
            )
            state.pool.set_entry_vms(event.entry_vms)
            self._starter.fill(state, now)

    @_on.register
    def _(self, event: model.TeamDemandReported, now: float) -> None:
        if event == self._state.team_demand:
            return
        self._state.team_demand = event
        for state in self._services.values():
            state.set_team_demand(event)
        self._starter.fill_all(now)

    @_on.register
    def _(self, event: model.HeartbeatSent, now: float) -> None:
        told = {item.key: item for item in event.teams}
        for state in self._services.values():
            state.heartbeat_sent(told)
        self._starter.fill_all(now)

    @_on.register
    def _(self, event: model.DrainStarted, now: float) -> None:
        self._state.draining = True

    @_on.register
    def _(self, event: model.DrainEnded, now: float) -> None:
        self._ender.give_up_all(now)

    @_on.register
    def _(self, event: model.Tick, now: float) -> None:
        self.sessions.expire(now)
        self._ender.put_back_due(now)
        self._starter.fill_all(now)

    def _forget_deleted(self) -> None:
        # Services come and go over months; their endpoints, queues and
        # counts would fill the memory of a long-lived VM. An attempt that
        # is out still needs them, also after its submission's answer, and
        # a task that rests before a retry is neither out nor waiting.
        for name in sorted(self._deleted):
            state = self._services[name]
            if state.demand or self._state.owes_answer(name):
                continue
            del self._services[name]
            self._deleted.discard(name)
            self._state.actions.append(
                model.ForgetService(name, state.pool.addresses())
            )

    def _admit(self, submission: model.Submission, now: float) -> None:
        # The name is recorded before anything can start, so that a repeat
        # finds it however soon it comes.
        self.sessions.add(submission.key, submission.digest())
        job = _job.Job.create(submission, now)
        self._state.jobs_by_key[submission.key] = job
        self._state.memory.admitted(job)
        self._state.deadlines.push(job.deadline, submission.key)
        service = self._services[submission.service]
        service.admit(job)
        self._starter.fill(service, now)


def _is_cancel(action: model.Action) -> bool:
    return isinstance(action, model.CancelAttempt)
