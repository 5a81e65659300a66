"""What the callers of a played service got."""

import collections
import collections.abc
import math

import attrs

from rosemaryroad import model
from rosemaryroad.emulation import _clients
from rosemaryroad.emulation import _service

# An answer after its objective is worth this share, up to three times it.
_LATE_SHARE = 0.2

# The length of the windows among which the worst are looked for, and how many
# of these count.
_WINDOW_S = 2.0
_WORST_WINDOWS = 2

# One unserved job in so many counts as perfect, on the scale of nines.
_PERFECT = 1_000.0


@attrs.frozen
class Measures:
    """What callers got in one play; all but ``starts`` are shares.

    Attributes:
        earned: Of the worth of all jobs, what was earned.
        worst_windows: The same in the worst seconds.
        worst_kind: The same of the worst kind of job.
        worst_domain: The same of the failure domain that fared worst.
        nines: How many nines of all jobs got an answer, out of three.
        refused: Jobs that were refused as not run.
        refused_late: Jobs that were refused after half of their patience.
        unanswered: Jobs that got no answer at all.
        starts: Tasks started for each task of a job.
        violations: How many rules were broken.
    """

    earned: float
    worst_windows: float
    worst_kind: float
    worst_domain: float
    nines: float
    refused: float
    refused_late: float
    unanswered: float
    starts: float
    violations: int

    def worth(self, weights: 'Weights') -> float:
        """Returns the weighted sum of the parts."""
        return (
            weights.earned * self.earned
            + weights.worst_windows * self.worst_windows
            + weights.worst_kind * self.worst_kind
            + weights.worst_domain * self.worst_domain
            + weights.nines * self.nines
        )


@attrs.frozen
class Weights:
    """How much each part of ``Measures`` counts.

    Attributes:
        earned: The whole play.
        worst_windows: The worst seconds.
        worst_kind: The worst kind of job.
        worst_domain: The worst failure domain.
        nines: The share that is answered at all.
    """

    earned: float = 0.32
    worst_windows: float = 0.12
    worst_kind: float = 0.08
    worst_domain: float = 0.2
    nines: float = 0.28


def measure(service: _service.EmulatedService) -> Measures:
    """Measures a service that has been played."""
    answers = [
        answer for answer in service.clients.answers.values() if answer.is_owed
    ]
    refused = [a for a in answers if a.end is model.JobEnd.NOT_RUN]
    late = [a for a in refused if a.took_ms > a.request.patience_ms / 2]
    count = max(1, len(answers))
    tasks = sum(answer.request.job.tasks for answer in answers)
    windows = sorted(_shares_by(answers, _window_of))
    worst = windows[:_WORST_WINDOWS]
    return Measures(
        earned=_share(answers),
        worst_windows=sum(worst) / max(1, len(worst)),
        worst_kind=min(_shares_by(answers, _queue_of), default=1.0),
        worst_domain=min(_shares_by(answers, _domain_of), default=1.0),
        nines=_nines(sum(a.is_served for a in answers) / count),
        refused=len(refused) / count,
        refused_late=len(late) / count,
        unanswered=sum(a.end is None for a in answers) / count,
        starts=service.checks.starts_by_task.total() / max(1, tasks),
        violations=len(service.checks.violations),
    )


def _share(answers: collections.abc.Iterable[_clients.Answer]) -> float:
    owed = earned = 0.0
    for answer in answers:
        owed += answer.request.worth
        earned += _earned(answer)
    return earned / owed if owed else 1.0


def _earned(answer: _clients.Answer) -> float:
    request = answer.request
    # A job whose tasks fail wherever they run is owed to be told so.
    is_told = answer.end is model.JobEnd.FAILED and _is_hopeless(answer)
    if answer.end is not model.JobEnd.COMPLETED and not is_told:
        return 0.0
    if answer.took_ms <= request.objective_ms:
        return request.worth
    of_use_ms = request.job.terms.of_use_ms(
        max(item.run_ms for item in request.work)
    )
    return _LATE_SHARE * request.worth if answer.took_ms <= of_use_ms else 0.0


def _is_hopeless(answer: _clients.Answer) -> bool:
    return any(item.fails for item in answer.request.work)


def _shares_by(
    answers: collections.abc.Iterable[_clients.Answer],
    key: collections.abc.Callable[[_clients.Answer], object],
) -> list[float]:
    groups = collections.defaultdict(list)
    for answer in answers:
        groups[key(answer)].append(answer)
    return [_share(group) for group in groups.values()]


def _window_of(answer: _clients.Answer) -> int:
    return int(answer.request.at_s / _WINDOW_S)


def _queue_of(answer: _clients.Answer) -> str:
    return answer.request.kind.queue


def _domain_of(answer: _clients.Answer) -> str:
    return answer.request.domain


def _nines(served: float) -> float:
    unserved = max(1.0 - served, 1 / _PERFECT)
    return math.log10(1 / unserved) / math.log10(_PERFECT)
