"""Why a job was not answered in time: one cause for each."""

import collections.abc
import enum

from rosemaryroad.losses import _stories

# A job that has no dispatcher for longer than a change in order takes.
_ABSENT_MS = 100.0

# A wait for room counts as the cause where it took more of the time that a
# job had to spare than this; below, the run itself was long.
_WAIT_SHARE = 0.5


class Cause(enum.Enum):
    """What first kept a job from its answer in time."""

    HOME_LOST = 'its VM was lost'
    VM_STARTING = 'its VM was starting'
    DRAINING = 'its VM was leaving'
    NOT_SERVED = 'a kind of job that is not served'
    CLIENT_LEFT = 'its client left or cancelled it'
    TOO_LARGE = 'no worker is large enough'
    DOMAIN_DRAINED = 'all workers that are large enough are drained'
    REFUSED_WAITING = 'refused after a wait for room'
    REFUSED_FORECAST = 'refused, since room was not expected in time'
    REFUSED_DEADLINE = 'refused, since too little time was left'
    DISPATCHER_ABSENT = 'no dispatcher, or another one'
    ORDER_UNANSWERED = 'an order got no answer'
    ATTEMPT_LAPSED = 'an attempt lapsed'
    WORKER_FAILED = 'a worker failed it'
    WORKER_SLOW = 'a worker was slow or stood still'
    PREEMPTED = 'a more urgent job took its room'
    NO_ROOM = 'it waited for room'
    LONG_RUN = 'it ran long, though it started soon'
    UNKNOWN = 'unknown'


_Test = collections.abc.Callable[[_stories.JobStory], bool]


def _is_starting(story: _stories.JobStory) -> bool:
    return story.refused == 'no configuration'


def _is_draining(story: _stories.JobStory) -> bool:
    causes = (story.refused, story.answer_cause)
    return 'about to end' in causes or 'shut down' in causes


def _is_not_served(story: _stories.JobStory) -> bool:
    return story.refused.startswith('not served')


def _has_left(story: _stories.JobStory) -> bool:
    if story.is_completed:
        return False
    return story.withdrawn in ('client left', 'cancelled')


def _is_too_large(story: _stories.JobStory) -> bool:
    return story.settled.startswith('no worker is large enough')


def _is_drained(story: _stories.JobStory) -> bool:
    return story.settled.startswith('all workers that are large enough are')


def _lost_dispatcher(story: _stories.JobStory) -> bool:
    if story.answer_cause == 'no dispatcher':
        return True
    sent = [item for item in story.handovers if item.sent]
    if len({item.dispatcher for item in sent}) > 1:
        return True
    return not sent or sent[0].at_ms - story.at_ms > _ABSENT_MS


def _waited_out(story: _stories.JobStory) -> bool:
    return story.settled.startswith('waited')


def _was_forecast(story: _stories.JobStory) -> bool:
    return story.settled.startswith('no room in time')


def _had_no_time(story: _stories.JobStory) -> bool:
    return ' ms left of ' in story.settled


def _was_unanswered(story: _stories.JobStory) -> bool:
    return story.unanswered > 0


def _has_failed(story: _stories.JobStory) -> bool:
    return any(end.how == 'failed' for end in story.ends)


def _was_slow(story: _stories.JobStory) -> bool:
    return 'no progress' in story.stops or 'too slow' in story.stops


def _was_preempted(story: _stories.JobStory) -> bool:
    return any(cause.startswith('preempted') for cause in story.stops)


def _has_lapsed(story: _stories.JobStory) -> bool:
    if any(end.how == 'lapsed' for end in story.ends):
        return True
    # Nothing else lets a task start again.
    return any(order.attempt > 1 for order in story.orders)


def _waited_for_room(story: _stories.JobStory) -> bool:
    if not story.orders:
        return not story.is_completed
    waited = max(order.waited_ms for order in story.orders)
    spare = story.objective_ms - story.run_ms
    return waited > _WAIT_SHARE * spare


def _has_run(story: _stories.JobStory) -> bool:
    return bool(story.orders)


# The first one that holds is the cause: what ends a job before what delays
# it, and what goes wrong before what is merely slow.
_TESTS: tuple[tuple[Cause, _Test], ...] = (
    (Cause.VM_STARTING, _is_starting),
    (Cause.DRAINING, _is_draining),
    (Cause.NOT_SERVED, _is_not_served),
    (Cause.HOME_LOST, lambda story: story.home_restarted),
    (Cause.CLIENT_LEFT, _has_left),
    (Cause.TOO_LARGE, _is_too_large),
    (Cause.DOMAIN_DRAINED, _is_drained),
    (Cause.DISPATCHER_ABSENT, _lost_dispatcher),
    (Cause.REFUSED_WAITING, _waited_out),
    (Cause.REFUSED_FORECAST, _was_forecast),
    (Cause.REFUSED_DEADLINE, _had_no_time),
    (Cause.WORKER_FAILED, _has_failed),
    (Cause.WORKER_SLOW, _was_slow),
    (Cause.ORDER_UNANSWERED, _was_unanswered),
    (Cause.PREEMPTED, _was_preempted),
    (Cause.ATTEMPT_LAPSED, _has_lapsed),
    (Cause.NO_ROOM, _waited_for_room),
    (Cause.LONG_RUN, _has_run),
)


def cause_of(story: _stories.JobStory) -> Cause:
    """Returns why a job was not answered in time."""
    for cause, holds in _TESTS:
        if holds(story):
            return cause
    return Cause.UNKNOWN
