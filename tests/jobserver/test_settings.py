"""Tests of the settings of the daemon that serves jobs."""

import pathlib
import re
import tempfile
import unittest

import attrs
import yaml

from rosemaryroad import errors
from rosemaryroad import jobserver

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

# What the template's placeholders stand for on one VM of the users' pages.
_VALUES = {
    'node_name|json': '"edge-1"',
    'zone|json': '"szeged-terem"',
    'region|json': '"alfold"',
    'limits.cpu_share': '0.537',
    'limits.cores': '2',
    'platform.address|json': '"10.200.1.7:8169"',
    'listen_addrs.frontend|json': '"10.1.0.13:8161"',
    'listen_addrs.readiness|json': '"10.1.0.13:8167"',
    'listen_addrs.control|json': '"10.1.0.13:8166"',
    'ip': '10.1.0.13',
    'port_range.0': '7720',
    'bounds.hold_max_ms': '1000',
    'bounds.remote_factor': '3',
}


class JobSettingsTest(unittest.TestCase):
    """The file is checked whole; the template makes one that holds."""

    def _load(self, text: str) -> jobserver.JobSettings:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.yaml'
            path.write_text(text)
            return jobserver.load(path)

    def _template(self) -> str:
        text = (_ROOT / 'deploy' / 'settings.yaml.template').read_text()
        return re.sub(
            r'\{\{([^}]+)\}\}', lambda found: _VALUES[found[1]], text
        )

    def test_the_template_makes_settings(self) -> None:
        settings = self._load(self._template())
        self.assertEqual('edge-1', settings.vm)
        self.assertEqual('10.1.0.13:7720', settings.listen.peers)
        self.assertEqual((0.537, 2.0), (settings.cores, settings.speed))
        self.assertEqual(1_000.0, settings.times.lease_ms)

    def test_all_faults_are_named(self) -> None:
        raw = yaml.safe_load(self._template())
        del raw['vm']
        raw['listen']['peers'] = ''
        raw['times']['lease_ms'] = 1
        raw['extra'] = 1
        with self.assertRaises(errors.SettingsInvalid) as caught:
            self._load(yaml.safe_dump(raw))
        paths = {problem.path for problem in caught.exception.problems}
        expected = {'vm', 'listen.peers', 'times.lease_ms', 'extra'}
        self.assertEqual(expected, paths)

    def test_every_key_is_in_the_docs(self) -> None:
        """A key that the page leaves out can't be found by an operator."""
        text = (_ROOT / 'docs' / 'settings-jobs.md').read_text()
        listed = re.findall(r'^\| `([a-z_.]+)` \| (?!meaning)', text, re.M)
        self.assertEqual(sorted(_keys(jobserver.JobSettings)), sorted(listed))

    def test_the_build_takes_the_projects_libraries(self) -> None:
        """The build and the tests must run the same versions."""
        project = (_ROOT / 'pyproject.toml').read_text()
        lines = (_ROOT / 'requirements.txt').read_text().splitlines()
        self.assertGreater(len(lines), 5)
        for line in lines:
            self.assertIn(f'"{line}"', project)


def _keys(kind: type, prefix: str = '') -> list[str]:
    keys = []
    for field in attrs.fields(kind):
        path = prefix + field.name
        if attrs.has(field.type):
            keys.extend(_keys(field.type, path + '.'))
        else:
            keys.append(path)
    return keys
