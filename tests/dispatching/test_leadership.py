"""Tests of who dispatches, and of how long nobody does."""

import itertools
import unittest

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import played_group

_SEVEN = ('p1', 'p2', 'p3', 'q1', 'q2', 'r1', 'r2')


class CellsTest(unittest.TestCase):
    """Several cells have their dispatchers on several VMs."""

    def setUp(self) -> None:
        self.cells = played_group.PlayedCells(3, *_SEVEN)
        self.cells.run(2_000)

    def test_no_vm_dispatches_two(self) -> None:
        """All VMs start together, and the best one is the same for all.

        With two cells it would have half of its processor for each, and
        with it both would be lost.
        """
        dispatchers = self.cells.dispatchers()
        self.assertNotIn('', dispatchers)
        self.assertEqual(3, len(set(dispatchers)))

    def test_a_lost_dispatcher_costs_its_own_cell_alone(self) -> None:
        """The dispatcher of one of three cells is killed."""
        before = self.cells.dispatchers()
        self.cells.kill(before[1])
        self.cells.run(300)
        after = self.cells.dispatchers()
        self.assertEqual([before[0], before[2]], [after[0], after[2]])
        self.assertNotIn(after[1], ('', *before))

    def test_the_last_vm_dispatches_all(self) -> None:
        for name in _SEVEN[1:]:
            self.cells.kill(name)
        self.cells.run(2_000)
        self.assertEqual([_SEVEN[0]] * 3, self.cells.dispatchers())

    def test_slow_vms_do_not_exchange_their_cells(self) -> None:
        """Two VMs that each dispatch a cell slow down at a time.

        Idle, neither looks late, so each takes the cell that the other has
        given up; most jobs of both are refused while sound VMs stand by.
        """
        self.cells.run(3_000)
        slow = self.cells.dispatchers()[:2]
        for step in range(150):
            # They notice it some 200 ms apart, as their loads differ.
            late = slow if step >= 20 else slow[:1]
            self.cells.slow_down_at_work(late, 60.0)
            self.cells.run(10)
        dispatchers = self.cells.dispatchers()
        self.assertNotIn('', dispatchers)
        self.assertEqual(set(), set(slow) & set(dispatchers))


class UnequalCellsTest(unittest.TestCase):
    """Fewer strong VMs than cells, and weak ones beside them."""

    def test_a_weak_vm_gets_no_cell_that_a_strong_one_can_take(self) -> None:
        """The only idle VMs have a quarter of the strong ones' processor.

        At the usual load of a cell their orders time out, and nearly
        nothing is served.
        """
        cells = played_group.PlayedCells(3)
        for group in cells.by_cell:
            for name in _SEVEN:
                group.add(name, cores=0.5)
            for name in ('x1', 'x2'):
                group.add(name, cores=2.0)
        cells.run(2_000)
        self.assertEqual({'x1', 'x2'}, set(cells.dispatchers()))


class FirstElectionTest(unittest.TestCase):
    """VMs of different strength start together."""

    def test_the_strongest_dispatches_though_it_learns_last(self) -> None:
        """The weaker VMs have read the platform's lists 50 ms earlier.

        One of them would dispatch from then on: orders time out on a
        processor that is too slow for them, and most jobs fail.
        """
        group = played_group.PlayedGroup()
        for name in _SEVEN:
            group.add(name, informed=False, cores=0.5)
        group.add('strong', informed=False, cores=2.0)
        group.run(1_000)
        for name in _SEVEN:
            group.inform(name)
        group.run(50)
        group.inform('strong')
        group.run_until_one(500)
        self.assertEqual(['strong'], list(group.claims()))

    def test_the_strongest_succeeds_one_that_leaves(self) -> None:
        """The dispatcher is restarted, and the others hear of it in turn.

        If the first to hear took over, a weak VM would often dispatch: it
        has to go on for three seconds, and most jobs are late or refused.
        """
        group = played_group.PlayedGroup()
        # The weakest looks at the time first.
        for number, name in reversed(list(enumerate(_SEVEN))):
            group.add(name, cores=2.0 - 0.25 * number)
        group.run_until_one(2_000)
        group.run(3_000)
        for first, second in itertools.pairwise(_SEVEN[:4]):
            self.assertEqual([first], list(group.claims()))
            group.vm_by_name[first].leadership.leave(group.now)
            group.run(500)
            self.assertEqual([second], list(group.claims()))


class LeadershipTest(unittest.TestCase):
    """One VM dispatches for all that reach it, and soon another."""

    def setUp(self) -> None:
        self.group = played_group.PlayedGroup(*_SEVEN)
        self.group.run_until_one(1_500)
        [self.first] = self.group.claims()

    def test_one_dispatches_after_the_start(self) -> None:
        self.group.run(2_000)
        claims = {self.first: model.Claim.DISPATCHER}
        self.assertEqual(claims, self.group.claims())
        self.assertEqual(self.first, self.group.row.vm)

    def _read_signs_to(self, name: str) -> None:
        for peer in set(_SEVEN) - {name}:
            pulse = self.group.vm_by_name[peer].leadership.pulse()
            leadership = self.group.vm_by_name[name].leadership
            leadership.heard(peer, pulse, self.group.now)

    def test_signs_that_waited_for_a_stopped_vm_show_no_followers(
        self,
    ) -> None:
        """Read late, they hide that most follow another one by now."""
        for is_read_before_its_timers in (True, False):
            with self.subTest(is_read_before_its_timers):
                self.setUp()
                self.group.run(1_000)
                vm = self.group.vm_by_name[self.first]
                followed_at = vm.leadership.followed_at
                self.assertGreater(followed_at, self.group.now - 200)
                stopped_at = self.group.now
                vm.frozen = True
                self.group.run(150)
                vm.frozen = False
                if is_read_before_its_timers:
                    self._read_signs_to(self.first)
                    vm.leadership.tick(self.group.now)
                else:
                    vm.leadership.tick(self.group.now)
                    self._read_signs_to(self.first)
                    vm.leadership.tick(self.group.now)
                self.assertLessEqual(vm.leadership.followed_at, stopped_at)

    def test_a_killed_dispatcher_is_succeeded_within_300_ms(self) -> None:
        """The dispatcher's process is killed; its links are reset.

        For as long as nobody dispatches, no task of anybody starts.
        """
        before = self.group.row.term
        self.group.kill(self.first)
        took = self.group.run_until_one(300)
        self.assertLessEqual(took, 300)
        self.assertGreater(self.group.row.term, before)

    def test_a_silent_dispatcher_is_succeeded_within_a_second(self) -> None:
        """The dispatcher loses power, and nothing says so."""
        self.group.vm_by_name[self.first].frozen = True
        others = [vm for vm in _SEVEN if vm != self.first]
        self.group.run(1_000)
        followed = {
            self.group.vm_by_name[vm].leadership.role.dispatcher
            for vm in others
        }
        self.assertEqual(1, len(followed))
        self.assertNotIn(followed.pop(), ('', self.first))

    def _followed(self, vms: list[str]) -> set[str]:
        return {
            self.group.vm_by_name[vm].leadership.role.dispatcher for vm in vms
        }

    def test_a_cut_leaves_both_sides_with_a_dispatcher_soon(self) -> None:
        """A failure domain is cut off, with or without the dispatcher.

        The last that each side heard of the other is that the dispatcher is
        well. Waited for until they count as silent as well, such words would
        cost both sides another quarter of a second of late jobs.
        """
        others = [vm for vm in _SEVEN if vm != self.first]
        for domain in ([self.first, others[0]], others[:2]):
            with self.subTest(domain=domain):
                self.setUp()
                self.group.run(2_000)
                outside = [vm for vm in _SEVEN if vm not in domain]
                self.group.part(*domain)
                self.group.run(480)
                for side in (domain, outside):
                    [found] = self._followed(side)
                    self.assertIn(found, side)

    def test_links_that_come_back_one_by_one_change_nothing(self) -> None:
        """A domain of two VMs is reachable again after a cut.

        Its VMs have links to the others before they have one to the
        dispatcher, and hear them follow it. If one claimed, all jobs would
        go over to it while they run.
        """
        others = [vm for vm in _SEVEN if vm != self.first]
        pair, outside = others[:2], others[2:]
        self.group.run(2_000)
        self.group.part(*pair)
        self.group.run(1_500)
        acting = next(vm for vm in self.group.claims() if vm in pair)
        self.group.kill(acting)
        self.group.run(30)
        for vm in outside:
            self.group.link(pair[acting == pair[0]], vm)
            self.group.run(60)
        self.group.run(400)
        self.assertIs(
            model.Claim.DISPATCHER, self.group.claims().get(self.first)
        )
        dispatchers = [
            vm
            for vm, claim in self.group.claims().items()
            if claim is model.Claim.DISPATCHER
        ]
        self.assertEqual([self.first], dispatchers)

    def test_a_silent_dispatcher_is_succeeded_in_half_a_second(self) -> None:
        """The dispatcher's VM is gone, and no reset tells the others.

        Each job that comes until they notice is late, if not lost.
        """
        self.group.run(2_000)
        others = [vm for vm in _SEVEN if vm != self.first]
        self.group.vm_by_name[self.first].frozen = True
        self.group.run(450)
        [found] = self._followed(others)
        self.assertIn(found, others)

    def test_a_leaving_dispatcher_is_succeeded_at_once(self) -> None:
        """The dispatcher gets SIGTERM and is still heard by everybody."""
        self.group.vm_by_name[self.first].leadership.leave(self.group.now)
        took = self.group.run_until_one(150)
        self.assertLessEqual(took, 150)
        self.assertNotIn(self.first, self.group.claims())

    def _leave(self, *names: str) -> None:
        for name in names:
            leadership = self.group.vm_by_name[name].leadership
            leadership.leave(self.group.now)

    def test_the_last_of_a_part_goes_on_while_it_leaves(self) -> None:
        """A domain of two VMs is cut off, and both are to be restarted.

        Nobody there can take over. If both stopped giving orders as soon as
        they began to leave, their clients would be refused for seconds.
        """
        others = [vm for vm in _SEVEN if vm != self.first]
        pair = others[:2]
        self.group.run(2_000)
        self.group.part(*pair)
        self.group.run(1_500)
        self._leave(*pair)
        for _ in range(30):
            self.group.run(100)
            acting = [vm for vm in self.group.claims() if vm in pair]
            self.assertEqual(1, len(acting))

    def test_the_last_one_gives_way_to_a_vm_that_is_back(self) -> None:
        others = [vm for vm in _SEVEN if vm != self.first]
        one, other = others[:2]
        self.group.run(2_000)
        self.group.part(one, other)
        self.group.run(1_500)
        self._leave(one, other)
        self.group.run(500)
        [acting] = [vm for vm in self.group.claims() if vm in (one, other)]
        back = other if acting == one else one
        self.group.kill(back)
        self.group.run(500)
        self.assertIn(acting, self.group.claims())
        self.group.add(back, links=(acting,))
        self.group.run(2_000)
        self.assertNotIn(acting, self.group.claims())
        self.assertIn(back, self.group.claims())

    def test_two_that_leave_and_lose_their_dispatcher(self) -> None:
        """Two leaving VMs are left without the one that dispatched for them.

        If both gave orders to the same workers, tasks would run twice.
        """
        others = [vm for vm in _SEVEN if vm != self.first]
        three = others[:3]
        self.group.run(2_000)
        self.group.part(*three)
        self.group.run(1_500)
        self._leave(*three)
        self.group.run(300)
        [acting] = [vm for vm in self.group.claims() if vm in three]
        self.group.kill(acting)
        for _ in range(100):
            self.group.run(10)
            claims = [vm for vm in self.group.claims() if vm in three]
            self.assertLessEqual(len(claims), 1)
        self.assertEqual(1, len(claims))

    def test_a_leave_in_order_needs_no_majority(self) -> None:
        """Half of the VMs are away while the dispatcher is restarted.

        A deputy would let leases lapse for a second, lest another
        dispatcher be at work; this one has said itself that it leaves.
        """
        others = [vm for vm in _SEVEN if vm != self.first]
        for name in others[:3]:
            self.group.kill(name)
        self.group.run(300)
        self.group.vm_by_name[self.first].leadership.leave(self.group.now)
        self.group.run_until_one(150)
        claims = set(self.group.claims().values())
        self.assertEqual({model.Claim.DISPATCHER}, claims)

    def test_restarts_in_turn_change_the_dispatcher_seldom(self) -> None:
        """All VMs are restarted one after the other.

        With each change of dispatcher all jobs change hands.
        """
        seen = {self.first}
        for name in _SEVEN:
            self.group.vm_by_name[name].leadership.leave(self.group.now)
            self.group.run(1_000)
            self.group.kill(name)
            self.group.run(500)
            self.group.add(name)
            self.group.run(1_500)
            seen.update(self.group.claims())
        self.assertLessEqual(len(seen), 3)

    def test_a_woken_dispatcher_gives_no_order(self) -> None:
        """A dispatcher is stopped for seconds and replaced meanwhile.

        When it goes on it knows nothing of that. An order of it would
        start a task that the other one has started as well.
        """
        frozen = self.group.vm_by_name[self.first]
        frozen.frozen = True
        self.group.run(2_000)
        frozen.frozen = False
        self.assertFalse(frozen.leadership.may_order(self.group.now))
        frozen.leadership.tick(self.group.now)
        self.assertFalse(frozen.leadership.may_order(self.group.now))
        self.group.heal()
        self.group.run(1_500)
        self.assertEqual(1, len(self.group.claims()))
        self.assertNotIn(self.first, self.group.claims())

    def test_a_small_part_gives_way_when_the_cut_heals(self) -> None:
        """Two VMs of a failure domain are cut off, the dispatcher is not.

        One of the two serves their callers meanwhile. If it kept the
        whole after the cut, every job would change its dispatcher.
        """
        cut = [vm for vm in _SEVEN if vm != self.first][-2:]
        for name in cut:
            self.group.vm_by_name[name].reaches_table = False
        self.group.part(*cut)
        self.group.run(3_000)
        self.assertEqual(
            {
                self.first: model.Claim.DISPATCHER,
                cut[0]: model.Claim.DEPUTY,
            },
            self.group.claims(),
        )
        for name in cut:
            self.group.vm_by_name[name].reaches_table = True
        self.group.heal()
        self.group.run(500)
        self.assertEqual({self.first}, self.group.followed())

    def test_a_large_part_gets_a_dispatcher_of_its_own(self) -> None:
        """The dispatcher's failure domain is cut off from the others."""
        others = [vm for vm in _SEVEN if vm != self.first]
        self.group.part(self.first)
        self.group.run(1_300)
        claims = self.group.claims()
        dispatchers = [
            vm for vm in others if claims.get(vm) is model.Claim.DISPATCHER
        ]
        self.assertEqual(1, len(dispatchers))
        self.group.heal()
        self.group.run(500)
        self.assertEqual({dispatchers[0]}, self.group.followed())

    def test_the_table_is_not_needed_to_go_on(self) -> None:
        """The dispatcher dies while the platform's table is away."""
        for vm in self.group.vm_by_name.values():
            vm.reaches_table = False
        self.group.kill(self.first)
        self.group.run_until_one(300)
        for vm in self.group.vm_by_name.values():
            vm.reaches_table = True
        self.group.run(2_000)
        [second] = self.group.claims()
        self.assertEqual(second, self.group.row.vm)

    def test_a_reset_link_alone_changes_nothing(self) -> None:
        """One VM's link to the dispatcher is reset and opens again."""
        other = next(vm for vm in _SEVEN if vm != self.first)
        self.group.unlink(self.first, other)
        self.group.run(300)
        self.assertEqual([self.first], list(self.group.claims()))
        self.group.heal()
        self.group.run(300)
        self.assertEqual({self.first}, self.group.followed())

    def test_all_start_anew_after_a_loss_of_power(self) -> None:
        """All VMs lose power and come back together.

        The one that dispatched before takes its row up again at once; a
        second more without anybody is a second of refused jobs.
        """
        group = self.group
        row = group.row
        self.group = played_group.PlayedGroup()
        self.group.row = row
        self.group.now = group.now + 1_000
        for name in _SEVEN:
            self.group.add(name)
        took = self.group.run_until_one(200)
        self.assertLessEqual(took, 200)
        self.assertGreater(self.group.row.term, row.term)

    def _start_anew(self, *names: str) -> None:
        """Has all VMs lose power, and some come back."""
        row = self.group.row
        now = self.group.now
        self.group = played_group.PlayedGroup()
        self.group.row = row
        self.group.now = now + 1_000
        self.group.away = set(_SEVEN) - set(names)
        for name in names:
            self.group.add(name)

    def test_most_vms_wait_for_no_other(self) -> None:
        """All VMs lose power; the one that dispatched comes back last.

        Most are there and know all they need. Each job that comes while
        they wait for the others is refused or late.
        """
        others = [name for name in _SEVEN if name != self.first]
        self._start_anew(*others[:4])
        self.assertLessEqual(self.group.run_until_one(200), 100)

    def test_fewer_vms_wait_for_the_others(self) -> None:
        """Less than half of the VMs is back.

        The others may be at work behind a cut, with a dispatcher that runs
        the jobs of all; two would start them.
        """
        others = [name for name in _SEVEN if name != self.first]
        self._start_anew(*others[:3])
        self.group.run(600)
        self.assertEqual({}, self.group.claims())

    def test_a_weaker_vm_waits_for_a_stronger_one(self) -> None:
        """Most VMs are back, but for the only strong one.

        If a weak one dispatched, every job would wait for its processor.
        """
        self.group.add('strong', cores=2.0)
        others = [name for name in _SEVEN if name != self.first]
        self._start_anew()
        for name in others[:5]:
            self.group.add(name, cores=0.5)
        self.group.run(150)
        self.assertEqual({}, self.group.claims())

    def test_a_vm_that_knows_no_workers_does_not_act(self) -> None:
        """A VM is restarted behind a cut and can't read the platform's lists.

        As its domain's deputy it would refuse every job there, although
        the VM beside it knows workers that stand free.
        """
        others = [vm for vm in _SEVEN if vm != self.first]
        fresh, informed = others[-2:]
        self.group.kill(fresh)
        for name in list(self.group.vm_by_name):
            if name != informed:
                self.group.silence(informed, name)
        self.group.add(fresh, informed=False, links=(informed,))
        self.group.run(1_500)
        self.assertIs(model.Claim.DEPUTY, self.group.claims().get(informed))
        self.assertNotIn(fresh, self.group.claims())

    def test_a_vm_just_started_holds_nobody_up(self) -> None:
        """A VM comes back just as its failure domain is cut off.

        It waits for its links; the VM beside it has to act at once, or
        their clients are without a dispatcher for another second.
        """
        others = [vm for vm in _SEVEN if vm != self.first]
        fresh, old = others[-2:]
        self.group.kill(fresh)
        self.group.run(2_000)
        self.group.add(fresh)
        self.group.run(100)
        self.group.part(fresh, old)
        self.group.run(800)
        self.assertIs(model.Claim.DEPUTY, self.group.claims().get(old))


class LargeGroupTest(unittest.TestCase):
    """The same among 42 VMs, which tell each other less often."""

    def setUp(self) -> None:
        names = [f'v{number:02}' for number in range(42)]
        self.group = played_group.PlayedGroup(*names)
        self.group.run_until_one(1_500)
        self.group.run(3_000)
        self.cut_at = self.group.now
        [self.first] = self.group.claims()

    def test_nobody_is_taken_for_silent_in_a_calm(self) -> None:
        """Signs that come less often must not pass for silence."""
        for _ in range(40):
            self.group.run(100)
            for vm in self.group.vm_by_name.values():
                silent = vm.leadership.silent(self.group.now)
                self.assertEqual((), silent)

    def test_a_killed_dispatcher_is_succeeded_within_300_ms(self) -> None:
        self.group.kill(self.first)
        self.group.run_until_one(300)
        self.group.run(3_000)
        self.assertEqual(1, len(self.group.claims()))

    def test_a_silent_dispatcher_is_succeeded_within_a_second(self) -> None:
        self.group.vm_by_name[self.first].frozen = True
        self.group.run(1_000)
        claims = self.group.claims()
        claims.pop(self.first, None)
        self.assertEqual([model.Claim.DISPATCHER], list(claims.values()))

    def test_a_cut_domain_leaves_nobody_without_orders(self) -> None:
        """A third of the VMs is cut off with the dispatcher among them.

        For seconds the others' signs from across the cut still count; a
        deputy gives orders until a majority has a dispatcher again.
        """
        rest = [vm for vm in self.group.vm_by_name if vm != self.first]
        domain = [self.first, *rest[:13]]
        self.group.part(*domain)
        self.group.run(1_200)
        for side in (domain, rest[13:]):
            followed = {
                self.group.vm_by_name[vm].leadership.role.dispatcher
                for vm in side
            }
            self.assertEqual(1, len(followed))
            self.assertIn(followed.pop(), side)
        self.group.run(4_000)
        self.group.heal()
        self.group.run_until_one(2_000)

    def test_a_dispatcher_gives_homes_up_when_they_give_it_up(self) -> None:
        """A failure domain is cut off with the dispatcher in it.

        The homes outside hand their jobs to another dispatcher. If the one
        behind the cut still counted them as its own for a second or two, it
        would start tasks of theirs again beside its successor, and callers
        would find their work done twice.
        """
        rest = [vm for vm in self.group.vm_by_name if vm != self.first]
        outside = rest[13:]
        self.group.part(self.first, *rest[:13])
        moved_at: dict[str, float] = {}
        while self.group.now < self.cut_at + 4_000:
            self.group.run(10)
            for vm in outside:
                role = self.group.vm_by_name[vm].leadership.role
                if role.dispatcher not in ('', self.first):
                    moved_at.setdefault(vm, self.group.now)
        for vm in outside:
            given_up_at = self.group.given_up_at[self.first, vm]
            with self.subTest(vm=vm):
                self.assertLess(given_up_at - moved_at[vm], 300)

    def test_a_new_dispatcher_takes_nobody_for_silent(self) -> None:
        """The dispatcher is killed, and another VM takes over.

        It has heard the others seldom until then. Were they counted as
        lost, their jobs would be stopped at the worst of moments.
        """
        self.group.kill(self.first)
        self.group.run(2_000)
        [second] = self.group.claims()
        given_up = [key for key in self.group.given_up_at if second in key]
        self.assertEqual([], given_up)

    def test_signs_of_life_are_few(self) -> None:
        """At the full rate there would be 14,000 a second."""
        before = self.group.signs_sent
        self.group.run(3_000)
        self.assertLess((self.group.signs_sent - before) / 3, 3_300)


class StrainTest(unittest.TestCase):
    """A dispatcher whose VM is slowed down lets another one take over."""

    def setUp(self) -> None:
        self.group = played_group.PlayedGroup(*_SEVEN)
        self.group.run_until_one(1_500)
        self.group.run(4_000)
        [self.first] = self.group.claims()

    def test_a_slow_dispatcher_steps_aside(self) -> None:
        """The dispatcher's VM runs eight times slower for some seconds.

        It still tells the others that it lives, and every job waits for
        it: most are late or refused while workers stand free.
        """
        self.group.vm_by_name[self.first].tick_ms = 130.0
        self.group.run(1_200)
        claims = self.group.claims()
        self.assertNotIn(self.first, claims)
        self.assertEqual([model.Claim.DISPATCHER], list(claims.values()))
        self.group.run(3_000)
        self.assertEqual(claims, self.group.claims())

    def test_one_that_is_five_times_slower_steps_aside_soon(self) -> None:
        """The dispatcher's VM slows down, but not so far as to stand still.

        Its looks at the time are late by some 30 ms. Orders wait for
        hundreds by then, since each takes many steps, and jobs are late for
        as long as it goes on.
        """
        self.group.vm_by_name[self.first].tick_ms = 60.0
        self.group.run(900)
        claims = self.group.claims()
        self.assertNotIn(self.first, claims)
        self.assertEqual([model.Claim.DISPATCHER], list(claims.values()))

    def test_it_stays_where_nobody_is_better(self) -> None:
        """All VMs are slow; changing hands would only add to it."""
        for vm in self.group.vm_by_name.values():
            vm.tick_ms = 130.0
        self.group.run(5_000)
        self.assertEqual([self.first], list(self.group.claims()))

    def test_a_moment_of_delay_changes_nothing(self) -> None:
        vm = self.group.vm_by_name[self.first]
        vm.tick_ms = 130.0
        self.group.run(260)
        vm.tick_ms = 30.0
        self.group.run(2_000)
        self.assertEqual([self.first], list(self.group.claims()))


class PauseTest(unittest.TestCase):
    """A dispatcher was stopped for a while."""

    def test_no_order_goes_out_before_silent_homes_are_given_up(self) -> None:
        """Signs from before are read late, and count as new.

        Homes that have gone to another dispatcher would have tasks started
        here as well.
        """
        for count in (2, 14):
            with self.subTest(peers=count):
                self._play([f'p{number}' for number in range(count)])

    def _play(self, peers: list[str]) -> None:
        now = 10_000.0
        leadership = dispatching.Leadership('own', now)
        leadership.peers_known(dict.fromkeys(['own', *peers], 1.0))
        leadership.inform(now)
        sign = model.Pulse(1, 1, 'own', model.Claim.NONE, False, True)
        for peer in peers:
            leadership.joined(peer, now)
            leadership.heard(peer, sign, now)
        leadership.claim_won(dispatching.LeaseRow(1, 'own'), now)
        leadership.tick(now)
        self.assertTrue(leadership.may_order(now))
        woken = now + 2_000.0
        given_up: set[str] = set()
        may_order = False
        for step in range(200):
            now = woken + 5.0 * step
            # Looks come a little late, as they do.
            if step % 7 == 0:
                leadership.tick(now)
                given_up.update(leadership.silent(now))
            if step == 2:
                for peer in peers:
                    leadership.heard(peer, sign, now)
            may_order = leadership.may_order(now)
            if may_order:
                self.assertEqual(set(peers), given_up)
        self.assertTrue(may_order)


class RaisedFenceTest(unittest.TestCase):
    """Workers that have started again refuse what came before."""

    def setUp(self) -> None:
        self.group = played_group.PlayedGroup('a', 'b', 'c')
        self.group.run(2_000)
        [self.first] = self.group.claims()

    @property
    def leadership(self) -> dispatching.Leadership:
        """Who dispatches."""
        return self.group.vm_by_name[self.first].leadership

    def _raise(self, times: int) -> None:
        for _ in range(times):
            self.leadership.raise_fence()

    def test_a_successor_goes_beyond_it(self) -> None:
        """Its own orders would be refused by workers that have seen it."""
        self._raise(5)
        fence = self.leadership.fence
        self.group.run(200)
        self.group.kill(self.first)
        self.group.run(1_000)
        [successor] = self.group.claims()
        leadership = self.group.vm_by_name[successor].leadership
        self.assertGreater(leadership.fence, fence)

    def test_who_dispatches_stays_the_same(self) -> None:
        term = self.leadership.role.term
        self._raise(100)
        self.group.run(3_000)
        self.assertEqual([self.first], list(self.group.claims()))
        self.assertEqual(term, self.leadership.role.term)

    def test_the_row_keeps_up_with_it(self) -> None:
        """All VMs are lost, and the row is all that is left.

        The next dispatcher would be refused once for each fence between.
        """
        for _ in range(30):
            self._raise(1)
            self.group.run(500)
        lead = self.leadership.fence - self.group.row.term
        self.assertLess(lead, 16)
        self.assertEqual(self.first, self.group.row.vm)

    def test_a_row_that_names_another_one_is_left_alone(self) -> None:
        """This VM has been replaced, and doesn't know yet."""
        self._raise(20)
        row = dispatching.LeaseRow(self.leadership.role.term + 1, 'other')
        self.leadership.row_read(row, self.group.now)
        now = self.group.now + 5_000
        self.assertIsNone(self.leadership.wants_claim(now))
