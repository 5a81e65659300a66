"""A minion: runs tasks under leases and fences, and tells of itself."""

import asyncio
import collections.abc
import time

from aiohttp import web

from standins import http_site
from standins import record
from standins import store as stores

_MS = 1000.0
_MOST_LEASE_MS = 1000
_HEARTBEAT_S = 1.5

# The platform removes the entry of a minion that is silent for so long.
_BEATS_UNTIL_GONE = 3
_MOST_WAIT_MS = 2000

# Tasks of 27 of its 64 cores, as all clients here send them.
_ROOM = 2


class _Run:
    def __init__(self, task: str, attempt: int, work_ms: float) -> None:
        self.task, self.attempt, self.work_ms = task, attempt, work_ms
        self.began = time.monotonic()


class Minion:
    """A sound minion. A task works for as many ms as its ``spec`` begins with.

    Args:
        minion_id: Its id.
        store: Where its entry stands.
        log: Takes in each order, start and end.
        service: Its service.
        zone: Where it stands.
        reaches_store: Tells whether it reaches the store now.
    """

    def __init__(
        self,
        minion_id: str,
        store: stores.Store,
        log: record.Record,
        service: str = 'hallgato',
        zone: str = 'kecskemet-terem',
        reaches_store: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.id = minion_id
        self.zone = zone
        self._reaches_store = reaches_store
        self._store, self._log, self._service = store, log, service
        self._born_ms = int(time.time() * _MS)
        self._born_at = time.monotonic()
        self._fence = 0
        self._lease_ms = 0.0
        self._runs: dict[tuple[str, int], _Run] = {}
        self._barred: dict[str, int] = {}
        self._ends: list[list] = []
        self._number = 0
        self._sequence = 0
        self.state = 'ready'
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._site = http_site.Site(
            ('POST', '/api/run-start', self._start),
            ('POST', '/api/run-stop', self._stop),
            ('POST', '/api/hold', self._hold),
        )

    @property
    def address(self) -> str:
        return self._site.address

    async def start(self) -> None:
        await self._site.start()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._let_lapse()),
        ]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self._site.stop()

    def write_entry(self) -> None:
        self._sequence += 1
        self._store.put(
            'servers',
            self.id,
            {
                'service': self._service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'warmup_left_ms': 0,
                'sequence': self._sequence,
                'capacity': {'cpu': 64_000, 'mem_mb': 131_072, 'gpu': 0},
                'labels': ['a', 'r1-1'],
                'born': self._born_ms,
            },
        )

    async def _beat(self) -> None:
        silent = 0
        while True:
            silent = 0 if self._reaches_store() else silent + 1
            if not silent:
                self.write_entry()
            elif silent == _BEATS_UNTIL_GONE:
                self._store.remove('servers', self.id)
            await asyncio.sleep(_HEARTBEAT_S)

    async def _let_lapse(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            if self._runs and self._clock_ms() >= self._lease_ms:
                for key in list(self._runs):
                    self._end(key, 'lapsed')

    def _clock_ms(self) -> int:
        return 5000 + int((time.monotonic() - self._born_at) * _MS)

    def _reply(self, status: int = 200, **fields) -> web.Response:
        body = {'clock_ms': self._clock_ms(), **fields}
        return web.json_response(body, status=status)

    def _refusal(self, request: web.Request, body: dict):
        if request.headers.get('X-Expect-Instance', self.id) != self.id:
            return web.Response(status=421)
        if body.get('fence', 0) < self._fence:
            return self._reply(409, reason='fence')
        self._fence = body.get('fence', 0)
        return None

    def _prolong(self, body: dict) -> None:
        until = min(
            body.get('deadline_ms', 0), self._clock_ms() + _MOST_LEASE_MS
        )
        self._lease_ms = max(self._lease_ms, until)

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        task, attempt = body['task'], body['attempt']
        key = task, attempt
        if key in self._runs:
            return self._reply()
        if body['deadline_ms'] <= self._clock_ms():
            return self._reply(409, reason='late')
        self._prolong(body)
        if attempt <= self._barred.get(task, 0):
            return self._reply(409, reason='old')
        if len(self._runs) >= _ROOM:
            return self._reply(409, reason='room')
        work_ms = float(body['spec'].split()[0])
        self._runs[key] = _Run(task, attempt, work_ms)
        self._log.add(
            'start',
            minion=self.id,
            task=task,
            attempt=attempt,
            spec=body['spec'],
        )
        loop = asyncio.get_running_loop()
        loop.call_later(work_ms / _MS, self._end, key, 'done')
        return self._reply()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        task, attempt = body['task'], body['attempt']
        self._barred[task] = max(attempt, self._barred.get(task, 0))
        self._log.add('stop order', minion=self.id, task=task, attempt=attempt)
        self._end((task, attempt), 'stopped')
        return self._reply()

    def _end(self, key: tuple[str, int], how: str) -> None:
        if self._runs.pop(key, None) is None:
            return
        task, attempt = key
        self._barred[task] = max(attempt, self._barred.get(task, 0))
        self._number += 1
        self._ends.append([self._number, task, attempt, how, ''])
        self._log.add(
            'end', minion=self.id, task=task, attempt=attempt, how=how
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        self._prolong(body)
        seen = body.get('last_seen', 0)
        self._ends = [row for row in self._ends if row[0] > seen]
        wait_ms = min(body.get('wait_ms', 0), _MOST_WAIT_MS)
        if not self._ends and wait_ms:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_ms / _MS):
                    await changed.wait()
            except TimeoutError:
                pass
        return self._reply(
            born=self._born_ms,
            running=[
                [run.task, run.attempt, '', self._percent(run)]
                for run in self._runs.values()
            ],
            finished=self._ends[:500],
        )

    def _percent(self, run: _Run) -> int:
        gone_ms = (time.monotonic() - run.began) * _MS
        return min(99, int(100 * gone_ms / run.work_ms))
