"""Checks submissions that are new to their home."""

import collections.abc

import attrs

from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad.filters import _calls
from rosemaryroad.filters import _chain

# Largest values that still make sense; beyond them a caller is mistaken.
MAX_RUN_MS = 86_400_000.0
MAX_CORES = 4096.0
MAX_MEMORY_MB = 64 * 1024 * 1024
MAX_ACCELERATORS = 64


class CheckFilter(_chain.Filter):
    """Refuses malformed submissions and fills in the default deadline.

    Args:
        max_tasks: The most tasks in one submission.
        max_wait_ms: The longest wait of one call.
        document: Looks up the document in force for a service.
        is_known: Tells whether a name has been submitted before.
    """

    def __init__(
        self,
        max_tasks: int,
        max_wait_ms: float,
        document: collections.abc.Callable[[str], model.Document | None],
        is_known: collections.abc.Callable[[model.SubmissionKey], bool],
    ) -> None:
        self._max_tasks = max_tasks
        self._max_wait_ms = max_wait_ms
        self._document = document
        self._is_known = is_known

    async def apply(
        self, call: _calls.Call, proceed: _chain.Handler
    ) -> _calls.Reply:
        """Hands on the call with its deadline and wait set.

        Raises:
            errors.CheckFailed: With everything that is wrong.
            errors.InvalidRequest: There is no such service.
        """
        if isinstance(call, (_calls.Submit, _calls.Wait)):
            wait = min(max(0.0, call.wait_ms), self._max_wait_ms)
            call = attrs.evolve(call, wait_ms=wait)
        # A name that is known is not checked again: a document that has
        # changed since then would refuse it as not run, though it ran.
        if isinstance(call, _calls.Submit) and not self._is_known(
            call.submission.key
        ):
            submission = self._checked(call.submission)
            call = attrs.evolve(call, submission=submission)
        return await proceed(call)

    def _checked(self, submission: model.Submission) -> model.Submission:
        document = self._document(submission.service)
        if document is None:
            raise errors.InvalidRequest(
                f'no such service: {submission.service[:80]!r}',
                errors.ResultCode.UNKNOWN_SERVICE,
            )
        deadline = submission.deadline_ms or document.default_deadline_ms
        problems = list(self._problems(submission))
        if not 0 < deadline <= document.max_deadline_ms:
            limit = document.max_deadline_ms
            problems.append(
                _problem('deadline_ms', f'over 0 and at most {limit:g}')
            )
        if problems:
            raise errors.CheckFailed(tuple(problems))
        return attrs.evolve(submission, deadline_ms=deadline)

    def _problems(
        self, submission: model.Submission
    ) -> collections.abc.Iterator[errors.Problem]:
        count = len(submission.tasks)
        if not 1 <= count <= self._max_tasks:
            yield _problem('tasks', f'1 to {self._max_tasks} tasks')
        if submission.kind is model.Kind.REQUEST and count != 1:
            yield _problem('tasks', 'a single request has one task')
        for index, task in enumerate(submission.tasks):
            if _is_absurd(task):
                yield _problem(f'tasks[{index}]', 'absurdly large')


def _is_absurd(task: model.Task) -> bool:
    needs = task.needs
    return not (
        task.run_ms <= MAX_RUN_MS
        and needs.cores <= MAX_CORES
        and needs.memory_mb <= MAX_MEMORY_MB
        and needs.accelerators <= MAX_ACCELERATORS
    )


def _problem(path: str, detail: str) -> errors.Problem:
    return errors.Problem(path, errors.ResultCode.INVALID_FIELD, detail)
