"""Whether an endpoint may be given work."""

import functools

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _probing

__all__ = ['Health', 'note_outcome']

# Weight of one outcome in an endpoint's failure rate. It is large: when
# the whole service begins to fail, the others' rates must have risen
# before the first endpoint has failed often enough to be kept out.
OUTCOME_WEIGHT = 0.25

# Each probe that fails fails a job. A worker that stays broken is probed
# six times a hour by each entry VM; one that is repaired mostly comes back
# as another incarnation and needs no probe.
LAST_PROBE_MS = 600_000.0

FIRST_REFUSED_MS = 100.0
LAST_REFUSED_MS = 5_000.0
BUSY_MS = 50.0

# More jobs than any judgement needs; a service that fails for days must
# not gather the names of all its jobs.
MOST_FAILED_JOBS = 128

# Three heartbeats: a peer's word that is not repeated has lapsed.
HINT_MS = 3_000.0


@attrs.define
class Health:
    """What one endpoint's outcomes say of it; times in milliseconds.

    Attributes:
        failure_rate: Moving share of failures, None before any outcome.
        failed_jobs: The jobs of the failures since the last success. A
            job that fails everywhere counts once, or its tasks alone
            would speak against every endpoint.
        probes: When it is tried again while it is in quarantine.
        hinted_until: Up to when a peer's quarantine is followed.
        paused_until: Up to when it gets nothing after a refusal.
        succeeded_at: When it answered last, or None.
    """

    failure_rate: float | None = None
    failed_jobs: set[str] = attrs.field(factory=set)
    probes: _probing.ProbeSchedule = attrs.field(
        factory=lambda: _probing.ProbeSchedule(LAST_PROBE_MS)
    )
    hinted_until: float = 0.0
    paused_until: float = 0.0
    succeeded_at: float | None = None
    _refused_delay: float = FIRST_REFUSED_MS

    def is_quarantined(self) -> bool:
        """Tells whether this VM keeps the endpoint out by itself."""
        return self.probes.is_on

    def is_hinted(self, now: float) -> bool:
        """Tells whether a peer's quarantine is being followed."""
        return now < self.hinted_until

    def is_kept_out(self, now: float) -> bool:
        """Tells whether ordinary work stays away, for whatever reason."""
        return self.is_quarantined() or self.is_hinted(now)

    def is_willing(self, now: float) -> bool:
        """Tells whether a task may go there, be it as a probe."""
        if self.probes.is_on:
            return self.probes.is_due(now)
        return now >= self.paused_until and now >= self.hinted_until

    def quarantine(self, now: float) -> None:
        """Keeps the endpoint out until a probe succeeds."""
        self.probes.begin(now)

    def hint(self, now: float) -> None:
        """Follows a peer's quarantine, unless it answered here lately."""
        answered = self.succeeded_at
        if answered is None or now - answered > HINT_MS:
            self.hinted_until = now + HINT_MS

    def succeeded(self, now: float) -> None:
        """Takes in an answer; it ends any quarantine."""
        self._count(0.0)
        self.failed_jobs.clear()
        self.probes.stop()
        self.hinted_until = 0.0
        self.paused_until = 0.0
        self.succeeded_at = now
        self._refused_delay = FIRST_REFUSED_MS

    def failed(self, job: str) -> None:
        """Takes in a failure of a job's task."""
        self._count(1.0)
        if len(self.failed_jobs) < MOST_FAILED_JOBS:
            self.failed_jobs.add(job)

    def cancelled(self) -> None:
        """Takes in a task that was cancelled before it had failed.

        A job's first failure cancels its other tasks. Where one endpoint
        fails every task and every job has a task there, no job ever ends
        well, so the others have no success to show, and the failures would
        be put down to the service.
        """
        if self.failure_rate is None:
            self.failure_rate = 0.0

    def refused(self, now: float) -> None:
        """Takes in a refused connection; nothing is sent for a while."""
        self.paused_until = now + self._refused_delay
        self._refused_delay = min(2 * self._refused_delay, LAST_REFUSED_MS)

    def busy(self, now: float) -> None:
        """Takes in the endpoint's own word that it is full."""
        self.paused_until = max(self.paused_until, now + BUSY_MS)

    def _count(self, failure: float) -> None:
        if self.failure_rate is None:
            self.failure_rate = 0.0
        self.failure_rate += OUTCOME_WEIGHT * (failure - self.failure_rate)


@functools.singledispatch
def note_outcome(
    outcome: model.Outcome, health: Health, job: str, now: float
) -> None:
    """Takes an attempt's outcome into an endpoint's health.

    Args:
        outcome: How the attempt ended.
        health: The endpoint's health, which is changed.
        job: The submission that the attempt belongs to.
        now: The time in milliseconds.
    """
    raise TypeError(f'not an outcome: {outcome!r}')


@note_outcome.register
def _(outcome: model.Answered, health: Health, job: str, now: float) -> None:
    health.succeeded(now)


@note_outcome.register
def _(outcome: model.Failed, health: Health, job: str, now: float) -> None:
    health.failed(job)


@note_outcome.register
def _(outcome: model.Unknown, health: Health, job: str, now: float) -> None:
    health.failed(job)


@note_outcome.register
def _(outcome: model.NotRun, health: Health, job: str, now: float) -> None:
    if outcome.cause is model.NotRunCause.CONNECT_REFUSED:
        health.refused(now)
    elif outcome.cause is model.NotRunCause.BUSY:
        health.busy(now)
