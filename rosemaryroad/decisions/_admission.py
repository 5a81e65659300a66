"""Whether a submission is let in, and when a refused one may come back."""

import math
import random

import attrs

from rosemaryroad import errors
from rosemaryroad import model

MIN_RETRY_AFTER_MS = 250.0
MAX_RETRY_AFTER_MS = 30_000.0
JITTER = 0.5

# Within this time two heartbeats go out, and with the second the share of
# the quota follows the demand.
SHARE_MS = 2200.0

# The share of the capacity that a job gets at least, since ageing and
# deadlines keep smaller ones from overtaking it for ever.
LEAST_SHARE = 0.1


@attrs.frozen
class Ahead:
    """What a submission has before it, among some teams.

    Attributes:
        waiting: Tasks that wait and would be started before it.
        overtaking_per_ms: Tasks a millisecond that have been arriving in
            smaller jobs, which will be started first as well.
        share: The share of the capacity that these teams have.
    """

    waiting: int = 0
    overtaking_per_ms: float = 0.0
    share: float = 1.0


@attrs.frozen
class Load:
    """What the decision looks at.

    Attributes:
        waiting: Tasks of the service that wait here.
        waiting_of_team: Those of the submission's team.
        in_all: What the submission has before it in its own team, and all
            that other teams have.
        in_team: What it has in its own, with the share that it is sure of.
        outstanding: Tasks of the service that are out.
        window: Tasks that may be out at once.
        run_ms: The service's measured run time of a task.
        queued_limit: Tasks that the team may have waiting here now.
        queued_room: What it may have waiting here once heartbeats have
            told of it.
        running_limit: Tasks that the team may have out from here.
    """

    waiting: int
    waiting_of_team: int
    in_all: Ahead
    in_team: Ahead
    outstanding: int
    window: int
    run_ms: float
    queued_limit: float = math.inf
    queued_room: float = math.inf
    running_limit: float = math.inf

    @property
    def ms_per_task(self) -> float:
        """How long the service takes for one task of a long queue."""
        return self.run_ms / max(1, self.window)


def estimated_response_ms(submission: model.Submission, load: Load) -> float:
    """Estimates how long a submission takes if it is let in now.

    The measured run time is used, not the declared one, which is often far
    from the truth. The teams share the starts, so another team's flood
    holds a submission up no longer than its own team's share allows.
    """
    tasks = len(submission.tasks)
    return min(
        _wait_behind(tasks, ahead, load)
        for ahead in (load.in_all, load.in_team)
    )


def _wait_behind(tasks: int, ahead: Ahead, load: Load) -> float:
    free = max(0, load.window - load.outstanding)
    queued = max(0, ahead.waiting + tasks - free)
    # Smaller jobs that come later overtake it. In an overload they may
    # take most of the capacity; a large job let in without counting them
    # waits out its deadline, and what ran of it is thrown away.
    taken = ahead.overtaking_per_ms * load.ms_per_task
    left = max(LEAST_SHARE * ahead.share, ahead.share - taken)
    return queued * load.ms_per_task / left + load.run_ms


def refusal(
    submission: model.Submission,
    document: model.Document,
    load: Load,
    rng: random.Random,
) -> model.Failure | None:
    """Decides on a submission; nothing of it has run.

    Args:
        submission: The new submission.
        document: The service's document.
        load: The present load.
        rng: For the jitter of the time to come back.

    Returns:
        Why it is refused, or None where it is let in.
    """
    tasks = len(submission.tasks)
    quota = document.quota_of(submission.team)
    limit = min(load.queued_limit, quota.queued_tasks)
    wanted = load.waiting_of_team + tasks
    if wanted > limit:
        # The team's own tasks end no faster than its limit lets them out.
        pace = load.run_ms / max(1, min(load.window, load.running_limit))
        wait_ms = (wanted - limit) * pace
        if wanted <= min(load.queued_room, quota.queued_tasks):
            wait_ms = min(wait_ms, SHARE_MS)
        return _not_run(errors.ResultCode.QUOTA_EXCEEDED, wait_ms, rng)
    if load.waiting + tasks > document.queue_tasks:
        excess = load.waiting + tasks - document.queue_tasks
        return _not_run(
            errors.ResultCode.QUEUE_FULL, excess * load.ms_per_task, rng
        )
    estimate = estimated_response_ms(submission, load)
    if estimate > submission.deadline_ms:
        return _not_run(
            errors.ResultCode.DEADLINE_UNREACHABLE,
            estimate - submission.deadline_ms,
            rng,
        )
    return None


def retry_after_ms(wait_ms: float, rng: random.Random) -> float:
    """Returns when to come back, spread out by jitter.

    Callers that are refused together would otherwise come back together.
    """
    bounded = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
    return bounded * (1.0 + JITTER * rng.random())


def _not_run(
    code: errors.ResultCode, wait_ms: float, rng: random.Random
) -> model.Failure:
    return model.Failure(
        code, errors.Run.NOT_RUN, retry_after_ms(wait_ms, rng)
    )
