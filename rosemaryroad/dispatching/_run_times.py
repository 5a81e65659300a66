"""How long tasks take, learnt from those that have ended."""

import collections.abc
import math

import attrs

from rosemaryroad import model

# Clients' estimates and the run times within one queue both spread by about
# 0.4 in the logarithm, so either says as much as the other.
_ESTIMATE_WEIGHT = 0.5

# A queue's mean settles within some tens of tasks; a worker's pace has to
# follow within a second or two, at some eight ends a second.
_QUEUE_GAIN = 0.05
_WORKER_GAIN = 0.2

# One end that is off by more than this says that something else went
# wrong, and must not upset what many have taught.
_MOST_SURPRISE = math.log(4.0)

# Before anything has ended, a run time is as uncertain as an estimate.
_FIRST_SPREAD = 0.4

# All tasks of a long job are surprising at once, so one end says less of the
# spread than of the mean.
_SPREAD_GAIN = 0.02


@attrs.define
class _QueueTimes:
    """What one queue's tasks have taught, in logarithms.

    Attributes:
        bias: How much longer its tasks take than their clients estimate.
        mean: Their mean, or None before one has ended.
        variance: That of their run times around the expected ones.
    """

    bias: float = 0.0
    mean: float | None = None
    variance: float = _FIRST_SPREAD**2


class RunTimes:
    """Expected run times by queue, and the pace of each worker."""

    def __init__(self) -> None:
        self._queue_by_name: dict[str, _QueueTimes] = {}
        self._slowness_by_worker: dict[str, float] = {}

    def expected_ms(self, queue: str, estimate_ms: float) -> float:
        """Returns what a task is likely to take on an ordinary worker."""
        return math.exp(self._expected_log(queue, estimate_ms))

    def slowness(self, worker: str) -> float:
        """Returns how many times as long a worker takes as the others."""
        return math.exp(self._slowness_by_worker.get(worker, 0.0))

    def spread(self, queue: str) -> float:
        """Returns how far off the expected run time usually is.

        Args:
            queue: A queue.

        Returns:
            The standard deviation of the logarithm of the run time around
            that of the expected one, the worker's pace aside.
        """
        times = self._queue_by_name.get(queue)
        return _FIRST_SPREAD if times is None else math.sqrt(times.variance)

    def workers_known(
        self, workers: collections.abc.Iterable[model.Worker]
    ) -> None:
        """Takes in all workers, as they are listed now."""

    def record(
        self, queue: str, estimate_ms: float, worker: str, took_ms: float
    ) -> None:
        """Learns from a task that ended well.

        Args:
            queue: Its queue.
            estimate_ms: The client's estimate.
            worker: The worker that ran it.
            took_ms: How long it ran.
        """
        took = math.log(max(1.0, took_ms))
        slowness = self._slowness_by_worker.get(worker, 0.0)
        surprise = took - slowness - self._expected_log(queue, estimate_ms)
        surprise = max(-_MOST_SURPRISE, min(_MOST_SURPRISE, surprise))
        self._slowness_by_worker[worker] = slowness + _WORKER_GAIN * surprise
        times = self._times_of(queue)
        estimate = math.log(max(1.0, estimate_ms))
        if times.mean is None:
            times.mean = took - slowness
        times.mean += _QUEUE_GAIN * (took - slowness - times.mean)
        off = took - slowness - estimate - times.bias
        times.bias += _QUEUE_GAIN * off
        times.variance += _SPREAD_GAIN * (surprise**2 - times.variance)

    def forget(self, worker: str) -> None:
        """Forgets a worker that is gone."""
        self._slowness_by_worker.pop(worker, None)

    def _times_of(self, queue: str) -> _QueueTimes:
        return self._queue_by_name.setdefault(queue, _QueueTimes())

    def _expected_log(self, queue: str, estimate_ms: float) -> float:
        estimate = math.log(max(1.0, estimate_ms))
        times = self._queue_by_name.get(queue)
        if times is None or times.mean is None:
            return estimate
        told = estimate + times.bias
        return _ESTIMATE_WEIGHT * told + (1 - _ESTIMATE_WEIGHT) * times.mean
