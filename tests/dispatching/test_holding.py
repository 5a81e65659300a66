"""Tests of who prolongs a worker's leases, and who takes them for lapsed."""

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case

# A lease, by a worker's clock that is 2 % slow, and a margin.
LAPSE_MS = case.LEASE_MS * 1.02 + 50.0


class HoldingTest(case.DispatcherCase):
    """Leases cover all that runs on a worker, whoever ordered it."""

    def _foreign(self, job: str = 'theirs') -> dispatching.StartTask:
        return dispatching.StartTask(
            'w1', '', model.TaskId(job, 0), 1, '', 0.0
        )

    def _lose_majority(self) -> None:
        self.dispatcher.lead_most(False, self.now, self.now)

    def _win_majority(self) -> None:
        self.dispatcher.lead_most(True, self.now, self.now)

    def _run_one(self) -> dispatching.StartTask:
        self.submit(case.make_job('ours', estimate_ms=5_000.0), 60_000.0)
        [start] = self.starts()
        self.answer(start)
        return start

    def _go_silent(self, ms: float) -> None:
        self.take(self.dispatcher.silent('w1', 'cut off', self.now))
        self.pass_time(ms)

    def test_a_first_question_prolongs_nothing(self) -> None:
        """What another dispatcher takes for lapsed would run on."""
        self.list_workers(case.make_worker('w1'))
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.report('w1')
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))

    def test_an_answer_from_before_most_followed_is_asked_for_again(
        self,
    ) -> None:
        """A worker answers a question that was asked by a deputy.

        The leases there aren't prolonged on it. What started next ran under
        the 40 ms of its order and lapsed, in a group that had just started.
        """
        self._lose_majority()
        self.list_workers(case.make_worker('w1'))
        asked_at = self.now
        self.now += 25.0
        self._win_majority()
        self.now += 2.0
        self.report('w1', asked_at=asked_at)
        self.assertEqual(1, len(self.pop(dispatching.LookAt)))
        self._run_one()
        self.now += 2.0
        self.report('w1')
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))
        # One more question, which prolongs the lease of what has started.
        self.assertEqual(1, len(self.pop(dispatching.LookAt)))

    def test_found_attempts_are_not_prolonged_until_they_are_gone(
        self,
    ) -> None:
        """An order to stop what nobody claims gets lost."""
        self.list_workers(case.make_worker('w1'))
        foreign = self._foreign()
        self.report('w1', running=((foreign, 10.0),))
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.pass_time(300)
        stops = self.stops()
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.answer(stops[0])
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))

    def test_attempts_that_were_given_up_are_not_prolonged(self) -> None:
        """A home is lost, and another dispatcher starts its tasks anew."""
        self.add_workers('w1')
        start = self._run_one()
        self.take(self.dispatcher.home_lost(case.HOME, self.now))
        self.report('w1', running=((start, 10.0),))
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        [stop] = self.stops()
        self.answer(stop)
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))

    def test_a_start_under_the_leases_of_others_may_last_as_long(
        self,
    ) -> None:
        """It begins where orders to stop get lost, long after our last call.

        Taken for lapsed by that call, it would start again beside itself.
        """
        self.list_workers(case.make_worker('w1'))
        foreign = self._foreign()
        self.report('w1', running=((foreign, 10.0),))
        self.pass_time(2_000)
        start = self._run_one()
        self.now += 10
        self.report('w1', running=((foreign, 20.0), (start, 1.0)))
        self.list_workers(case.make_worker('w1'), case.make_worker('w2'))
        self.report('w2')
        self._go_silent(900)
        self.assertEqual([], self.starts())
        self.pass_time(300)
        self.assertEqual([start.task], [item.task for item in self.starts()])

    def _find(self, is_handed_first: bool) -> dispatching.StartTask:
        """Has a deputy's task come over and be found, after a cut."""
        self.add_workers('w1', 'w2')
        self._go_silent(1_500)
        theirs = self._foreign('ours')
        job = case.make_job('ours', estimate_ms=5_000.0)
        placed = (model.Placement(0, 'w1'),)
        if is_handed_first:
            self.submit(job, 60_000.0, attempt=1, placed=placed)
        self.report('w1', running=((theirs, 10.0),))
        self.report('w2')
        if not is_handed_first:
            self.submit(job, 60_000.0, attempt=1, placed=placed)
        return theirs

    def test_what_is_found_may_run_for_one_more_lease(self) -> None:
        """A cut heals, and a call of before fails after one has got through.

        Taken for lapsed by our last call of before the cut, a deputy's task
        would start again at once beside itself.
        """
        for is_handed_first in (True, False):
            with self.subTest(is_handed_first=is_handed_first):
                self.setUp()
                theirs = self._find(is_handed_first)
                self._go_silent(LAPSE_MS)
                self.assertEqual([], self.starts())
                self.pass_time(30)
                self.assertEqual(
                    [theirs.task], [item.task for item in self.starts()]
                )

    def test_most_prolong_what_a_deputy_starts_later(self) -> None:
        """A deputy's tasks beside ours must not keep ours from being held."""
        self.add_workers('w1')
        start = self._run_one()
        self.now += 100
        running = ((start, 10.0), (self._foreign(), 10.0))
        self.report('w1', running=running)
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))
        self._lose_majority()
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))

    def test_without_most_nothing_lapses_that_others_may_prolong(
        self,
    ) -> None:
        """Parted from other VMs, then from a worker that they reach."""
        self.add_workers('w1', 'w2')
        start = self._run_one()
        self._lose_majority()
        self.now += 10
        self.report('w1', running=((start, 5.0),))
        self._go_silent(3_000)
        self.assertEqual([], self.starts())
        self._win_majority()
        self.pass_time(LAPSE_MS)
        self.assertEqual([], self.starts())
        self.pass_time(30)
        self.assertEqual(1, len(self.starts()))

    def test_without_most_what_was_lost_before_lapses(self) -> None:
        """A cut takes the worker and the other VMs away at once."""
        self.add_workers('w1', 'w2')
        self._run_one()
        self.now += 240
        self._lose_majority()
        self._go_silent(900)
        self.assertEqual(1, len(self.starts()))

    def test_without_most_attempts_begun_since_do_not_lapse(self) -> None:
        """Tasks run twice if another dispatcher prolongs their leases."""
        self.add_workers('w1', 'w2')
        self.now += 10
        self._lose_majority()
        self.pass_time(LAPSE_MS)
        self.submit(case.make_job('ours', estimate_ms=5_000.0), 60_000.0)
        [start] = self.starts()
        self.take(self.dispatcher.silent(start.worker, 'cut off', self.now))
        self.pass_time(3_000)
        self.assertEqual([], self.starts())

    def test_orders_to_start_expire_sooner_than_a_lease(self) -> None:
        """A late start would run on under another dispatcher's leases."""
        self.add_workers('w1')
        self.assertEqual(
            300.0, self.dispatcher.order_validity_ms('w1', self.now)
        )
        self._lose_majority()
        self.now += 151
        self.assertEqual(
            40.0, self.dispatcher.order_validity_ms('w1', self.now)
        )

    def test_a_start_on_a_short_lease_has_it_prolonged(self) -> None:
        """The answer to the hold call of an idle worker gets lost."""
        self.add_workers('w1', 'w2')
        self.dispatcher.held('w1', self.now)
        self.dispatcher.held('w2', self.now)
        self.pop(dispatching.LookAt)
        self._run_one()
        self.assertEqual([], self.pop(dispatching.LookAt))
        self.now += 500
        self.submit(case.make_job('late'), 60_000.0)
        [start] = self.starts()
        [look] = self.pop(dispatching.LookAt)
        self.assertEqual(start.worker, look.worker)

    def test_without_most_only_fresh_news_let_a_lease_be_prolonged(
        self,
    ) -> None:
        """The dispatcher has begun to use a worker since it last told.

        Prolonged by half of a lease more, its tasks would run on after it
        has taken them for lapsed.
        """
        self.add_workers('w1')
        self._lose_majority()
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))
        self.now += 151
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.assertEqual(450.0, self.dispatcher.spare_ms)
        self._win_majority()
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.report('w1')
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))
        self.assertEqual(0.0, self.dispatcher.spare_ms)

    def test_what_was_found_without_most_is_stopped_when_most_follow(
        self,
    ) -> None:
        """A dispatcher that is cut off takes its attempts for lapsed."""
        self.add_workers('w1')
        self._lose_majority()
        self.now += 100
        running = ((self._foreign(), 10.0),)
        self.report('w1', running=running)
        self.pass_time(1_000)
        self.report('w1', running=running)
        self._win_majority()
        self.now += 2
        self.report('w1', running=running)
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.assertEqual([], self.stops())
        self.pass_time(180)
        [stop] = self.stops()
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
        self.answer(stop)
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))

    def test_what_began_before_most_followed_is_found_by_the_next_report(
        self,
    ) -> None:
        """It began since the last report; its dispatcher is cut off then."""
        self.add_workers('w1')
        self._lose_majority()
        self.now += 100
        self.report('w1')
        self.pop(dispatching.LookAt)
        self.now += 50
        self._win_majority()
        self.take(self.dispatcher.tick(self.now))
        looks = self.pop(dispatching.LookAt)
        self.assertEqual(['w1'], [look.worker for look in looks])
        self.now += 2
        first, second = self._foreign('first'), self._foreign('second')
        self.report('w1', running=((first, 10.0),))
        self.now += 50
        self.report('w1', running=((first, 20.0), (second, 1.0)))
        self.pass_time(300)
        self.assertEqual({first.task}, {stop.task for stop in self.stops()})

    def test_without_most_what_began_since_they_followed_does_not_lapse(
        self,
    ) -> None:
        """Stopped for a while, a VM notices late that it is cut off.

        Another one dispatches meanwhile, and prolongs what it finds later.
        """
        for begun_ms, lapsed in ((550, 1), (350, 0)):
            with self.subTest(begun_ms=begun_ms):
                self.setUp()
                self.add_workers('w1', 'w2')
                self._run_one()
                self.now += begun_ms
                followed_at = self.now - 400
                self.dispatcher.lead_most(False, followed_at, self.now)
                self._go_silent(LAPSE_MS)
                self.assertEqual(lapsed, len(self.starts()))

    def test_what_a_new_life_runs_before_it_has_told_is_found(self) -> None:
        """A worker starts again, and another dispatcher uses it at once."""
        self.list_workers(case.make_worker('w1', born=1))
        self.report('w1', born=1)
        self.now += 100
        self.report('w1', running=((self._foreign(), 10.0),), born=2)
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))
