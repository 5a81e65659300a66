"""What a daemon that serves jobs counts for its operators."""

import collections.abc

import aioprometheus
import attrs

from rosemaryroad import dispatching
from rosemaryroad import model

_MS_PER_SECOND = 1000.0

# Objectives run from some 150 ms to 1.5 s, deadlines to 3.5 s.
_BOUNDS_S = (0.005, 0.02, 0.06, 0.1, 0.15, 0.25, 0.4, 0.7, 1, 1.5, 3)


@attrs.frozen
class NodeState:
    """What a daemon knows at the moment when its metrics are read.

    Attributes:
        queues_version: The version of the queues in force.
        queues_age_ms: For how long it has been in force.
        term: The highest term of a dispatcher that is known here.
        claim: What this VM claims to be.
        lines_dropped: Log lines lost since the start.
        feed_age_ms_by_table: How long ago the store last answered.
        drained_domains: The failure domains that are drained.
        connections: Open connections of callers and operators.
    """

    queues_version: int
    queues_age_ms: float
    term: int
    claim: model.Claim
    lines_dropped: int
    feed_age_ms_by_table: collections.abc.Mapping[str, float]
    drained_domains: frozenset[str]
    connections: int


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
        self._oldest = self._add(
            aioprometheus.Gauge,
            'dispatcher_oldest_unstarted_seconds',
            'Age of the oldest job of which nothing has started.',
        )
        self._workers = self._add(
            aioprometheus.Gauge,
            'dispatcher_workers',
            'Workers of this dispatcher by their condition.',
        )
        self._queue_waiting = self._add(
            aioprometheus.Gauge,
            'queue_waiting_tasks',
            'Tasks that wait for room at the dispatcher.',
        )
        self._queue_cores = self._add(
            aioprometheus.Gauge, 'queue_cores', 'Cores in use by a queue.'
        )
        self._queues: set[str] = set()
        self._refusals = self._add(
            aioprometheus.Counter,
            'queue_refusals_total',
            'Jobs that the dispatcher refused, by queue and cause.',
        )
        self._preemptions = self._add(
            aioprometheus.Counter,
            'preemptions_total',
            'Tasks stopped for more urgent jobs, by their queue.',
        )
        self._share_over = self._add(
            aioprometheus.Gauge,
            'share_over',
            '1 while a key is over its share of the room.',
        )
        self._share_of_cores = self._add(
            aioprometheus.Gauge,
            'share_of_cores',
            "A key's share of the cores, from 0 to 1.",
        )
        self._feed_age = self._add(
            aioprometheus.Gauge,
            'store_feed_age_seconds',
            'Since the store last answered about a table.',
        )
        self._drained = self._add(
            aioprometheus.Gauge,
            'domain_drained',
            '1 while a failure domain gets no new tasks, 0 once it may.',
        )
        self._drained_domains: set[str] = set()
        self._connections = self._add(
            aioprometheus.Gauge,
            'connections',
            'Open connections of callers and operators.',
        )
        self._version_age = self._add(
            aioprometheus.Gauge,
            'queues_age_seconds',
            'For how long the version of the queues has been in force.',
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
        self._run = self._histogram(
            'task_run_seconds', 'From the order of a task to its end.'
        )

    def answered(self, end: model.JobEnd, took_ms: float) -> None:
        """Counts an answer to a client."""
        self._answers.inc({'end': end.value})
        if end is model.JobEnd.COMPLETED:
            self._response.observe({}, took_ms / _MS_PER_SECOND)

    def task_ended(self, end: model.TaskEnd, ran_ms: float | None) -> None:
        """Counts the end of an attempt.

        Args:
            end: How it ended.
            ran_ms: How long ago it was ordered, if that is known here.
        """
        self._ends.inc({'end': end.value})
        if ran_ms is not None and end is model.TaskEnd.DONE:
            self._run.observe({}, ran_ms / _MS_PER_SECOND)

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

    def set_load(self, load: dispatching.DispatcherLoad) -> None:
        """Sets what the dispatchers of this VM hold."""
        self._jobs.set({}, load.jobs)
        self._unstarted.set({}, load.unstarted)
        self._oldest.set({}, load.oldest_ms / _MS_PER_SECOND)
        for condition in dispatching.WorkerCondition:
            count = load.workers_by_condition[condition]
            self._workers.set({'condition': condition.value}, count)

    def set_scheduling(
        self,
        view: dispatching.SchedulingView,
        counts: dispatching.DecisionCounts,
    ) -> None:
        """Sets what the dispatchers of this VM do with their room.

        Args:
            view: What they do now.
            counts: What they and earlier ones of this VM have decided.
        """
        self._set_queues(view.queue_by_name)
        self._set_shares(view.share_by_name)
        for queue, by_cause in counts.refusals_by_queue.items():
            for cause, count in by_cause.items():
                labels = {'queue': _label(queue), 'cause': cause.value}
                self._refusals.set(labels, count)
        for queue, count in counts.preemptions_by_queue.items():
            self._preemptions.set({'queue': _label(queue)}, count)

    def _set_queues(
        self,
        queue_by_name: collections.abc.Mapping[str, dispatching.QueueView],
    ) -> None:
        # A deployment has over a thousand queues, most of them idle; only
        # those that have had jobs here get a series.
        self._queues |= queue_by_name.keys()
        idle = dispatching.QueueView()
        for name in self._queues:
            queue = queue_by_name.get(name, idle)
            labels = {'queue': _label(name)}
            self._queue_waiting.set(labels, queue.waiting_tasks)
            self._queue_cores.set(labels, queue.cores)

    def _set_shares(
        self,
        share_by_name: collections.abc.Mapping[str, dispatching.ShareView],
    ) -> None:
        # Racks are named by clients. A key that is gone leaves no series, so
        # that their number stays that of the accounts.
        self._share_over.values.clear()
        self._share_of_cores.values.clear()
        for name, share in share_by_name.items():
            labels = {'key': _label(name)}
            self._share_over.set(labels, int(share.is_over))
            self._share_of_cores.set(labels, share.share)

    def set_state(self, state: NodeState) -> None:
        """Sets the gauges of the daemon itself."""
        self._version.set({}, state.queues_version)
        self._version_age.set({}, state.queues_age_ms / _MS_PER_SECOND)
        self._term.set({}, state.term)
        self._claim.set({}, int(state.claim))
        self._dropped.set({}, state.lines_dropped)
        self._connections.set({}, state.connections)
        for table, age_ms in state.feed_age_ms_by_table.items():
            self._feed_age.set({'table': table}, age_ms / _MS_PER_SECOND)
        drained = state.drained_domains
        self._drained_domains |= drained
        for domain in self._drained_domains:
            self._drained.set(
                {'failure_domain': domain}, int(domain in drained)
            )

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


def _label(text: str) -> str:
    """Returns text as the value of a label.

    The library doesn't escape it. A rack that a client names with a quote, a
    line break or a lone surrogate would make the whole page unreadable.
    """
    whole = text.encode('utf-8', 'replace').decode()
    return whole.replace('\\', r'\\').replace('\n', r'\n').replace('"', r'\"')
