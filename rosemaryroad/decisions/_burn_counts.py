"""What is counted of a service's answers against its objective."""

import attrs

from rosemaryroad import errors
from rosemaryroad import model

_MS_PER_SECOND = 1000.0
_MS_PER_MINUTE = 60 * _MS_PER_SECOND
_MS_PER_HOUR = 60 * _MS_PER_MINUTE

_REFUSAL_CODES = range(2000, 3000)


@attrs.frozen
class BurnWindow:
    """A span of time over which answers are counted.

    Attributes:
        name: Its name in reports.
        span_ms: Its length.
        bucket_ms: The length of the buckets that it is counted in. Memory
            is one bucket for each, however many answers there are.
    """

    name: str
    span_ms: float
    bucket_ms: float


BURN_WINDOWS = (
    BurnWindow('5m', 5 * _MS_PER_MINUTE, 10 * _MS_PER_SECOND),
    BurnWindow('1h', _MS_PER_HOUR, _MS_PER_MINUTE),
    BurnWindow('6h', 6 * _MS_PER_HOUR, 5 * _MS_PER_MINUTE),
)


@attrs.frozen
class CodeCount:
    """How many answers ended with a code.

    Attributes:
        code: The numbered result code.
        count: The answers.
    """

    code: errors.ResultCode
    count: int


@attrs.frozen
class WindowBurn:
    """What was counted for a service over one window.

    Attributes:
        window: The window's name.
        answers: All answers that count, good and bad.
        late: Whole answers that lagged too far behind the ideal.
        bad_by_code: Answers that failed or were refused, by code.
    """

    window: str
    answers: int = 0
    late: int = 0
    bad_by_code: tuple[CodeCount, ...] = ()

    @property
    def refused(self) -> int:
        """Answers that were refusals."""
        return sum(
            item.count
            for item in self.bad_by_code
            if item.code in _REFUSAL_CODES
        )

    @property
    def failed(self) -> int:
        """Answers that failed after they had been accepted."""
        return self.bad - self.late - self.refused

    @property
    def bad(self) -> int:
        """All answers that spend the budget."""
        return self.late + sum(item.count for item in self.bad_by_code)

    @property
    def bad_share(self) -> float:
        """The share of bad answers, 0 where there were none at all."""
        return self.bad / self.answers if self.answers else 0.0


@attrs.frozen
class ServiceBurn:
    """The burn of one service.

    Attributes:
        service: The service.
        objective: The objective in force.
        windows: One item for each window, shortest first.
    """

    service: str
    objective: model.Objective
    windows: tuple[WindowBurn, ...]

    def rate(self, window: WindowBurn) -> float:
        """Returns how many times faster than allowed the budget goes.

        At 1 the budget is just used up at the end of the period that the
        objective is agreed for; at 10 it is gone in a tenth of it.
        """
        return window.bad_share / (1.0 - self.objective.target)


@attrs.frozen
class BurnSnapshot:
    """The burn of all services at one moment.

    Attributes:
        services: Sorted by name.
    """

    services: tuple[ServiceBurn, ...] = ()
