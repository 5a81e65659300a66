"""Tests of the jobs whose clients wait at an entry VM."""

import asyncio
import unittest

from rosemaryroad import clock
from rosemaryroad import dispatching
from rosemaryroad import jobserver
from rosemaryroad import jobservice
from rosemaryroad import model
from tests.dispatching import case

_LONG_MS = 60_000.0


class _HomeCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = clock.ManualClock(1_000.0)
        self.sent: list[tuple[str, model.JobMessage]] = []
        self.linked = {'d1', 'd2'}
        self.home = jobserver.JobHome('entry-1', self.clock, self._send)
        self.home.divide(dispatching.Cells())
        self.home.follow(0, 'd1')

    def _send(self, vm: str, message: model.JobMessage) -> bool:
        if vm not in self.linked:
            return False
        self.sent.append((vm, message))
        return True

    def _sent(self, kind: type) -> list[tuple[str, model.JobMessage]]:
        found = [item for item in self.sent if isinstance(item[1], kind)]
        self.sent = [item for item in self.sent if item not in found]
        return found

    async def _submit(self, job_id: str = 'j1', **fields) -> asyncio.Task:
        job = case.make_job(job_id, **fields)
        task = asyncio.create_task(self.home.submit(job, _LONG_MS))
        await asyncio.sleep(0)
        return task

    def _settle(self, vm: str, end: model.JobEnd) -> None:
        self.home.settled(vm, model.JobSettled('j1', end, 500.0))


class HomeTest(_HomeCase):
    """A job is in one dispatcher's hands, and its client hears the truth."""

    async def test_a_job_changes_hands_only_when_let_go(self) -> None:
        """Another VM becomes the dispatcher while a job is handed over.

        The first one may be about to start it. If both had it, both would
        start it, and a caller's work would be done twice.
        """
        answer = await self._submit()
        self._sent(model.JobSubmitted)
        self.home.follow(0, 'd2')
        self.assertEqual([], self._sent(model.JobSubmitted))
        [(vm, withdrawn)] = self._sent(model.JobWithdrawn)
        self.assertEqual(('d1', True), (vm, withdrawn.release))
        placed = (model.Placement(0, 'w1'),)
        self.home.progressed('d1', model.JobProgress('j1', 1, (), placed))
        self.home.released('d1', model.JobReleased('j1'))
        [(vm, handed)] = self._sent(model.JobSubmitted)
        self.assertEqual(('d2', 1), (vm, handed.attempt))
        self.assertEqual(placed, handed.placed)
        self._settle('d2', model.JobEnd.COMPLETED)
        self.assertIs(model.JobEnd.COMPLETED, (await answer).end)

    async def test_a_lost_dispatcher_may_have_started_it(self) -> None:
        """The dispatcher is gone without a word about a job.

        It may have started the job; called new, the job would be started
        beside that, and if refused then, it would be said not to have run.
        """
        await self._submit()
        self._sent(model.JobSubmitted)
        self.linked.discard('d1')
        self.home.peer_lost('d1')
        self.home.follow(0, 'd2')
        [(vm, handed)] = self._sent(model.JobSubmitted)
        self.assertEqual(('d2', 1), (vm, handed.attempt))

    async def test_a_dispatcher_that_never_lets_go(self) -> None:
        """The dispatcher before is stopped, and its link still stands.

        Its word may never come; the client must not wait for it.
        """
        await self._submit()
        self._sent(model.JobSubmitted)
        self.home.follow(0, 'd2')
        self.clock.advance(1_000)
        self.home.hand_again()
        [(vm, handed)] = self._sent(model.JobSubmitted)
        self.assertEqual(('d2', 1), (vm, handed.attempt))

    def _place(self, vm: str, number: int, worker: str = 'w1') -> None:
        placed = (model.Placement(0, worker),)
        message = model.JobProgress('j1', 1, (), placed, number)
        self.home.progressed(vm, message)

    async def test_a_recorded_placement_is_handed_on(self) -> None:
        """The next dispatcher doesn't know where a task was started."""
        await self._submit()
        self._place('d1', 7)
        recorded = model.PlacementsRecorded('j1', 7)
        self.assertEqual(
            [('d1', recorded)], self._sent(model.PlacementsRecorded)
        )
        self._sent(model.JobSubmitted)
        self.home.peer_lost('d1')
        self.home.follow(0, 'd2')
        handed = self._sent(model.JobSubmitted)[-1][1]
        self.assertEqual((model.Placement(0, 'w1'),), handed.placed)

    async def test_a_recorded_queued_job_is_handed_on_as_queued(self) -> None:
        """The next dispatcher takes a queued job for not started."""
        await self._submit()
        message = model.JobProgress('j1', 0, number=7, queued=True)
        self.home.progressed('d1', message)
        self.assertEqual(1, len(self._sent(model.PlacementsRecorded)))
        self._sent(model.JobSubmitted)
        self.home.peer_lost('d1')
        self.home.follow(0, 'd2')
        handed = self._sent(model.JobSubmitted)[-1][1]
        self.assertTrue(handed.queued)

    async def test_a_replaced_dispatcher_gets_no_answer(self) -> None:
        """It starts a task that its successor starts as well."""
        await self._submit()
        self.home.follow(0, 'd2')
        self._place('d1', 7)
        self.assertEqual([], self._sent(model.PlacementsRecorded))
        self.home.released('d1', model.JobReleased('j1'))
        self._place('d2', 3, 'w2')
        self._place('d1', 8)
        self.assertEqual(
            [('d2', model.PlacementsRecorded('j1', 3))],
            self._sent(model.PlacementsRecorded),
        )

    async def test_placements_of_an_unknown_job_are_refused(self) -> None:
        """A dispatcher starts a task for a client that has left."""
        self._place('d1', 7)
        self.assertEqual(
            [('d1', model.JobWithdrawn('j1'))], self._sent(model.JobWithdrawn)
        )
        self.assertEqual([], self._sent(model.PlacementsRecorded))

    async def test_not_run_is_said_only_of_what_never_started(self) -> None:
        """A dispatcher refuses a job that another one had started."""
        answer = await self._submit()
        self.home.progressed('d1', model.JobProgress('j1', 1))
        self._settle('d1', model.JobEnd.NOT_RUN)
        self.assertIs(model.JobEnd.GIVEN_UP, (await answer).end)

    async def test_a_refusal_says_when_to_come_back(self) -> None:
        answer = await self._submit()
        self._settle('d1', model.JobEnd.NOT_RUN)
        found = await answer
        self.assertEqual(
            (model.JobEnd.NOT_RUN, 500.0), (found.end, found.retry_after_ms)
        )

    async def test_a_replaced_dispatcher_ends_nothing(self) -> None:
        """A dispatcher that was replaced gives the job up, late.

        The job is in other hands by then; its client would hear of a
        failure that never was.
        """
        answer = await self._submit()
        self.linked.discard('d1')
        self.home.peer_lost('d1')
        self.home.follow(0, 'd2')
        self._settle('d1', model.JobEnd.GIVEN_UP)
        await asyncio.sleep(0)
        self.assertFalse(answer.done())
        self._settle('d2', model.JobEnd.COMPLETED)
        self.assertIs(model.JobEnd.COMPLETED, (await answer).end)

    async def test_a_client_that_leaves_frees_its_room(self) -> None:
        """A client closes its connection before the answer.

        What runs on for nobody would take room from those who wait.
        """
        answer = await self._submit()
        answer.cancel()
        await asyncio.gather(answer, return_exceptions=True)
        [(vm, withdrawn)] = self._sent(model.JobWithdrawn)
        self.assertEqual('d1', vm)
        self.assertEqual(0, self.home.jobs_held)

    async def test_the_same_job_again_joins_the_first(self) -> None:
        """A client loses its connection and sends the job again here.

        Done a second time beside the first, its work would be doubled.
        """
        first = await self._submit()
        second = await self._submit()
        self.assertEqual(1, len(self._sent(model.JobSubmitted)))
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        self.assertEqual([], self._sent(model.JobWithdrawn))
        self._settle('d1', model.JobEnd.COMPLETED)
        self.assertIs(model.JobEnd.COMPLETED, (await second).end)

    async def test_without_a_dispatcher_a_job_is_refused_soon(self) -> None:
        """No VM dispatches, for as long as that lasts.

        The client hears that its job has not run, in time to go elsewhere.
        """
        self.home.follow(0, '')
        answer = await self._submit()
        self.home.hand_again()
        self.assertFalse(answer.done())
        self.clock.advance(1_000)
        self.home.hand_again()
        self.assertIs(model.JobEnd.NOT_RUN, (await answer).end)

    async def test_an_old_job_outlives_a_change_of_dispatcher(self) -> None:
        """A job has run for a second when its dispatcher is lost.

        Given up at once for its age, it would miss the next dispatcher by
        some hundred milliseconds.
        """
        answer = await self._submit()
        self.clock.advance(1_500)
        self.linked.discard('d1')
        self.home.peer_lost('d1')
        self.home.follow(0, '')
        self.clock.advance(400)
        self.home.hand_again()
        await asyncio.sleep(0)
        self.assertFalse(answer.done())
        self.home.follow(0, 'd2')
        self._settle('d2', model.JobEnd.COMPLETED)
        self.assertIs(model.JobEnd.COMPLETED, (await answer).end)

    async def test_a_deadline_ends_a_job_truthfully(self) -> None:
        """The client's time is up while a dispatcher has the job.

        Whether it has started may be on its way here, so it can't be said
        not to have run.
        """
        job = case.make_job('j1')
        answer = await self.home.submit(job, 5.0)
        self.assertIs(model.JobEnd.GIVEN_UP, answer.end)
        self.assertEqual(1, len(self._sent(model.JobWithdrawn)))

    async def test_what_is_held_at_the_end_is_given_up(self) -> None:
        """A VM has to go while a job of its clients is still at work.

        Cut off in the middle, the client heard of an internal error, which
        doesn't tell it to come again elsewhere.
        """
        answer = await self._submit()
        self.home.give_up_held()
        self.assertIs(model.JobEnd.GIVEN_UP, (await answer).end)
        self.assertEqual(0, self.home.jobs_held)


class EndedTest(_HomeCase):
    """A job that has ended comes again, or is cancelled elsewhere."""

    async def _cancel(self, job_id: str = 'j1') -> asyncio.Task:
        task = asyncio.create_task(self.home.cancel(job_id, case.QUEUE))
        await asyncio.sleep(0)
        return task

    async def test_a_copy_of_a_cancelled_job_is_not_handed_over(self) -> None:
        """It came 4 s after the cancel was answered, and ran to its end."""
        answer = await self._submit()
        cancelled = await (await self._cancel())
        self.assertIs(jobservice.CancelEnd.DONE, cancelled)
        self.assertIs(model.JobEnd.FAILED, (await answer).end)
        self._sent(model.JobSubmitted)
        self.clock.advance(4_000)
        again = await self._submit()
        self.assertIs(model.JobEnd.FAILED, (await again).end)
        self.assertEqual([], self._sent(model.JobSubmitted))

    async def test_a_copy_of_a_completed_job_is_answered_as_before(
        self,
    ) -> None:
        """Its tasks ran a second time."""
        answer = await self._submit()
        self._settle('d1', model.JobEnd.COMPLETED)
        await answer
        self._sent(model.JobSubmitted)
        again = await self._submit()
        self.assertIs(model.JobEnd.COMPLETED, (await again).end)
        self.assertEqual([], self._sent(model.JobSubmitted))

    async def test_a_job_that_was_given_up_may_come_again(self) -> None:
        for end in (model.JobEnd.GIVEN_UP, model.JobEnd.NOT_RUN):
            answer = await self._submit()
            self._settle('d1', end)
            await answer
            self.assertEqual(1, len(self._sent(model.JobSubmitted)))

    async def test_it_is_forgotten_in_time(self) -> None:
        answer = await self._submit()
        self._settle('d1', model.JobEnd.COMPLETED)
        await answer
        self.clock.advance(120_000)
        self._sent(model.JobSubmitted)
        await self._submit()
        self.assertEqual(1, len(self._sent(model.JobSubmitted)))

    async def test_a_new_dispatcher_hears_of_it(self) -> None:
        """The dispatcher is killed; a copy comes to another VM."""
        await self._submit()
        await (await self._cancel())
        self.clock.advance(500)
        self.home.follow(0, 'd2')
        [(vm, ended)] = self._sent(model.JobsEnded)
        self.assertEqual('d2', vm)
        [item] = ended.jobs
        self.assertEqual(('j1', True), (item.job, item.is_cancelled))
        self.assertEqual(500.0, item.age_ms)

    async def test_one_that_takes_over_hears_of_a_cancel(self) -> None:
        """It is cancelled while the dispatcher before lets go of it."""
        await self._submit()
        self.home.follow(0, 'd2')
        await (await self._cancel())
        told = {vm for vm, _ in self._sent(model.JobCancelled)}
        self.assertEqual({'d1', 'd2'}, told)

    async def test_one_that_takes_over_hears_of_an_end(self) -> None:
        """The dispatcher before it settles a job while it lets go of it."""
        await self._submit()
        self.home.follow(0, 'd2')
        self._settle('d1', model.JobEnd.COMPLETED)
        [(vm, ended)] = self._sent(model.JobsEnded)
        self.assertEqual(('d2', 'j1'), (vm, ended.jobs[0].job))

    async def test_versions_without_cancels_hear_that_it_is_withdrawn(
        self,
    ) -> None:
        """During a rolling restart its tasks would run on."""
        await self._submit()
        self._sent(model.JobSubmitted)
        await (await self._cancel())
        kinds = [type(message) for _, message in self.sent]
        self.assertEqual([model.JobWithdrawn, model.JobCancelled], kinds)

    async def _cancel_elsewhere(self, **fields) -> jobservice.CancelEnd:
        task = await self._cancel('j9')
        [(vm, message)] = self._sent(model.JobCancelled)
        self.assertEqual(('d1', 'j9'), (vm, message.job))
        self.home.cancel_answered(
            model.CancelAnswered(message.number, **fields)
        )
        return await task

    async def test_a_cancel_of_a_job_at_another_vm_is_passed_on(self) -> None:
        """It was answered 410 at once, and the job ran on."""
        for end, is_known, is_certain in (
            (jobservice.CancelEnd.UNCERTAIN, False, False),
            (jobservice.CancelEnd.DONE, True, True),
        ):
            found = await self._cancel_elsewhere(
                is_known=is_known, is_certain=is_certain
            )
            self.assertIs(end, found)
        again = await (await self._cancel('j9'))
        self.assertIs(jobservice.CancelEnd.DONE, again)

    async def test_a_cancel_of_an_unknown_job_is_told_as_such(self) -> None:
        found = await self._cancel_elsewhere(is_known=False, is_certain=True)
        self.assertIs(jobservice.CancelEnd.UNKNOWN, found)

    async def test_a_completed_job_is_not_taken_for_cancelled(self) -> None:
        """A cancel comes too late, and to another VM than the job's home.

        A copy of the job there would be told that it has failed.
        """
        await self._cancel_elsewhere(is_known=False, is_certain=True)
        await self._submit('j9')
        self.assertEqual(1, len(self._sent(model.JobSubmitted)))

    async def test_without_a_dispatcher_a_cancel_is_uncertain(self) -> None:
        """Acknowledged behind a cut, the job would run on beyond it."""
        self.home.follow(0, '')
        found = await (await self._cancel('j9'))
        self.assertIs(jobservice.CancelEnd.UNCERTAIN, found)
