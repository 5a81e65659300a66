"""What a daemon that serves jobs counts for its operators."""

import aioprometheus

from rosemaryroad import model

_MS_PER_SECOND = 1000.0

# Objectives run from some 150 ms to 1.5 s, deadlines to 3.5 s.
_BOUNDS_S = (0.005, 0.02, 0.06, 0.1, 0.15, 0.25, 0.4, 0.7, 1, 1.5, 3)


class JobMetrics:
    """The collectors of one daemon, in a registry of their own.

    Args:
        vm: The id of the entry VM.
    """

    def __init__(self, vm: str) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = {'vm': vm}
        self._answers = self._add(
            aioprometheus.Counter, 'job_answers_total', 'Jobs by their end.'
        )
        self._ends = self._add(
            aioprometheus.Counter, 'task_ends_total', 'Tasks by their end.'
        )
        self._orders = self._add(
            aioprometheus.Counter,
            'worker_orders_total',
            'Orders to workers by kind and result.',
        )
        self._store = self._add(
            aioprometheus.Counter,
            'store_calls_total',
            'Calls of the store by table and outcome.',
        )
        self._changes = self._add(
            aioprometheus.Counter,
            'dispatcher_changes_total',
            'How often this VM came to follow another dispatcher.',
        )
        self._dropped = self._add(
            aioprometheus.Gauge,
            'log_lines_dropped',
            'Log lines lost since the start.',
        )
        self._jobs = self._add(
            aioprometheus.Gauge, 'dispatcher_jobs', 'Jobs at the dispatcher.'
        )
        self._unstarted = self._add(
            aioprometheus.Gauge,
            'dispatcher_jobs_unstarted',
            'Jobs of which nothing has started.',
        )
        self._version = self._add(
            aioprometheus.Gauge, 'queues_version', 'The version in force.'
        )
        self._term = self._add(
            aioprometheus.Gauge, 'dispatcher_term', 'The term known here.'
        )
        self._claim = self._add(
            aioprometheus.Gauge,
            'dispatcher_claim',
            '0 follows, 1 acts for a part, 2 dispatches.',
        )
        self._response = self._histogram(
            'job_seconds', 'From a job to its answer.'
        )
        self._wait = self._histogram(
            'task_wait_seconds', 'From a job to the order of a task.'
        )

    def answered(self, end: model.JobEnd, took_ms: float) -> None:
        """Counts an answer to a client."""
        self._answers.inc({'end': end.value})
        if end is model.JobEnd.COMPLETED:
            self._response.observe({}, took_ms / _MS_PER_SECOND)

    def task_ended(self, end: model.TaskEnd) -> None:
        """Counts the end of an attempt."""
        self._ends.inc({'end': end.value})

    def ordered(self, order: str, result: model.OrderResult) -> None:
        """Counts an order to a worker."""
        self._orders.inc({'order': order, 'result': result.value})

    def waited(self, ms: float) -> None:
        """Takes in how long a task waited for its order."""
        self._wait.observe({}, ms / _MS_PER_SECOND)

    def store_called(self, table: str, outcome: str) -> None:
        """Counts a call of the store."""
        self._store.inc({'table': table, 'outcome': outcome})

    def dispatcher_changed(self) -> None:
        """Counts that another VM dispatches for this one."""
        self._changes.inc({})

    def set_jobs(self, jobs: int, unstarted: int) -> None:
        """Sets what the dispatcher of this VM holds."""
        self._jobs.set({}, jobs)
        self._unstarted.set({}, unstarted)

    def set_state(
        self, version: int, term: int, claim: model.Claim, dropped: int
    ) -> None:
        """Sets the gauges of the daemon itself."""
        self._version.set({}, version)
        self._term.set({}, term)
        self._claim.set({}, int(claim))
        self._dropped.set({}, dropped)

    def render(self) -> str:
        """Returns all collectors as text."""
        content, _ = aioprometheus.render(self._registry, ())
        return content.decode()

    def _add(self, kind: type, name: str, text: str) -> object:
        return kind(
            f'rosemaryroad_{name}',
            text,
            const_labels=self._labels,
            registry=self._registry,
        )

    def _histogram(self, name: str, text: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f'rosemaryroad_{name}',
            text,
            const_labels=self._labels,
            registry=self._registry,
            buckets=list(_BOUNDS_S),
        )
