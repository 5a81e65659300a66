"""The jobs with waiting tasks, in the order in which these start."""

import bisect
import collections.abc
import operator

from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _state

_RANK = operator.attrgetter('rank')

# An answer is of some use to its caller up to so many times its objective,
# as the users' sheets weigh it.
_OF_USE = 3.0

# Where a job stands by its lateness; one that hasn't begun comes one later.
_IN_TIME = 0
_LATE = 1
_TOO_LATE = 3


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

    def __iter__(self) -> collections.abc.Iterator[_state.JobState]:
        """Goes through the jobs in order; some may wait no longer."""
        return iter(self._jobs)

    def add(self, state: _state.JobState, now: float) -> None:
        """Lets a job wait, if it doesn't already."""
        if state.is_queued:
            return
        state.is_queued = True
        self._rank(state, now)
        bisect.insort(self._jobs, state, key=_RANK)

    def refresh(self, now: float) -> None:
        """Ranks all jobs anew and drops those that wait no longer."""
        kept = []
        for state in self._jobs:
            if state.waiting and not state.is_over:
                self._rank(state, now)
                kept.append(state)
            else:
                state.is_queued = False
        kept.sort(key=_RANK)
        self._jobs = kept

    def _rank(self, state: _state.JobState, now: float) -> None:
        # Jobs that have missed their objective come last: served first,
        # they would make others miss theirs one after another. In a
        # discrete-event trial at 1.5 times the usual load this order was
        # worth 0.77, first come first served 0.51. Among them those that
        # have begun come first, and the shortest: what was done for them
        # is lost if the rest never runs (0.886 in place of 0.878 of the
        # worth in a burst of twice the load). Those that are too late to
        # be of use come after them (0.895 in place of 0.887 at 1.5 times
        # the load, six seeds).
        job = state.job
        expected = self._run_times.expected_ms(job.queue, job.estimate_ms)
        state.expected_ms = expected
        terms = job.terms
        objective = terms.slack_factor * expected + terms.target_ms
        due = state.arrived + objective
        if now + expected <= due:
            state.rank = (_IN_TIME, due)
            return
        is_of_use = now + expected <= state.arrived + _OF_USE * objective
        lateness = _LATE if is_of_use else _TOO_LATE
        begun = 0 if state.started else 1
        state.rank = (lateness + begun, state.left * expected)
