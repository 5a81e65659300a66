"""Carries out what the dispatcher decides."""

import asyncio
import collections.abc
import functools
import logging

import attrs

from rosemaryroad import _attempts
from rosemaryroad import clock as clock_module
from rosemaryroad import decisions
from rosemaryroad import endpoints
from rosemaryroad import errors
from rosemaryroad import filters
from rosemaryroad import logs
from rosemaryroad import metrics as metrics_module
from rosemaryroad import model
from rosemaryroad import refusals

__all__ = ['Runtime']

_LOG = logging.getLogger(__name__)
_OnForgotten = collections.abc.Callable[[str], None]

# Quarantine probes and expiry of sessions are looked at this often; what
# has an exact time is woken for by a timer of its own.
TICK_MS = 250.0
_MS_PER_SECOND = 1000.0

# How often a drain looks whether the last submission has been answered.
DRAIN_POLL_MS = 20.0


@attrs.define(eq=False)
class _Pending:
    future: asyncio.Future[model.Answer]
    request_id: str


class Runtime:
    """The dispatcher together with the I/O that it asks for.

    Args:
        dispatcher: The decisions.
        endpoint_client: Starts and cancels tasks.
        clock: The time.
        metrics: Where answers and attempts are counted.
        burn: Where answers are judged against the objective.
        on_forgotten: Called with a deleted service of which nothing is
            left to answer.
    """

    def __init__(
        self,
        dispatcher: decisions.Dispatcher,
        endpoint_client: endpoints.EndpointClient,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics,
        burn: decisions.BurnBook,
        on_forgotten: _OnForgotten = lambda _: None,
    ) -> None:
        self.dispatcher = dispatcher
        self._attempts = _attempts.Attempts(endpoint_client, clock, metrics)
        self._clock = clock
        self._metrics = metrics
        self._burn = burn
        self._on_forgotten = on_forgotten
        self._pending_by_key: dict[model.SubmissionKey, _Pending] = {}
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float | None = None

    async def submit(
        self, submission: model.Submission, wait_ms: float, request_id: str
    ) -> filters.Reply:
        """Submits, or attaches to the submission of that name.

        Raises:
            errors.RefusedError: It was refused; nothing ran.
        """
        # A name may be repeated long after its service was forgotten;
        # counted again, the service would come back into the metrics.
        if self.dispatcher.is_held(submission.service):
            self._metrics.submission_arrived(
                submission.service, len(submission.tasks)
            )
        event = model.SubmissionArrived(submission)
        actions = self._decide(event)
        pending = self._pending_by_key.get(submission.key)
        if pending is None:
            future = asyncio.get_running_loop().create_future()
            pending = _Pending(future, request_id)
            self._pending_by_key[submission.key] = pending
        try:
            answer = self._carry_out_for_caller(actions, submission.key)
        finally:
            if self.dispatcher.progress(submission.key) is None:
                self._pending_by_key.pop(submission.key, None)
        if answer is not None:
            return filters.Done(answer)
        return await self._await_answer(submission.key, pending, wait_ms)

    async def wait(
        self, key: model.SubmissionKey, wait_ms: float
    ) -> filters.Reply:
        """Waits for the answer to a submission.

        Raises:
            errors.RefusedError: The session has ended.
            errors.InvalidRequest: There is no such submission.
        """
        self._touch(key.session)
        pending = self._pending_by_key.get(key)
        if pending is not None:
            return await self._await_answer(key, pending, wait_ms)
        return filters.Done(self._kept_answer(key))

    def cancel(self, key: model.SubmissionKey) -> filters.Reply:
        """Cancels a submission and returns its final answer.

        Raises:
            errors.RefusedError: The session has ended.
            errors.InvalidRequest: There is no such submission.
        """
        self._touch(key.session)
        self.apply(model.CancelRequested(key))
        return filters.Done(self._kept_answer(key))

    def open_session(self, secret: str) -> model.SessionId:
        """Opens a session.

        Raises:
            errors.RefusedError: The entry VM leaves, or holds as many as
                it may.
        """
        if self.dispatcher.is_draining:
            raise errors.RefusedError(
                errors.ResultCode.DRAINING,
                errors.Run.NOT_RUN,
                retry_after_ms=decisions.DRAINING_RETRY_MS,
            )
        return self.dispatcher.sessions.open(secret, self._clock.now())

    def apply(self, event: model.Event) -> None:
        """Takes an event in and carries out what follows from it."""
        for action in self._decide(event):
            self._carry_out(action)

    def count_lost(self, service: str, code: errors.ResultCode) -> None:
        """Counts a submission that its home can't count any more.

        Without it the burn report would show nothing of the answers that
        are lost with an entry VM.
        """
        if self.dispatcher.document(service) is not None:
            self._metrics.answered(service, code, 0.0)
            self._burn.record(service, code, None, self._clock.now())

    async def run(self) -> None:
        """Ticks until it is cancelled."""
        while True:
            self.apply(model.Tick())
            await asyncio.sleep(TICK_MS / _MS_PER_SECOND)

    async def drain(self, limit_ms: float) -> bool:
        """Refuses new names and waits for the answers still owed.

        Args:
            limit_ms: How long to wait at most.

        Returns:
            Whether every submission was answered in time.
        """
        self.apply(model.DrainStarted())
        until = self._clock.now() + limit_ms
        while self._clock.now() < until:
            if self.dispatcher.is_idle and not self._tasks:
                return True
            await asyncio.sleep(DRAIN_POLL_MS / _MS_PER_SECOND)
        return False

    def give_up(self) -> None:
        """Answers what is still owed, and has endpoints stop its tasks."""
        self.apply(model.DrainEnded())

    async def close(self) -> None:
        """Ends all attempts; their outcome is no longer of interest."""
        if self._timer is not None:
            self._timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _touch(self, session: model.SessionId) -> None:
        if not self.dispatcher.sessions.touch(session, self._clock.now()):
            raise errors.RefusedError(
                errors.ResultCode.UNKNOWN_SESSION, errors.Run.UNKNOWN
            )

    def _kept_answer(self, key: model.SubmissionKey) -> model.Answer:
        record = self.dispatcher.sessions.find(key)
        if record is None:
            raise errors.InvalidRequest(
                code=errors.ResultCode.UNKNOWN_SUBMISSION
            )
        return decisions.kept_answer(record)

    async def _await_answer(
        self, key: model.SubmissionKey, pending: _Pending, wait_ms: float
    ) -> filters.Reply:
        # wait() leaves the future alone when this caller goes away; others
        # may be waiting for the same name.
        done, _ = await asyncio.wait(
            (pending.future,), timeout=wait_ms / _MS_PER_SECOND
        )
        if done:
            return filters.Done(pending.future.result())
        progress = self.dispatcher.progress(key)
        return filters.Running(*(progress or (None, None)))

    def _decide(self, event: model.Event) -> list[model.Action]:
        actions = self.dispatcher.handle(event, self._clock.now())
        self._set_timer()
        return actions

    def _carry_out_for_caller(
        self, actions: list[model.Action], key: model.SubmissionKey
    ) -> model.Answer | None:
        answer = None
        refused = None
        for action in actions:
            if isinstance(action, model.Refuse):
                refused = action
            elif isinstance(action, model.Replay):
                answer = action.answer
            else:
                self._carry_out(action)
        if refused is not None:
            self._count_refusal(refused)
            raise refusals.to_error(refused.failure)
        return answer

    def _count_refusal(self, refused: model.Refuse) -> None:
        code = refused.failure.code
        if self.dispatcher.is_held(refused.service):
            self._metrics.answered(refused.service, code, 0.0)
            self._burn.record(refused.service, code, None, self._clock.now())
        logs.event(
            _LOG,
            logging.INFO,
            'refused',
            service=refused.service,
            code=int(code),
            retry_after_ms=refused.failure.retry_after_ms,
        )

    def _set_timer(self) -> None:
        due = self.dispatcher.next_due()
        if due == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at = due
        if due is not None:
            delay = max(0.0, due - self._clock.now()) / _MS_PER_SECOND
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_at = None
        self.apply(model.Tick())

    def _spawn(self, work: asyncio.Task) -> None:
        self._tasks.add(work)
        work.add_done_callback(self._tasks.discard)

    @functools.singledispatchmethod
    def _carry_out(self, action: model.Action) -> None:
        raise TypeError(f'not an action: {action!r}')

    @_carry_out.register
    def _(self, action: model.StartAttempt) -> None:
        pending = self._pending_by_key.get(action.key)
        request_id = pending.request_id if pending else ''
        work = self._attempt(action, request_id, self._clock.now())
        self._spawn(asyncio.create_task(work))

    @_carry_out.register
    def _(self, action: model.CancelAttempt) -> None:
        work = self._attempts.cancel(action)
        self._spawn(asyncio.create_task(work))

    @_carry_out.register
    def _(self, action: model.Settle) -> None:
        # The caller comes first: by a fault in the counting, callers would
        # wait on for an answer that is there.
        pending = self._pending_by_key.pop(action.key, None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(action.answer)
        failure = action.answer.failure
        code = failure.code if failure else errors.ResultCode.OK
        lag = None
        if failure is None and action.ideal_ms is not None:
            lag = max(0.0, action.response_ms - action.ideal_ms)
        now = self._clock.now()
        self._metrics.answered(action.service, code, action.response_ms, lag)
        self._burn.record(action.service, code, lag, now)
        self._log_settled(action, code, pending)

    @_carry_out.register
    def _(self, action: model.ForgetService) -> None:
        self._metrics.forget(action.service)
        self._burn.forget(action.service)
        self._on_forgotten(action.service)
        work = self._attempts.forget(action.addresses)
        self._spawn(asyncio.create_task(work))
        logs.event(
            _LOG, logging.INFO, 'service_forgotten', service=action.service
        )

    @staticmethod
    def _log_settled(
        action: model.Settle,
        code: errors.ResultCode,
        pending: _Pending | None,
    ) -> None:
        failed = code is not errors.ResultCode.OK
        logs.event(
            _LOG,
            logging.INFO if failed else logging.DEBUG,
            'answered',
            request_id=pending.request_id if pending else None,
            service=action.service,
            name=action.key.name,
            code=int(code),
            response_ms=action.response_ms,
            ideal_ms=action.ideal_ms,
        )

    async def _attempt(
        self, start: model.StartAttempt, request_id: str, decided: float
    ) -> None:
        outcome = await self._attempts.make(start, request_id, decided)
        self.apply(model.AttemptEnded(start.attempt, outcome))
