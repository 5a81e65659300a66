"""Tests of attempts that run for another dispatcher beside those of this."""

from rosemaryroad import dispatching
from rosemaryroad import model
from tests.dispatching import case

_THEIRS = dispatching.StartTask('w1', '', model.TaskId('theirs', 0), 1, '', 0)


class ForeignTest(case.DispatcherCase):
    """Most VMs follow this one; a deputy uses a worker as well."""

    def setUp(self) -> None:
        super().setUp()
        self.list_workers(
            case.make_worker('w1', failure_domain='bekes'),
            case.make_worker('w2', failure_domain='szeged'),
        )
        self.report('w1')
        self.report('w2')

    def _lose_vm(self) -> None:
        self.take(self.dispatcher.home_lost('entry-2', self.now))

    def _find(self) -> None:
        self.report('w1', running=((_THEIRS, 10.0),))

    def _run_for(self, ms: float) -> list[model.TaskId]:
        """Lets time pass with the attempt at work; returns what is stopped."""
        until = self.now + ms
        while self.now < until:
            self.pass_time(90)
            self._find()
        return [stop.task for stop in self.stops()]

    def test_a_deputys_task_runs_on(self) -> None:
        """Stopped, its client would get no answer though the task is sound."""
        self._find()
        self.assertEqual([], self._run_for(4_000))
        self.assertTrue(self.dispatcher.may_prolong('w1', self.now))

    def test_it_outlives_no_lease_once_another_vm_is_lost(self) -> None:
        """Its client comes to that VM, which starts it again."""
        self._find()
        self.now += 500
        self._lose_vm()
        self.assertEqual([], self._run_for(400))
        self.assertEqual([_THEIRS.task], self._run_for(200)[:1])
        self.assertFalse(self.dispatcher.may_prolong('w1', self.now))

    def test_one_older_than_a_lease_is_stopped_with_the_loss(self) -> None:
        """Its client has left already, and comes as soon as it can."""
        self._find()
        self.assertEqual([], self._run_for(1_500))
        self._lose_vm()
        [stop] = self.stops()
        self.assertEqual(_THEIRS.task, stop.task)

    def test_one_that_was_told_after_the_loss_may_have_begun_before(
        self,
    ) -> None:
        """The report that names it was asked for later than the loss."""
        self.now += 100
        self._lose_vm()
        self._find()
        self.assertEqual([_THEIRS.task], self._run_for(1_200)[:1])

    def test_one_that_began_after_the_loss_runs_on(self) -> None:
        """VMs that are cut off at once go on serving their clients."""
        self._lose_vm()
        self.now += 10
        self.report('w1')
        self.now += 10
        self._find()
        self.assertEqual([], self._run_for(4_000))

    def test_it_outlives_no_lease_where_a_domain_may_be_cut_off(self) -> None:
        """VMs there count on its lease, and no further VM is lost."""
        self._find()
        self.take(self.dispatcher.silent('w2', 'cut off', self.now))
        self.assertEqual([_THEIRS.task], self._run_for(1_200)[:1])

    def test_without_most_nothing_of_another_dispatcher_is_stopped(
        self,
    ) -> None:
        """A VM that is cut off would end the work of all the others."""
        self._find()
        self.dispatcher.lead_most(False, self.now, self.now)
        self._lose_vm()
        self.assertEqual([], self._run_for(2_000))
