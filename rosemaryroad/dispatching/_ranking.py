"""Which of the workers that have room is the best for a job's tasks."""

import collections.abc
import math

from rosemaryroad import model
from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _scheduling
from rosemaryroad.dispatching import _state

# Returns the rank of a worker; the lowest is the best. Among equals the one
# with the least room to spare comes first.
Rank = collections.abc.Callable[[_state.WorkerState], int]

# Paces closer than this are within what a few tasks teach; among them the
# worker with the least room to spare comes first, so that large tasks find
# room elsewhere.
_PACE_STEP = 0.15

# A worker of another failure domain than the job's home counts as so much
# slower. After a cut between the two, whoever dispatches for the home finds no
# task there, and starts it again once its lease has lapsed: too late for a
# short one. The next dispatcher takes over what runs in the home's own domain.
_OTHER_DOMAIN_COST = 0.5

# The time for the home's record, the order to start and the news of the end.
# It allows for weak entry VMs: with less, tasks on slow workers end late.
_MESSAGES_MS = 20.0

# So many standard deviations a run may be longer than expected and still be
# in time. A larger margin fills the fast workers with tasks that could run
# elsewhere.
_MARGIN_DEVIATIONS = 1.0

# Above all ranks of workers that are in time, and of those near the data.
_AWAY_RANK = 1_000_000
_LATE_RANK = 2_000_000


def make_rank(
    context: _context.Context, state: _state.JobState, now: float
) -> Rank:
    """Returns how workers are ranked for a job's tasks that start now."""
    limits = context.limits
    inputs = (
        state.job,
        context.run_times,
        limits.remote_factor,
        state.home_domain,
    )
    if limits.scheduling.placement.rule is _scheduling.PlacementRule.PACE:
        return ByPace(*inputs)
    spread = context.run_times.spread(state.job.queue)
    return ByExpectedEnd(*inputs, most_slowness(state, spread, now))


def most_slowness(state: _state.JobState, spread: float, now: float) -> float:
    """Returns how slow a worker may be for a task to end in time.

    The expected run has to end by the job's due time, and a longer one by
    what is due then: the objective grows with the job's longest task.

    Args:
        state: The job.
        spread: The deviation of the logarithm of its queue's run times.
        now: When the task starts.
    """
    expected = state.expected_ms
    left_ms = state.due - now - _MESSAGES_MS
    longer = expected * math.exp(_MARGIN_DEVIATIONS * spread)
    grown_ms = state.job.terms.slack_factor * (longer - expected)
    return min(left_ms / expected, (left_ms + grown_ms) / longer)


class ByPace:
    """Ranks the fastest worker first.

    Args:
        job: The job.
        run_times: The workers' paces.
        remote_factor: How many times as long a task takes away from the
            rack where its data is.
        home_domain: The failure domain of the job's home, or ''.
    """

    def __init__(
        self,
        job: model.Job,
        run_times: _run_times.RunTimes,
        remote_factor: float,
        home_domain: str = '',
    ) -> None:
        self._job = job
        self._home_domain = home_domain
        self._run_times = run_times
        self._remote_factor = remote_factor

    def __call__(self, worker: _state.WorkerState) -> int:
        """Returns the rank of a worker."""
        factor = self._run_times.slowness(worker.worker.id)
        rack = self._job.rack
        if rack and rack not in worker.worker.labels:
            factor *= self._remote_factor
        if self._home_domain not in ('', worker.worker.failure_domain):
            factor += _OTHER_DOMAIN_COST
        return round(factor / _PACE_STEP)


class ByExpectedEnd(ByPace):
    """Ranks the slowest worker first on which a task ends in time.

    Short tasks can bear a slow worker; on a fast one they take the room of
    those that can't. Where no worker is in time, the earliest end comes first.

    Args:
        job: The job.
        run_times: The workers' paces.
        remote_factor: How many times as long a task takes away from the
            rack where its data is.
        home_domain: The failure domain of the job's home, or ''.
        most_slowness: How many times as long as expected a task may take to
            end in time.
    """

    def __init__(
        self,
        job: model.Job,
        run_times: _run_times.RunTimes,
        remote_factor: float,
        home_domain: str,
        most_slowness: float,
    ) -> None:
        super().__init__(job, run_times, remote_factor, home_domain)
        self._most_slowness = most_slowness

    def __call__(self, worker: _state.WorkerState) -> int:
        """Returns the rank of a worker."""
        slowness = self._run_times.slowness(worker.worker.id)
        rack = self._job.rack
        is_away = bool(rack) and rack not in worker.worker.labels
        factor = slowness * self._remote_factor if is_away else slowness
        if factor > self._most_slowness:
            return _LATE_RANK + super().__call__(worker)
        cost = -slowness
        if self._home_domain not in ('', worker.worker.failure_domain):
            cost += _OTHER_DOMAIN_COST
        rank = round(cost / _PACE_STEP)
        # Time that a task takes only since its data is away is lost room.
        return _AWAY_RANK + rank if is_away else rank
