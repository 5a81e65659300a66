"""A stand-in for the users' minions: tasks under leases and fences.

It is told how to misbehave by the attributes of ``MinionFaults``, and
remembers every run, so that a test sees two at a time.
"""

import asyncio
import json
import time

import attrs
import sanic

from tests.standins import _serve

MS_PER_SECOND = 1000.0

_REPORT_PATH = '/api/hold'


@attrs.define
class MinionFaults:
    """What the minion does wrong.

    Attributes:
        status: Answer every order with this status, 0 for never.
        swallow: Read calls and never answer them; nothing is done.
        lose_answers: Carry orders out and never answer them.
        lose_orders: Neither carry orders out nor answer them; tell what runs.
        fail_all: Every run fails at once.
        late_ms: Leave the next start unanswered, and carry it out so much
            later, in whichever life runs then; 0 for never.
        hang: Runs make no progress.
        garble: Answer with what is no report.
    """

    status: int = 0
    swallow: bool = False
    lose_answers: bool = False
    lose_orders: bool = False
    fail_all: bool = False
    late_ms: float = 0.0
    hang: bool = False
    garble: bool = False


@attrs.frozen
class _Answer:
    """What an order to start is answered."""

    status: int = 200
    reason: str = ''


@attrs.define(eq=False)
class Run:
    """One run of a task.

    Attributes:
        task: The task's name.
        attempt: Its attempt.
        began: When it began, in seconds.
        ended: When it ended, or None.
        end: How, or ''.
        work_ms: How long it takes.
    """

    task: str
    attempt: int
    began: float
    work_ms: float
    ended: float | None = None
    end: str = ''


class JobMinion:
    """One minion.

    Args:
        minion_id: Its id.
        millicores: Its room.
        work_ms: How long a task takes whose payload doesn't say it.
        clock_rate: How fast its clock runs.

    Attributes:
        born_ms: When its present life began, in Unix milliseconds.
        tells_born: Whether it tells that; older ones don't.
        start_deadline_ms: The lease's end that the last start carried.
        labels: Its kind and its rack.
        late_starts: What became of starts that were carried out late.
    """

    def __init__(
        self,
        minion_id: str,
        millicores: int = 64_000,
        work_ms: float = 30.0,
        clock_rate: float = 1.0,
    ) -> None:
        self.id = minion_id
        self.millicores = millicores
        self.work_ms = work_ms
        self.clock_rate = clock_rate
        self.needs_millicores = 27_000
        self.faults = MinionFaults()
        self.runs: list[Run] = []
        self.born_ms = int(time.time() * MS_PER_SECOND)
        self.tells_born = True
        self.start_deadline_ms = 0.0
        self.labels = ['a', 'r1-1']
        self.late_starts: list[_Answer] = []
        self._clock_from = 0.0
        self._begin()
        self._changed = asyncio.Event()
        self._serving: _serve.Serving | None = None

    @property
    def address(self) -> str:
        """Where it listens, as ``IP:port``."""
        return self._serving.address

    async def start(self, port: int = 0) -> None:
        """Listens on loopback; port 0 leaves the choice to the OS."""
        app = _serve.make_app(f'job-{self.id}')
        for path, handler in (
            ('/api/run-start', self._start),
            ('/api/run-stop', self._stop),
            (_REPORT_PATH, self._hold),
        ):
            app.add_route(handler, path, methods=['POST'])
        app.register_middleware(self._misbehave, 'request')
        self._serving = await _serve.start(app, port)

    async def crash_for(self, seconds: float) -> None:
        """Crashes, and starts again under its id and address after a while.

        Meanwhile nobody listens there.
        """
        port = int(self.address.rpartition(':')[2])
        self._end_life()
        await self.stop()
        await asyncio.sleep(seconds)
        self._begin_life()
        await self.start(port)

    async def stop(self) -> None:
        """Ends it and all that runs."""
        await self._serving.stop()

    def restart(self) -> None:
        """Crashes and starts again at once, under its id and address.

        Its connections break. It runs nothing then, and knows of no
        attempt, fence or lease; its numbers and its clock start anew.
        """
        self._end_life()
        for connection in list(self._serving.server.connections):
            connection.abort()
        self._begin_life()

    def _end_life(self) -> None:
        for run in self.runs:
            if run.ended is None:
                run.ended = time.monotonic()
                run.end = 'crashed'

    def _begin_life(self) -> None:
        self.born_ms = max(self.born_ms + 1, int(time.time() * MS_PER_SECOND))
        self._clock_from = time.monotonic()
        self._begin()

    def _begin(self) -> None:
        """Knows nothing, as at the start of a life."""
        self.fence = 0
        self.lease_ends = 0.0
        self._finished: list[tuple[int, Run]] = []
        self._barred: dict[str, int] = {}
        self._number = 0
        self._sequence = 0

    def entry(self, **fields: object) -> dict[str, object]:
        """Returns what it writes into the store about itself."""
        self._sequence += 1
        return {
            'service': 'archive',
            'address': self.address,
            'zone': 'szeged',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'warmup_left_ms': 0,
            'capacity': {'cpu': self.millicores, 'mem_mb': 9999, 'gpu': 0},
            'labels': self.labels,
            'clock_ms': self.clock_ms(),
            'sequence': self._sequence,
            **self._life(),
        } | fields

    def running(self) -> list[Run]:
        """Returns the runs that go on."""
        self._let_lapse()
        return [run for run in self.runs if run.ended is None]

    def _life(self) -> dict[str, int]:
        return {'born': self.born_ms} if self.tells_born else {}

    def advance_clock(self, ms: float) -> None:
        """Sets its clock forward."""
        self._clock_from -= ms / self.clock_rate / MS_PER_SECOND

    def clock_ms(self) -> int:
        """Returns what its clock shows."""
        passed_s = time.monotonic() - self._clock_from
        return int(passed_s * MS_PER_SECOND * self.clock_rate) + 5_000

    async def _misbehave(
        self, request: sanic.Request
    ) -> sanic.HTTPResponse | None:
        expected = request.headers.get('x-expect-instance')
        if expected not in (None, self.id):
            return sanic.response.text('', status=421)
        is_order = request.path != _REPORT_PATH
        if self.faults.swallow or (is_order and self.faults.lose_orders):
            await asyncio.sleep(_serve.FOREVER_S)
        if self.faults.garble:
            return sanic.response.text('[1, 2')
        if self.faults.status:
            return sanic.response.text('', status=self.faults.status)
        return None

    async def _reply(
        self, status: int = 200, **fields: object
    ) -> sanic.HTTPResponse:
        if self.faults.lose_answers:
            await asyncio.sleep(_serve.FOREVER_S)
        body = {'clock_ms': self.clock_ms(), **fields}
        return sanic.response.raw(
            json.dumps(body).encode(),
            status=status,
            content_type='application/json',
        )

    def _is_fenced(self, body: dict) -> bool:
        fence = body.get('fence', 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def _prolong(self, body: dict) -> None:
        until = body.get('deadline_ms')
        if until is not None:
            most = self.clock_ms() + 1_000
            self.lease_ends = max(self.lease_ends, min(until, most))

    def _let_lapse(self) -> None:
        late_ms = self.clock_ms() - self.lease_ends
        if late_ms <= 0:
            return
        for run in self.runs:
            if run.ended is None:
                self._end(run, 'lapsed')
                # It was gone at the end of its lease, whoever asked since.
                run.ended -= late_ms / self.clock_rate / MS_PER_SECOND

    def _finish(self, run: Run) -> None:
        self._let_lapse()
        self._end(run, 'done')

    def _end(self, run: Run, end: str) -> None:
        if run.ended is not None:
            return
        run.ended = time.monotonic()
        run.end = end
        self._barred[run.task] = max(
            run.attempt, self._barred.get(run.task, 0)
        )
        self._number += 1
        self._finished.append((self._number, run))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _start(self, request: sanic.Request) -> sanic.HTTPResponse:
        body = request.json
        self.start_deadline_ms = body['deadline_ms']
        if self.faults.late_ms:
            loop = asyncio.get_running_loop()
            late_s = self.faults.late_ms / MS_PER_SECOND
            self.faults.late_ms = 0.0
            loop.call_later(late_s, self._start_late, body)
            await asyncio.sleep(_serve.FOREVER_S)
        answer = self._take_start(body)
        fields = {'reason': answer.reason} if answer.reason else {}
        return await self._reply(answer.status, **fields)

    def _start_late(self, body: dict) -> None:
        self.late_starts.append(self._take_start(body))

    def _take_start(self, body: dict) -> _Answer:
        self._let_lapse()
        if self._is_fenced(body):
            return _Answer(409, 'fence')
        if body['deadline_ms'] <= self.clock_ms():
            return _Answer(409, 'late')
        task, attempt = body['task'], body['attempt']
        going = self.running()
        if any((run.task, run.attempt) == (task, attempt) for run in going):
            return _Answer()
        self._prolong(body)
        if attempt <= self._barred.get(task, 0):
            return _Answer(409, 'old')
        if (len(going) + 1) * self.needs_millicores > self.millicores:
            return _Answer(409, 'room')
        run = Run(task, attempt, time.monotonic(), self._work_ms(body))
        self.runs.append(run)
        if self.faults.fail_all:
            self._end(run, 'failed')
        elif not self.faults.hang:
            asyncio.get_running_loop().call_later(
                run.work_ms / MS_PER_SECOND, self._finish, run
            )
        return _Answer()

    def _work_ms(self, body: dict) -> float:
        payload = body.get('spec', '')
        return float(payload) if payload.isdecimal() else self.work_ms

    async def _stop(self, request: sanic.Request) -> sanic.HTTPResponse:
        body = request.json
        if self._is_fenced(body):
            return await self._reply(409, reason='fence')
        task, attempt = body['task'], body['attempt']
        self._barred[task] = max(attempt, self._barred.get(task, 0))
        for run in self.running():
            if (run.task, run.attempt) == (task, attempt):
                self._end(run, 'stopped')
        return await self._reply()

    async def _hold(self, request: sanic.Request) -> sanic.HTTPResponse:
        body = request.json
        self._let_lapse()
        if self._is_fenced(body):
            return await self._reply(409, reason='fence')
        self._prolong(body)
        seen = body['last_seen']
        self._finished = [item for item in self._finished if item[0] > seen]
        if not self._finished and body.get('wait_ms'):
            changed = self._changed
            wait_s = body['wait_ms'] / MS_PER_SECOND
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        self._let_lapse()
        return await self._reply(
            running=[
                [run.task, run.attempt, '', self._percent(run)]
                for run in self.running()
            ],
            finished=[
                [number, run.task, run.attempt, run.end, '']
                for number, run in self._finished[:500]
            ],
            **self._life(),
        )

    def _percent(self, run: Run) -> int:
        if self.faults.hang:
            return 0
        gone_ms = (time.monotonic() - run.began) * MS_PER_SECOND
        return min(99, int(100 * gone_ms / run.work_ms))
