"""One entry of another writer keeps all VMs from serving after a restart.

``run.sh`` starts it; see ``claim.txt``.
"""

import asyncio

from standins import client
from standins import deployment

_RECOVERY_S = 12.0
_DOWN_S = 1.0
_BEFORE_S = 6.0
_AFTER_S = 8.0
_EVERY_S = 0.1
_LEAST_SHARE = 0.25

# A number that no float holds. JSON allows it, and Python reads it.
_NO_NUMBER_OF_MS = 10**400

_ENTRY = {
    'service': 'hallgato',
    'address': '127.0.0.1:9',
    'zone': 'szeged-terem',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'warmup_left_ms': _NO_NUMBER_OF_MS,
    'sequence': 1,
    'capacity': {'cpu': 64_000, 'mem_mb': 131_072, 'gpu': 0},
    'labels': ['a', 'r1-1'],
    'born': 1_790_000_000_000,
}


async def play(system: deployment.Deployment) -> int:
    log = system.log
    system.configure(clips='/lohu930/')
    await system.start(vms=3, minions=8)
    await system.wait_ready()
    await asyncio.sleep(6.0)
    before = await _serve(system, 'aaaa', _BEFORE_S)
    if before < _LEAST_SHARE:
        raise deployment.CannotRun(f'{before:.3f} was served before')
    if deployment.trouble():
        log.add('TROUBLE: another writer puts an entry', table='servers')
        system.store.put('servers', 'note-1', _ENTRY)
    await asyncio.sleep(1.0)
    log.add('final fault: all processes are killed')
    for daemon in system.daemons:
        daemon.kill()
    await asyncio.sleep(_DOWN_S)
    for daemon in system.daemons:
        daemon.start()
    log.add('the machines are back')
    await asyncio.sleep(_RECOVERY_S)
    log.add('recovery_s has passed', running=system.running())
    after = await _serve(system, 'bbbb', _AFTER_S)
    log.add(
        'check', served_before=f'{before:.3f}', served_after=f'{after:.3f}'
    )
    return deployment.BROKEN if after < _LEAST_SHARE else deployment.HELD


async def _serve(
    system: deployment.Deployment, prefix: str, for_s: float
) -> float:
    """Hands jobs in at all VMs in turn; returns the share that is served."""
    caller = client.Client(system.log, '/lohu930/')
    calls = []
    for number in range(int(for_s / _EVERY_S)):
        node = system.daemons[number % len(system.daemons)]
        job_id = f'{prefix}{number:012x}'
        call = caller.post(node, job_id, caller.job('60', count=2, est_ms=60))
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(_EVERY_S)
    answers = await asyncio.gather(*calls)
    return sum(item.is_completed for item in answers) / len(answers)


deployment.run(play)
