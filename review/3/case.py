"""A late copy of its request has a cancelled job run after all.

``run.sh`` starts it; see ``claim.txt``.
"""

import asyncio

from standins import client
from standins import deployment

_JOB = '5c0e7a21d94b36f8'
_CANCEL_S = 3.0
_COPY_AFTER_S = 4.0


async def play(system: deployment.Deployment) -> int:
    log = system.log
    system.configure(clips='/lohu930/')
    await system.start(vms=3, minions=8)
    await system.wait_ready()
    await asyncio.sleep(6.0)
    caller = client.Client(log, '/lohu930/')
    node = system.daemons[0]
    body = caller.job('900', count=4, est_ms=900)
    posted = asyncio.create_task(caller.post(node, _JOB, body))
    await asyncio.sleep(0.4)
    cancelled = await caller.delete(node, _JOB)
    acknowledged_at = log.now()
    answer = await posted
    if cancelled.status != 200 or answer.status != 200:
        raise deployment.CannotRun('the job was not cancelled in time')
    await asyncio.sleep(_COPY_AFTER_S)
    if deployment.trouble():
        log.add('TROUBLE: the same request arrives again, after its 2xx')
        await caller.post(node, _JOB, body)
    await asyncio.sleep(2.0)
    late = [
        at for at, _ in log.of('start') if at > acknowledged_at + _CANCEL_S
    ]
    log.add(
        'check',
        acknowledged_at=f'{acknowledged_at:.3f}',
        starts_later_than_cancel_ms=len(late),
    )
    return deployment.BROKEN if late else deployment.HELD


deployment.run(play)
