"""Whether failures speak against an endpoint or against its service."""

import collections.abc
import math

from rosemaryroad.decisions import _health

__all__ = ['is_suspicious', 'most_kept_out']

LEAST_FAILED_JOBS = 3

# How likely it may be that an endpoint like the others fails this often
# in a row by chance.
CHANCE = 0.001

# Below this rate the fixed least number decides.
_LEAST_RATE = 0.01

KEPT_OUT_SHARE = 1 / 3


def most_kept_out(endpoints: int) -> int:
    """Returns how many endpoints of a service may be kept out at once.

    Beyond that the service is at fault rather than its endpoints, and
    keeping more of them out would leave nobody to serve it.

    Args:
        endpoints: How many take part in the service.
    """
    if endpoints < 2:
        return 0
    return max(1, math.floor(endpoints * KEPT_OUT_SHARE))


def is_suspicious(
    health: _health.Health,
    others: collections.abc.Iterable[_health.Health],
) -> bool:
    """Tells whether an endpoint fails more than the others explain.

    Args:
        health: The endpoint's health.
        others: The health of the service's other endpoints.
    """
    failures = len(health.failed_jobs)
    if failures < LEAST_FAILED_JOBS:
        return False
    rates = [
        other.failure_rate
        for other in others
        if other.failure_rate is not None
    ]
    usual = max(_LEAST_RATE, sum(rates) / len(rates) if rates else 1.0)
    return usual**failures < CHANCE
