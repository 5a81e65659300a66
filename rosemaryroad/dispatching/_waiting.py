"""The jobs with waiting tasks, in the order in which these start."""

import bisect
import collections.abc
import enum
import operator

from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _scheduling
from rosemaryroad.dispatching import _sharing
from rosemaryroad.dispatching import _state

_RANK = operator.attrgetter('rank')

# Late jobs are few while all workers together could run them within this.
_FEW_LATE_MS = 100.0


class _Class(enum.IntEnum):
    """Which jobs come first; one that has begun comes before its equals."""

    FIRST = 0
    OVER_SHARE = 1
    LATE_BEGUN = 2
    LATE = 3
    TOO_LATE_BEGUN = 4
    TOO_LATE = 5


class WaitingJobs:
    """Keeps jobs in order; ranks change only when they are refreshed.

    In a burst some hundred jobs wait, and several hundred events a second
    may free room. Ranked and sorted at each of them, the queue would take
    the whole processor of a small VM; answers of workers would then be
    read too late and their orders counted as lost.

    Args:
        run_times: What tasks take.
        priorities: What the priorities of queues do to the order.
        shares: Who has had more than a fair share of the room.

    Attributes:
        priorities: As given; what is set later applies from the next
            refresh.
    """

    def __init__(
        self,
        run_times: _run_times.RunTimes,
        priorities: _scheduling.PriorityPolicy,
        shares: _sharing.Shares,
    ) -> None:
        self.priorities = priorities
        self._run_times = run_times
        self._shares = shares
        self._jobs: list[_state.JobState] = []
        self._are_few_late = True
        self._is_by_due_alone = self._has_default_order()

    def __iter__(self) -> collections.abc.Iterator[_state.JobState]:
        """Goes through the jobs in order; some may wait no longer."""
        return iter(self._jobs)

    def has_waiting(self) -> bool:
        """Tells whether any job waits."""
        return any(state.waiting and not state.is_over for state in self._jobs)

    def add(self, state: _state.JobState, now: float) -> None:
        """Lets a job wait, if it doesn't already."""
        if state.is_queued:
            return
        state.is_queued = True
        self._judge(state, now)
        self._rank(state, now)
        bisect.insort(self._jobs, state, key=_RANK)

    def refresh(self, now: float, cores: float) -> None:
        """Ranks all jobs anew and drops those that wait no longer.

        Args:
            now: The present time.
            cores: What all workers have together.
        """
        self._is_by_due_alone = self._has_default_order()
        kept = []
        late_work = 0.0
        for state in self._jobs:
            if not state.waiting or state.is_over:
                state.is_queued = False
                continue
            self._judge(state, now)
            if state.lateness is _state.Lateness.LATE:
                late_work += (
                    state.waiting * state.expected_ms * (state.job.needs.cores)
                )
            kept.append(state)
        self._are_few_late = late_work <= _FEW_LATE_MS * cores
        for state in kept:
            self._rank(state, now)
        kept.sort(key=_RANK)
        self._jobs = kept

    def _judge(self, state: _state.JobState, now: float) -> None:
        job = state.job
        expected = self._run_times.expected_ms(job.queue, job.estimate_ms)
        state.expected_ms = expected
        state.due = state.arrived + job.terms.objective_ms(expected)
        state.of_use_until = state.arrived + job.terms.of_use_ms(expected)
        if now + expected <= state.due:
            state.lateness = _state.Lateness.IN_TIME
        elif now + expected <= state.of_use_until:
            state.lateness = _state.Lateness.LATE
        else:
            state.lateness = _state.Lateness.TOO_LATE

    def _rank(self, state: _state.JobState, now: float) -> None:
        # Jobs that have missed their objective come last where many have:
        # served first, they would make others miss theirs one after another.
        # Where a short loss of the dispatcher has made a few late, they
        # would get no answer of use behind all that goes on coming, while
        # those in time can spare the moment.
        lateness = state.lateness
        if lateness is _state.Lateness.IN_TIME:
            due = state.due
        elif lateness is _state.Lateness.LATE and self._are_few_late:
            due = state.of_use_until
        else:
            self._rank_late(state)
            return
        if self._is_by_due_alone:
            state.rank = (_Class.FIRST, due)
        else:
            state.rank = self._rank_by_policy(state, due, now)

    def _rank_late(self, state: _state.JobState) -> None:
        # Among late ones those that have begun come first, and the shortest:
        # what was done for them is lost if the rest never runs.
        if state.lateness is _state.Lateness.LATE:
            begun, not_begun = _Class.LATE_BEGUN, _Class.LATE
        else:
            begun, not_begun = _Class.TOO_LATE_BEGUN, _Class.TOO_LATE
        rank = begun if state.started else not_begun
        state.rank = (rank, state.left * state.expected_ms)

    def _has_default_order(self) -> bool:
        order = self.priorities.order
        is_unordered = order is _scheduling.PriorityOrder.NONE
        return is_unordered and not self._shares.is_on

    def _rank_by_policy(
        self, state: _state.JobState, due: float, now: float
    ) -> tuple[float, ...]:
        first = _Class.FIRST
        if self._shares.is_over(state):
            first = _Class.OVER_SHARE
        order = self.priorities.order
        if order is _scheduling.PriorityOrder.NONE:
            return (first, due)
        priority = state.job.terms.priority
        if order is _scheduling.PriorityOrder.SHIFTED:
            return (first, due + self.priorities.shift_ms * priority)
        if now - state.arrived >= self.priorities.longest_wait_ms:
            priority = 0
        return (first, priority, due)
