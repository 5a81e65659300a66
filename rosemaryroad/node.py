"""One entry VM's daemon, put together from its parts."""

import asyncio
import collections.abc
import logging
import os
import pathlib
import random

from rosemaryroad import _daemons
from rosemaryroad import _loops
from rosemaryroad import api
from rosemaryroad import clock as clock_module
from rosemaryroad import controllers
from rosemaryroad import decisions
from rosemaryroad import documents as documents_module
from rosemaryroad import endpoints
from rosemaryroad import entryvms
from rosemaryroad import filters
from rosemaryroad import httpserver
from rosemaryroad import local
from rosemaryroad import logs
from rosemaryroad import metrics as metrics_module
from rosemaryroad import model
from rosemaryroad import nodestatus
from rosemaryroad import peering
from rosemaryroad import peers
from rosemaryroad import peerstate
from rosemaryroad import platform
from rosemaryroad import runtime as runtime_module
from rosemaryroad import settings as settings_module
from rosemaryroad import tokens

__all__ = ['Node']

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

# What a leaving daemon keeps of its time to tell callers that it gives up;
# at most this share of it.
_GIVE_UP_MS = 1_000.0
_GIVE_UP_SHARE = 0.25

_Serve = collections.abc.Callable[[str, int], collections.abc.Awaitable[int]]


class Node:
    """The parts of one daemon.

    Args:
        settings: The checked settings.
        secrets_read: The secrets that they name.
        clock: The time.
        policy: How work is ordered and placed.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        secrets_read: tokens.Secrets,
        clock: clock_module.Clock,
        policy: decisions.Policy | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._tasks: list[asyncio.Task] = []
        self.drain_requested = asyncio.Event()
        # Seeded by the system: two VMs with equal jitter would act in step.
        self._rng = random.Random(os.urandom(16))
        self.incarnation = _daemons.new_incarnation(settings.vm)
        self.metrics = metrics_module.Metrics(settings.vm)
        self.burn = decisions.BurnBook()
        self.runtime = self._make_runtime(policy or decisions.Policy())
        self.membership = decisions.Membership(
            self.incarnation, settings.failure_domain
        )
        self._entry_vms = entryvms.EntryVms(
            self.membership, self._set_peers, clock
        )
        self._make_platform()
        home_handler = self._make_home_handler()
        self._forwards = peering.ForwardHandler(self.incarnation, home_handler)
        self.links = peers.PeerLinks(
            self.incarnation,
            settings.failure_domain,
            secrets_read.peer_secret,
            self._forwards,
            clock,
        )
        self.members = self._make_members()
        self._forwards.connect(self.members)
        handler = filters.chain(
            (
                filters.TraceFilter(clock),
                filters.AuthenticateFilter(secrets_read.team_tokens),
                filters.HomeFilter(
                    self.membership,
                    self.links,
                    clock,
                    self.metrics,
                    self.runtime.count_lost,
                ),
            ),
            home_handler,
        )
        self._server = self._make_server(handler, secrets_read)

    def _make_runtime(
        self, policy: decisions.Policy
    ) -> runtime_module.Runtime:
        limits = self._settings.limits
        dispatcher = decisions.Dispatcher(
            self.incarnation,
            self._settings.failure_domain,
            decisions.SessionLimits(
                sessions=limits.max_sessions,
                names_in_all=limits.max_names,
                idle_ms=limits.session_idle_ms,
                answers=limits.kept_answers,
                answer_bytes=limits.kept_answer_bytes,
                answer_ms=limits.answer_ms,
            ),
            self._rng,
            policy,
            decisions.MemoryLimits(
                limits.max_held_bytes, limits.max_answer_bytes
            ),
        )
        client = endpoints.HttpEndpointClient(
            str(self.incarnation), self._clock
        )
        self._endpoint_client = client
        return runtime_module.Runtime(
            dispatcher,
            client,
            self._clock,
            self.metrics,
            self.burn,
            self._on_forgotten,
        )

    def _make_platform(self) -> None:
        at = self._settings.platform
        timeouts = platform.Timeouts(total_ms=at.timeout_ms)
        self._table = platform.HttpTableService(at.table, timeouts)
        self._vm_list = platform.HttpVmList(at.vm_list, timeouts)
        self.store = documents_module.DocumentStore(self._table)
        self.endpoints = controllers.EndpointsController(
            self._vm_list,
            self._on_endpoints,
            self._on_entry_vms,
            self._rng,
            self._clock,
        )
        self.documents = controllers.DocumentsController(
            self.store, self._on_document, self._rng, self._clock
        )

    def _make_home_handler(self) -> filters.Handler:
        limits = self._settings.limits
        dispatcher = self.runtime.dispatcher
        check = filters.CheckFilter(
            limits.max_tasks,
            limits.wait_ms,
            dispatcher.document,
            lambda key: dispatcher.sessions.find(key) is not None,
        )
        handler = local.LocalHandler(self.runtime, limits.session_idle_ms)
        return filters.chain((check,), handler)

    def _make_members(self) -> controllers.MembersController:
        state = peerstate.HeartbeatState(
            self.runtime.dispatcher, self.documents
        )
        reports = peerstate.PeerReports(
            self.runtime, self.documents, self.membership, self._clock
        )
        return controllers.MembersController(
            self.membership,
            self.links,
            state,
            reports,
            self._clock,
            self._rng,
        )

    def _make_server(
        self, handler: filters.Handler, secrets_read: tokens.Secrets
    ) -> httpserver.HttpServer:
        settings = self._settings
        app = httpserver.make_app(
            f'rosemaryroad-{self.incarnation.nonce}',
            settings.limits.max_body_bytes,
            settings.limits.wait_ms,
        )
        app.ctx.vm = settings.vm
        status = nodestatus.NodeStatus(self)
        app.blueprint(api.CallersApi(settings.vm, handler).blueprint())
        app.blueprint(
            api.StatusApi(status, secrets_read.peer_secret).blueprint()
        )
        app.blueprint(
            api.make_admin_blueprint(
                self.store, secrets_read.team_tokens, self.documents.offer
            )
        )
        return httpserver.HttpServer(app, self._clock)

    def now(self) -> float:
        """Returns the present time in milliseconds."""
        return self._clock.now()

    async def start(self) -> None:
        """Listens and begins all loops.

        Raises:
            OSError: An address can't be bound.
        """
        listen = self._settings.listen
        peers_at = await self._listen(listen.peers, self.links.serve)
        callers_at = await self._listen(listen.callers, self._server.start)
        self._set_listed_peers()
        for run in (
            self.runtime.run,
            self.documents.run,
            self.endpoints.run,
            self.members.run,
        ):
            self._tasks.append(asyncio.create_task(_loops.keep_running(run)))
        logs.event(
            _LOG,
            logging.INFO,
            'started',
            incarnation=self.incarnation,
            failure_domain=self._settings.failure_domain,
            region=self._settings.region,
            callers=callers_at,
            peers=peers_at,
        )
        if self._settings.ready_file is not None:
            chosen = settings_module.Listen(callers_at, peers_at)
            chosen.write(pathlib.Path(self._settings.ready_file))

    @staticmethod
    async def _listen(address: str, serve: _Serve) -> str:
        """Begins to serve; returns the address with the port it got."""
        host, _, port = address.rpartition(':')
        chosen = await serve(host.strip('[]'), int(port))
        return f'{host}:{chosen}'

    def _set_listed_peers(self) -> None:
        from_settings = settings_module.PeersFrom.SETTINGS
        if self._settings.peers_from is from_settings:
            self.links.set_peers(
                {
                    peer.vm: model.Address.parse(peer.address)
                    for peer in self._settings.peers
                }
            )

    async def leave(self) -> bool:
        """Drains, then ends everything.

        Returns:
            Whether no request in progress was cut off.
        """
        limit_ms = self._settings.drain.limit_ms
        ends_at = self._clock.now() + limit_ms
        give_up_ms = min(_GIVE_UP_MS, limit_ms * _GIVE_UP_SHARE)
        logs.event(_LOG, logging.INFO, 'drain_started')
        self._server.stop_keep_alive()
        drain = asyncio.create_task(self.runtime.drain(limit_ms - give_up_ms))
        # Peers learn at once, not with the next heartbeat, that no new
        # work should come here.
        await asyncio.sleep(0)
        with _daemons.drain_step('tell_peers'):
            self.members.beat()
        answered = whole = False
        with _daemons.drain_step('wait_for_answers'):
            answered = await drain
        if not answered:
            with _daemons.drain_step('give_up'):
                self.runtime.give_up()
        with _daemons.drain_step('stop_serving'):
            whole = await self._stop_serving(ends_at, give_up_ms)
        with _daemons.drain_step('close'):
            await self._close()
        logs.event(
            _LOG, logging.INFO, 'drained', answered=answered, whole=whole
        )
        return answered and whole

    async def _stop_serving(self, ends_at: float, give_up_ms: float) -> bool:
        """Lets the calls in progress end.

        Args:
            ends_at: When none may be left, by the clock.
            give_up_ms: How long before that those are given up which wait
                for a submission of another home.

        Returns:
            Whether none was given up or cut off.
        """
        left_ms = ends_at - self._clock.now()
        stopping = asyncio.create_task(self._server.stop(left_ms))
        # The answers just given to peers have to leave by the links first.
        wait_ms = max(left_ms - give_up_ms, give_up_ms / 2)
        await asyncio.wait({stopping}, timeout=wait_ms / _MS_PER_SECOND)
        in_time = stopping.done()
        if not in_time:
            await self.links.close()
        return await stopping and in_time

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.links.close()
        await self.runtime.close()
        await self._endpoint_client.close()
        await self._table.close()
        await self._vm_list.close()

    # What the controllers tell.

    def _on_document(self, stored: model.StoredDocument) -> None:
        document = stored.document
        if stored.deleted:
            # The endpoints are followed until the last work is answered.
            self.runtime.apply(model.DocumentDeleted(document.service))
            return
        self.burn.apply_objective(document.service, document.objective)
        self.runtime.apply(model.DocumentApplied(document))
        self.endpoints.apply_document(document)

    def _on_forgotten(self, service: str) -> None:
        self.endpoints.forget(service)

    def _on_endpoints(
        self, service: str, listed: tuple[model.Endpoint, ...]
    ) -> None:
        self.runtime.apply(model.EndpointsListed(service, listed))

    def _on_entry_vms(self, records: tuple[platform.VmRecord, ...]) -> None:
        self._entry_vms.apply(records)

    def _set_peers(
        self, addresses: collections.abc.Mapping[str, model.Address]
    ) -> None:
        from_list = settings_module.PeersFrom.VM_LIST
        if self._settings.peers_from is from_list:
            self.links.set_peers(addresses)
