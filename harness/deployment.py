"""A whole deployment on loopback: stand-ins and daemons as processes.

Use it in an asyncio test::

    async with deployment.Deployment() as deployed:
        await deployed.start_platform()
        minions = await deployed.start_minions('m', 'palermo', count=4)
        await deployed.start_daemon('entry-1', 'palermo')
        path = deployed.write_document(deployment.document('clips', minions))
        await deployed.tool('service', 'put', str(path))
"""

import asyncio
import collections.abc
import json
import pathlib
import sys
import typing

import aiohttp
import attrs

from harness import _process
from harness import _setup_files
from rosemaryroad import model
from rosemaryroad import settings
from rosemaryroad import structure

__all__ = ['Daemon', 'Deployment', 'Exited', 'Finished', 'document']

Exited = _process.Exited
Finished = _process.Finished
Process = _process.Process

TEAM = _setup_files.TEAM
_READY_TIMEOUT_S = _process.DEFAULT_TIMEOUT_S
_STOP_TIMEOUT_S = 20.0


@attrs.define
class Daemon:
    """A running ``rosemaryroadd``; ``listen`` are the addresses it got."""

    vm: str
    failure_domain: str
    process: Process
    listen: settings.Listen

    @property
    def url(self) -> str:
        """Where it serves callers."""
        return f'http://{self.listen.callers}'


def document(
    service: str,
    endpoints: collections.abc.Iterable[model.Endpoint],
    **fields: typing.Any,
) -> dict[str, typing.Any]:
    """Returns a service's document with its endpoints listed."""
    listed = [structure.unstructure(endpoint) for endpoint in endpoints]
    return {
        'service': service,
        'team': TEAM,
        'endpoints': {'source': 'document', 'listed': listed},
        **fields,
    }


class Deployment:
    """Starts processes in a temporary folder and ends all that it started.

    The ``token`` is of the team ``school``; ``daemons`` go by their VM.
    """

    def __init__(self) -> None:
        self._files = _setup_files.SetupFiles()
        self.folder = self._files.folder
        self.token = self._files.token
        self.daemons: dict[str, Daemon] = {}
        self._processes: list[Process] = []
        self._platform: Process | None = None
        self._http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'Deployment':
        self._http = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *failed: object) -> None:
        try:
            # The stand-ins go last, so that daemons can drain.
            daemons = {id(item.process) for item in self.daemons.values()}
            first = [item for item in self._processes if id(item) in daemons]
            await _stop_all(first)
            await _stop_all(self._processes)
            if any(failed):
                self._print_logs()
        finally:
            await self.http.close()
            self._files.remove()

    @property
    def http(self) -> aiohttp.ClientSession:
        """An HTTP session for the test's own calls."""
        if self._http is None:
            raise RuntimeError('use it in "async with"')
        return self._http

    @property
    def platform(self) -> Process:
        """The platform's stand-in."""
        if self._platform is None:
            raise RuntimeError('call start_platform first')
        return self._platform

    @property
    def addresses(self) -> list[str]:
        """Where the running daemons serve callers."""
        return [daemon.listen.callers for daemon in self._running()]

    def _running(self) -> list[Daemon]:
        return [item for item in self.daemons.values() if item.process.running]

    async def start_platform(self) -> Process:
        """Starts the platform's stand-in, which the daemons need."""
        process, addresses = await self._start_standin(
            'platform', 'tests.standins.platform'
        )
        process.address = addresses[0]
        self._platform = process
        return process

    async def start_minions(
        self,
        prefix: str,
        failure_domain: str,
        count: int = 1,
        slots: int = 8,
        arguments: tuple[str, ...] = (),
    ) -> tuple[model.Endpoint, ...]:
        """Starts one process that serves minions ``PREFIX-0`` and so on.

        Each runs ``slots`` tasks at once; returns the endpoints, as a
        document lists them.
        """
        size = ('--count', str(count), '--slots', str(slots))
        _, addresses = await self._start_standin(
            prefix, 'tests.standins.minion', '--id', prefix, *size, *arguments
        )
        return tuple(
            model.Endpoint(f'{prefix}-{n}', at, failure_domain, slots=slots)
            for n, at in enumerate(addresses)
        )

    async def start_daemon(
        self,
        vm: str,
        failure_domain: str,
        ready: bool = True,
        command: tuple[str, ...] = (),
        **overrides: typing.Any,
    ) -> Daemon:
        """Starts a daemon and enters it into the VM list.

        Args:
            vm: Its id.
            failure_domain: Where it is said to stand.
            ready: Whether to wait until ``/readyz`` says so.
            command: What is run in place of ``rosemaryroadd``.
            **overrides: Sections or keys in place of those of its settings.
        """
        path, ready_file = self._files.write_settings(
            vm, failure_domain, self.platform.address, overrides
        )
        command = command or (_process.script('rosemaryroadd'),)
        process = await self._start(vm, *command, str(path))
        text = await _read_ready(process, ready_file)
        listen = structure.structure(json.loads(text), settings.Listen)
        process.address = listen.callers
        daemon = Daemon(vm, failure_domain, process, listen)
        self.daemons[vm] = daemon
        if self._platform is not None:
            await self.list_vms()
        if ready:
            await self.wait_ready(daemon)
        return daemon

    async def wait_ready(self, daemon: Daemon, ready: bool = True) -> None:
        """Waits until ``/readyz`` of a daemon says that it is, or isn't."""

        async def look() -> bool | None:
            try:
                async with self.http.get(f'{daemon.url}/readyz') as reply:
                    return True if reply.ok is ready else None
            except aiohttp.ClientError:
                return None if ready else True

        await daemon.process.poll(look, _READY_TIMEOUT_S)

    async def wait_document(self, service: str, version: int = 1) -> None:
        """Waits until a document is in force at every running daemon."""
        for daemon in self._running():
            await self._wait_document(daemon, service, version)

    async def _wait_document(
        self, daemon: Daemon, service: str, version: int
    ) -> None:
        async def look() -> bool | None:
            async with self.http.get(f'{daemon.url}/v1/status') as reply:
                body = await reply.json()
            services = body['services']
            versions = {x['view']['service']: x['version'] for x in services}
            return True if (versions.get(service) or 0) >= version else None

        await daemon.process.poll(look, _READY_TIMEOUT_S)

    async def stop_daemons(self) -> dict[str, int]:
        """Ends all daemons by SIGTERM and returns their exit codes."""
        codes = await _stop_all(item.process for item in self.daemons.values())
        return dict(zip(self.daemons, codes, strict=True))

    async def list_vms(self) -> None:
        """Enters all running daemons into the platform's VM list."""
        vms = [
            {
                'vm': daemon.vm,
                'kind': 'entry',
                'failure_domain': daemon.failure_domain,
                'incarnation': '0',
                'peer_address': daemon.listen.peers,
                'state': 'live',
            }
            for daemon in self._running()
        ]
        await self._control('vms/list', {'vms': vms})

    async def set_platform(self, part: str, **switches: typing.Any) -> None:
        """Sets the faults of ``table``, ``objects`` or ``vms``."""
        await self._control(part, switches)

    async def _control(self, path: str, body: dict[str, typing.Any]) -> None:
        url = f'http://{self.platform.address}/control/{path}'
        async with self.http.put(url, json=body) as reply:
            reply.raise_for_status()

    async def tool(self, *arguments: str, timeout_s: float = 60.0) -> Finished:
        """Runs the tool ``rosemaryroad`` against the running daemons."""
        return await _process.run(
            _process.script('rosemaryroad'),
            *arguments,
            timeout_s=timeout_s,
            ROSEMARYROAD_ADDRESS=' '.join(self.addresses),
            ROSEMARYROAD_TOKEN_FILE=str(self._files.token_file),
            NO_COLOR='1',
        )

    def write_document(self, fields: dict[str, typing.Any]) -> pathlib.Path:
        """Writes a document for the tool and returns the file."""
        return self._files.write_document(fields)

    async def _start_standin(
        self, name: str, module: str, *arguments: str
    ) -> tuple[Process, list[str]]:
        ready_file = self._files.ready_file(name)
        command = (sys.executable, '-m', module, *arguments)
        ready_argument = ('--ready-file', str(ready_file))
        process = await self._start(name, *command, *ready_argument)
        text = await _read_ready(process, ready_file)
        return process, text.split()

    async def _start(self, name: str, *arguments: str) -> Process:
        process = await Process.start(name, *arguments)
        self._processes.append(process)
        return process

    def _print_logs(self) -> None:
        for process in self._processes:
            print(f'--- {process.name}', process.tail(), sep='\n')


async def _read_ready(process: Process, path: pathlib.Path) -> str:
    async def look() -> str | None:
        exists = await asyncio.to_thread(path.exists)
        return await asyncio.to_thread(path.read_text) if exists else None

    return await process.poll(look, _READY_TIMEOUT_S)


async def _stop_all(processes: collections.abc.Iterable[Process]) -> list[int]:
    stops = [process.stop(_STOP_TIMEOUT_S) for process in processes]
    return list(await asyncio.gather(*stops))
