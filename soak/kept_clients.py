"""Clients that stay with one daemon on kept connections while it leaves."""

import asyncio
import collections.abc
import http
import json
import random
import time

import attrs

from harness import jobs
from harness import kept_connection
from soak import clients
from soak import world as world_module

# How many clients stay with each daemon; drawn for each seed.
COUNTS = (4, 8, 16)

# How often a client uses its connection, on average. Most leaves are over
# before the last ones do.
_MEAN_GAPS_S = (0.5, 4.0, 30.0)

_JOB_SHARE = 0.2
_ESTIMATE_MS = 150
_DEADLINE_MS = 2_300

_RECONNECT_S = 0.1

# Clients that still have a connection when a leaving daemon has closed its
# listener use it within _LAST_MOMENTS_S.
_PROBE_S = 0.01
_LAST_MOMENTS_S = 0.04

# Longer than a job's deadline and a daemon's longest pause.
_ANSWER_LIMIT_S = 15.0


@attrs.define
class Request:
    """A request that was sent whole on a connection that was open.

    Attributes:
        daemon: The daemon, by number.
        process: Which of its processes had the connection, in the order of
            ``Daemon.ended``.
        while_leaving: Whether that had been told to leave.
        sent_at: When, by the steady clock.
        outcome: What came of it, or None for nothing within the limit.
    """

    daemon: int
    process: int
    while_leaving: bool
    sent_at: float
    outcome: kept_connection.Answer | kept_connection.NoAnswer | None = None

    @property
    def is_answered(self) -> bool:
        """Whether a whole answer came."""
        return isinstance(self.outcome, kept_connection.Answer)


class KeptClients:
    """Keeps connections to each daemon and uses them now and then.

    Args:
        daemons: The daemons.
        prefix: The prefix of the queue of their jobs.
        rng: Where the clients and the moments come from.
    """

    def __init__(
        self,
        daemons: collections.abc.Sequence[world_module.Daemon],
        prefix: str,
        rng: random.Random,
    ) -> None:
        self.requests: list[Request] = []
        self.asked: list[clients.Asked] = []
        self._prefix = prefix
        self._rng = rng
        self._stopped = False
        self._listeners = [_Listener(daemon) for daemon in daemons]
        self._probes: list[asyncio.Task] = []
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> 'KeptClients':
        count = self._rng.choice(COUNTS)
        for listener in self._listeners:
            self._probes.append(asyncio.create_task(listener.watch()))
            self._tasks += [
                asyncio.create_task(self._stay(listener)) for _ in range(count)
            ]
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = [*self._probes, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def finish(self) -> None:
        """Sends no more, and waits for the answers to what was sent."""
        self._stopped = True
        for probe in self._probes:
            probe.cancel()
        for listener in self._listeners:
            listener.closed.set()
        done, _ = await asyncio.wait(self._tasks, timeout=_ANSWER_LIMIT_S)
        for task in done:
            task.result()

    async def _stay(self, listener: '_Listener') -> None:
        mean_gap_s = self._rng.choice(_MEAN_GAPS_S)
        while not self._stopped:
            process = len(listener.daemon.ended)
            try:
                connection = await kept_connection.KeptConnection.open(
                    listener.daemon.callers
                )
            except OSError:
                await asyncio.sleep(_RECONNECT_S)
                continue
            try:
                await self._use(connection, listener, process, mean_gap_s)
            finally:
                await connection.close()

    async def _use(
        self,
        connection: kept_connection.KeptConnection,
        listener: '_Listener',
        process: int,
        mean_gap_s: float,
    ) -> None:
        """Sends one request after another as long as it is open."""
        while True:
            await self._wait_for_moment(listener, mean_gap_s)
            if self._stopped or not connection.may_send:
                return
            asked = self._draw_job()
            connection.send(self._encode(asked))
            request = Request(
                listener.daemon.number,
                process,
                listener.daemon.is_leaving,
                time.monotonic(),
            )
            self.requests.append(request)
            request.outcome = await connection.answer()
            if asked is not None:
                _note_answer(asked, request)

    async def _wait_for_moment(
        self, listener: '_Listener', mean_gap_s: float
    ) -> None:
        gap_s = self._rng.expovariate(1 / mean_gap_s)
        try:
            async with asyncio.timeout(gap_s):
                await listener.closed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._rng.uniform(0.0, _LAST_MOMENTS_S))

    def _draw_job(self) -> clients.Asked | None:
        if self._rng.random() >= _JOB_SHARE:
            return None
        asked = clients.Asked(f'{self._rng.getrandbits(64):016x}', 1)
        self.asked.append(asked)
        return asked

    def _encode(self, asked: clients.Asked | None) -> bytes:
        if asked is None:
            return jobs.get_request(self._prefix)
        job = jobs.job_body(asked.tasks, _ESTIMATE_MS)
        path = f'{self._prefix}{asked.job}'
        return b''.join(jobs.job_request(path, job, _DEADLINE_MS))


class _Listener:
    """Notices that a daemon which leaves has closed its listener.

    Attributes:
        daemon: The daemon.
        closed: Set from then until it listens again.
    """

    def __init__(self, daemon: world_module.Daemon) -> None:
        self.daemon = daemon
        self.closed = asyncio.Event()

    async def watch(self) -> None:
        """Connects again and again while the daemon leaves."""
        while True:
            if not self.daemon.is_leaving:
                self.closed.clear()
            elif await self._is_refused():
                self.closed.set()
            await asyncio.sleep(_PROBE_S)

    async def _is_refused(self) -> bool:
        try:
            probe = await kept_connection.KeptConnection.open(
                self.daemon.callers
            )
        except OSError:
            return True
        await probe.close()
        return False


def _note_answer(asked: clients.Asked, request: Request) -> None:
    found = clients.Try(
        request.daemon, request.sent_at, time.monotonic(), clients.BROKEN
    )
    asked.tries.append(found)
    if not isinstance(request.outcome, kept_connection.Answer):
        return
    found.status = request.outcome.status
    if found.status == http.HTTPStatus.OK:
        found.state = json.loads(request.outcome.body).get('state', '')
