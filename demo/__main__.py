"""The demo: a whole deployment on loopback, driven with the tool.

``make demo`` runs it. It starts the stand-ins of the platform and of the
minions and three daemons, puts a service's document, submits jobs, shows
what comes back, and ends all that it started. It exits with 0 only where
everything was as it should be.
"""

import asyncio
import json
import pathlib
import sys
import time
import typing

from harness import deployment
from rosemaryroad import client

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PAGE = _ROOT / 'run' / 'demo-burn.html'
_DOMAINS = ('palermo', 'catania', 'siracusa')
_SERVICE = 'push-checks'
_MINIONS = 4
_EXIT_REFUSED = 12
_EXIT_FAILED = 13
_WAIT_MS = 300.0
_LONG_JOB_TASKS = 400
_SLOW_MS = 5_000
_DEADLINE_MS = 600
_LIMIT_S = 110.0


class Unexpected(Exception):
    """Something was not as it should be."""


def _say(text: str) -> None:
    print(text, flush=True)


def _check(holds: bool, what: str) -> None:
    if not holds:
        raise Unexpected(what)


async def _tool(
    deployed: deployment.Deployment, *arguments: str, code: int = 0
) -> deployment.Finished:
    _say(f'\n$ rosemaryroad {" ".join(arguments)}')
    done = await deployed.tool(*arguments)
    _say((done.stdout + done.stderr).rstrip())
    _check(done.code == code, f'exit code {done.code}, expected {code}')
    return done


async def _tool_json(
    deployed: deployment.Deployment, *arguments: str
) -> typing.Any:
    done = await _tool(deployed, '--output', 'json', *arguments)
    return json.loads(done.stdout)


async def _start(deployed: deployment.Deployment) -> None:
    _say('starting the stand-ins and three daemons')
    await deployed.start_platform()
    endpoints = []
    for domain in _DOMAINS:
        endpoints += await deployed.start_minions(
            f'minion-{domain}', domain, count=_MINIONS
        )
    for domain in _DOMAINS:
        daemon = await deployed.start_daemon(f'entry-{domain}', domain)
        _say(f'  {daemon.vm} serves callers at {daemon.listen.callers}')
    document = deployment.document(_SERVICE, endpoints)
    await _put(deployed, document)
    await deployed.wait_document(_SERVICE)
    _say('the document is in force at all three')


async def _put(
    deployed: deployment.Deployment, document: dict[str, typing.Any]
) -> None:
    path = deployed.write_document(document)
    await _tool(deployed, 'service', 'validate', str(path))
    await _tool(deployed, 'service', 'put', str(path))


async def _small_job(deployed: deployment.Deployment) -> None:
    command = ('submit', _SERVICE, 'first', 'second', '--run-ms', '80')
    done = await _tool(deployed, *command)
    for text in ('result of first', 'result of second'):
        _check(text in done.stdout, f'no {text!r} in the answer')


async def _long_job(deployed: deployment.Deployment) -> None:
    """A job is submitted at one entry VM and fetched at another."""
    lines = deployed.folder / 'tasks.txt'
    payloads = [f'check {number}' for number in range(_LONG_JOB_TASKS)]
    lines.write_text('\n'.join(payloads))
    command = ('submit', _SERVICE, '--lines', str(lines))
    options = ('--run-ms', '300', '--no-wait')
    state = await _tool_json(deployed, *command, *options)
    handle = client.Handle(state['session'], state['name'])
    home = state['session'].partition('~')[0]
    others = [vm for vm in deployed.daemons if vm != home]
    _check(len(others) == len(_DOMAINS) - 1, f'{home} is no daemon of ours')
    address = deployed.daemons[others[0]].listen.callers
    _say(f'\nwaiting at {others[0]}; {home} is home to the session')
    policy = client.RetryPolicy(wait_ms=_WAIT_MS)
    async with client.Client([address], policy=policy) as caller:
        whole = await caller.wait(handle, _show_progress)
    expected = [f'result of {payload}'.encode() for payload in payloads]
    _check(list(whole.results) == expected, 'the answer differs')
    _say(f'  whole answer: {len(whole.results)} results, in their order')


def _show_progress(state: client.Running) -> None:
    # A VM that forwards is not told how far the home is.
    done = '?' if state.done_tasks is None else state.done_tasks
    _say(f'  running: {done} of {state.tasks or _LONG_JOB_TASKS} tasks done')


async def _refusal(deployed: deployment.Deployment) -> None:
    _say('\na task that is too large for every minion is refused at once:')
    huge = ('submit', _SERVICE, 'huge', '--memory-mb', '1000000')
    done = await _tool(deployed, *huge, code=_EXIT_REFUSED)
    _check('not_run' in done.stderr, 'the refusal does not say "not run"')


async def _too_late(deployed: deployment.Deployment) -> None:
    _say('\na task that runs beyond its deadline fails the whole job:')
    slow = json.dumps({'run_ms': _SLOW_MS, 'echo': 'slow'})
    done = await _tool(
        deployed,
        *('submit', _SERVICE, 'quick', slow),
        *('--run-ms', '50', '--deadline-ms', str(_DEADLINE_MS)),
        code=_EXIT_FAILED,
    )
    _check('deadline_passed' in done.stderr, 'another failure than expected')
    _check(done.stdout == '', 'some results of a failed job')


async def _report(deployed: deployment.Deployment) -> None:
    await _tool(deployed, 'status')
    await _tool(deployed, 'service', 'history', _SERVICE)
    _PAGE.parent.mkdir(exist_ok=True)
    report = await _tool(deployed, 'report', 'burn', '--html', str(_PAGE))
    _check('3003 deadline_passed: 1' in report.stdout, 'no failure counted')
    _check('not reached' not in report.stdout, 'an entry VM was not reached')
    _say(f'the same as a page with plots: {_PAGE.relative_to(_ROOT)}')


async def _run() -> None:
    started = time.monotonic()
    async with asyncio.timeout(_LIMIT_S), deployment.Deployment() as deployed:
        await _start(deployed)
        await _small_job(deployed)
        await _long_job(deployed)
        await _refusal(deployed)
        await _too_late(deployed)
        await _report(deployed)
        _say('\nending the daemons by SIGTERM')
        codes = await deployed.stop_daemons()
        _check(set(codes.values()) == {0}, f'exit codes {codes}')
    _say(f'done in {time.monotonic() - started:.1f} s')


def main() -> int:
    """Runs the demo; returns 0 where everything was as it should be."""
    failures = (Unexpected, TimeoutError, RuntimeError, deployment.Exited)
    try:
        asyncio.run(_run())
    except failures as error:
        _say(f'the demo failed: {error or type(error).__name__}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
