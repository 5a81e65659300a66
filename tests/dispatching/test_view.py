"""Tests of what operators are shown of a dispatcher's room."""

from rosemaryroad import dispatching
from rosemaryroad import model
from rosemaryroad.dispatching import _sharing
from tests.dispatching import case

_Cause = dispatching.RefusalCause


class QueueViewTest(case.DispatcherCase):
    """Each queue's row says what it has, lacks and was refused."""

    def _queue(self, name: str = case.QUEUE) -> dispatching.QueueView:
        return self.dispatcher.view(self.now).queue_by_name[name]

    def test_waiting_tasks_cores_and_wait(self) -> None:
        self.add_workers('w1')
        self.submit(case.make_job('job-0', tasks=2, estimate_ms=5_000.0))
        self.submit(case.make_job('job-1', tasks=3, queue='other'))
        self.pass_time(300)
        own, other = self._queue(), self._queue('other')
        self.assertEqual((0, 54.0), (own.waiting_tasks, own.cores))
        self.assertEqual((3, 0.0), (other.waiting_tasks, other.cores))
        self.assertAlmostEqual(300.0, other.expected_wait_ms)
        self.assertEqual(0.0, own.expected_wait_ms)
        self.assertEqual(64.0, self.dispatcher.view(self.now).cores)

    def test_an_entry_that_nobody_answers_for_adds_no_cores(self) -> None:
        """Another writer's number would hide that there is no room."""
        self.add_workers('w1')
        self.list_workers(
            case.make_worker('w1'), case.make_worker('odd', cores=2.0**43)
        )
        self.assertEqual(64.0, self.dispatcher.view(self.now).cores)

    def test_cores_of_jobs_that_are_gone(self) -> None:
        """Their room counts until the worker has stopped them.

        Left out, it would look free, and nothing would explain a wait.
        """
        self.add_workers('w1')
        self.submit(case.make_job())
        [start] = self.starts()
        self.answer(start)
        self.dispatcher.withdraw(case.HOME, start.task.job, self.now)
        view = self.dispatcher.view(self.now)
        self.assertEqual({}, view.queue_by_name)
        self.assertEqual(27.0, view.unassigned_cores)

    def test_a_start_timeout(self) -> None:
        self.add_workers('w1')
        self.submit(case.make_job('job-0', tasks=2, estimate_ms=5_000.0))
        self.submit(case.make_job('job-1', queue='other'))
        self.pass_time(950)
        refusals = self._queue('other').refusals_by_cause
        self.assertEqual({_Cause.START_TIMEOUT: 1}, refusals)

    def test_a_deadline(self) -> None:
        self.add_workers('w1')
        self.submit(case.make_job('job-0', tasks=2, estimate_ms=5_000.0))
        self.submit(case.make_job('job-1', queue='other'), left_ms=100.0)
        self.pass_time(30)
        refusals = self._queue('other').refusals_by_cause
        self.assertEqual({_Cause.DEADLINE: 1}, refusals)

    def test_too_large_and_drained(self) -> None:
        self.list_workers(case.make_worker('w1', failure_domain='bekes'))
        self.report('w1')
        self.submit(case.make_job('job-0', cores=65.0))
        self.take(self.dispatcher.drain_domains(frozenset({'bekes'}), 0.0))
        self.submit(case.make_job('job-1'))
        self.assertEqual(
            {_Cause.TOO_LARGE: 1, _Cause.DRAINED: 1},
            self._queue().refusals_by_cause,
        )
        self.assertEqual(0.0, self.dispatcher.view(self.now).cores)

    def test_every_refusal_is_counted(self) -> None:
        """One that bypassed the counts would be missed by every operator."""
        self.add_workers('w1')
        self.submit(case.make_job('long', tasks=2, estimate_ms=5_000.0))
        for number in range(5):
            self.submit(case.make_job(f'job-{number}', cores=60.0 + number))
        self.submit(case.make_job('large', cores=65.0))
        self.pass_time(950)
        ends = [end for _, end in self.settled()]
        refused = ends.count(model.JobEnd.NOT_RUN)
        counts = self.dispatcher.counts().refusals_by_queue[case.QUEUE]
        self.assertEqual(6, refused)
        self.assertEqual(refused, counts.total())


class ShareViewTest(case.DispatcherCase):
    """Each key's row says what it has of the room that is shared."""

    def _share_by(self, key: dispatching.SharingKey) -> None:
        sharing = dispatching.SharingPolicy(key, {'r1': 3.0})
        policy = dispatching.SchedulingPolicy(sharing=sharing)
        self.dispatcher = dispatching.JobDispatcher(
            dispatching.DispatchLimits(case.LEASE_MS, scheduling=policy)
        )
        self.add_workers('w1')
        self.submit(case.make_job(rack='r1'))

    def test_cores_by_key(self) -> None:
        for key, name, weight in (
            (dispatching.SharingKey.QUEUE, case.QUEUE, 1.0),
            (dispatching.SharingKey.FAILURE_DOMAIN, '', 1.0),
            (dispatching.SharingKey.RACK, 'r1', 3.0),
        ):
            with self.subTest(key):
                self._share_by(key)
                view = self.dispatcher.view(self.now)
                self.assertEqual(key, view.sharing)
                share = dispatching.ShareView(weight, 27.0)
                self.assertEqual({name: share}, view.share_by_name)

    def test_the_standing_of_a_key(self) -> None:
        self._share_by(dispatching.SharingKey.RACK)
        row = dispatching.KeyShare('r1', 3.0, 0.75, 6.0, 0.0, True)
        self.dispatcher._context.shares = _Shares(row)
        view = self.dispatcher.view(self.now)
        share = dispatching.ShareView(3.0, 27.0, 0.75, True)
        self.assertEqual({'r1': share}, view.share_by_name)

    def test_nothing_is_shown_where_nothing_is_shared(self) -> None:
        self._share_by(dispatching.SharingKey.NONE)
        self.assertEqual({}, self.dispatcher.view(self.now).share_by_name)


class _Shares(_sharing.Shares):
    def __init__(self, *rows: dispatching.KeyShare) -> None:
        self._rows = rows

    def rows(self) -> tuple[dispatching.KeyShare, ...]:
        return self._rows


class AddTest(case.DispatcherCase):
    """Views of several cells add up to that of the VM, or of all VMs."""

    def test_queues_add_up_and_the_longest_wait_counts(self) -> None:
        drained = {_Cause.DRAINED: 1}
        whole = dispatching.SchedulingView(cores=100.0)
        for wait_ms in (50.0, 20.0):
            queue = dispatching.QueueView(2, 27.0, dict(drained), 1, wait_ms)
            part = dispatching.SchedulingView(queue_by_name={'q': queue})
            whole.add(part)
        self.assertEqual(
            dispatching.QueueView(4, 54.0, {_Cause.DRAINED: 2}, 2, 50.0),
            whole.queue_by_name['q'],
        )

    def test_shares_are_weighed_by_the_cores_of_their_cells(self) -> None:
        """A plain mean would give a small cell as much say as a large one."""
        rack = dispatching.SharingKey.RACK
        whole = dispatching.SchedulingView()
        for cores, shares in (
            (300.0, {'r1': dispatching.ShareView(2.0, 30.0, 0.5)}),
            (
                100.0,
                {
                    'r1': dispatching.ShareView(2.0, 5.0, 0.1, True),
                    'r2': dispatching.ShareView(1.0, 7.0, 0.4),
                },
            ),
        ):
            whole.add(
                dispatching.SchedulingView(
                    cores, sharing=rack, share_by_name=shares
                )
            )
        first, second = whole.share_by_name['r1'], whole.share_by_name['r2']
        self.assertAlmostEqual(0.4, first.share)
        self.assertAlmostEqual(0.1, second.share)
        self.assertEqual((2.0, 35.0, True), _rest(first))
        self.assertEqual((1.0, 7.0, False), _rest(second))
        self.assertEqual((400.0, rack), (whole.cores, whole.sharing))


def _rest(share: dispatching.ShareView) -> tuple[float, float, bool]:
    return share.weight, share.cores, share.is_over
