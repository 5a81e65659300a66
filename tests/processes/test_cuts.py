"""Failure domains that are cut off from each other or the platform."""

import asyncio

from rosemaryroad import errors
from rosemaryroad import model
from tests.processes import case
from tests.processes import linked
from tests.standins import relay as relay_module

_CODE = errors.ResultCode
_Mode = relay_module.Mode


class FailureDomainCutTest(linked.LinkedCase):
    """Two failure domains lose each other and find each other again."""

    async def test_each_side_serves_and_starts_nothing_twice(self) -> None:
        """The network between two failure domains fails, then heals.

        Each side goes on serving its own callers. A caller who asks the
        wrong side hears at once that nothing is known; after the cut the
        same name gets the one answer that there is.
        """
        for mode in (_Mode.CUT, _Mode.SWALLOW):
            with self.subTest(mode):
                await self._cut_and_heal(mode)

    async def _cut_and_heal(self, mode: relay_module.Mode) -> None:
        label = mode.value
        near = await self.open(self.near)
        far = await self.open(self.far)
        submitting = near.submit(self.near, f'{label}-a', 4, run_ms=1500)
        running = asyncio.create_task(submitting)
        await self.wait_started(f'{label}-a', 4)
        self.relay.set_mode(mode)
        await self.wait_linked(False)
        for client, daemon in ((near, self.near), (far, self.far)):
            reply = await client.submit(daemon, f'{label}-b', 4)
            self.assertEqual(200, reply.status)
        wrong = await near.submit(self.far, f'{label}-a', 4, run_ms=1500)
        self.assert_refused(wrong, _CODE.HOME_UNREACHABLE)
        self.assertGreater(wrong.body['retry_after_ms'], 0)
        self.relay.set_mode(_Mode.PASS)
        await self.wait_linked(True)
        first = await running
        again = await near.submit(self.far, f'{label}-a', 4, run_ms=1500)
        for reply in (first, again):
            self.assert_whole(reply, f'{label}-a', 4)
        starts = self.starts()
        started = {starts[key] for key in starts if key[0] == f'{label}-a'}
        self.assertEqual({1}, started)


class PlatformOutageTest(case.DeploymentCase):
    """The platform is down; the system goes on."""

    DAEMONS = 2

    async def test_callers_are_served_as_before(self) -> None:
        """Table and VM list are down for all."""
        for part in ('table', 'vms'):
            await self.deployed.set_platform(part, down='drop')
        for daemon in self.daemons:
            client = await self.open(daemon)
            for home in self.daemons:
                reply = await client.submit(home, f'at-{home.vm}', 8)
                self.assertEqual(8, len(reply.results))

    async def test_one_that_starts_meanwhile_follows_its_peers(self) -> None:
        """An entry VM is replaced while the table is down.

        It knows no document; its peers hand theirs over, so that it takes
        its share of the callers.
        """
        await self.deployed.set_platform('table', down='drop')
        late = await self.start_daemon(2)
        await self.wait_in_force(late, peers=2)
        await self.deployed.wait_ready(late)
        client = await self.open(late)
        reply = await client.submit(late, 'job', 8)
        self.assertEqual(8, len(reply.results))

    async def test_a_home_that_is_replaced_meanwhile(self) -> None:
        """A home is killed and replaced while the table is down.

        Its successor serves by its peer's documents. It must not take the
        names of the one before it for new ones, nor may the peer start
        them; callers hear that nothing is known.
        """
        home, other = self.daemons
        client = await self.open(home)
        running = asyncio.create_task(
            client.submit(other, 'job', 4, run_ms=60_000)
        )
        await self.wait_started('job', 4)
        await self.deployed.set_platform('table', down='drop')
        home.process.kill()
        self.assert_refused(await running, _CODE.HOME_UNREACHABLE)
        successor = await self.start_daemon(0)
        await self.wait_in_force(successor, peers=1)
        for daemon in (successor, other):
            reply = await client.submit(daemon, 'job', 4, run_ms=60_000)
            self.assert_refused(reply, _CODE.HOME_GONE)
        self.assert_none_started_twice()


class CutOffFromPlatformTest(case.DeploymentCase):
    """One entry VM reaches its peers but not the platform."""

    DAEMONS = 1

    async def test_a_change_reaches_it_through_a_peer(self) -> None:
        """A document changes while an entry VM can't read the table.

        Without its peers' word it would serve by the old document for as
        long as it is cut off.
        """
        target = model.Address.parse(self.deployed.platform.address)
        relay = relay_module.Relay(target)
        address = await relay.start()
        self.addAsyncCleanup(relay.close)
        places = dict.fromkeys(('table', 'vm_list'), str(address))
        cut_off = await self.start_daemon(1, platform=places)
        await self.wait_in_force(cut_off, peers=1)
        relay.set_mode(_Mode.CUT)
        await self.put_document(expected=1, queue_tasks=777)
        await self.wait_in_force(cut_off, peers=1, version=2)
        self.assertEqual(2, (await self.status(cut_off))['head'])

    async def test_a_frozen_one_does_not_bring_back_the_old(self) -> None:
        """An entry VM sleeps through a change and wakes with the old one.

        What it tells its peers then is out of date; they keep the new
        document, and it takes theirs.
        """
        sleeper = await self.start_daemon(1)
        await self.wait_in_force(sleeper, peers=1)
        sleeper.process.freeze()
        await self.put_document(expected=1, queue_tasks=777)
        awake = self.daemons[0]
        await self.wait_in_force(awake, version=2)
        await self.deployed.set_platform('table', down='drop')
        sleeper.process.thaw()
        await self.wait_in_force(sleeper, peers=1, version=2)
        status = await self.status(awake)
        self.assertEqual([2], [s['version'] for s in status['services']])
