"""Contract tests of the adapters to the platform."""

import collections.abc
import typing

import attrs

from rosemaryroad import errors
from rosemaryroad import platform
from tests import platform_case
from tests.standins import _platform_state

_Down = _platform_state.Down
_Part = _platform_state.Part
_Switches = _platform_state.Switches
_UNAVAILABLE = errors.PlatformUnavailable
_UNKNOWN = errors.WriteUnknown
_NOTHING_LISTENS = '127.0.0.1:1'
_SLOW_MS = 10 * platform_case.TIMEOUTS.total_ms

_Call: typing.TypeAlias = collections.abc.Callable[
    [platform_case.Adapters], collections.abc.Awaitable[object]
]


def _put(key: str, value: str = 'v', expected: int = 0) -> platform.Put:
    return platform.Put('t', key, value, expected)


def _transaction(name: str, *puts: platform.Put) -> platform.Transaction:
    return platform.Transaction(name, puts)


@attrs.frozen
class _Operation:
    name: str
    part: _Part
    call: _Call
    writes: bool


_OPERATIONS = (
    _Operation('read', _Part.TABLE, lambda a: a.table.read('t', 'k'), False),
    _Operation('scan', _Part.TABLE, lambda a: a.table.scan('t'), False),
    _Operation(
        'transact',
        _Part.TABLE,
        lambda a: a.table.transact(_transaction('x', _put('k'))),
        True,
    ),
    _Operation('list', _Part.VMS, lambda a: a.vms.list(), False),
)


@attrs.frozen
class _Fault:
    """A fault, what a write then raises, and whether it took effect."""

    name: str
    switches: _Switches
    write_raises: type[Exception]
    takes_effect: bool
    on_reads: bool = True


_FAULTS = (
    _Fault('refuses', _Switches(down=_Down.REFUSE), _UNAVAILABLE, False),
    _Fault('drops', _Switches(down=_Down.DROP), _UNKNOWN, False),
    _Fault('gateway', _Switches(down=_Down.GATEWAY), _UNKNOWN, False),
    _Fault('swallows', _Switches(swallow=True), _UNKNOWN, False),
    _Fault('is slow', _Switches(delay_ms=_SLOW_MS), _UNKNOWN, False),
    _Fault(
        'loses the answer',
        _Switches(lose_answers=1),
        _UNKNOWN,
        True,
        on_reads=False,
    ),
)


class FaultTest(platform_case.PlatformCase):
    """Every operation under every fault ends in time and says what is known.

    The platform is down, slow, or loses an answer. A caller who waits for
    ever, or hears "not written" of a write that took effect, would notice.
    """

    async def test_each_operation_under_each_fault(self) -> None:
        for operation in _OPERATIONS:
            for fault in _FAULTS:
                if operation.writes or fault.on_reads:
                    with self.subTest(f'{operation.name}, {fault.name}'):
                        await self.start_platform()
                        await self._check(operation, fault)

    async def _check(self, operation: _Operation, fault: _Fault) -> None:
        # The first call leaves a connection behind, where one is kept.
        await operation.call(self.adapters)
        counts = self.state.counts_by_part[operation.part]
        before = attrs.evolve(counts)
        raises = fault.write_raises if operation.writes else _UNAVAILABLE
        switches = attrs.evolve(fault.switches)
        self.state.set_switches(operation.part, switches)
        if operation.name == 'transact':
            self.state.tables.clear()
        with self.assertRaises(raises):
            await self.outlast(operation.call(self.adapters))
        effects = counts.writes - before.writes
        self.assertEqual(1 if fault.takes_effect else 0, effects)
        if operation.writes:
            requests = counts.write_requests - before.write_requests
            self.assertEqual(1, requests)

    async def test_an_answer_that_is_no_json(self) -> None:
        for operation in _OPERATIONS:
            with self.subTest(operation.name):
                self.fail_with(operation.part, down=_Down.GARBLE)
                raises = _UNKNOWN if operation.writes else _UNAVAILABLE
                with self.assertRaises(raises):
                    await operation.call(self.adapters)

    async def test_nothing_listens(self) -> None:
        adapters = platform_case.Adapters.to(_NOTHING_LISTENS)
        self.addAsyncCleanup(adapters.close)
        for operation in _OPERATIONS:
            with self.subTest(operation.name), self.assertRaises(_UNAVAILABLE):
                await operation.call(adapters)


class TableTest(platform_case.PlatformCase):
    """The contract of the table service."""

    async def test_puts_take_effect_together_or_not_at_all(self) -> None:
        table = self.adapters.table
        await table.transact(_transaction('a', _put('x'), _put('y')))
        result = await table.transact(
            _transaction('b', _put('x', 'w', 1), _put('y', 'w', 7))
        )
        conflict = platform.Conflict((platform.RowVersion('t', 'y', 1),))
        self.assertEqual(conflict, result)
        row = await table.read('t', 'x')
        self.assertEqual(platform.Row('x', 'v', 1), row)
        result = await table.transact(_transaction('c', _put('x', 'w', 1)))
        self.assertEqual(platform.Committed(), result)
        row = await table.read('t', 'x')
        self.assertEqual(platform.Row('x', 'w', 2), row)

    async def test_scans_by_prefix_and_greater_key(self) -> None:
        table = self.adapters.table
        keys = ('a/1', 'a/2', 'a/3', 'b/1')
        puts = [_put(key) for key in reversed(keys)]
        await table.transact(_transaction('a', *puts))
        rows = await table.scan('t', prefix='a/', after='a/1')
        self.assertEqual(['a/2', 'a/3'], [row.key for row in rows])
        rows = await table.scan('t', limit=1)
        self.assertEqual(['a/1'], [row.key for row in rows])
        self.assertIsNone(await table.read('t', 'c'))

    async def test_a_stale_read_is_old_and_a_conflict_is_not(self) -> None:
        table = self.adapters.table
        await table.transact(_transaction('a', _put('x')))
        self.fail_with(_Part.TABLE, stale=True)
        await table.transact(_transaction('b', _put('x', 'w', 1)))
        self.assertEqual('v', (await table.read('t', 'x')).value)
        result = await table.transact(_transaction('c', _put('x', 'w', 1)))
        self.assertEqual(2, result.rows[0].version)


class VmListTest(platform_case.PlatformCase):
    """The contract of the VM list."""

    async def test_a_bad_record_does_not_hide_the_others(self) -> None:
        fields = {'state': 'leaving', 'a field of next year': 1}
        good = platform_case.endpoint_vm('m1', **fields)
        bad = {**good, 'vm': 'm2', 'slots': 0}
        self.state.vms = [bad, good, platform_case.ENTRY_VM]
        with self.assertLogs('rosemaryroad.platform', 'WARNING') as logged:
            records = await self.adapters.vms.list()
        self.assertEqual(['m1', 'e1'], [record.vm for record in records])
        self.assertTrue(records[0].endpoint().leaving)
        self.assertIn('event=vm_record_skipped', logged.output[0])

    async def test_a_stale_list_is_the_old_one(self) -> None:
        self.fail_with(_Part.VMS, stale=True)
        self.state.vms = [{'vm': 'm1'}]
        self.assertEqual((), await self.adapters.vms.list())

    async def test_each_read_gives_the_list_of_its_moment(self) -> None:
        """The list changes, changes back, is old, or is down in between.

        An entry VM asks only for changes. Were it to take the wrong list
        for unchanged, it would send work to endpoints that have left; to
        parse an unchanged one again costs a tenth of a core.
        """
        for etags in (True, False):
            with self.subTest(etags=etags):
                await self.start_platform()
                self.fail_with(_Part.VMS, etags=etags)
                one = await self._read('m1')
                self.assertIs(one, await self._read('m1'))
                self.fail_with(_Part.VMS, etags=etags, stale=True)
                self.assertIs(one, await self._read('m2'))
                self.fail_with(_Part.VMS, etags=etags)
                two = await self._read('m2')
                self.assertEqual('m2', two[0].vm)
                self.fail_with(_Part.VMS, down=_Down.GATEWAY)
                with self.assertRaises(_UNAVAILABLE):
                    await self._read('m1')
                self.fail_with(_Part.VMS, etags=etags)
                self.assertIs(two, await self._read('m2'))
                self.assertEqual(one, await self._read('m1'))

    async def test_an_unchanged_list_is_not_sent_again(self) -> None:
        await self._read('m1')
        sent = self.state.counts_by_part[_Part.VMS].reply_bytes
        await self._read('m1')
        counts = self.state.counts_by_part[_Part.VMS]
        self.assertLess(counts.reply_bytes - sent, sent)

    async def test_unchanged_since_nothing_is_no_answer(self) -> None:
        """A broken cache says 304 to whoever names no list.

        A daemon would start with no endpoint at all, or, where lists come
        without ETags, keep the ones of that moment for good.
        """
        for etags, reads in ((True, 0), (False, 0), (False, 1)):
            with self.subTest(etags=etags, reads=reads):
                await self.start_platform()
                self.fail_with(_Part.VMS, etags=etags)
                for _ in range(reads):
                    await self._read('m1')
                self.fail_with(_Part.VMS, etags=etags, claim_unchanged=True)
                with self.assertRaises(_UNAVAILABLE):
                    await self._read('m1')

    async def _read(self, vm: str) -> tuple[platform.VmRecord, ...]:
        self.state.vms = [platform_case.endpoint_vm(vm)]
        return await self.adapters.vms.list()
