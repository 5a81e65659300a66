"""The files of a deployment on loopback: settings, secrets, documents."""

import pathlib
import secrets
import tempfile
import typing

import yaml

REGION = 'sicily'
TEAM = 'school'
_ANY_PORT = '127.0.0.1:0'


class SetupFiles:
    """Files in a temporary folder, with a token of the team ``school``."""

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.token = secrets.token_hex(16)
        peer_secret = self.write('peer.secret', secrets.token_hex(16))
        tokens = yaml.safe_dump({TEAM: self.token})
        self._secrets = {
            'peer_secret_file': str(peer_secret),
            'team_tokens_file': str(self.write('tokens.yaml', tokens)),
        }
        self.token_file = self.write('token', self.token)
        self._starts = 0

    def remove(self) -> None:
        self._temporary.cleanup()

    def write(self, name: str, text: str) -> pathlib.Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def write_document(self, fields: dict[str, typing.Any]) -> pathlib.Path:
        """Writes a service's document and returns its path."""
        name = f'{fields["service"]}.document.yaml'
        return self.write(name, yaml.safe_dump(fields))

    def ready_file(self, name: str) -> pathlib.Path:
        """Returns the path of a ready file that no process has used."""
        # One process of a name may be started after another; the file of
        # the first would tell the address of a process that has ended.
        self._starts += 1
        return self.folder / f'{name}.{self._starts}.ready'

    def write_settings(
        self,
        vm: str,
        failure_domain: str,
        platform: str,
        overrides: dict[str, typing.Any],
    ) -> tuple[pathlib.Path, pathlib.Path]:
        """Writes a daemon's settings; returns them and its ready file."""
        ready_file = self.ready_file(vm)
        raw = {
            'vm': vm,
            'failure_domain': failure_domain,
            'region': REGION,
            'listen': {'callers': _ANY_PORT, 'peers': _ANY_PORT},
            'ready_file': str(ready_file),
            'platform': {'table': platform, 'vm_list': platform},
            'secrets': self._secrets,
            **overrides,
        }
        name = f'{ready_file.stem}.yaml'
        return self.write(name, yaml.safe_dump(raw)), ready_file
