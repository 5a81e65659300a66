"""What follows from the end of an attempt."""

import enum
import functools
import random

from rosemaryroad import model

__all__ = [
    'MOST_TRIES',
    'RetryBudget',
    'Verdict',
    'after_attempt',
    'backoff_ms',
]

# The first try and two more.
MOST_TRIES = 3

FIRST_BACKOFF_MS = 50.0
LAST_BACKOFF_MS = 2_000.0

_MS_PER_SECOND = 1000.0


class Verdict(enum.StrEnum):
    """What to do about a task after an attempt."""

    COMPLETE = 'complete'
    RUN_ELSEWHERE = 'run_elsewhere'
    FAIL = 'fail'
    RETRY_IN_BUDGET = 'retry_in_budget'


@functools.singledispatch
def after_attempt(
    outcome: model.Outcome, kind: model.Kind, idempotent: bool
) -> Verdict:
    """Decides what follows from an attempt's outcome.

    Args:
        outcome: How the attempt ended.
        kind: Whether the task belongs to a job or is a single request.
        idempotent: Whether running it twice does no harm.

    Returns:
        The verdict. Only an attempt that certainly did not run is followed
        by another without a budget; a task of a job is never started
        again after it may have run.
    """
    raise TypeError(f'not an outcome: {outcome!r}')


@after_attempt.register
def _(outcome: model.Answered, kind: model.Kind, idempotent: bool) -> Verdict:
    return Verdict.COMPLETE


@after_attempt.register
def _(outcome: model.NotRun, kind: model.Kind, idempotent: bool) -> Verdict:
    return Verdict.RUN_ELSEWHERE


@after_attempt.register
def _(outcome: model.Failed, kind: model.Kind, idempotent: bool) -> Verdict:
    return _after_start(kind, idempotent)


@after_attempt.register
def _(outcome: model.Unknown, kind: model.Kind, idempotent: bool) -> Verdict:
    return _after_start(kind, idempotent)


def _after_start(kind: model.Kind, idempotent: bool) -> Verdict:
    if kind is model.Kind.REQUEST and idempotent:
        return Verdict.RETRY_IN_BUDGET
    return Verdict.FAIL


class RetryBudget:
    """How many retries a service may add to its ordinary load.

    When a third of the endpoints fail, retries of everything multiply the
    load on the rest just when they have none to spare. Here retries are
    paid for by successes, so they stay a fixed share of the useful work.

    Args:
        share: Retries earned by one success.
        floor_per_second: Retries granted each second without a success,
            so that a service with little load may retry at all.
        most: How many may be saved up for a burst.
    """

    def __init__(
        self,
        share: float = 0.1,
        floor_per_second: float = 1.0,
        most: float = 20.0,
    ) -> None:
        self._share = share
        self._floor_per_second = floor_per_second
        self._most = most
        self._saved = floor_per_second
        self._granted_at: float | None = None

    def succeeded(self) -> None:
        """Earns a share of a retry."""
        self._save(self._share)

    def take(self, now: float) -> bool:
        """Uses up one retry.

        Args:
            now: The time in milliseconds.

        Returns:
            Whether there was one.
        """
        if self._granted_at is not None:
            seconds = (now - self._granted_at) / _MS_PER_SECOND
            self._save(seconds * self._floor_per_second)
        self._granted_at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _save(self, retries: float) -> None:
        self._saved = min(self._most, self._saved + retries)


def backoff_ms(tries: int, rng: random.Random) -> float:
    """Returns how long to wait before the next try.

    Args:
        tries: How many there have been, from 1.
        rng: Spreads the waits, since tasks that failed together would
            otherwise all come back in the same moment.

    Returns:
        Milliseconds, between half of the doubled delay and the whole.
    """
    delay = min(LAST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (tries - 1))
    return delay * rng.uniform(0.5, 1.0)
