"""Lost jobs by cause, queue, size, failure domain and second."""

import bisect
import collections.abc
import enum
import statistics

import attrs

from rosemaryroad import logreader
from rosemaryroad.losses import _causes
from rosemaryroad.losses import _stories

_MS_PER_SECOND = 1000.0
_EXAMPLES = 3
_TENTHS = 10

# What a job of no work is worth beside one of its queue's mean work, and up
# to how many times as much a large one, as the users weigh them.
_BASE_WORTH = 0.3
_MOST_WORTH = 4.0


class Dimension(enum.Enum):
    """By what lost jobs are told apart, beside the cause."""

    CAUSE = 'cause'
    QUEUE = 'queue'
    SIZE = 'size'
    DOMAIN = 'domain'
    SECOND = 'second'


@attrs.frozen
class Loss:
    """A job that was not answered in time.

    Attributes:
        job: Its id.
        queue: Its queue.
        size: By how many tenths of its queue's jobs it has more work.
        domain: The failure domain of its home.
        second: When it came, in whole seconds since the first job.
        cause: Why it was lost.
        is_served: Whether its answer was of some use, though late.
        worth: What it is worth beside its queue's mean job.
    """

    job: str
    queue: str
    size: int
    domain: str
    second: int
    cause: _causes.Cause
    is_served: bool
    worth: float


@attrs.frozen
class LossReport:
    """All lost jobs.

    Attributes:
        jobs: How many jobs there were.
        worth: What all of them are worth.
        losses: Those that were lost, in the order in which they came.
        skipped: Log lines that could not be read.
    """

    jobs: int
    worth: float
    losses: tuple[Loss, ...]
    skipped: int

    @property
    def unknown_share(self) -> float:
        """The share of the lost jobs whose cause the logs don't tell."""
        unknown = sum(
            loss.cause is _causes.Cause.UNKNOWN for loss in self.losses
        )
        return unknown / len(self.losses) if self.losses else 0.0


@attrs.frozen
class Group:
    """Lost jobs of one value of a dimension, for one cause.

    Attributes:
        value: The value, such as a queue's name.
        cause: The cause.
        jobs: How many there are.
        unserved: How many of them got no answer of use.
        share: Their share of the worth of all jobs, lost and not.
        examples: The ids of some.
    """

    value: str
    cause: str
    jobs: int
    unserved: int
    share: float
    examples: tuple[str, ...]


def find(reading: logreader.Reading) -> LossReport:
    """Finds all jobs that were not answered in time."""
    stories = _stories.tell(reading)
    ordered = sorted(stories.by_id.values(), key=lambda item: item.at_ms)
    works_by_queue = _works_by_queue(ordered)
    began = ordered[0].at_ms if ordered else 0.0
    losses = []
    worth = 0.0
    for story in ordered:
        works = works_by_queue[story.queue]
        value = _worth(story, works)
        worth += value
        if story.is_in_time:
            continue
        losses.append(
            Loss(
                job=story.job,
                queue=story.queue,
                size=_tenth(story, works),
                domain=stories.domain_by_vm.get(story.home, ''),
                second=int((story.at_ms - began) // _MS_PER_SECOND),
                cause=_causes.cause_of(story),
                is_served=_is_served(story),
                worth=value,
            )
        )
    return LossReport(len(ordered), worth, tuple(losses), reading.skipped)


def group(report: LossReport, by: Dimension) -> tuple[Group, ...]:
    """Groups lost jobs by a dimension and their cause, most lost first."""
    losses_by_key: dict[tuple[str, str], list[Loss]] = {}
    for loss in report.losses:
        key = (str(_value(loss, by)), loss.cause.value)
        losses_by_key.setdefault(key, []).append(loss)
    groups = [
        Group(
            value=value,
            cause=cause,
            jobs=len(losses),
            unserved=sum(not loss.is_served for loss in losses),
            share=sum(loss.worth for loss in losses) / report.worth,
            examples=tuple(loss.job for loss in losses[:_EXAMPLES]),
        )
        for (value, cause), losses in losses_by_key.items()
    ]
    groups.sort(key=lambda item: (-item.unserved, -item.share, item.value))
    return tuple(groups)


def _value(loss: Loss, by: Dimension) -> object:
    return (
        loss.cause.value if by is Dimension.CAUSE else getattr(loss, by.value)
    )


def _is_served(story: _stories.JobStory) -> bool:
    return story.is_completed and (
        story.took_ms <= story.terms.of_use_ms(story.run_ms)
    )


def _works_by_queue(
    ordered: collections.abc.Iterable[_stories.JobStory],
) -> dict[str, list[float]]:
    works_by_queue: dict[str, list[float]] = {}
    for story in ordered:
        works_by_queue.setdefault(story.queue, []).append(story.work)
    for works in works_by_queue.values():
        works.sort()
    return works_by_queue


def _worth(story: _stories.JobStory, works: list[float]) -> float:
    mean = statistics.fmean(works) or 1.0
    whole = _BASE_WORTH + (1.0 - _BASE_WORTH) * story.work / mean
    return min(_MOST_WORTH, whole)


def _tenth(story: _stories.JobStory, works: list[float]) -> int:
    smaller = bisect.bisect_left(works, story.work)
    return _TENTHS * smaller // len(works)
