"""Tests of the users' metadata store as a table service."""

import asyncio
import unittest

from rosemaryroad import errors
from rosemaryroad import platform
from tests.standins import job_store

_TIMEOUT_MS = 300.0


def _put(key: str, value: str, expected: int) -> platform.Transaction:
    return platform.Transaction(
        't1', (platform.Put('a', key, value, expected),)
    )


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """What is read, waited for and written, and what is known of faults."""

    async def asyncSetUp(self) -> None:
        self.store = job_store.JobStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        timeouts = platform.Timeouts(total_ms=_TIMEOUT_MS)
        self.tables = platform.StoreTables(self.store.address, timeouts)
        self.addAsyncCleanup(self.tables.close)

    async def test_rows_come_with_the_version_to_go_on_from(self) -> None:
        self.store.put('a', 'k2', {'x': 1})
        self.store.put('a', 'k1', {'x': 2})
        self.store.put('b', 'k1', {'x': 3})
        found = await self.tables.snapshot('a')
        self.assertEqual(['k1', 'k2'], [row.key for row in found.rows])
        self.assertEqual(self.store.version, found.version)

    async def test_a_large_table_is_read_whole(self) -> None:
        for number in range(1_203):
            self.store.put('a', f'k{number:05}', {})
        found = await self.tables.snapshot('a')
        self.assertEqual(1_203, len({row.key for row in found.rows}))

    async def test_a_change_is_told_when_it_comes(self) -> None:
        first = await self.tables.snapshot('a')
        waiting = asyncio.create_task(
            self.tables.changes('a', first.version, 60_000)
        )
        await asyncio.sleep(0)
        self.store.put('a', 'k1', {'x': 1})
        self.store.remove('a', 'k0')
        found = await waiting
        later = await self.tables.changes('a', first.version, 0)
        self.assertEqual(['k1'], [row.key for row in found.rows])
        self.assertEqual(('k0',), later.deleted)

    async def test_history_that_is_gone_is_told(self) -> None:
        """The store drops its history while a daemon is busy elsewhere.

        Taken for "nothing changed", a queue that operators removed would
        be served on and on.
        """
        self.store.put('a', 'k1', {})
        self.store.forget_history()
        with self.assertRaises(platform.HistoryLost):
            await self.tables.changes('a', 1, 0)

    async def test_damaged_rows_hide_no_others(self) -> None:
        """Another writer leaves rows that no one can read."""
        self.store.put('a', 'k1', b'\xff\xfe')
        self.store.put_raw('a', 'k2', value=7)
        self.store.put_raw('a', 'k3', value='%%%')
        self.store.put_raw('a', 'k4')
        self.store.put('a', 'k5', {'x': 1})
        found = await self.tables.snapshot('a')
        values = {row.key: row.value for row in found.rows}
        expected = dict.fromkeys(('k1', 'k2', 'k3', 'k4'), '')
        self.assertEqual(expected | {'k5': '{"x": 1}'}, values)

    async def test_a_write_holds_only_under_its_condition(self) -> None:
        """Two VMs claim the same row at the same time; one gets it."""
        first = await self.tables.transact(_put('k', '"one"', 0))
        second = await self.tables.transact(_put('k', '"two"', 0))
        self.assertIsInstance(first, platform.Committed)
        self.assertIsInstance(second, platform.Conflict)
        row = await self.tables.read('a', 'k')
        self.assertEqual('"one"', row.value)
        [conflict] = second.rows
        self.assertEqual(row.version, conflict.version)
        third = await self.tables.transact(_put('k', '"three"', row.version))
        self.assertIsInstance(third, platform.Committed)
        self.assertIsNone(await self.tables.read('a', 'other'))

    async def test_faults_of_reads(self) -> None:
        """The store is down in one way or another.

        Each has to be told from an empty table: a daemon that took the
        one for the other would forget all workers.
        """
        for name, faults in (
            ('refuses', job_store.StoreFaults(status=503)),
            ('too many calls', job_store.StoreFaults(status=429)),
            ('breaks', job_store.StoreFaults(status=500)),
            ('silent', job_store.StoreFaults(swallow=True)),
            ('garbled', job_store.StoreFaults(garble=True)),
        ):
            self.store.faults = faults
            with self.subTest(name):
                for call in (
                    self.tables.snapshot('a'),
                    self.tables.changes('a', 1, 0),
                    self.tables.read('a', 'k'),
                ):
                    with self.assertRaises(errors.PlatformUnavailable):
                        await call

    async def test_faults_of_writes(self) -> None:
        """A write fails; what is known of it decides what may follow."""
        for name, faults, error in (
            (
                'refused',
                job_store.StoreFaults(status=503),
                errors.PlatformUnavailable,
            ),
            (
                'too many calls',
                job_store.StoreFaults(status=429),
                errors.PlatformUnavailable,
            ),
            ('broken', job_store.StoreFaults(status=502), errors.WriteUnknown),
            (
                'silent',
                job_store.StoreFaults(swallow=True),
                errors.WriteUnknown,
            ),
            (
                'answer lost',
                job_store.StoreFaults(lose_answers=True),
                errors.WriteUnknown,
            ),
        ):
            self.store.faults = faults
            with self.subTest(name), self.assertRaises(error):
                await self.tables.transact(_put(name, '1', 0))
        self.store.faults = job_store.StoreFaults()
        self.assertIsNotNone(await self.tables.read('a', 'answer lost'))
        self.assertIsNone(await self.tables.read('a', 'refused'))
