"""Which jobs were refused by the forecast, and when they may come back."""

import collections

import attrs

# Bounds the memory where far more is refused than a dispatcher serves.
_MOST = 10_000

# Longer than the longest time after which callers are told to come back.
_KEPT_MS = 10_000.0


@attrs.frozen
class _Refusal:
    """A refusal.

    Attributes:
        at: When it was given.
        back_at: From when on the job may come back.
    """

    at: float
    back_at: float


class RecentRefusals:
    """The refusals of the last seconds, by job."""

    def __init__(self) -> None:
        self._refusal_by_job: collections.OrderedDict[str, _Refusal] = (
            collections.OrderedDict()
        )

    def add(self, job_id: str, retry_ms: float, now: float) -> None:
        """Remembers a refusal.

        Args:
            job_id: The job.
            retry_ms: In how long it was told to come back.
            now: The present time.
        """
        self._refusal_by_job.pop(job_id, None)
        self._refusal_by_job[job_id] = _Refusal(now, now + retry_ms)
        while len(self._refusal_by_job) > _MOST:
            self._refusal_by_job.popitem(last=False)

    def has_returned(self, job_id: str, now: float) -> bool:
        """Tells whether a job was refused and comes back when it was told."""
        self._forget_old(now)
        refusal = self._refusal_by_job.get(job_id)
        return refusal is not None and now >= refusal.back_at

    def _forget_old(self, now: float) -> None:
        while self._refusal_by_job:
            oldest = next(iter(self._refusal_by_job.values()))
            if now - oldest.at <= _KEPT_MS:
                return
            self._refusal_by_job.popitem(last=False)
