"""Keeps the endpoints of each service and the list of entry VMs."""

import collections
import collections.abc
import random

from rosemaryroad import _polling
from rosemaryroad import clock
from rosemaryroad import model
from rosemaryroad import platform

POLL_INTERVAL_MS = 1000.0

_Endpoints = tuple[model.Endpoint, ...]
_Records = tuple[platform.VmRecord, ...]
_OnEndpoints = collections.abc.Callable[[str, _Endpoints], None]
_OnEntryVms = collections.abc.Callable[[_Records], None]


class EndpointsController:
    """Follows the platform's VM list and the documents.

    Through an outage of the list the last one stays in force. The list
    lags, so an endpoint that it calls live may be leaving; to keep it
    marked as leaving is for those who are told.

    Args:
        vms: The VM list.
        on_endpoints: Called with a service and its endpoints when these
            differ from what was told before.
        on_entry_vms: Called with the entry VMs after each read; with the
            same tuple as before where these are equal.
        source: Where the jitter comes from.
        time: The clock.
        interval_ms: The usual time between two reads of the list.
    """

    def __init__(
        self,
        vms: platform.VmList,
        on_endpoints: _OnEndpoints,
        on_entry_vms: _OnEntryVms,
        source: random.Random,
        time: clock.Clock,
        interval_ms: float = POLL_INTERVAL_MS,
    ) -> None:
        self._vms = vms
        self._on_endpoints = on_endpoints
        self._on_entry_vms = on_entry_vms
        self._policy_by_service: dict[str, model.EndpointsPolicy] = {}
        self._told_by_service: dict[str, _Endpoints] = {}
        self._entry_vms: _Records = ()
        self._listed_by_service: dict[str, _Endpoints] | None = None
        self._records: _Records | None = None
        self._poller = _polling.Poller(
            'vm_list', self._read, interval_ms, source, time
        )

    def age_ms(self) -> float | None:
        """Returns the age of the last list read; None before the first."""
        return self._poller.age_ms()

    async def run(self) -> None:
        """Follows the list until it is cancelled."""
        await self._poller.run()

    async def poll_once(self) -> bool:
        """Reads the list once; False where that failed."""
        return await self._poller.once()

    def apply_document(self, document: model.Document) -> None:
        """Takes a document that has come into force."""
        self._policy_by_service[document.service] = document.endpoints
        self._tell_endpoints(document.service)

    def forget(self, service: str) -> None:
        """Forgets a service that is deleted and has nothing to answer."""
        self._policy_by_service.pop(service, None)
        self._told_by_service.pop(service, None)

    async def _read(self) -> None:
        records = await self._vms.list()
        changed = records is not self._records
        if changed:
            self._group(records)
        # Told of changes only, the membership would take a list that
        # stays the same for one from before an outage. Callers of a home
        # that is gone would be told to come back for ever.
        self._on_entry_vms(self._entry_vms)
        if changed:
            # Being told may end the last work of a deleted service, and
            # with it the service's place here.
            for service in tuple(self._policy_by_service):
                if service in self._policy_by_service:
                    self._tell_endpoints(service)
            # Set any earlier, a fault while one service is told would
            # leave the others with old endpoints until the list changes.
            self._records = records

    def _group(self, records: _Records) -> None:
        entry_vms = []
        listed_by_service = collections.defaultdict(list)
        for record in sorted(records, key=lambda item: item.vm):
            if record.kind is platform.VmKind.ENTRY:
                entry_vms.append(record)
            else:
                listed_by_service[record.service].append(record.endpoint())
        if tuple(entry_vms) != self._entry_vms:
            self._entry_vms = tuple(entry_vms)
        self._listed_by_service = {
            service: tuple(listed)
            for service, listed in listed_by_service.items()
        }

    def _tell_endpoints(self, service: str) -> None:
        endpoints = self._endpoints(service)
        # Before the first list nothing is known, which differs from a
        # service that has no endpoint.
        if endpoints is None:
            return
        if endpoints != self._told_by_service.get(service):
            self._told_by_service[service] = endpoints
            self._on_endpoints(service, endpoints)

    def _endpoints(self, service: str) -> _Endpoints | None:
        policy = self._policy_by_service[service]
        if policy.source is model.EndpointSource.DOCUMENT:
            return policy.listed
        if self._listed_by_service is None:
            return None
        return self._listed_by_service.get(service, ())
