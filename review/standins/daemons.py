"""The project's daemons, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tomllib

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
_PLACEHOLDER = re.compile(r'\{\{([a-z_.0-9]+)(\|json)?\}\}')


# Below the ports that the system gives to connections: one of those could take
# a port between its choice and the start of its daemon.
_PORTS = range(20_000, 32_000)
_given_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that is free and was not given out before."""
    while True:
        port = random.choice(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


class Daemon:
    """One entry VM.

    Args:
        name: Its name.
        zone: Where it stands.
        platform: The store's address.
        folder: Where its settings and its output go.
        deployment: The store's address, where each VM reaches it another way.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        platform: str,
        folder: pathlib.Path,
        deployment: str = '',
    ) -> None:
        self.name, self.zone = name, zone
        self._folder = folder
        self._platform, self._deployment = platform, deployment
        self.callers = f'127.0.0.1:{free_port()}'
        self.readiness = f'127.0.0.1:{free_port()}'
        peers_port = free_port()
        self.peers = f'127.0.0.1:{peers_port}'
        self._fields = {
            'node_name': name,
            'zone': zone,
            'region': 'alfold',
            'ip': '127.0.0.1',
            'limits': {'cpu_share': 0.537, 'cores': 2},
            'platform': {'address': platform},
            'listen_addrs': {
                'frontend': self.callers,
                'readiness': self.readiness,
                'control': f'127.0.0.1:{free_port()}',
            },
            'port_range': [peers_port, 0],
            'bounds': {'hold_max_ms': 1000, 'remote_factor': 3},
        }
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = role['roles']['entry']
        template = (ROOT / role['template']).read_text()
        settings = self._folder / f'{self.name}.yaml'
        text = _PLACEHOLDER.sub(self._value, template)
        if self._deployment:
            # By this name VMs know each other; it is the same for all.
            text = text.replace(
                f'deployment: "{self._platform}"',
                f'deployment: "{self._deployment}"',
            )
        settings.write_text(text)
        kept = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env = (
            kept
            | role.get('env', {})
            | {
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'ROSEMARYROAD_SETTINGS': str(settings),
            }
        )
        output = (self._folder / f'{self.name}.log').open('ab')
        self._process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )

    def _value(self, match: re.Match) -> str:
        value = self._fields
        for part in match[1].split('.'):
            value = value[int(part)] if part.isdecimal() else value[part]
        return json.dumps(value) if match[2] else str(value)

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def output(self) -> str:
        path = self._folder / f'{self.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''


async def wait_ready(http, daemon: Daemon, limit_s: float) -> bool:
    """Asks for readiness as the platform does; tells whether it came."""
    loop = asyncio.get_running_loop()
    until = loop.time() + limit_s
    while loop.time() < until:
        if await is_ready(http, daemon):
            return True
        await asyncio.sleep(0.1)
    return False


async def is_ready(http, daemon: Daemon) -> bool:
    try:
        url = f'http://{daemon.readiness}/api/readyz'
        async with http.get(url, timeout=aiohttp.ClientTimeout(1)) as response:
            return response.status == 200
    except (OSError, aiohttp.ClientError, TimeoutError):
        return False
