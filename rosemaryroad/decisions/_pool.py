"""The endpoints of one service as one entry VM uses them."""

import collections.abc

from rosemaryroad import model
from rosemaryroad.decisions import _endpoint_state
from rosemaryroad.decisions import _health
from rosemaryroad.decisions import _listing
from rosemaryroad.decisions import _placement
from rosemaryroad.decisions import _quarantine
from rosemaryroad.decisions import _run_times

__all__ = ['EndpointPool']

_States = collections.abc.Iterable[_endpoint_state.EndpointState]

# How often measured times that fade are brought up to date.
REFRESH_MS = 1_000.0


class EndpointPool:
    """Decides where tasks go and which endpoints are left alone.

    Args:
        service: The service.
        failure_domain: Where this entry VM stands.
    """

    def __init__(self, service: str, failure_domain: str) -> None:
        self.service = service
        self._listing = _listing.Listing(failure_domain)
        self._by_attempt: dict[int, _endpoint_state.EndpointState] = {}
        # A dict for its order; the values mean nothing.
        self._quarantined: dict[_endpoint_state.EndpointState, None] = {}
        self._cancelled: set[int] = set()
        self._run_time = _run_times.ServiceRunTime()
        self._refreshed_at = 0.0
        # The last time that was passed in, for the status.
        self._latest = 0.0
        # Where the search for equals begins, so that they take turns.
        self._turn = 0

    @property
    def slots(self) -> int:
        """Slots of all endpoints that take ordinary work."""
        return _slots_of(self._serving(self._listing.states))

    @property
    def outstanding(self) -> int:
        """Tasks that this entry VM has out, also at unlisted endpoints."""
        return len(self._by_attempt)

    @property
    def run_ms(self) -> float:
        """The service's mean run time as measured, in milliseconds."""
        return self._run_time.mean_ms

    def addresses(self) -> tuple[str, ...]:
        """Returns where the listed endpoints are, each address once."""
        found = {state.endpoint.address for state in self._listing.states}
        return tuple(sorted(found))

    def replace(self, endpoints: tuple[model.Endpoint, ...]) -> None:
        """Takes the list of endpoints from their source.

        What is no longer listed gets no new work; its tasks count until
        they end. An endpoint under a new incarnation or address starts
        with a clean record.
        """
        self._listing.replace(endpoints)
        self._quarantined = {
            state: None
            for state in self._listing.states
            if state.health.is_quarantined()
        }

    def mark_leaving(self, endpoint_id: str, incarnation: str) -> None:
        """Notes that one incarnation leaves; it holds for its whole life."""
        self._listing.mark_leaving(f'{endpoint_id}@{incarnation}')

    def set_entry_vms(self, count: int) -> None:
        """Sets how many entry VMs share each endpoint's connections."""
        # A VM that is heard again tells that a cut has healed. The next
        # probe may be seconds away, while slots stand idle behind it.
        share = self._listing.share
        if count > share.entry_vms:
            self._listing.domains.probe_soon()
        share.entry_vms = max(1, count)

    def set_demand_share(self, share: float | None) -> None:
        """Sets this VM's part of the demand, from 0 to 1; None if unknown."""
        self._listing.share.demand_share = share

    def fits(self, needs: model.Needs) -> bool:
        """Tells whether any listed endpoint is large enough at all."""
        return bool(self._listing.fitting(needs))

    def is_serving(self) -> bool:
        """Tells whether any listed endpoint takes new work."""
        return any(not state.leaving for state in self._listing.states)

    def is_served(self, needs: model.Needs) -> bool:
        """Tells whether an endpoint large enough takes new work."""
        fitting = self._listing.fitting(needs)
        return any(not state.leaving for state in fitting)

    def may_start(self, needs: model.Needs, window: int) -> bool:
        """Tells whether a task is within its part of the window.

        Tasks that fit few endpoints only may have that part of the window
        out which these endpoints are of all. With the whole window, they
        would gather in the few endpoints' own queues, first come, first
        served, where a large job holds up all small ones.

        Args:
            needs: What the task needs.
            window: Tasks of the service that may be out at once.
        """
        fitting = self._listing.fitting(needs)
        if len(fitting) == len(self._listing.states):
            return True
        fitting = self._serving(fitting)
        slots = _slots_of(fitting)
        if not slots:
            # A probe must still find a task, or all of these endpoints
            # would stay in quarantine for good.
            return True
        out = sum(state.outstanding for state in fitting)
        return out * self.slots < window * slots

    def choose(
        self,
        needs: model.Needs,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> model.Endpoint | None:
        """Returns where a task should be started now.

        Args:
            needs: What the task needs.
            now: The time in milliseconds.
            exclude: Ids of endpoints that have refused the task.

        Returns:
            The endpoint, or None where none may be given the task now. A
            quarantined endpoint whose probe is due comes first, since it
            would never be the best.
        """
        self._refresh_slowness(now)
        chosen = self._due_probe(needs, now, exclude)
        if chosen is None:
            chosen = _placement.best(
                self._in_turn(), needs, now, exclude, self._run_time.mean_ms
            )
        return None if chosen is None else chosen.endpoint

    def able(
        self, needs: model.Needs, now: float, exclude: frozenset[str]
    ) -> list[_endpoint_state.EndpointState]:
        """Returns all endpoints that may be given a task now, in turn."""
        return [
            state
            for state in self._in_turn()
            if state.may_take(needs, now, exclude)
        ]

    def started(self, endpoint_id: str, attempt: int, now: float) -> None:
        """Notes that a task goes out to the endpoint chosen before."""
        state = self._listing.by_id[endpoint_id]
        state.started(attempt, now)
        self._by_attempt[attempt] = state

    def cancelled(self, attempt: int) -> None:
        """Notes that this VM cancels an attempt.

        The endpoint will answer with an error or not at all. Judged like
        any other failure, a wave of cancellations would put endpoints
        into quarantine that did as they were told.
        """
        if attempt in self._by_attempt:
            self._cancelled.add(attempt)

    def ended(
        self, attempt: int, outcome: model.Outcome, job: str, now: float
    ) -> None:
        """Notes how an attempt ended.

        Args:
            attempt: The attempt's number.
            outcome: How it ended.
            job: The submission's key as text.
            now: The time in milliseconds.
        """
        state = self._by_attempt.pop(attempt, None)
        if state is None:
            return
        self._latest = now
        state.ended(now)
        if outcome == model.NotRun(model.NotRunCause.LEAVING):
            self._listing.mark_leaving(_endpoint_state.mark_of(state.endpoint))
        cancelled = attempt in self._cancelled
        self._cancelled.discard(attempt)
        # A deadline cancels too. An endpoint that is frozen then doesn't
        # even answer the cancellation, and that speaks against it.
        if cancelled and not _is_silent(outcome):
            state.health.cancelled()
        else:
            self._listing.domains.note(
                state.endpoint,
                outcome,
                job,
                self._listing.share.entry_vms,
                now,
            )
            self._judge(state, outcome, job, now)
        state.health.probes.ended(attempt, now)
        state.reach.probes.ended(attempt, now)
        if not state.health.is_quarantined():
            self._quarantined.pop(state, None)

    def adopt_quarantine(self, marks: tuple[str, ...], now: float) -> None:
        """Follows for a while what a peer keeps out.

        Args:
            marks: The peer's marks, as ``id@incarnation``.
            now: The time in milliseconds.
        """
        wanted = frozenset(marks)
        for state in self._listing.states:
            if _endpoint_state.mark_of(state.endpoint) not in wanted:
                continue
            if state.health.is_kept_out(now) or self._may_keep_out(now):
                state.health.hint(now)

    def leaving_marks(self) -> tuple[str, ...]:
        """Returns the listed endpoints that leave, as ``id@incarnation``.

        Marks of unlisted ones are not told: they would be repeated among
        the VMs for good and fill the heartbeats.
        """
        return tuple(
            _endpoint_state.mark_of(state.endpoint)
            for state in self._listing.states
            if state.leaving
        )

    def quarantined_marks(self) -> tuple[str, ...]:
        """Returns what this VM itself keeps out, as ``id@incarnation``.

        Peers' hints are left out: two VMs that repeat each other's would
        keep an endpoint out for good.
        """
        return tuple(
            _endpoint_state.mark_of(state.endpoint)
            for state in self._quarantined
        )

    def views(self) -> tuple[_endpoint_state.EndpointView, ...]:
        """Returns the endpoints for the status, unlisted ones included."""
        states = dict.fromkeys(self._listing.states)
        states.update(dict.fromkeys(self._by_attempt.values()))
        return tuple(
            state.view(self._run_time.mean_ms, self._latest)
            for state in states
        )

    def _serving(self, states: _States) -> list[_endpoint_state.EndpointState]:
        entry_vms = self._listing.share.entry_vms
        return [
            state
            for state in states
            if state.is_serving() and state.reach.has_slots(entry_vms)
        ]

    def _judge(
        self,
        state: _endpoint_state.EndpointState,
        outcome: model.Outcome,
        job: str,
        now: float,
    ) -> None:
        if isinstance(outcome, model.Answered):
            self._run_time.measured(outcome.run_ms)
            state.run_time.measured(outcome.run_ms, self._run_time, now)
            state.refresh_slowness(now)
        _health.note_outcome(outcome, state.health, job, now)
        if not state.listed or state.reach.is_cut_off():
            return
        if not state.health.is_quarantined():
            self._consider_quarantine(state, now)

    def _consider_quarantine(
        self, state: _endpoint_state.EndpointState, now: float
    ) -> None:
        others = (
            other.health
            for other in self._listing.states
            if other is not state and not other.reach.is_cut_off()
        )
        if not _quarantine.is_suspicious(state.health, others):
            return
        if state.health.is_hinted(now) or self._may_keep_out(now):
            state.health.quarantine(now)
            self._quarantined[state] = None

    def _may_keep_out(self, now: float) -> bool:
        healths = [
            state.health
            for state in self._listing.states
            if not state.leaving and not state.reach.is_cut_off()
        ]
        kept_out = sum(health.is_kept_out(now) for health in healths)
        return kept_out < _quarantine.most_kept_out(len(healths))

    def _in_turn(self) -> tuple[_endpoint_state.EndpointState, ...]:
        first = self._turn % max(1, len(self._listing.states))
        self._turn += 1
        return self._listing.states[first:] + self._listing.states[:first]

    def _due_probe(
        self, needs: model.Needs, now: float, exclude: frozenset[str]
    ) -> _endpoint_state.EndpointState | None:
        for state in self._quarantined:
            if state.outstanding == 0 and state.may_take(needs, now, exclude):
                return state
        if not self._listing.domains.is_any_cut_off():
            return None
        for state in self._in_turn():
            if state.reach.is_cut_off() and state.may_take(
                needs, now, exclude
            ):
                return state
        return None

    def _refresh_slowness(self, now: float) -> None:
        # Fading is slow; doing it for each task would cost more than the
        # choice itself.
        self._latest = now
        if now - self._refreshed_at < REFRESH_MS:
            return
        self._refreshed_at = now
        for state in self._listing.states:
            state.refresh_slowness(now)


def _slots_of(states: _States) -> int:
    return sum(state.endpoint.slots for state in states)


def _is_silent(outcome: model.Outcome) -> bool:
    return isinstance(outcome, model.Unknown) and outcome.silent
