"""A client of one queue."""

import json

import aiohttp
import attrs

from standins import daemons
from standins import record

HOST = 'nony24.example'
_MS = 1000.0
_DEADLINE_MS = 1500


@attrs.frozen
class Answer:
    """What a call was answered; the status is 0 where it got no answer."""

    status: int
    text: str

    @property
    def is_completed(self) -> bool:
        if self.status != 200:
            return False
        return json.loads(self.text).get('state') == 'completed'


class Client:
    """Hands jobs in, on a new connection for each call.

    Args:
        log: Takes in what is sent and answered.
        prefix: The queue's prefix.
    """

    def __init__(self, log: record.Record, prefix: str) -> None:
        self._log, self._prefix = log, prefix

    def job(self, spec: str, count: int, est_ms: int) -> dict:
        step = {'count': count, 'cpu': 27_000, 'mem_mb': 256, 'est_ms': est_ms}
        return {'spec': spec, 'steps': [step], 'best_effort': True}

    async def post(
        self,
        node: daemons.Daemon,
        job_id: str,
        body: dict,
        deadline_ms: int = _DEADLINE_MS,
    ) -> Answer:
        return await self._call('POST', node, job_id, body, deadline_ms)

    async def delete(self, node: daemons.Daemon, job_id: str) -> Answer:
        return await self._call('DELETE', node, job_id, None, _DEADLINE_MS)

    async def _call(
        self,
        method: str,
        node: daemons.Daemon,
        job_id: str,
        body: dict | None,
        deadline_ms: int,
    ) -> Answer:
        self._log.add('sent', call=method, job=job_id, to=node.name)
        headers = {'Host': HOST, 'X-Deadline-Ms': str(deadline_ms)}
        try:
            async with (
                aiohttp.ClientSession() as http,
                http.request(
                    method,
                    f'http://{node.callers}{self._prefix}{job_id}',
                    json=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(deadline_ms / _MS),
                ) as response,
            ):
                answer = Answer(response.status, await response.text())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            answer = Answer(0, type(error).__name__)
        self._log.add(
            'answered',
            call=method,
            job=job_id,
            to=node.name,
            status=answer.status,
            body=answer.text or '-',
        )
        return answer
