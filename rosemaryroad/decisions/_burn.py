"""How fast each service spends the error budget of its objective."""

import collections
import collections.abc

import attrs

from rosemaryroad import errors
from rosemaryroad import model
from rosemaryroad.decisions import _burn_counts

_CALLER_CODES = range(1000, 2000)

# The caller cancelled, or asked for more than any endpoint has.
_OWN_CHOICE = frozenset(
    {errors.ResultCode.CANCELLED, errors.ResultCode.FITS_NOWHERE}
)

_Code = errors.ResultCode


@attrs.define
class _Bucket:
    index: int
    answers: int = 0
    late: int = 0
    bad: collections.Counter[errors.ResultCode] = attrs.field(
        factory=collections.Counter
    )


class _Ring:
    """The buckets of one window; old ones go as new ones come."""

    def __init__(self, window: _burn_counts.BurnWindow) -> None:
        self._window = window
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def current(self, now: float) -> _Bucket:
        index = int(now // self._window.bucket_ms)
        self._drop_before(now)
        if not self._buckets or self._buckets[-1].index != index:
            self._buckets.append(_Bucket(index))
        return self._buckets[-1]

    def total(self, now: float) -> _burn_counts.WindowBurn:
        self._drop_before(now)
        bad: collections.Counter[errors.ResultCode] = collections.Counter()
        for bucket in self._buckets:
            bad.update(bucket.bad)
        return _burn_counts.WindowBurn(
            window=self._window.name,
            answers=sum(bucket.answers for bucket in self._buckets),
            late=sum(bucket.late for bucket in self._buckets),
            bad_by_code=_counts(bad),
        )

    def _drop_before(self, now: float) -> None:
        oldest = (now - self._window.span_ms) // self._window.bucket_ms
        while self._buckets and self._buckets[0].index <= oldest:
            self._buckets.popleft()


def _rings() -> tuple[_Ring, ...]:
    return tuple(_Ring(window) for window in _burn_counts.BURN_WINDOWS)


class BurnBook:
    """Counts answers for the burn report of one entry VM."""

    def __init__(self) -> None:
        self._objectives: dict[str, model.Objective] = {}
        self._rings: dict[str, tuple[_Ring, ...]] = {}

    def apply_objective(
        self, service: str, objective: model.Objective
    ) -> None:
        """Judges the answers of a service by an objective from now on.

        A later change of the document doesn't turn an answer that was good
        when it was given into a bad one.
        """
        self._objectives[service] = objective

    def record(
        self,
        service: str,
        code: errors.ResultCode,
        lag_ms: float | None,
        now: float,
    ) -> None:
        """Counts one answer.

        Args:
            service: The service; its objective has been applied, as each
                service that accepts work has a document.
            code: How the submission ended; OK for a whole answer.
            lag_ms: For a whole answer, its response time less the
                measured run time of its longest task; None where that
                is not known, and then it isn't late.
            now: The time in milliseconds.

        Raises:
            ValueError: No objective was applied for the service.
        """
        if not _counts_at_all(code):
            return
        objective = self._objectives.get(service)
        if objective is None:
            raise ValueError(f'no objective for service {service!r}')
        late = lag_ms is not None and lag_ms > objective.lag_ms
        for ring in self._rings.setdefault(service, _rings()):
            bucket = ring.current(now)
            bucket.answers += 1
            if code is not _Code.OK:
                bucket.bad[code] += 1
            elif late:
                bucket.late += 1

    def forget(self, service: str) -> None:
        """Forgets a service that is deleted and has nothing to answer."""
        self._objectives.pop(service, None)
        self._rings.pop(service, None)

    def snapshot(self, now: float) -> _burn_counts.BurnSnapshot:
        """Returns what was counted and forgets services without answers."""
        services = []
        for service, rings in sorted(self._rings.items()):
            windows = tuple(ring.total(now) for ring in rings)
            if windows[-1].answers:
                objective = self._objectives[service]
                services.append(
                    _burn_counts.ServiceBurn(service, objective, windows)
                )
            else:
                # Services come and go over months; kept for ever, their
                # buckets would fill the memory of a long-lived VM.
                del self._rings[service]
        return _burn_counts.BurnSnapshot(tuple(services))


def merge(
    snapshots: collections.abc.Iterable[_burn_counts.BurnSnapshot],
) -> _burn_counts.BurnSnapshot:
    """Adds up the snapshots of several entry VMs.

    While a change of an objective is under way, VMs may differ for some
    seconds; the stricter one holds then.
    """
    found: dict[str, list[_burn_counts.ServiceBurn]] = collections.defaultdict(
        list
    )
    for snapshot in snapshots:
        for burn in snapshot.services:
            found[burn.service].append(burn)
    return _burn_counts.BurnSnapshot(
        tuple(_merge_service(burns) for _, burns in sorted(found.items()))
    )


def _merge_service(
    burns: list[_burn_counts.ServiceBurn],
) -> _burn_counts.ServiceBurn:
    objective = max(
        (burn.objective for burn in burns),
        key=lambda item: (item.target, -item.lag_ms),
    )
    windows = tuple(
        _merge_windows(
            window.name,
            [
                item
                for burn in burns
                for item in burn.windows
                if item.window == window.name
            ],
        )
        for window in _burn_counts.BURN_WINDOWS
    )
    return _burn_counts.ServiceBurn(burns[0].service, objective, windows)


def _merge_windows(
    name: str, windows: list[_burn_counts.WindowBurn]
) -> _burn_counts.WindowBurn:
    bad: collections.Counter[errors.ResultCode] = collections.Counter()
    for window in windows:
        for item in window.bad_by_code:
            bad[item.code] += item.count
    return _burn_counts.WindowBurn(
        window=name,
        answers=sum(window.answers for window in windows),
        late=sum(window.late for window in windows),
        bad_by_code=_counts(bad),
    )


def _counts(
    bad: collections.Counter[errors.ResultCode],
) -> tuple[_burn_counts.CodeCount, ...]:
    return tuple(
        _burn_counts.CodeCount(code, count)
        for code, count in sorted(bad.items())
    )


def _counts_at_all(code: errors.ResultCode) -> bool:
    # A caller who sends nonsense or changes its mind would otherwise use
    # up the budget of a service that did nothing wrong.
    return code not in _CALLER_CODES and code not in _OWN_CHOICE
