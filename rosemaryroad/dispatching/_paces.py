"""Paces of workers, learnt by comparing the tasks of one job.

The tasks of a job differ little from each other, while jobs of one queue
differ much. What a job's tasks have in common is attributed to the job, and
what one has alone to its worker.
"""

import collections
import collections.abc
import math
import statistics

import attrs

from rosemaryroad import model
from rosemaryroad.dispatching import _run_times

_Kind = tuple[float, frozenset[str]]

# Variances, in squares of the logarithm. Paces of workers may differ by 0.5.
# Tasks of one job differ by 0.15, those that they are compared with as well,
# and the paces there are known to about 0.1. A job that ran on one worker
# alone is compared with what was expected, which a long job exceeds by far.
_FIRST_DOUBT = 0.25
_COMPARED_NOISE = 0.06
_ALONE_NOISE = 0.4

# By so much a pace may have changed from one job to the next. A pace then
# follows within some five jobs.
_DRIFT = 0.003

# A kind's pace averages over its workers and the jobs there.
_KIND_GAIN = 0.05

# A job's tasks are equally long, so that each job counts once for its queue.
_QUEUE_GAIN = 0.1
_SPREAD_GAIN = 0.05

# A difference above this has another cause than the pace.
_MOST_SURPRISE = math.log(4.0)


@attrs.frozen
class EndedRun:
    """A task that has ended well.

    Attributes:
        worker: The id of the worker that ran it.
        took_ms: How long it ran.
    """

    worker: str
    took_ms: float


class ComparedRunTimes(_run_times.RunTimes):
    """Run times that tell a long job from a slow worker.

    A worker has the pace of its kind until it has shown its own.
    """

    def __init__(self) -> None:
        super().__init__()
        self._kind_by_worker: dict[str, _Kind] = {}
        self._slowness_by_kind: dict[_Kind, float] = {}
        self._doubt_by_worker: dict[str, float] = {}

    def slowness(self, worker: str) -> float:
        """Returns how many times as long a worker takes as the others."""
        return math.exp(self._log_slowness(worker))

    def doubt(self, worker: str) -> float:
        """Returns how uncertain a worker's pace is.

        Args:
            worker: The worker's id.

        Returns:
            The variance of its logarithm.
        """
        return self._doubt_by_worker.get(worker, _FIRST_DOUBT)

    def forget(self, worker: str) -> None:
        """Forgets a worker that is gone."""
        super().forget(worker)
        self._doubt_by_worker.pop(worker, None)

    def workers_known(
        self, workers: collections.abc.Iterable[model.Worker]
    ) -> None:
        """Takes in all workers, as they are listed now."""
        self._kind_by_worker = _kinds_of(list(workers))

    def learn(
        self,
        queue: str,
        estimate_ms: float,
        runs: collections.abc.Sequence[EndedRun],
    ) -> None:
        """Learns from tasks of one job that have ended well.

        Args:
            queue: The job's queue.
            estimate_ms: The client's estimate.
            runs: The tasks.
        """
        expected = self._expected_log(queue, estimate_ms)
        logs_by_worker = collections.defaultdict(list)
        for run in runs:
            log = math.log(max(1.0, run.took_ms))
            log -= self._log_slowness(run.worker)
            logs_by_worker[run.worker].append(log)
        logs = [log for some in logs_by_worker.values() for log in some]
        is_alone = len(logs_by_worker) == 1
        usual = expected if is_alone else statistics.median(logs)
        noise = _ALONE_NOISE if is_alone else _COMPARED_NOISE
        for worker, some in logs_by_worker.items():
            surprise = _bounded(statistics.fmean(some) - usual)
            self._show_pace(worker, surprise, noise)
        self._learn_queue(queue, estimate_ms, statistics.fmean(logs))

    def _log_slowness(self, worker: str) -> float:
        own = self._slowness_by_worker.get(worker)
        if own is not None:
            return own
        kind = self._kind_by_worker.get(worker)
        return self._slowness_by_kind.get(kind, 0.0)

    def _show_pace(self, worker: str, surprise: float, noise: float) -> None:
        # A Kalman filter of one dimension.
        doubt = self.doubt(worker)
        gain = doubt / (doubt + noise)
        self._doubt_by_worker[worker] = (1.0 - gain) * doubt + _DRIFT
        own = self._log_slowness(worker) + gain * surprise
        self._slowness_by_worker[worker] = own
        kind = self._kind_by_worker.get(worker)
        if kind is not None:
            usual = self._slowness_by_kind.get(kind, 0.0)
            usual += _KIND_GAIN * (own - usual)
            self._slowness_by_kind[kind] = usual

    def _learn_queue(
        self, queue: str, estimate_ms: float, took: float
    ) -> None:
        surprise = _bounded(took - self._expected_log(queue, estimate_ms))
        times = self._times_of(queue)
        if times.mean is None:
            times.mean = took
        times.mean += _QUEUE_GAIN * _bounded(took - times.mean)
        estimate = math.log(max(1.0, estimate_ms))
        off = _bounded(took - estimate - times.bias)
        times.bias += _QUEUE_GAIN * off
        times.variance += _SPREAD_GAIN * (surprise**2 - times.variance)


def _bounded(surprise: float) -> float:
    return max(-_MOST_SURPRISE, min(_MOST_SURPRISE, surprise))


def _kinds_of(workers: list[model.Worker]) -> dict[str, _Kind]:
    """Returns the kind of each worker, by its id.

    Labels name kinds and racks alike. A rack stands in one failure domain,
    so that a label which workers of two have names no rack. In a deployment
    of a single failure domain the cores alone tell the kind.
    """
    domains_by_label = collections.defaultdict(set)
    for worker in workers:
        for label in worker.labels:
            domains_by_label[label].add(worker.failure_domain)
    shared = {
        label
        for label, domains in domains_by_label.items()
        if len(domains) > 1
    }
    return {
        worker.id: (
            worker.capacity.cores,
            frozenset(shared.intersection(worker.labels)),
        )
        for worker in workers
    }
