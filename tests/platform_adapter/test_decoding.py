"""Tests of the operators' configuration and the minions' entries."""

import json
import unittest

from rosemaryroad import clock
from rosemaryroad import model
from rosemaryroad import platform
from tests.platform_adapter import entries


def _rows(**texts: str) -> dict[str, platform.Row]:
    return {key: platform.Row(key, text, 1) for key, text in texts.items()}


class DecodingTest(unittest.IsolatedAsyncioTestCase):
    """Entries are read strictly; a bad one names nothing."""

    async def asyncSetUp(self) -> None:
        self.adapter = platform.JobPlatformAdapter(
            '127.0.0.1:9', 100.0, 1_000.0, clock.Clock()
        )
        self.addAsyncCleanup(self.adapter.close)

    def _queues(self, text: str) -> model.QueueTable | None:
        return self.adapter.read_queues(_rows(config=text))

    def _workers(self, entry: object) -> tuple[model.Worker, ...]:
        text = entry if isinstance(entry, str) else json.dumps(entry)
        return self.adapter.read_workers(_rows(i1=text))

    def test_a_queue_with_its_terms(self) -> None:
        table = self._queues(
            json.dumps({'version': 7, 'routes': [entries.ROUTE]})
        )
        terms = model.JobTerms(2, 1.6, 60.0, 4)
        route = model.QueueRoute('r1', 'h.example', '/p/', 'archive', terms)
        self.assertEqual(model.QueueTable(7, (route,)), table)

    def test_a_worker_with_its_room(self) -> None:
        [worker] = self._workers(entries.WORKER)
        self.assertEqual('i1', worker.id)
        self.assertEqual(model.Needs(16.5, 32768, 1), worker.capacity)
        self.assertEqual(('a', 'r1-3'), worker.labels)
        self.assertFalse(worker.leaving)
        [leaving] = self._workers(entries.WORKER | {'state': 'draining'})
        self.assertTrue(leaving.leaving)

    def test_configurations_that_can_not_be_read(self) -> None:
        """Another writer damages the configuration.

        The version in force has to stay; dropped queues would turn their
        callers away.
        """
        for text in (
            '',
            '{',
            '[]',
            '{"routes": []}',
            '{"version": "7", "routes": []}',
            '{"version": 7, "routes": {}}',
            '[' * 100_000,
        ):
            with self.subTest(text[:20]):
                self.assertIsNone(self._queues(text))

    def test_one_bad_route_hides_no_other(self) -> None:
        for change in (
            {'host': 5},
            {'prefix': ''},
            {'service': None},
            {'priority': 'high'},
            {'slack_factor': -1},
        ):
            routes = [
                entries.ROUTE | change,
                entries.ROUTE | {'name': 'r2'},
                'x',
            ]
            text = json.dumps({'version': 7, 'routes': routes})
            with self.subTest(change):
                names = [route.name for route in self._queues(text).routes]
                self.assertEqual(['r2'], names)

    def test_the_start_of_a_life(self) -> None:
        """Older minions don't tell when they started."""
        [worker] = self._workers(entries.WORKER)
        self.assertIsNone(worker.born)
        [worker] = self._workers(entries.WORKER | {'born': 1_700_000_000_123})
        self.assertEqual(1_700_000_000_123, worker.born)

    def test_how_long_a_worker_still_warms_up(self) -> None:
        [worker] = self._workers(entries.WORKER | {'warmup_left_ms': 1200})
        self.assertEqual(1_200.0, worker.warm_up_left_ms)

    def _drains(self, **texts: str) -> tuple[str, ...]:
        rows = {
            f'evacuate/{domain}': platform.Row(f'evacuate/{domain}', text, 1)
            for domain, text in texts.items()
        }
        return self.adapter.read_drained_domains(rows | _rows(config='{}'))

    def test_drained_failure_domains(self) -> None:
        found = self._drains(szeged='{}', bekes='{"since": 5}')
        self.assertEqual(('bekes', 'szeged'), found)
        self.assertEqual((), self._drains())

    def test_a_drain_of_no_sense_drains_nothing(self) -> None:
        """Another writer damages one request; the others hold."""
        for text in ('', '{', '[]', 'null', '7', '[' * 100_000):
            with self.subTest(text[:20]):
                found = self._drains(szeged=text, bekes='{}')
                self.assertEqual(('bekes',), found)

    def test_a_drain_without_a_name_drains_nothing(self) -> None:
        rows = {'evacuate/': platform.Row('evacuate/', '{}', 1)}
        self.assertEqual((), self.adapter.read_drained_domains(rows))

    def test_a_drain_of_no_sense_is_logged_once(self) -> None:
        with self.assertLogs('rosemaryroad', 'WARNING') as logged:
            for _ in range(3):
                self._drains(szeged='{')
        self.assertEqual(1, len(logged.output))

    def test_bad_entries_name_no_worker(self) -> None:
        """An entry comes from another writer, or in part.

        Taken for a worker, it would get tasks that nobody runs.
        """
        for change in (
            {'state': 'resting'},
            {'state': 7},
            {'address': 'nowhere'},
            {'address': None},
            {'service': ''},
            {'capacity': 16},
            {'capacity': {'cpu': '16', 'mem_mb': 1}},
            {'capacity': {'cpu': 16}},
            {'labels': 'a'},
            {'labels': [1]},
            {'zone': None},
            {'born': None},
            {'born': '1700000000123'},
            {'born': 1.5},
            {'born': -1},
            {'warmup_left_ms': 'long'},
            {'warmup_left_ms': -1},
        ):
            with self.subTest(change):
                self.assertEqual((), self._workers(entries.WORKER | change))
        for text in ('', 'nonsense', '[]', 'null', '[' * 100_000):
            with self.subTest(text[:20]):
                self.assertEqual((), self._workers(text))

    def test_a_bad_entry_hides_no_other(self) -> None:
        rows = _rows(i1='{', i2=json.dumps(entries.WORKER))
        found = self.adapter.read_workers(rows)
        self.assertEqual(['i2'], [worker.id for worker in found])
