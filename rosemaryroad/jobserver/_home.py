"""The jobs whose clients wait at this entry VM."""

import asyncio
import collections.abc
import logging

import attrs

from rosemaryroad import clock as clock_module
from rosemaryroad import dispatching
from rosemaryroad import jobservice
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad.jobserver import _answered_jobs
from rosemaryroad.jobserver import _cancels

_LOG = logging.getLogger(__name__)
_MS_PER_SECOND = 1000.0

# Jobs are refused after so long without a dispatcher: a change of dispatcher
# takes less, and the client may find a VM that has one.
_NO_DISPATCHER_MS = 900.0
_RETRY_MS = 500.0

# A dispatcher that can't be heard may go on with a job until the home's
# answers have been missing for the silence time, at most 480 ms.
_RELEASE_MS = 500.0

_Send = collections.abc.Callable[[str, model.JobMessage], bool]


@attrs.define(eq=False)
class _Held:
    job: model.Job
    arrived: float
    deadline: float
    answer: asyncio.Future[jobservice.JobAnswer]
    callers: int = 0
    attempt: int = 0
    done: set[int] = attrs.field(factory=set)
    worker_by_task: dict[int, str] = attrs.field(factory=dict)
    queued: bool = False
    handed_to: str = ''
    leaves_since: float | None = None
    handed_ever: bool = False


class JobHome:
    """Hands jobs to the dispatcher and answers their clients.

    It is the truth about its jobs: a new dispatcher learns of them here.

    Args:
        vm: This VM.
        clock: The clock.
        send: Sends a message to a VM, this one included; tells whether
            there was a way.
        failure_domain: Where this VM stands.
        keep_ended_ms: For how long a job that has ended is remembered.
    """

    def __init__(
        self,
        vm: str,
        clock: clock_module.Clock,
        send: _Send,
        failure_domain: str = '',
        keep_ended_ms: float = dispatching.KEEP_ENDED_MS,
    ) -> None:
        self._vm = vm
        self._failure_domain = failure_domain
        self._clock = clock
        self._send = send
        self._cells: dispatching.Cells | None = None
        self._dispatcher_by_cell: dict[int, str] = {}
        self._alone_since_by_cell: dict[int, float] = {}
        self._held_by_id: dict[str, _Held] = {}
        self._answered = _answered_jobs.AnsweredJobs(clock, keep_ended_ms)
        self._cancels = _cancels.RemoteCancels(send)

    @property
    def jobs_held(self) -> int:
        """How many jobs wait for their end here."""
        return len(self._held_by_id)

    def knows(self, job: model.Job) -> bool:
        """Tells whether a job waits for its end here, or has had it."""
        ended = self._answered.find(job.id, job.queue)
        return job.id in self._held_by_id or ended is not None

    def state_of(self, job_id: str) -> bool | None:
        """Tells whether a job has started; None for one that isn't here."""
        held = self._held_by_id.get(job_id)
        return None if held is None else held.attempt > 0

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started."""
        return sum(
            held.job.queue == queue and held.attempt == 0
            for held in self._held_by_id.values()
        )

    async def submit(
        self, job: model.Job, left_ms: float
    ) -> jobservice.JobAnswer:
        """Has a job done and returns how it ended.

        A job that is here already is waited for, not done a second time. One
        that has ended is answered as before, and nothing of it runs.

        Args:
            job: The job.
            left_ms: How long the client waits.
        """
        ended = self._answered.find(job.id, job.queue)
        if ended is not None:
            return jobservice.JobAnswer(ended.end, 'ended before')
        held = self._held_by_id.get(job.id)
        if held is None:
            held = self._take_in(job, left_ms)
        held.callers += 1
        cause = 'client left'
        try:
            timeout = asyncio.timeout(left_ms / _MS_PER_SECOND)
            async with timeout:
                return await asyncio.shield(held.answer)
        except TimeoutError:
            cause = 'deadline passed'
            return _unserved(held, cause)
        finally:
            held.callers -= 1
            if held.callers == 0 and not held.answer.done():
                self._withdraw(held, cause)

    async def cancel(self, job_id: str, queue: str) -> jobservice.CancelEnd:
        """Ends a job, wherever it is; it never runs from then on.

        Args:
            job_id: The job's id.
            queue: The name of its queue.
        """
        ended = self._answered.find(job_id, queue)
        if ended is not None and ended.is_cancelled:
            return jobservice.CancelEnd.DONE
        if ended is not None:
            return jobservice.CancelEnd.UNKNOWN
        held = self._held_by_id.get(job_id)
        if held is not None and held.job.queue == queue:
            self._cancel_held(held)
            return jobservice.CancelEnd.DONE
        dispatcher = self._dispatcher_of(job_id)
        end = await self._cancels.pass_on(job_id, queue, dispatcher)
        if end is jobservice.CancelEnd.DONE:
            self._answered.add_cancelled(job_id, queue)
        return end

    def cancel_answered(self, message: model.CancelAnswered) -> None:
        """Takes in what a dispatcher says of a job that isn't held here."""
        self._cancels.answered(message)

    def divide(self, cells: dispatching.Cells) -> None:
        """Takes in how jobs are divided among dispatchers."""
        self._cells = cells

    def follow(self, cell: int, dispatcher: str) -> None:
        """Hands all jobs of a cell to a dispatcher, or to none for now."""
        if dispatcher == self._dispatcher_by_cell.get(cell, ''):
            return
        self._dispatcher_by_cell[cell] = dispatcher
        if not dispatcher:
            self._alone_since_by_cell[cell] = self._clock.now()
        else:
            # Before its jobs: copies of these start nothing.
            for message in self._answered.messages(cell, self._cell_of):
                self._send(dispatcher, message)
        for held in list(self._held_by_id.values()):
            if self._cell_of(held.job.id) == cell:
                self._move(held)

    def hand_again(self) -> None:
        """Hands over what found no way before."""
        now = self._clock.now()
        for held in list(self._held_by_id.values()):
            if (
                held.leaves_since is not None
                and now - held.leaves_since > _RELEASE_MS
            ):
                self._lost_touch(held)
            if held.handed_to:
                continue
            if self._dispatcher_of(held.job.id):
                self._hand(held)
            elif now - self._alone_since(held) > _NO_DISPATCHER_MS:
                self._end(held, _unserved(held, 'no dispatcher'))

    def peer_lost(self, vm: str) -> None:
        """Takes in that messages to a VM may have been lost."""
        for held in list(self._held_by_id.values()):
            if held.handed_to == vm:
                self._lost_touch(held)

    def released(self, vm: str, message: model.JobReleased) -> None:
        """Takes in that a dispatcher has let go of a job."""
        held = self._held_by_id.get(message.job)
        if held is None or held.handed_to != vm or held.leaves_since is None:
            return
        held.leaves_since = None
        held.handed_to = ''
        if self._dispatcher_of(held.job.id):
            self._hand(held)

    def progressed(self, vm: str, message: model.JobProgress) -> None:
        """Takes in what a dispatcher tells of a job."""
        held = self._held_by_id.get(message.job)
        if held is None:
            if message.number:
                # Without a job here, nobody waits for the tasks' results.
                self._send(vm, model.JobWithdrawn(message.job))
            return
        held.attempt = max(held.attempt, message.attempt)
        held.done.update(message.done)
        if vm != held.handed_to:
            # A dispatcher that was replaced must not start further tasks.
            return
        held.queued = held.queued or message.queued
        for item in message.placed:
            held.worker_by_task[item.index] = item.worker
        if message.number and held.leaves_since is None:
            recorded = model.PlacementsRecorded(message.job, message.number)
            self._send(vm, recorded)

    def settled(self, vm: str, message: model.JobSettled) -> None:
        """Takes in the end of a job."""
        held = self._held_by_id.get(message.job)
        if held is None:
            return
        if message.end is not model.JobEnd.COMPLETED and vm != held.handed_to:
            # A dispatcher that has been replaced gives its view of a job
            # that is in other hands; only a whole result is final.
            return
        end = message.end
        if end is model.JobEnd.NOT_RUN and held.attempt > 0:
            end = model.JobEnd.GIVEN_UP
        self._end(
            held, jobservice.JobAnswer(end, 'settled', message.retry_after_ms)
        )
        dispatcher = self._dispatcher_of(message.job)
        if end.is_final and dispatcher not in ('', vm):
            # One that came after the sender hears of the end here only.
            cell = self._cell_of(message.job)
            self._send(dispatcher, self._answered.message(held.job, cell))

    def give_up_held(self) -> None:
        """Answers the clients whose jobs can't end here any more."""
        for held in list(self._held_by_id.values()):
            logs.event(
                _LOG,
                logging.WARNING,
                'drain_cut_off',
                request_id=held.job.id,
                handed_to=held.handed_to or 'none',
                attempt=held.attempt,
                done=len(held.done),
                tasks=held.job.tasks,
                age_ms=self._clock.now() - held.arrived,
            )
            self._end(held, _unserved(held, 'shut down'))

    def _cell_of(self, job_id: str) -> int | None:
        if self._cells is None:
            return None
        return self._cells.of_job(job_id)

    def _dispatcher_of(self, job_id: str) -> str:
        return self._dispatcher_by_cell.get(self._cell_of(job_id), '')

    def _cancel_held(self, held: _Held) -> None:
        job = held.job
        self._answered.add_cancelled(job.id, job.queue)
        dispatchers = {held.handed_to, self._dispatcher_of(job.id)} - {''}
        # Versions that don't know cancels have this message.
        self._withdraw(held, 'cancelled')
        for dispatcher in sorted(dispatchers):
            cancelled = model.JobCancelled(job.id, job.queue)
            self._send(dispatcher, cancelled)
        held.answer.set_result(
            jobservice.JobAnswer(model.JobEnd.FAILED, 'cancelled')
        )

    def _alone_since(self, held: _Held) -> float:
        since = self._alone_since_by_cell.get(self._cell_of(held.job.id), 0.0)
        return max(held.arrived, since)

    def _take_in(self, job: model.Job, left_ms: float) -> _Held:
        now = self._clock.now()
        answer = asyncio.get_running_loop().create_future()
        held = _Held(job, now, now + left_ms, answer)
        self._held_by_id[job.id] = held
        if self._dispatcher_of(held.job.id):
            self._hand(held)
        return held

    def _hand(self, held: _Held) -> None:
        now = self._clock.now()
        message = model.JobSubmitted(
            held.job,
            now - held.arrived,
            held.deadline - now,
            held.attempt,
            tuple(sorted(held.done)),
            tuple(
                model.Placement(index, worker)
                for index, worker in held.worker_by_task.items()
                if index not in held.done
            ),
            held.queued,
            self._failure_domain,
        )
        # Set first: a dispatcher in this very process answers at once.
        dispatcher = self._dispatcher_of(held.job.id)
        held.handed_to = dispatcher
        held.handed_ever = True
        sent = self._send(dispatcher, message)
        if not sent and not held.answer.done():
            held.handed_to = ''
        logs.event(
            _LOG,
            logging.INFO,
            'job_handed',
            request_id=held.job.id,
            dispatcher=dispatcher,
            sent=sent,
            age_ms=message.age_ms,
            left_ms=message.left_ms,
            attempt=held.attempt,
        )

    def _move(self, held: _Held) -> None:
        dispatcher = self._dispatcher_of(held.job.id)
        if not dispatcher or held.handed_to == dispatcher:
            return
        if not held.handed_to:
            self._hand(held)
            return
        if held.leaves_since is not None:
            return
        # The one before may be about to start it; both would, if it were
        # handed over before that one has let go.
        held.leaves_since = self._clock.now()
        message = model.JobWithdrawn(held.job.id, release=True)
        if not self._send(held.handed_to, message):
            self._lost_touch(held)

    def _lost_touch(self, held: _Held) -> None:
        """Takes in that a dispatcher can't say what it has ordered."""
        held.leaves_since = None
        held.handed_to = ''
        held.attempt = max(held.attempt, 1)
        if self._dispatcher_of(held.job.id):
            self._hand(held)

    def _withdraw(self, held: _Held, cause: str) -> None:
        self._held_by_id.pop(held.job.id, None)
        if held.handed_to:
            self._send(held.handed_to, model.JobWithdrawn(held.job.id))
        logs.event(
            _LOG,
            logging.INFO,
            'job_withdrawn',
            request_id=held.job.id,
            cause=cause,
            attempt=held.attempt,
        )

    def _end(self, held: _Held, answer: jobservice.JobAnswer) -> None:
        self._held_by_id.pop(held.job.id, None)
        if answer.end.is_final:
            self._answered.add(held.job, answer.end)
        if not held.answer.done():
            held.answer.set_result(answer)


def _unserved(held: _Held, cause: str) -> jobservice.JobAnswer:
    # A dispatcher's word that tasks have started may be on its way, so only
    # what was never handed over has certainly not run.
    end = model.JobEnd.GIVEN_UP
    if not held.handed_ever:
        end = model.JobEnd.NOT_RUN
    return jobservice.JobAnswer(end, cause, _RETRY_MS)
