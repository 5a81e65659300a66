"""The daemon for jobs as a process, and what callers and operators send."""

import json
import pathlib
import sys

import attrs
import yaml

from harness import _process
from harness import ports

__all__ = [
    'HOST',
    'DaemonSetup',
    'domain_of',
    'get_request',
    'job_body',
    'job_request',
    'queues_body',
]

HOST = 'jobs.example'

# What is run on an entry VM.
_START = 'deploy/rosemaryroadd.py'
_DOMAINS = ('szeged', 'bekes', 'kecskemet')


def domain_of(number: int) -> str:
    """Returns the failure domain of a daemon or a worker, by its number."""
    return _DOMAINS[number % len(_DOMAINS)]


@attrs.frozen
class DaemonSetup:
    """The settings file of a daemon, and the addresses that it names.

    Attributes:
        name: Its VM.
        path: The settings file.
        callers: Where callers come.
        readiness: Where the balancer asks.
        operators: Where the metrics are.
        peers: Where other daemons come.
    """

    name: str
    path: pathlib.Path
    callers: str
    readiness: str
    operators: str
    peers: str

    @classmethod
    def write(
        cls, folder: pathlib.Path, number: int, store: str
    ) -> 'DaemonSetup':
        """Writes the file of one daemon, on addresses that are free.

        Args:
            folder: Where the file goes.
            number: The daemon's number.
            store: Where the store listens for it.
        """
        name = f'entry-{number}'
        path = folder / f'{name}.yaml'
        setup = cls(name, path, *ports.free_addresses(4))
        settings = {
            'vm': name,
            'failure_domain': domain_of(number),
            'region': 'alfold',
            'listen': {
                'callers': setup.callers,
                'readiness': setup.readiness,
                'operators': setup.operators,
                'peers': setup.peers,
            },
            'platform': {'address': store},
        }
        path.write_text(yaml.safe_dump(settings))
        return setup

    async def start(self) -> _process.Process:
        """Starts the daemon, the first time or again."""
        return await _process.Process.start(
            self.name,
            sys.executable,
            str(_process.ROOT / _START),
            str(self.path),
        )


def queues_body(
    version: int, prefixes: tuple[str, ...], max_attempts: int
) -> dict[str, object]:
    """Returns the operators' configuration with a queue for each prefix."""
    routes = [
        {
            'name': f'r-{prefix}',
            'host': HOST,
            'prefix': prefix,
            'target_latency_ms': 60,
            'priority': 0,
            'service': 'archive',
            'max_attempts': max_attempts,
            'slack_factor': 1.6,
        }
        for prefix in prefixes
    ]
    return {'version': version, 'routes': routes, 'services': []}


def job_body(
    tasks: int, estimate_ms: int, payload: str = 'payload', **step: object
) -> dict[str, object]:
    """Returns a job of one step, as its caller hands it in.

    Args:
        tasks: How many tasks it has.
        estimate_ms: What the caller thinks that one takes.
        payload: What each of them is given.
        **step: More fields of the step, or others in place of these.
    """
    first = {
        'count': tasks,
        'cpu': 27_000,
        'mem_mb': 64,
        'est_ms': estimate_ms,
    }
    return {
        'spec': payload,
        'best_effort': True,
        'steps': [first | step],
    }


def get_request(path: str) -> bytes:
    """Returns the bytes of a GET request."""
    return f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode()


def job_request(
    path: str, job: dict[str, object], deadline_ms: int
) -> tuple[bytes, bytes]:
    """Returns the head and the body of the request that hands a job in."""
    body = json.dumps(job).encode()
    head = (
        f'POST {path} HTTP/1.1\r\n'
        f'Host: {HOST}\r\n'
        f'X-Deadline-Ms: {deadline_ms}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode(), body
