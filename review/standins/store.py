"""The platform's metadata store: rows, transactions and changes."""

import asyncio
import base64
import json

from aiohttp import web

from standins import http_site

_MS = 1000.0
_TX_S = 0.003
_MOST_ROWS = 500
_READ_ONLY = ('op', 'servers')


class Store:
    """Keeps rows in memory; it loses nothing and is never away."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._version = 1
        self._changed = asyncio.Event()
        self._site = http_site.Site(
            ('GET', '/api/rows-get', self._get),
            ('GET', '/api/rows-feed', self._feed),
            ('POST', '/api/rows-tx', self._transact),
        )

    @property
    def address(self) -> str:
        return self._site.address

    async def start(self) -> None:
        await self._site.start()

    async def stop(self) -> None:
        await self._site.stop()

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as the operator or a minion does."""
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self._version += 1
        self._write(table, '', key, base64.b64encode(data).decode())
        self._tell()

    def remove(self, table: str, key: str) -> None:
        self._version += 1
        self._write(table, '', key, None)
        self._tell()

    def _write(self, table: str, part: str, key: str, value) -> None:
        row = {'table': table, 'part': part, 'key': key}
        row['schema_version'] = self._version
        if value is None:
            row['deleted'] = True
        else:
            row['value'] = value
        self._rows[table, part, key] = row

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _reply(self, status: int = 200, **fields) -> web.Response:
        now_ms = int(asyncio.get_running_loop().time() * _MS)
        body = {'schema_version': self._version, 'now_ms': now_ms, **fields}
        return web.json_response(body, status=status)

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        limit = min(int(query.get('limit', _MOST_ROWS)), _MOST_ROWS)
        start, end = query.get('start_key', ''), query.get('target')
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query['table']
            and part == query.get('part', '')
            and key >= start
            and (end is None or key < end)
            and 'deleted' not in row
        ]
        return self._reply(rows=rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        after, table = int(query['after']), query['table']
        loop = asyncio.get_running_loop()
        until = loop.time() + min(int(query.get('wait_ms', 0)), 30_000) / _MS
        while True:
            changed = self._changed
            rows = [
                row
                for (name, _, _), row in self._rows.items()
                if name == table and row['schema_version'] > after
            ]
            if rows or loop.time() >= until:
                rows.sort(key=lambda row: row['schema_version'])
                return self._reply(rows=rows)
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                pass

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(_TX_S)
        changes = body.get('puts', []) + body.get('remove', [])
        if any(item['table'] in _READ_ONLY for item in changes):
            return self._reply(403)
        known = [self._find(item) for item in body.get('expected_rev', [])]
        for item, row in zip(body.get('expected_rev', []), known, strict=True):
            version = 0 if row is None else row['schema_version']
            if version != item['schema_version']:
                rows = [row for row in known if row is not None]
                return self._reply(412, rows=rows)
        self._version += 1
        for item in body.get('puts', []):
            self._write(
                item['table'], item.get('part', ''), item['key'], item['value']
            )
        for item in body.get('remove', []):
            self._write(item['table'], item.get('part', ''), item['key'], None)
        self._tell()
        return self._reply()

    def _find(self, item: dict) -> dict | None:
        key = item['table'], item.get('part', ''), item['key']
        row = self._rows.get(key)
        return None if row is None or 'deleted' in row else row
