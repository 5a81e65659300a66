"""The jobs with waiting tasks, in the order in which these start."""

import bisect
import collections.abc
import enum
import operator

from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _state

_RANK = operator.attrgetter('rank')

# Late jobs are few while all workers together could run them within this.
_FEW_LATE_MS = 100.0


class _Class(enum.IntEnum):
    """Which jobs come first; one that has begun comes before its equals."""

    FIRST = 0
    LATE_BEGUN = 1
    LATE = 2
    TOO_LATE_BEGUN = 3
    TOO_LATE = 4


class WaitingJobs:
    """Keeps jobs in order; ranks change only when they are refreshed.

    In a burst some hundred jobs wait, and several hundred events a second
    may free room. Ranked and sorted at each of them, the queue would take
    the whole processor of a small VM; answers of workers would then be
    read too late and their orders counted as lost.

    Args:
        run_times: What tasks take.
    """

    def __init__(self, run_times: _run_times.RunTimes) -> None:
        self._run_times = run_times
        self._jobs: list[_state.JobState] = []
        self._are_few_late = True

    def __iter__(self) -> collections.abc.Iterator[_state.JobState]:
        """Goes through the jobs in order; some may wait no longer."""
        return iter(self._jobs)

    def add(self, state: _state.JobState, now: float) -> None:
        """Lets a job wait, if it doesn't already."""
        if state.is_queued:
            return
        state.is_queued = True
        self._judge(state, now)
        self._rank(state)
        bisect.insort(self._jobs, state, key=_RANK)

    def refresh(self, now: float, cores: float) -> None:
        """Ranks all jobs anew and drops those that wait no longer.

        Args:
            now: The present time.
            cores: What all workers have together.
        """
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
            self._rank(state)
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

    def _rank(self, state: _state.JobState) -> None:
        # Jobs that have missed their objective come last where many have:
        # served first, they would make others miss theirs one after another.
        # Where a short loss of the dispatcher has made a few late, they
        # would get no answer of use behind all that goes on coming, while
        # those in time can spare the moment.
        lateness = state.lateness
        if lateness is _state.Lateness.IN_TIME:
            state.rank = (_Class.FIRST, state.due)
            return
        if lateness is _state.Lateness.LATE and self._are_few_late:
            state.rank = (_Class.FIRST, state.of_use_until)
            return
        # Among late ones those that have begun come first, and the shortest:
        # what was done for them is lost if the rest never runs.
        if lateness is _state.Lateness.LATE:
            begun, not_begun = _Class.LATE_BEGUN, _Class.LATE
        else:
            begun, not_begun = _Class.TOO_LATE_BEGUN, _Class.TOO_LATE
        rank = begun if state.started else not_begun
        state.rank = (rank, state.left * state.expected_ms)
