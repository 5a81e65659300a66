"""A test case that starts the platform's stand-in on loopback."""

import asyncio
import collections.abc
import typing
import unittest

import attrs

from rosemaryroad import platform
from tests import loop_time
from tests.standins import _platform_state
from tests.standins import _serve
from tests.standins import platform as standin

# So long that no machine is too slow; tests of silence move the time on.
TIMEOUTS = platform.Timeouts(connect_ms=20_000.0, total_ms=20_000.0)
# What takes longer counts as hanging.
HANG_S = 60.0
# The HTTP library rounds the end of a long timeout up to a whole second.
_ROUNDING_MS = 1000.0

_Value = typing.TypeVar('_Value')


@attrs.frozen
class Adapters:
    """The adapters to one stand-in."""

    table: platform.TableService
    vms: platform.VmList

    @classmethod
    def to(cls, address: str) -> 'Adapters':
        return cls(
            platform.HttpTableService(address, TIMEOUTS),
            platform.HttpVmList(address, TIMEOUTS),
        )

    async def close(self) -> None:
        for adapter in (self.table, self.vms):
            await adapter.close()


def endpoint_vm(vm: str, **changes: object) -> dict[str, object]:
    """Returns an endpoint as the VM list has it."""
    return {
        'vm': vm,
        'kind': 'endpoint',
        'service': 'clips',
        'address': '127.0.0.1:5000',
        'failure_domain': 'catania',
        'incarnation': '1',
        **changes,
    }


ENTRY_VM = {
    'vm': 'e1',
    'kind': 'entry',
    'peer_address': '127.0.0.1:5001',
    'failure_domain': 'catania',
    'incarnation': '1',
}


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Starts a stand-in for each test."""

    async def asyncSetUp(self) -> None:
        self.loop_time = loop_time.LoopTime()
        await self.start_platform()

    async def start_platform(self) -> None:
        self.state = _platform_state.PlatformState()
        self.app = standin.make_app(self.state)
        serving = await _serve.start(self.app)
        self.addAsyncCleanup(serving.stop)
        self.address = serving.address
        self.adapters = Adapters.to(self.address)
        self.addAsyncCleanup(self.adapters.close)

    def settle_late_writes(self) -> None:
        """Lets every late write arrive now."""
        for write in self.app.ctx.late_writes:
            write()
        self.app.ctx.late_writes.clear()

    async def outlast(
        self, call: collections.abc.Coroutine[typing.Any, typing.Any, _Value]
    ) -> _Value:
        """Awaits a call, and lets its timeouts pass where it needs them.

        That is as soon as the stand-in has a request that it holds for
        good, however long the request took to get there.
        """
        running = asyncio.create_task(call)
        seen = self._held()
        async with asyncio.timeout(HANG_S) as limit:
            while not running.done():
                await asyncio.sleep(0)
                if self._held() > seen:
                    seen = self._held()
                    self.loop_time.advance(TIMEOUTS.total_ms + _ROUNDING_MS)
                    limit.reschedule(self.loop_time.now_s() + HANG_S)
            return await running

    def _held(self) -> int:
        counts = self.state.counts_by_part.values()
        return sum(item.held for item in counts)

    def fail_with(
        self, part: _platform_state.Part, **switches: object
    ) -> None:
        """Sets the faults of a part; all others of it end."""
        self.state.set_switches(part, _platform_state.Switches(**switches))
