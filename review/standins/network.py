"""The network between zones, through which all daemons speak."""

import asyncio
import base64
import json

import aiohttp
from aiohttp import web
import attrs

from standins import http_site
from standins import store as stores

_VM_TABLE, _VM_PREFIX = 'rosemaryroad', 'vm/'
_MINION_TABLE = 'servers'


@attrs.frozen
class Place:
    """Where one end of a connection is.

    Attributes:
        zone: Its zone.
        vm: Its name, if it is a VM of the system.
        is_minion: Whether it is a minion; it is the store otherwise.
    """

    zone: str
    vm: str = ''
    is_minion: bool = False


class Network:
    """Relays for all that daemons say to each other, to minions and the store.

    A cut is silent. A connection that it meets stays silent, as one that is
    opened while it lasts; those that are opened later get through.
    """

    def __init__(self) -> None:
        self._cut_off = ''
        self._alone = ''
        self._open: set[_Connection] = set()
        self._servers: list[asyncio.Server] = []
        self._address_by_way: dict[tuple[Place, str], str] = {}

    def cut_zone(self, zone: str) -> None:
        """Cuts a zone off from all others."""
        self._cut_off = zone
        self._silence()

    def cut_vm(self, vm: str) -> None:
        """Cuts a VM off from all other VMs and the store."""
        self._alone = vm
        self._silence()

    def heal(self) -> None:
        self._cut_off = self._alone = ''

    def is_parted(self, near: Place, far: Place) -> bool:
        """Tells whether two places don't hear each other."""
        zones = near.zone, far.zone
        if near.zone != far.zone and self._cut_off in zones:
            return True
        if near.is_minion or far.is_minion or not self._alone:
            return False
        return self._alone in (near.vm, far.vm)

    def _silence(self) -> None:
        for connection in self._open:
            if self.is_parted(connection.near, connection.far):
                connection.silence()

    async def way(self, near: Place, far: Place, target: str) -> str:
        """Returns where a VM reaches an address."""
        key = near, target
        if key not in self._address_by_way:

            async def serve(reader, writer) -> None:
                await self._serve(near, far, target, reader, writer)

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self._address_by_way[key] = f'127.0.0.1:{port}'
        return self._address_by_way[key]

    async def stop(self) -> None:
        for server in self._servers:
            server.close()
        for connection in list(self._open):
            connection.close()

    async def _serve(self, near, far, target, reader, writer) -> None:
        connection = _Connection(near, far, writer)
        self._open.add(connection)
        try:
            if self.is_parted(near, far):
                connection.silence()
            else:
                host, _, port = target.rpartition(':')
                try:
                    other = await asyncio.open_connection(host, port)
                except OSError:
                    return
                connection.writers.append(other[1])
                pumps = [
                    asyncio.create_task(connection.pump(reader, other[1])),
                    asyncio.create_task(connection.pump(other[0], writer)),
                ]
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
                for pump in pumps:
                    pump.cancel()
                await asyncio.wait(pumps)
            if connection.is_silent:
                # Neither end hears of the other's end any more.
                while await reader.read(65_536):
                    pass
        except OSError:
            pass
        finally:
            self._open.discard(connection)
            connection.close()


class _Connection:
    def __init__(self, near: Place, far: Place, writer) -> None:
        self.near, self.far = near, far
        self.writers = [writer]
        self.is_silent = False

    def silence(self) -> None:
        self.is_silent = True

    def close(self) -> None:
        for writer in self.writers:
            writer.close()

    async def pump(self, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                if self.is_silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


class StoreView:
    """The store as one VM sees it: far addresses lead through the network.

    Args:
        store: The store.
        network: The network.
        near: The VM.
        place_of: Returns where an address is.
    """

    def __init__(
        self, store: stores.Store, network: Network, near: Place, place_of
    ) -> None:
        self._store, self._network = store, network
        self._near, self._place_of = near, place_of
        self._http: aiohttp.ClientSession | None = None
        self._site = http_site.Site(
            ('GET', '/api/rows-get', self._pass_on),
            ('GET', '/api/rows-feed', self._pass_on),
            ('POST', '/api/rows-tx', self._pass_on),
        )

    @property
    def address(self) -> str:
        return self._site.address

    async def start(self) -> None:
        self._http = aiohttp.ClientSession()
        await self._site.start()

    async def stop(self) -> None:
        await self._http.close()
        await self._site.stop()

    async def _pass_on(self, request: web.Request) -> web.Response:
        try:
            return await self._ask(request)
        except aiohttp.ClientError:
            # The case is over.
            return web.Response(status=503)

    async def _ask(self, request: web.Request) -> web.Response:
        async with self._http.request(
            request.method,
            f'http://{self._store.address}{request.path_qs}',
            data=await request.read(),
            headers={'Content-Type': 'application/json'},
        ) as response:
            body = await response.json()
            for row in body.get('rows', ()):
                await self._show(row)
            return web.json_response(body, status=response.status)

    async def _show(self, row: dict) -> None:
        is_peer = row['table'] == _VM_TABLE and row['key'].startswith(
            _VM_PREFIX
        )
        own = row['key'] == _VM_PREFIX + self._near.vm
        if 'value' not in row or own:
            return
        if not is_peer and row['table'] != _MINION_TABLE:
            return
        value = json.loads(base64.b64decode(row['value']))
        far = self._place_of(value['address'])
        value['address'] = await self._network.way(
            self._near, far, value['address']
        )
        row['value'] = base64.b64encode(json.dumps(value).encode()).decode()
