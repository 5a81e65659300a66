"""What one daemon counts for its operators' monitoring."""

import enum

import aioprometheus
import attrs

from rosemaryroad import errors

__all__ = ['AttemptEnd', 'Direction', 'Metrics', 'Rendered', 'ServiceLoad']

_MS_PER_SECOND = 1000.0
_RESPONSE_BOUNDS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10, 30, 60)
_LAG_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)


class AttemptEnd(enum.StrEnum):
    """How an attempt at an endpoint ended."""

    NOT_RUN = 'not_run'
    ANSWERED = 'answered'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class Direction(enum.StrEnum):
    """Whether a message was sent or received."""

    SENT = 'sent'
    RECEIVED = 'received'


@attrs.frozen
class ServiceLoad:
    """What a service has at this entry VM now.

    Attributes:
        service: The service.
        queued: Tasks that wait.
        outstanding: Tasks out at endpoints.
        window: Tasks that may be out at once.
        endpoints: Endpoints that take work.
        quarantined: Endpoints that are kept out.
    """

    service: str
    queued: int
    outstanding: int
    window: int
    endpoints: int
    quarantined: int


@attrs.frozen
class Rendered:
    """The body and headers of a reply to a scrape."""

    body: bytes
    headers: dict[str, str]


class Metrics:
    """The collectors of one daemon, in a registry of their own.

    Two daemons in one process, as in tests, would otherwise add up into
    the library's global registry.
    """

    def __init__(self, vm: str) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = {'vm': vm}
        self._submissions = self._counter(
            'submissions_total', 'Submissions that arrived, by service.'
        )
        self._tasks = self._counter(
            'submitted_tasks_total', 'Tasks of those submissions.'
        )
        self._answers = self._counter(
            'answers_total', 'Answers given, by service and result code.'
        )
        self._attempts = self._counter(
            'attempts_total', 'Attempts at endpoints, by how they ended.'
        )
        self._forwards = self._counter(
            'forwards_total', 'Calls handed to the home of their session.'
        )
        self._messages = self._counter(
            'peer_messages_total', 'Messages of peers, by kind.'
        )
        self._message_bytes = self._counter(
            'peer_message_bytes_total', 'Bytes of those messages.'
        )
        self._response = self._histogram(
            'response_seconds',
            'From a submission to its whole answer.',
            _RESPONSE_BOUNDS_S,
        )
        self._lag = self._histogram(
            'lag_seconds',
            'How far whole answers lag behind their longest task.',
            _LAG_BOUNDS_S,
        )
        self._load_gauges = {
            field.name: self._gauge(f'service_{field.name}')
            for field in attrs.fields(ServiceLoad)
            if field.type is int
        }
        self._by_service = (
            self._submissions,
            self._tasks,
            self._answers,
            self._attempts,
            self._response,
            self._lag,
            *self._load_gauges.values(),
        )
        self._draining = self._gauge('draining')
        self._peers = self._gauge('peers_heard')
        self._head = self._gauge('documents_head')
        self._sessions = self._gauge('sessions')

    def submission_arrived(self, service: str, tasks: int) -> None:
        """Counts a new submission and its tasks."""
        self._submissions.inc({'service': service})
        self._tasks.add({'service': service}, tasks)

    def answered(
        self,
        service: str,
        code: errors.ResultCode,
        response_ms: float,
        lag_ms: float | None = None,
    ) -> None:
        """Counts an answer.

        Args:
            service: The service.
            code: How the submission ended.
            response_ms: Milliseconds from its arrival.
            lag_ms: For a whole answer, its lag behind the ideal.
        """
        self._answers.inc({'service': service, 'code': str(int(code))})
        if code is not errors.ResultCode.OK:
            return
        labels = {'service': service}
        self._response.observe(labels, response_ms / _MS_PER_SECOND)
        if lag_ms is not None:
            self._lag.observe(labels, max(0.0, lag_ms) / _MS_PER_SECOND)

    def attempt_ended(self, service: str, end: AttemptEnd) -> None:
        """Counts an attempt."""
        self._attempts.inc({'service': service, 'end': end.value})

    def forwarded(self) -> None:
        """Counts a call that was handed to the home of its session."""
        self._forwards.inc({})

    def set_peer_messages(
        self, kind: str, direction: Direction, count: int, size: int
    ) -> None:
        """Sets what the links have counted since the start.

        Args:
            kind: The messages' kind, such as ``Heartbeat``.
            direction: Sent or received.
            count: How many there were.
            size: Their bytes in all.
        """
        labels = {'kind': kind, 'direction': direction.value}
        self._messages.set(labels, count)
        self._message_bytes.set(labels, size)

    def set_load(self, load: ServiceLoad) -> None:
        """Sets the gauges of one service."""
        for name, gauge in self._load_gauges.items():
            gauge.set({'service': load.service}, getattr(load, name))

    def set_state(
        self, *, draining: bool, peers_heard: int, head: int, sessions: int
    ) -> None:
        """Sets the gauges of the daemon itself.

        Args:
            draining: Whether it is leaving.
            peers_heard: Peers whose heartbeats arrive.
            head: The highest change number whose documents it has.
            sessions: Sessions that it holds.
        """
        self._draining.set({}, int(draining))
        self._peers.set({}, peers_heard)
        self._head.set({}, head)
        self._sessions.set({}, sessions)

    def forget(self, service: str) -> None:
        """Drops all numbers of a service that is deleted."""
        for collector in self._by_service:
            for labels, _ in collector.get_all():
                if labels.get('service') == service:
                    del collector.values[labels]

    def render(self, accept: tuple[str, ...] = ()) -> Rendered:
        """Returns the reply to a scrape.

        Args:
            accept: The values of the request's Accept headers.
        """
        body, headers = aioprometheus.render(self._registry, accept)
        return Rendered(body, headers)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f'rosemaryroad_{name}',
            doc,
            const_labels=self._labels,
            registry=self._registry,
        )

    def _gauge(self, name: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            f'rosemaryroad_{name}',
            _GAUGE_DOCS[name],
            const_labels=self._labels,
            registry=self._registry,
        )

    def _histogram(
        self, name: str, doc: str, bounds: tuple[float, ...]
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f'rosemaryroad_{name}',
            doc,
            const_labels=self._labels,
            registry=self._registry,
            buckets=bounds,
        )


_GAUGE_DOCS = {
    'service_queued': 'Tasks that wait at this VM, by service.',
    'service_outstanding': 'Tasks out at endpoints, by service.',
    'service_window': 'Tasks that may be out at once, by service.',
    'service_endpoints': 'Endpoints that take work, by service.',
    'service_quarantined': 'Endpoints that are kept out, by service.',
    'draining': '1 while this VM is leaving.',
    'peers_heard': 'Peers whose heartbeats arrive.',
    'documents_head': 'The highest change number whose documents it has.',
    'sessions': 'Sessions that this VM holds.',
}
