"""Status, health, metrics, burn and drain over HTTP."""

import abc
import hmac

import attrs
import sanic
import sanic.response

from rosemaryroad import decisions
from rosemaryroad import errors
from rosemaryroad import metrics as metrics_module
from rosemaryroad.api import _replies

_BEARER = 'Bearer '
_UNAVAILABLE = 503


@attrs.frozen
class PeerView:
    """What the status page shows of a peer.

    Attributes:
        vm: Its id.
        linked: Whether a link to it stands.
        heard: Whether its heartbeats arrive.
        incarnation: Its present life, or null where it is not known.
        head: Its highest change number.
    """

    vm: str
    linked: bool
    heard: bool
    incarnation: str | None
    head: int


@attrs.frozen
class ServiceStatus:
    """What the status page shows of a service.

    Attributes:
        view: Its load and endpoints.
        version: The version of its document in force.
    """

    view: decisions.ServiceView
    version: int | None


@attrs.frozen
class Status:
    """The state of one entry VM.

    Attributes:
        vm: Its id.
        incarnation: Its present life.
        failure_domain: Where it stands.
        draining: Whether it is shutting down.
        head: The highest change number whose documents it has.
        sessions: Open sessions.
        unanswered: Submissions without an answer.
        peers: The other entry VMs.
        services: The services in force.
    """

    vm: str
    incarnation: str
    failure_domain: str
    draining: bool
    head: int
    sessions: int
    unanswered: int
    peers: tuple[PeerView, ...]
    services: tuple[ServiceStatus, ...]


@attrs.frozen
class Health:
    """The reply to a health check.

    Attributes:
        state: ``ok``, ``starting`` or ``draining``.
    """

    state: str


class StatusSource(abc.ABC):
    """What the status routes ask of the daemon."""

    @abc.abstractmethod
    def status(self) -> Status:
        """Returns the present state."""

    @abc.abstractmethod
    def readiness(self) -> str:
        """Returns ``ok`` where the balancer may send callers here."""

    @abc.abstractmethod
    def burn(self) -> decisions.BurnSnapshot:
        """Returns how fast each service burns its budget."""

    @abc.abstractmethod
    def scrape(self, accept: tuple[str, ...]) -> metrics_module.Rendered:
        """Returns the metrics."""

    @abc.abstractmethod
    def start_drain(self) -> None:
        """Begins to shut the daemon down."""


class StatusApi:
    """The routes for operators and the platform's balancer.

    Args:
        source: The daemon.
        operator_secret: The bearer token that a drain needs.
    """

    def __init__(self, source: StatusSource, operator_secret: str) -> None:
        self._source = source
        self._operator_secret = operator_secret

    def blueprint(self) -> sanic.Blueprint:
        """Returns the routes."""
        routes = sanic.Blueprint('status')
        routes.add_route(self.healthz, '/healthz')
        routes.add_route(self.readyz, '/readyz')
        routes.add_route(self.metrics, '/metrics')
        routes.add_route(self.status, '/v1/status')
        routes.add_route(self.burn, '/v1/burn')
        routes.add_route(self.drain, '/v1/drain', methods=['POST'])
        return routes

    async def healthz(self, _: sanic.Request) -> sanic.HTTPResponse:
        """Tells that the process answers at all."""
        return _replies.json_reply(Health('ok'))

    async def readyz(self, _: sanic.Request) -> sanic.HTTPResponse:
        """Tells whether new callers may be sent here."""
        state = self._source.readiness()
        status = 200 if state == 'ok' else _UNAVAILABLE
        return _replies.json_reply(Health(state), status)

    async def metrics(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Answers a scrape."""
        accept = tuple(request.headers.getall('Accept', []))
        rendered = self._source.scrape(accept)
        return sanic.response.raw(rendered.body, headers=rendered.headers)

    async def status(self, _: sanic.Request) -> sanic.HTTPResponse:
        """Shows the state of this entry VM."""
        return _replies.json_reply(self._source.status())

    async def burn(self, _: sanic.Request) -> sanic.HTTPResponse:
        """Shows the burn as counted at this entry VM."""
        return _replies.json_reply(self._source.burn())

    async def drain(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Begins to drain; needs the operators' secret.

        Raises:
            errors.Unauthenticated: The secret is missing or wrong.
        """
        given = request.headers.get('Authorization', '')
        wanted = _BEARER + self._operator_secret
        if not hmac.compare_digest(given.encode(), wanted.encode()):
            raise errors.Unauthenticated()
        self._source.start_drain()
        return _replies.json_reply(Health('draining'))
