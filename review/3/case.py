"""A minion that comes back as another kind gets tasks of its old kind.

``run.sh`` starts it; see ``claim.txt``.
"""

import asyncio
import collections.abc
import itertools

from standins import client
from standins import deployment

_KIND, _OTHER_KIND = 'a', 'b'
_MINIONS = 8
_CRASHES = 3
_DOWN_S = 0.5
_BETWEEN_S = 2.5
_EVERY_S = 0.033


async def play(system: deployment.Deployment) -> int:
    log = system.log
    system.configure(clips='/lohu930/')
    await system.start(vms=3, minions=_MINIONS)
    await system.wait_ready()
    await asyncio.sleep(6.0)
    calls = []
    loading = asyncio.create_task(_load(system, calls))
    await asyncio.sleep(2.0)
    for item in system.minions[:_CRASHES]:
        if deployment.trouble():
            log.add('TROUBLE: a minion crashes', minion=item.id)
            await item.crash()
            await asyncio.sleep(_DOWN_S)
            await item.come_back(_OTHER_KIND)
            log.add('it is back', minion=item.id, kind=item.kind)
        await asyncio.sleep(_BETWEEN_S)
    loading.cancel()
    await asyncio.gather(*calls)
    starts = log.of('start')
    wrong = [fields for _, fields in starts if fields['kind'] != _KIND]
    log.add('check', starts=len(starts), without_the_label=len(wrong))
    return deployment.BROKEN if wrong else deployment.HELD


async def _load(
    system: deployment.Deployment, calls: list[collections.abc.Awaitable]
) -> None:
    """Hands in jobs that require the first kind, at all VMs in turn."""
    caller = client.Client(system.log, '/lohu930/')
    for number in itertools.count(1):
        node = system.daemons[number % len(system.daemons)]
        body = caller.job('100', count=4, est_ms=100, requires=_KIND)
        call = caller.post(node, f'{number:016x}', body)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(_EVERY_S)


deployment.run(play)
