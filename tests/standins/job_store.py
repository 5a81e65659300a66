"""A stand-in for the users' metadata store: rows, changes, transactions.

It is told how to misbehave by the attributes of ``StoreFaults``.
"""

import asyncio
import base64
import collections
import collections.abc
import json

import attrs
import sanic

from tests.standins import _serve

MS_PER_SECOND = 1000.0


@attrs.define
class StoreFaults:
    """What the store does wrong.

    Attributes:
        status: Answer everything with this status, 0 for never.
        swallow: Read calls and never answer them.
        lose_answers: Carry writes out and never answer them.
        answer_ms: How long an answer takes.
        garble: Answer with what is no JSON.
    """

    status: int = 0
    swallow: bool = False
    lose_answers: bool = False
    answer_ms: float = 0.0
    garble: bool = False


class StoreRows:
    """Rows by table and key, with a history of changes."""

    def __init__(self) -> None:
        self.version = 1
        self.history_from = 0
        self.changed = asyncio.Event()
        self._row_by_name: dict[tuple[str, str], dict] = {}

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as another writer would; bytes go in as they are."""
        data = value if isinstance(value, bytes) else _json(value)
        encoded = base64.b64encode(data).decode()
        self.put_raw(table, key, part='', value=encoded)

    def put_raw(self, table: str, key: str, **fields: object) -> None:
        """Writes a row whose fields may be of any type."""
        self.version += 1
        row = {'table': table, 'key': key, 'schema_version': self.version}
        self._row_by_name[table, key] = row | fields
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table: str, key: str) -> None:
        """Drops a row."""
        self.put_raw(table, key, deleted=True)

    def find(self, table: str, key: str) -> dict | None:
        """Returns a row, or what is kept of one that was dropped."""
        return self._row_by_name.get((table, key))

    def of_table(self, table: str, after: int) -> list[dict]:
        """Returns the rows of a table that are newer than a version."""
        return sorted(
            (
                row
                for (name, _), row in self._row_by_name.items()
                if name == table and row['schema_version'] > after
            ),
            key=lambda row: row['key'],
        )


class JobStore:
    """Serves rows, at an address and with faults of its own.

    Args:
        rows: The rows; several servers may share them.
        show: Called with each row that is read; returns it as the reader
            is to see it.
    """

    def __init__(
        self,
        rows: StoreRows | None = None,
        show: collections.abc.Callable[[dict], dict] = lambda row: row,
    ) -> None:
        self.faults = StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.rows = StoreRows() if rows is None else rows
        self._show = show
        self._serving: _serve.Serving | None = None

    @property
    def address(self) -> str:
        """Where it listens, as ``IP:port``."""
        return self._serving.address

    @property
    def version(self) -> int:
        """The newest version of any row."""
        return self.rows.version

    async def start(self) -> None:
        """Listens on loopback."""
        app = _serve.make_app('job-store')
        for path, method, handler in (
            ('/api/rows-get', 'GET', self._get),
            ('/api/rows-feed', 'GET', self._feed),
            ('/api/rows-tx', 'POST', self._transact),
        ):
            app.add_route(handler, path, methods=[method])
        app.register_middleware(self._misbehave, 'request')
        self._serving = await _serve.start(app)

    async def stop(self) -> None:
        """Ends it."""
        await self._serving.stop()

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as another writer would; bytes go in as they are."""
        self.rows.put(table, key, value)

    def put_raw(self, table: str, key: str, **fields: object) -> None:
        """Writes a row whose fields may be of any type."""
        self.rows.put_raw(table, key, **fields)

    def remove(self, table: str, key: str) -> None:
        """Drops a row."""
        self.rows.remove(table, key)

    def value(self, table: str, key: str) -> object:
        """Returns a row's value, read as JSON."""
        return json.loads(
            base64.b64decode(self.rows.find(table, key)['value'])
        )

    def forget_history(self) -> None:
        """Drops all changes so far from the history."""
        self.rows.history_from = self.rows.version

    def _rows(self, table: str, after: int = 0) -> list[dict]:
        return [self._show(row) for row in self.rows.of_table(table, after)]

    async def _misbehave(
        self, request: sanic.Request
    ) -> sanic.HTTPResponse | None:
        self.calls[request.path] += 1
        faults = self.faults
        if faults.swallow:
            await asyncio.sleep(_serve.FOREVER_S)
        if faults.answer_ms:
            await asyncio.sleep(faults.answer_ms / MS_PER_SECOND)
        if faults.status:
            return sanic.response.text('', status=faults.status)
        if faults.garble:
            return sanic.response.text('<html>')
        return None

    def _reply(self, **fields: object) -> sanic.HTTPResponse:
        version = self.rows.version
        body = {'schema_version': version, 'now_ms': 1, **fields}
        return sanic.response.raw(_json(body), content_type='application/json')

    async def _get(self, request: sanic.Request) -> sanic.HTTPResponse:
        start = request.args.get('start_key', '')
        limit = int(request.args.get('limit', '500'))
        rows = [
            row
            for row in self._rows(request.args['table'][0])
            if row['key'] >= start and not row.get('deleted')
        ]
        return self._reply(rows=rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, request: sanic.Request) -> sanic.HTTPResponse:
        table = request.args['table'][0]
        after = int(request.args['after'][0])
        wait_s = int(request.args['wait_ms'][0]) / MS_PER_SECOND
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not self._rows(table, after) and loop.time() < until:
            changed = self.rows.changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                break
        if after < self.rows.history_from:
            return sanic.response.text('', status=410)
        return self._reply(rows=self._rows(table, after))

    async def _transact(self, request: sanic.Request) -> sanic.HTTPResponse:
        body = request.json
        rows = [
            self.rows.find(item['table'], item['key'])
            for item in body['expected_rev']
        ]
        versions = [
            0 if row is None or row.get('deleted') else row['schema_version']
            for row in rows
        ]
        wanted = [item['schema_version'] for item in body['expected_rev']]
        if versions != wanted:
            found = [row for row in rows if row is not None]
            body = {'schema_version': self.rows.version, 'rows': found}
            return sanic.response.raw(_json(body), status=412)
        for item in body['puts']:
            value = base64.b64decode(item['value'])
            self.put(item['table'], item['key'], value)
        if self.faults.lose_answers:
            await asyncio.sleep(_serve.FOREVER_S)
        return self._reply()


def _json(value: object) -> bytes:
    return json.dumps(value).encode()
