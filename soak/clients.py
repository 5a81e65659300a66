"""Clients that hand jobs in and keep what they hear."""

import asyncio
import collections.abc
import random
import time

import aiohttp
import attrs

from harness import jobs

_MS_PER_SECOND = 1000.0

# What clients think a task takes; workers take 60 to 400 ms.
_ESTIMATE_MS = 150

# Some tasks outlive a lease of 1 s; in each run so many of all jobs have
# such ones.
LONG_SHARES = (0.03, 0.1, 0.2)
_LONG_WORK_MS = (1_400, 3_200)
_DEADLINES_MS = (1_500, 2_300, 4_000)
_LONG_DEADLINES_MS = (4_000, 6_000)

# When a client without an answer comes again, as the platform says.
_AGAIN_S = 1.3
_TRIES = 4

# Without an answer so long after its deadline a client gives the
# connection up; the daemon should have answered by then.
_GRACE_S = 0.5

BROKEN = 0
_SILENT = -1


@attrs.define
class Try:
    """One time that a client handed a job in.

    Attributes:
        daemon: The daemon, by number.
        began: When, by the steady clock.
        ended: When it was over.
        status: The answer's status, 0 for a connection that broke, -1 for
            no answer within the client's time.
        state: What the answer says of the job.
    """

    daemon: int
    began: float
    ended: float = 0.0
    status: int = _SILENT
    state: str = ''

    @property
    def is_broken(self) -> bool:
        """Whether the connection broke before an answer."""
        return self.status == BROKEN


@attrs.define
class Asked:
    """A job as its client knows it.

    Attributes:
        job: Its id.
        tasks: How many tasks it has.
        long_ms: How long each of them takes, 0 for as long as the worker
            takes for most.
        tries: When it was handed in.
    """

    job: str
    tasks: int
    long_ms: int = 0
    tries: list[Try] = attrs.field(factory=list)

    @property
    def is_completed(self) -> bool:
        """Whether a client heard that all is done."""
        return any(item.state == 'completed' for item in self.tries)

    @property
    def is_refused(self) -> bool:
        """Whether the clients heard nothing but that it hasn't run."""
        refused = [item.status in (429, 503) for item in self.tries]
        return bool(refused) and all(refused)


def draw_size(rng: random.Random, long_share: float) -> tuple[int, int]:
    """Returns how many tasks a job has, and its ``Asked.long_ms``."""
    if rng.random() < long_share:
        return 1, rng.choice(_LONG_WORK_MS)
    return rng.choice((1, 1, 2, 4, 8)), 0


class Clients:
    """Hands jobs in at random and keeps connections open.

    Args:
        callers: Where each daemon serves callers.
        prefix: The prefix of the queue of most jobs.
        long_prefix: That of jobs whose tasks outlive a lease.
        is_up: Tells whether the balancer sends callers to a daemon.
        rng: Where the load comes from.
    """

    def __init__(
        self,
        callers: collections.abc.Sequence[str],
        prefix: str,
        long_prefix: str,
        is_up: collections.abc.Callable[[int], bool],
        rng: random.Random,
    ) -> None:
        self.asked: list[Asked] = []
        self._callers = callers
        self._prefix = prefix
        self._long_prefix = long_prefix
        self._is_up = is_up
        self._rng = rng
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> 'Clients':
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    async def press(self, jobs_per_s: float, seconds: float) -> None:
        """Hands jobs in for a while; their answers come later."""
        long_share = self._rng.choice(LONG_SHARES)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            tasks, long_ms = draw_size(self._rng, long_share)
            self.start(self._pick(), tasks, long_ms=long_ms)
            await asyncio.sleep(self._rng.expovariate(jobs_per_s))

    def start(
        self, daemon: int, tasks: int, tries: int = _TRIES, long_ms: int = 0
    ) -> Asked:
        """Hands one job in."""
        job = f'{self._rng.getrandbits(64):016x}'
        asked = Asked(job, tasks, long_ms)
        self.asked.append(asked)
        task = asyncio.create_task(self._ask(asked, daemon, tries))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return asked

    async def finish(self) -> None:
        """Waits until every client is through."""
        while self._tasks:
            await asyncio.gather(*list(self._tasks))

    async def _ask(self, asked: Asked, daemon: int, tries: int) -> None:
        deadline_ms = self._rng.choice(
            _LONG_DEADLINES_MS if asked.long_ms else _DEADLINES_MS
        )
        for _ in range(tries):
            found = Try(daemon, time.monotonic())
            asked.tries.append(found)
            await self._try(asked, found, deadline_ms)
            found.ended = time.monotonic()
            if found.status not in (BROKEN, 502, 504):
                return
            await asyncio.sleep(_AGAIN_S)
            daemon = self._pick()

    async def _try(self, asked: Asked, found: Try, deadline_ms: int) -> None:
        try:
            async with (
                asyncio.timeout(deadline_ms / _MS_PER_SECOND + _GRACE_S),
                self._session.post(
                    self._url(asked, found.daemon),
                    json=_body(asked),
                    headers={
                        'Host': jobs.HOST,
                        'X-Deadline-Ms': str(deadline_ms),
                    },
                ) as reply,
            ):
                data = await reply.json() if reply.status == 200 else {}
                found.state = data.get('state', '')
                found.status = reply.status
        except TimeoutError:
            found.status = _SILENT
        except aiohttp.ClientError:
            found.status = BROKEN

    def _url(self, asked: Asked, daemon: int) -> str:
        prefix = self._long_prefix if asked.long_ms else self._prefix
        return f'http://{self._callers[daemon]}{prefix}{asked.job}'

    def _pick(self) -> int:
        numbers = range(len(self._callers))
        ready = [number for number in numbers if self._is_up(number)]
        return self._rng.choice(ready or list(numbers))


def _body(asked: Asked) -> dict[str, object]:
    if not asked.long_ms:
        return jobs.job_body(asked.tasks, _ESTIMATE_MS)
    return jobs.job_body(asked.tasks, asked.long_ms, str(asked.long_ms))
