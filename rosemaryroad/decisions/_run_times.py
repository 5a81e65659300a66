"""Averages of measured run times."""

import math

import attrs

from rosemaryroad import model

__all__ = ['EndpointRunTime', 'ServiceRunTime']

# Weight of one measurement.
SERVICE_WEIGHT = 0.02
ENDPOINT_WEIGHT = 0.1

# An endpoint found slow gets little work and so few measurements. Without
# fading it would be avoided for good after it has recovered.
FADE_HALF_LIFE_MS = 10_000.0

# Keeps the logarithm finite for tasks that end at once.
_LEAST_RUN_MS = 0.1


@attrs.define
class ServiceRunTime:
    """Run times over all endpoints of a service.

    Attributes:
        mean_ms: The moving mean, for estimates of waiting times.
        log_ms: The moving mean of logarithms; a few tasks of several
            seconds among many short ones hardly move it.
    """

    mean_ms: float = model.Task(b'').run_ms
    log_ms: float | None = None

    def measured(self, run_ms: float) -> None:
        """Takes in one run time in milliseconds."""
        self.mean_ms += SERVICE_WEIGHT * (run_ms - self.mean_ms)
        log_ms = math.log(max(run_ms, _LEAST_RUN_MS))
        if self.log_ms is None:
            self.log_ms = log_ms
        self.log_ms += SERVICE_WEIGHT * (log_ms - self.log_ms)


@attrs.define
class EndpointRunTime:
    """How slow one endpoint is against its service.

    Attributes:
        log_ratio: The moving mean of the logarithm of the run time over
            the service's; 0 for an endpoint like the others.
        changed: When it was measured last, in milliseconds.
    """

    log_ratio: float = 0.0
    changed: float = 0.0

    def measured(
        self, run_ms: float, service: ServiceRunTime, now: float
    ) -> None:
        """Takes in one run time in milliseconds."""
        usual = service.log_ms
        if usual is None:
            return
        ratio = math.log(max(run_ms, _LEAST_RUN_MS)) - usual
        faded = self._faded(now)
        self.log_ratio = faded + ENDPOINT_WEIGHT * (ratio - faded)
        self.changed = now

    def ratio(self, now: float) -> float:
        """Returns the run time over the service's, 1 where unknown."""
        return math.exp(self._faded(now))

    def _faded(self, now: float) -> float:
        age = max(0.0, now - self.changed)
        return self.log_ratio * 0.5 ** (age / FADE_HALF_LIFE_MS)
