"""How attempts end, and with them submissions."""

import functools

from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad.decisions import _admission
from rosemaryroad.decisions import _home_state
from rosemaryroad.decisions import _job
from rosemaryroad.decisions import _retries
from rosemaryroad.decisions import _service

# After this many refusals of one task its submission is given up.
MAX_TRIES = 6

# Refusals after which the next try is made at once; later ones back off.
QUICK_TRIES = 2


class Ender:
    """Follows up ended attempts and gives final answers."""

    def __init__(self, state: _home_state.HomeState) -> None:
        self._state = state

    def attempt_ended(
        self,
        attempt: _home_state.Attempt,
        outcome: model.Outcome,
        service: _service.ServiceState,
        now: float,
    ) -> None:
        """Decides what follows from the end of an unanswered job's attempt.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            service: The service's state.
            now: The present time in milliseconds.
        """
        job = attempt.job
        verdict = _retries.after_attempt(
            outcome, job.submission.kind, job.submission.idempotent
        )
        if verdict is _retries.Verdict.COMPLETE:
            service.budget.succeeded()
            self._complete(attempt, outcome, now)
        elif verdict is _retries.Verdict.RUN_ELSEWHERE:
            self._try_elsewhere(attempt, service, now)
        elif verdict is _retries.Verdict.RETRY_IN_BUDGET and _may_retry(
            attempt, service, now
        ):
            self._retry_later(attempt, now)
        else:
            self.give_up(job, _code_of(outcome), now)

    def drop_overdue(self, now: float) -> None:
        """Gives up the submissions whose deadline has passed."""
        for key in self._state.deadlines.pop_due(now):
            job = self._state.jobs_by_key.get(key)
            if job is not None:
                self.give_up(job, errors.ResultCode.DEADLINE_PASSED, now)

    def put_back_due(self, now: float) -> None:
        """Makes tasks wait again whose rest before a retry is over."""
        for attempt in self._state.delayed.pop_due(now):
            if not attempt.job.settled:
                service = self._state.services_by_name[attempt.service]
                service.queue.put_back(attempt.job, attempt.index)

    def give_up_all(self, now: float) -> None:
        """Fails all submissions, since their home is about to end."""
        for job in list(self._state.jobs_by_key.values()):
            code = errors.ResultCode.DRAINING
            if job.may_have_run or job.running:
                code = errors.ResultCode.HOME_GONE
            self.give_up(job, code, now)

    def give_up(
        self, job: _job.Job, code: errors.ResultCode, now: float
    ) -> None:
        """Fails a submission at once and cancels what runs of it."""
        run = errors.Run.NOT_RUN
        # An attempt that is out may start at any moment before it hears of
        # the cancellation, so "not run" would be a guess.
        if job.may_have_run or job.running:
            run = errors.Run.UNKNOWN
        wait = None
        if run is errors.Run.NOT_RUN and errors.DETAIL_BY_CODE[code].retry:
            wait = _admission.retry_after_ms(0.0, self._state.rng)
        service = self._state.services_by_name[job.submission.service]
        service.queue.remove(job)
        for number in job.running:
            endpoint = self._state.attempts_by_number[number].endpoint
            service.pool.cancelled(number)
            self._state.actions.append(model.CancelAttempt(number, endpoint))
        failure = model.Failure(code, run, wait)
        self._settle(job, model.Answer(failure=failure), now)

    def _complete(
        self,
        attempt: _home_state.Attempt,
        outcome: model.Answered,
        now: float,
    ) -> None:
        job = attempt.job
        if not self._state.memory.take_result(job, len(outcome.result)):
            self.give_up(job, errors.ResultCode.ANSWER_TOO_LARGE, now)
            return
        job.results[attempt.index] = outcome.result
        job.record_run(outcome.run_ms)
        if not job.tasks_left:
            self._settle(job, job.whole_answer(), now)

    def _try_elsewhere(
        self,
        attempt: _home_state.Attempt,
        service: _service.ServiceState,
        now: float,
    ) -> None:
        job = attempt.job
        tries = job.count_try(attempt.index)
        if tries >= MAX_TRIES:
            self.give_up(job, errors.ResultCode.ATTEMPTS_REFUSED, now)
        elif tries <= QUICK_TRIES:
            job.exclude(attempt.index, attempt.endpoint.id)
            service.queue.put_back(job, attempt.index)
        else:
            job.refused_by.pop(attempt.index, None)
            self._rest(attempt, tries, now)

    def _retry_later(self, attempt: _home_state.Attempt, now: float) -> None:
        job = attempt.job
        tries = job.count_try(attempt.index)
        job.exclude(attempt.index, attempt.endpoint.id)
        self._rest(attempt, tries, now)

    def _rest(
        self, attempt: _home_state.Attempt, tries: int, now: float
    ) -> None:
        delay = _retries.backoff_ms(tries, self._state.rng)
        self._state.delayed.push(now + delay, attempt)

    def _settle(self, job: _job.Job, answer: model.Answer, now: float) -> None:
        job.settled = True
        del self._state.jobs_by_key[job.key]
        self._state.memory.answered(job)
        self._state.sessions.answered(job.key, answer, now)
        self._state.actions.append(
            model.Settle(
                key=job.key,
                service=job.submission.service,
                answer=answer,
                response_ms=now - job.arrived,
                ideal_ms=job.longest_run_ms,
            )
        )


def _may_retry(
    attempt: _home_state.Attempt, service: _service.ServiceState, now: float
) -> bool:
    tries = attempt.job.tries.get(attempt.index, 0)
    return tries + 1 < _retries.MOST_TRIES and service.budget.take(now)


@functools.singledispatch
def _code_of(outcome: model.Outcome) -> errors.ResultCode:
    raise TypeError(f'not a final outcome: {outcome!r}')


@_code_of.register
def _(outcome: model.Failed) -> errors.ResultCode:
    return errors.ResultCode.TASK_FAILED


@_code_of.register
def _(outcome: model.Unknown) -> errors.ResultCode:
    return errors.ResultCode.TASK_UNKNOWN
