"""Odd entries of another writer, beside whole daemons.

Each is like that of a minion but for one thing: nested very deeply, with a
number too large, or with a port out of range.
"""

import asyncio
import collections
import json

from harness import deployment
from harness import jobs
from rosemaryroad import logreader
from tests.processes import job_case

_DEEP = 20_000
_HUGE = 10**400
_REWRITES = 3
_PAUSE_S = 0.5
_MAX_LINE_CHARS = 4_000
_FIELDS = (
    'service',
    'address',
    'zone',
    'version',
    'slots',
    'state',
    'warmup_left_ms',
    'capacity',
    'labels',
    'clock_ms',
    'sequence',
    'born',
    'nobody_reads_this',
)
_PORTS = ('0', '-1', '65536', '99999999999', '9' * 5_000, '\u0661', '8e3', '')

# By these a daemon says that a loop or a call has ended by a fault.
_FAULTS = {
    'entry_fault',
    'fencing_failed',
    'loop_restarted',
    'rows_fault',
    'worker_session_failed',
}


def _odd_texts(sound: dict) -> dict[str, str]:
    """Returns odd entries by their keys."""
    text_by_key = {}
    for field in _FIELDS:
        text_by_key |= {
            f'deep-{field}': _with_field(sound, field, '[' * _DEEP),
            f'closed-{field}': _with_field(
                sound, field, '[' * _DEEP + ']' * _DEEP
            ),
            f'huge-{field}': _with_field(sound, field, str(_HUGE)),
            f'float-{field}': _with_field(sound, field, '1e999'),
        }
    for name in ('cpu', 'mem_mb', 'gpu'):
        capacity = sound['capacity'] | {name: _HUGE}
        text_by_key[f'huge-{name}'] = json.dumps(
            sound | {'capacity': capacity}
        )
    for number, port in enumerate(_PORTS):
        entry = sound | {'address': f'127.0.0.1:{port}'}
        text_by_key[f'port-{number}'] = json.dumps(entry)
    # As large as a number may be, at an address where nobody listens.
    most = sound['capacity'] | {'cpu': 2**53, 'mem_mb': 2**53}
    entry = sound | {'address': '127.0.0.1:1', 'capacity': most}
    text_by_key['most'] = json.dumps(entry)
    for key in ('[' * 200, '9' * 200, '127.0.0.1:99999', 'a\nb', '\x7f'):
        text_by_key[key] = json.dumps(sound)
    return text_by_key


def _odd_jobs() -> list[bytes]:
    """Returns bodies of callers that are no jobs."""
    sound = json.dumps(jobs.job_body(1, 40)).encode()
    return [
        b'[' * _DEEP,
        sound.replace(b'"payload"', b'[' * _DEEP + b']' * _DEEP),
        sound.replace(b'27000', str(_HUGE).encode()),
        sound.replace(b'27000', b'1e999'),
    ]


def _with_field(sound: dict, field: str, text: str) -> str:
    marked = json.dumps(sound | {field: '@'})
    return marked.replace(f'"{field}": "@"', f'"{field}": {text}')


class OddEntryTest(job_case.JobCase):
    """VMs end again and again, or follow the minions' entries no longer."""

    def _put_all(self, rewrite: int) -> None:
        sound = self.minions[0].entry() | {'sequence': rewrite}
        for key, text in _odd_texts(sound).items():
            self.store.put('servers', key, text.encode())

    def _put_operators_rows(self) -> None:
        for key in ('evacuate/odd', 'evacuate/' + '[' * 180, 'config/odd'):
            for text in ('[' * _DEEP, str(_HUGE), '"127.0.0.1:99999"'):
                self.store.put('op', key, text.encode())

    async def _refuse_odd_jobs(self) -> None:
        for daemon in self.daemons:
            url = f'http://{daemon.callers}{job_case.PREFIX}{"0" * 16}'
            for body in _odd_jobs():
                async with self.session.post(
                    url, data=body, headers={'Host': jobs.HOST}
                ) as reply:
                    self.assertEqual(400, reply.status)

    async def _serve(self) -> None:
        """Checks that each daemon answers, and a new minion is learned of."""
        for daemon in self.daemons:
            status, body = await self.submit(daemon, tasks=4)
            self.assertEqual((200, 'completed'), (status, body['state']))
        minion = await self.add_minion(f'new-{len(self.minions)}')
        async with asyncio.timeout(20):
            while not minion.runs:
                await self.submit(self.daemons[0], tasks=8)

    def _check_log(self, process: deployment.Process) -> None:
        """Checks what one daemon has written in one life."""
        found = logreader.read(process.lines).lines
        self.assertEqual([], [line for line in found if line.event in _FAULTS])
        skipped = collections.Counter(
            line.fields['entry']
            for line in found
            if line.event == 'entry_skipped'
        )
        self.assertGreater(len(skipped), 20)
        self.assertEqual(1, max(skipped.values()))
        self.assertLess(max(map(len, process.lines)), _MAX_LINE_CHARS)

    async def test_they_name_nothing_and_the_others_hold(self) -> None:
        """While the daemons live, and when all start beside the entries."""
        for rewrite in range(_REWRITES):
            self._put_all(rewrite)
            self._put_operators_rows()
            await asyncio.sleep(_PAUSE_S)
        await self._serve()
        await self._refuse_odd_jobs()
        for daemon in self.daemons:
            self.assertTrue(daemon.process.running)
            await daemon.stop()
        first_lives = [daemon.process for daemon in self.daemons]
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        self._put_all(_REWRITES)
        await self._serve()
        later_lives = [daemon.process for daemon in self.daemons]
        for process in first_lives + later_lives:
            self._check_log(process)
