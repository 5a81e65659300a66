"""What a daemon shows of itself."""

import typing

from rosemaryroad import api
from rosemaryroad import decisions
from rosemaryroad import errors
from rosemaryroad import metrics as metrics_module
from rosemaryroad import model
from rosemaryroad import platform

if typing.TYPE_CHECKING:
    from rosemaryroad import node as node_module

__all__ = ['NodeStatus', 'incarnation_of']


class NodeStatus(api.StatusSource):
    """Reads the state of a node for its status routes."""

    def __init__(self, node: 'node_module.Node') -> None:
        self._node = node

    def status(self) -> api.Status:
        """Returns the present state."""
        node = self._node
        dispatcher = node.runtime.dispatcher
        return api.Status(
            vm=node.incarnation.vm,
            incarnation=str(node.incarnation),
            failure_domain=node.membership.failure_domain,
            draining=dispatcher.is_draining,
            head=node.documents.head,
            sessions=len(dispatcher.sessions),
            unanswered=dispatcher.unanswered,
            peers=self._peers(),
            services=self._services(),
        )

    def readiness(self) -> str:
        """Returns ``ok`` where the balancer may send callers here."""
        if self._node.runtime.dispatcher.is_draining:
            return 'draining'
        if not self._node.documents.is_informed():
            return 'starting'
        return 'ok'

    def burn(self) -> decisions.BurnSnapshot:
        """Returns how fast each service burns its budget."""
        return self._node.burn.snapshot(self._node.now())

    def scrape(self, accept: tuple[str, ...]) -> metrics_module.Rendered:
        """Returns the metrics."""
        node = self._node
        dispatcher = node.runtime.dispatcher
        for view in dispatcher.views():
            states = [item.state for item in view.endpoints]
            quarantined = states.count(decisions.EndpointPhase.QUARANTINED)
            cut_off = states.count(decisions.EndpointPhase.CUT_OFF)
            node.metrics.set_load(
                metrics_module.ServiceLoad(
                    service=view.service,
                    queued=view.waiting,
                    outstanding=view.outstanding,
                    window=view.window,
                    endpoints=len(states) - quarantined - cut_off,
                    quarantined=quarantined,
                )
            )
        node.metrics.set_state(
            draining=dispatcher.is_draining,
            peers_heard=len(node.membership.alive(node.now())),
            head=node.documents.head,
            sessions=len(dispatcher.sessions),
        )
        self._count_messages()
        return node.metrics.render(accept)

    def _count_messages(self) -> None:
        counts = self._node.links.counts
        metrics = self._node.metrics
        sent = metrics_module.Direction.SENT
        for kind, count in counts.sent.items():
            size = counts.sent_bytes[kind]
            metrics.set_peer_messages(kind, sent, count, size)
        received = metrics_module.Direction.RECEIVED
        for kind, count in counts.received.items():
            size = counts.received_bytes[kind]
            metrics.set_peer_messages(kind, received, count, size)

    def start_drain(self) -> None:
        """Begins to shut the daemon down."""
        self._node.drain_requested.set()

    def _peers(self) -> tuple[api.PeerView, ...]:
        node = self._node
        heads = node.membership.heads()
        linked = set(node.links.linked())
        alive = set(node.membership.alive(node.now()))
        return tuple(
            api.PeerView(
                vm=vm,
                linked=vm in linked,
                heard=vm in alive,
                incarnation=_text(node.links.incarnation_of(vm)),
                head=heads.get(vm, 0),
            )
            for vm in sorted(linked | set(heads))
        )

    def _services(self) -> tuple[api.ServiceStatus, ...]:
        node = self._node
        version_by_service = {
            stored.document.service: stored.version
            for stored in node.documents.documents()
        }
        return tuple(
            api.ServiceStatus(view, version_by_service.get(view.service))
            for view in node.runtime.dispatcher.views()
        )


def incarnation_of(record: platform.VmRecord) -> model.Incarnation | None:
    """Returns the daemon's incarnation where the VM list knows it."""
    try:
        return model.Incarnation.parse(record.incarnation)
    except errors.InvalidRequest:
        return None


def _text(incarnation: model.Incarnation | None) -> str | None:
    return None if incarnation is None else str(incarnation)
