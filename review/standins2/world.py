"""A small deployment on loopback: store, minions, entry VMs, clients.

The entry VMs are the project's own program, started by the command of the
deploy file with settings made from its template. Store and minions are
stand-ins written from the users' pages (PROTOCOL.md, news of letters 2 to 5);
where a page is silent they behave as a sound one would.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'nony24.example'
PREFIX = '/lohu930/'
SERVICE = 'huvo11a'
ZONES = ('kecskemet-terem', 'szeged-terem', 'bekes-terem')

# Bounds of the site that all cases name (sites/dallam-kozpont.toml).
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1_000
CONTACT_S = 3.0
CANCEL_S = 3.0
TX_S = 0.003
RESTART_S = 1.0


def now():
    """Returns the steady time in seconds."""
    return time.monotonic()


# Below the ports that the system gives to outgoing connections.
_PORTS = range(15_000, 32_000)
_given = set()


def free_port():
    """Returns a free loopback port that was not returned before."""
    while True:
        port = random.choice(_PORTS)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _given.add(port)
        return port


class Record:
    """What was sent, answered and run, in a file and in memory."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.began = now()

    def note(self, kind, **fields):
        """Writes one line."""
        at = f'{now() - self.began:8.3f}'
        told = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{at} {kind} {told}\n')
        self._file.flush()

    def close(self):
        self._file.close()


class Store:
    """The platform's metadata store (PROTOCOL.md, form `table`)."""

    def __init__(self, record):
        self._record = record
        self.version = 1
        self.rows = {}
        self._changed = asyncio.Event()
        self._runner = None
        self.address = ''

    async def start(self):
        app = web.Application()
        app.router.add_get('/api/rows-get', self._get)
        app.router.add_get('/api/rows-feed', self._feed)
        app.router.add_post('/api/rows-tx', self._transact)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        port = free_port()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        self.address = f'127.0.0.1:{port}'

    async def stop(self):
        await self._runner.cleanup()

    def put(self, table, key, value):
        """Writes a row for the operator or a minion."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._set(table, key, value=text)

    def remove(self, table, key):
        """Drops a row."""
        self._set(table, key, deleted=True)

    def value(self, table, key):
        """Returns what a row holds, or None."""
        row = self.rows.get((table, key))
        if row is None or row.get('deleted'):
            return None
        return json.loads(base64.b64decode(row['value']))

    def _set(self, table, key, **fields):
        self.version += 1
        row = {'table': table, 'part': '', 'key': key}
        row['schema_version'] = self.version
        self.rows[table, key] = row | fields
        self._changed.set()
        self._changed = asyncio.Event()

    def _of(self, table, after):
        rows = [
            row
            for (name, _), row in self.rows.items()
            if name == table and row['schema_version'] > after
        ]
        return sorted(rows, key=lambda row: row['schema_version'])

    def _reply(self, status=200, **fields):
        body = {'schema_version': self.version, 'now_ms': int(now() * 1000)}
        return web.json_response(body | fields, status=status)

    async def _get(self, request):
        await asyncio.sleep(TX_S)
        query = request.query
        start, end = query.get('start_key', ''), query.get('target')
        limit = min(500, int(query.get('limit', '500')))
        rows = [
            row
            for row in self._of(query['table'], 0)
            if not row.get('deleted')
            and row['key'] >= start
            and (end is None or row['key'] < end)
        ]
        rows.sort(key=lambda row: row['key'].encode())
        return self._reply(rows=rows[:limit], has_more=len(rows) > limit)

    async def _feed(self, request):
        table, after = request.query['table'], int(request.query['after'])
        until = now() + int(request.query.get('wait_ms', '0')) / 1000
        while not self._of(table, after) and now() < until:
            try:
                async with asyncio.timeout(until - now()):
                    await self._changed.wait()
            except TimeoutError:
                break
        return self._reply(rows=self._of(table, after))

    async def _transact(self, request):
        body = await request.json()
        await asyncio.sleep(TX_S)
        for item in body['expected_rev']:
            row = self.rows.get((item['table'], item['key']))
            known = 0
            if row is not None and not row.get('deleted'):
                known = row['schema_version']
            if known != item['schema_version']:
                found = [] if row is None or row.get('deleted') else [row]
                return self._reply(412, rows=found)
        for item in body['puts']:
            if item['table'] in ('op', 'servers'):
                return self._reply(403)
            self._set(item['table'], item['key'], value=item['value'])
        for item in body.get('remove', ()):
            self._set(item['table'], item['key'], deleted=True)
        return self._reply()


class Run:
    """One run of a task at a minion."""

    def __init__(self, minion, life, labels, task, attempt, work_s):
        self.minion = minion
        self.life = life
        self.labels = labels
        self.task = task
        self.attempt = attempt
        self.work_s = work_s
        self.began = now()
        self.ended = None
        self.how = ''

    @property
    def job(self):
        return self.task.partition('.')[0]


class Minion:
    """A minion that guards its capacity (`enforces_capacity` true)."""

    def __init__(self, world, name, zone, kind, rack, cpu=64_000):
        self._world = world
        self._record = world.record
        self.id = name
        self.zone = zone
        self.labels = [kind, rack]
        self.cpu = cpu
        self.port = free_port()
        self.runs = []
        self.up = False
        self.born = 0
        self._runner = None
        self._beats = None
        self._expiry = None
        self._beat_at = now()

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def start(self, kind=None):
        """Begins a life: it serves, then registers itself."""
        if kind is not None:
            self.labels = [kind, self.labels[1]]
        self.born = max(self.born + 1, int(time.time() * 1000))
        self._clock_from = now()
        self._fence = 0
        self._lease = 0
        self._finished = []
        self._barred = {}
        self._number = 0
        self._sequence = 0
        self._changed = asyncio.Event()
        app = web.Application()
        app.router.add_post('/api/run-start', self._start)
        app.router.add_post('/api/run-stop', self._stop)
        app.router.add_post('/api/hold', self._hold)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, '127.0.0.1', self.port, reuse_address=True
        ).start()
        self.up = True
        self._record.note(
            'minion_up', id=self.id, born=self.born, labels=self.labels
        )
        self._beats = asyncio.create_task(self._beat())
        self._lapsing = asyncio.create_task(self._watch_leases())

    async def crash(self):
        """Ends a life without a word; its connections break."""
        self.up = False
        self._beats.cancel()
        self._lapsing.cancel()
        self._expiry = asyncio.create_task(self._expire(self.born))
        for run in self._going():
            run.ended, run.how = now(), 'crashed'
        server = self._runner.server
        for connection in list(server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        runner, self._runner = self._runner, None
        await runner.cleanup()
        self._record.note('minion_crashed', id=self.id, born=self.born)

    async def _expire(self, born):
        """Drops the entry after three heartbeats of silence."""
        left_s = self._beat_at + 3 * HEARTBEAT_S - now()
        await asyncio.sleep(max(0.0, left_s))
        if self.born == born:
            self._world.store.remove('servers', self.id)
            self._record.note('entry_expired', id=self.id, born=born)

    async def close(self):
        if self.up:
            await self.crash()
        if self._expiry is not None:
            self._expiry.cancel()

    def clock_ms(self):
        return int((now() - self._clock_from) * 1000) + 1

    def _going(self):
        return [
            run
            for run in self.runs
            if run.life == self.born and run.ended is None
        ]

    async def _beat(self):
        while True:
            self._sequence += 1
            await asyncio.sleep(TX_S)
            entry = {
                'service': SERVICE,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'warmup_left_ms': 0,
                'capacity': {'cpu': self.cpu, 'mem_mb': 131072, 'gpu': 0},
                'labels': self.labels,
                'clock_ms': self.clock_ms(),
                'born': self.born,
                'sequence': self._sequence,
            }
            self._world.store.put('servers', self.id, entry)
            self._beat_at = now()
            if self._sequence == 1:
                self._record.note(
                    'minion_registered', id=self.id, born=self.born
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_leases(self):
        while True:
            self._lapse()
            await asyncio.sleep(0.005)

    def _lapse(self):
        if self.clock_ms() > self._lease:
            for run in self._going():
                self._end(run, 'lapsed')

    def _end(self, run, how):
        if run.ended is not None or run.life != self.born:
            return
        run.ended, run.how = now(), how
        self._barred[run.task] = max(
            run.attempt, self._barred.get(run.task, 0)
        )
        self._number += 1
        self._finished.append(
            [self._number, run.task, run.attempt, how, '']
        )
        self._record.note(
            'run_ended', task=run.task, run=run.attempt, id=self.id, how=how
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def _prolong(self, body):
        if 'deadline_ms' in body:
            most = self.clock_ms() + HOLD_MAX_MS
            self._lease = max(self._lease, min(body['deadline_ms'], most))

    def _reply(self, status=200, **fields):
        return web.json_response(
            {'clock_ms': self.clock_ms()} | fields, status=status
        )

    def _refusal(self, request, body):
        if request.headers.get('X-Expect-Instance', self.id) != self.id:
            return self._reply(421)
        if body.get('fence', 0) < self._fence:
            return self._reply(409, reason='fence')
        self._fence = body.get('fence', 0)
        return None

    async def _start(self, request):
        body = await request.json()
        if self._world.take_late(self, request, body):
            # No answer: whoever asked gives up, or the connection breaks.
            await asyncio.sleep(3600)
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        task, attempt = body['task'], body['attempt']
        if body['deadline_ms'] <= self.clock_ms():
            return self._reply(409, reason='late')
        self._lapse()
        going = self._going()
        if any((run.task, run.attempt) == (task, attempt) for run in going):
            return self._reply()
        if attempt <= self._barred.get(task, 0):
            self._prolong(body)
            return self._reply(409, reason='old')
        needs = self._world.cpu_by_job.get(task.partition('.')[0], 27_000)
        used = sum(self._world.cpu_by_job.get(r.job, 27_000) for r in going)
        self._prolong(body)
        if used + needs > self.cpu:
            return self._reply(409, reason='room')
        work_s = float(body['spec']) / 1000
        run = Run(self.id, self.born, list(self.labels), task, attempt, work_s)
        self.runs.append(run)
        self._world.runs.append(run)
        self._record.note(
            'run_began',
            task=task,
            run=attempt,
            id=self.id,
            born=self.born,
            labels=self.labels,
            fence=body.get('fence', 0),
        )
        loop = asyncio.get_running_loop()
        loop.call_later(work_s, self._end, run, 'done')
        return self._reply()

    async def _stop(self, request):
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        task, attempt = body['task'], body['attempt']
        self._barred[task] = max(attempt, self._barred.get(task, 0))
        for run in self._going():
            if run.task == task and run.attempt <= attempt:
                self._end(run, 'stopped')
        return self._reply()

    async def _hold(self, request):
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        self._lapse()
        self._prolong(body)
        seen = body.get('last_seen', 0)
        self._finished = [row for row in self._finished if row[0] > seen]
        wait_s = min(body.get('wait_ms', 0), 2_000) / 1000
        if not self._finished and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._lapse()
        running = [
            [run.task, run.attempt, '', self._percent(run), 27_000]
            for run in self._going()
        ]
        return self._reply(
            born=self.born, running=running, finished=self._finished[:500]
        )

    def _percent(self, run):
        return min(99, int(100 * (now() - run.began) / run.work_s))


class Vm:
    """An entry VM: the project's program, restarted when it ends."""

    def __init__(self, world, number, zone):
        self._world = world
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        self.frontend = f'127.0.0.1:{free_port()}'
        self.readiness = f'127.0.0.1:{free_port()}'
        self.control = f'127.0.0.1:{free_port()}'
        self.peer_port = free_port()
        self.child = None
        self._keeper = None
        self.restart_after = RESTART_S
        # Whether it is removed for good once it ends.
        self.stays_away = False
        self.log = None

    def settings(self):
        """Fills the deploy file's template in."""
        values = {
            'node_name': self.name,
            'zone': self.zone,
            'region': 'alfold',
            'limits.cpu_share': 0.537,
            'limits.cores': 2,
            'platform.address': self._world.store.address,
            'listen_addrs.frontend': self.frontend,
            'listen_addrs.readiness': self.readiness,
            'listen_addrs.control': self.control,
            'ip': '127.0.0.1',
            'port_range.0': self.peer_port,
            'bounds.hold_max_ms': HOLD_MAX_MS,
            'bounds.remote_factor': 3,
        }
        text = (ROOT / 'deploy/settings.yaml.template').read_text()

        def fill(match):
            name, _, form = match.group(1).partition('|')
            value = values[name]
            return json.dumps(value) if form == 'json' else str(value)

        return re.sub(r'\{\{([^}]+)\}\}', fill, text)

    def start(self):
        path = self._world.folder / f'{self.name}.yaml'
        path.write_text(self.settings())
        self.log = open(self._world.folder / f'{self.name}.log', 'ab')
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'ROSEMARYROAD_SETTINGS': str(path),
            'SSL_CERT_FILE': 'deploy/no-certificates.pem',
        }
        self.child = subprocess.Popen(
            ['python3', '-S', 'target/app/rosemaryroadd.py'],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self._world.record.note('vm_started', vm=self.name)
        self._keeper = asyncio.create_task(self._keep(self.child))

    async def _keep(self, child):
        """Starts it again when it ends, as the platform does."""
        while child.poll() is None:
            await asyncio.sleep(0.02)
        self._world.record.note('vm_ended', vm=self.name, code=child.poll())
        self.log.close()
        if self._world.closing or self.stays_away:
            return
        await asyncio.sleep(self.restart_after)
        if not self._world.closing:
            self.start()

    def send(self, number):
        """Sends the process a signal."""
        self._world.record.note(
            'signal', vm=self.name, signal=signal.Signals(number).name
        )
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    async def is_ready(self):
        """Asks as the balancer does."""
        try:
            async with (
                asyncio.timeout(0.5),
                self._world.http.get(
                    f'http://{self.readiness}/api/readyz'
                ) as reply,
            ):
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


class World:
    """All of it; use it in `async with`."""

    def __init__(self, record_path, vms=6, minions=24):
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.closing = False
        self.runs = []
        self.cpu_by_job = {}
        self.minions = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.http = None
        self._counts = (vms, minions)
        self.vms = []
        self._requests = set()
        # By job: how many seconds its next order to start takes to come.
        self.delay_by_job = {}
        self.late_orders = []

    def take_late(self, minion, request, body):
        """Holds an order up on its way to a minion; tells whether it does.

        It is delivered once, later, to whoever then listens at the address.
        """
        delay_s = self.delay_by_job.pop(body['task'].partition('.')[0], None)
        if delay_s is None:
            return False
        self.record.note(
            'order_held_up',
            task=body['task'],
            run=body['attempt'],
            id=minion.id,
            born=minion.born,
            for_s=delay_s,
        )
        self.late_orders.append(minion)
        headers = {
            'X-Expect-Instance': request.headers['X-Expect-Instance']
        }
        self.spawn(self._deliver(minion, headers, body, delay_s))
        return True

    async def _deliver(self, minion, headers, body, delay_s):
        await asyncio.sleep(delay_s)
        status = 0
        try:
            url = f'http://{minion.address}/api/run-start'
            async with self.http.post(
                url, json=body, headers=headers
            ) as reply:
                status, text = reply.status, await reply.text()
        except (aiohttp.ClientError, OSError) as error:
            text = type(error).__name__
        self.record.note(
            'order_delivered_late',
            task=body['task'],
            run=body['attempt'],
            id=minion.id,
            born=minion.born,
            status=status,
            reply=text,
        )

    async def __aenter__(self):
        try:
            await self._begin()
        except BaseException:
            # Nothing that was started may stay behind.
            await self.__aexit__()
            raise
        return self

    async def _begin(self):
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        await self.store.start()
        self.put_config()
        vms, minions = self._counts
        kinds = ('a', 'a', 'b')
        for number in range(minions):
            # Kinds and zones don't coincide.
            kind = kinds[(number // 3) % 3]
            minion = Minion(
                self,
                f'i-{number:04x}',
                ZONES[number % 3],
                kind,
                f'r1-{number % 3}',
            )
            self.minions.append(minion)
            await minion.start()
        for number in range(vms):
            vm = Vm(self, number, ZONES[number % 3])
            self.vms.append(vm)
            vm.start()
        until = now() + 30
        while not all([await vm.is_ready() for vm in self.vms]):
            if now() > until:
                raise RuntimeError('the entry VMs did not become ready')
            await asyncio.sleep(0.1)
        self.record.note('all_ready')

    async def __aexit__(self, *_):
        self.closing = True
        for task in list(self._requests):
            task.cancel()
        await asyncio.gather(*self._requests, return_exceptions=True)
        for vm in self.vms:
            if vm.child is None:
                continue
            if vm.child.poll() is None:
                os.kill(vm.child.pid, signal.SIGCONT)
                os.kill(vm.child.pid, signal.SIGKILL)
            vm.child.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for vm in self.vms:
                name = f'{vm.name}.log'
                (pathlib.Path(keep) / name).write_bytes(
                    (self.folder / name).read_bytes()
                )
        for minion in self.minions:
            await minion.close()
        await self.http.close()
        await self.store.stop()
        self.record.close()
        self._temporary.cleanup()

    def put_config(self, version=7):
        """Writes the operator's configuration."""
        route = {
            'name': 'r-3hwrr6x',
            'host': HOST,
            'prefix': PREFIX,
            'kind': 'non_idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 60,
            'priority': 0,
            'service': SERVICE,
            'max_attempts': 4,
            'slack_factor': 1.6,
        }
        service = {
            'name': SERVICE,
            'health_path': '/healthz',
            'max_conns': 64,
            'protocol': 'h1',
            'tls': False,
            'enforces_capacity': True,
            'standby': False,
        }
        self.store.put(
            'op',
            'config',
            {'version': version, 'routes': [route], 'services': [service]},
        )

    def dispatcher(self):
        """Returns the VM that last wrote under a condition to give orders."""
        row = self.store.value('rosemaryroad', 'dispatcher')
        for vm in self.vms:
            if row is not None and vm.name == row.get('vm'):
                return vm
        return None

    async def post(
        self, vm, job, tasks=2, work_ms=200, deadline_ms=1500, **step
    ):
        """Hands a job in; returns status and state (0: no answer)."""
        body = {
            'spec': str(work_ms),
            'best_effort': True,
            'steps': [
                {
                    'count': tasks,
                    'cpu': 27_000,
                    'mem_mb': 64,
                    'est_ms': work_ms,
                }
                | step
            ],
        }
        self.cpu_by_job[job] = body['steps'][0]['cpu']
        self.record.note('post', job=job, vm=vm.name, **step)
        status, state = 0, ''
        try:
            async with (
                asyncio.timeout(deadline_ms / 1000),
                self.http.post(
                    f'http://{vm.frontend}{PREFIX}{job}',
                    json=body,
                    headers={'Host': HOST, 'X-Deadline-Ms': str(deadline_ms)},
                ) as reply,
            ):
                status = reply.status
                if status == 200:
                    state = (await reply.json()).get('state', '')
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            state = type(error).__name__
        self.record.note(
            'answer', job=job, vm=vm.name, status=status, state=state
        )
        return status, state

    async def delete(self, vm, job):
        """Cancels a job; returns the status (0: no answer)."""
        self.record.note('delete', job=job, vm=vm.name)
        status = 0
        try:
            async with (
                asyncio.timeout(2),
                self.http.delete(
                    f'http://{vm.frontend}{PREFIX}{job}',
                    headers={'Host': HOST},
                ) as reply,
            ):
                status = reply.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        self.record.note('deleted', job=job, vm=vm.name, status=status)
        return status

    def spawn(self, work):
        """Runs a client in the background."""
        task = asyncio.create_task(work)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)
        return task


def new_id():
    """Returns a job's id as clients choose them."""
    return os.urandom(8).hex()
