"""Who has had more than a fair share of scarce room.

Each key (a queue, a failure domain or a rack) has an account: work that is
started for it adds to the account, which drains at the key's share of the
cores. A key whose account is too far ahead of its share waits behind the
others.
"""

import collections.abc
import math
import operator

import attrs

from rosemaryroad import _fair_division
from rosemaryroad.dispatching import _scheduling
from rosemaryroad.dispatching import _state

# Over which time demand is averaged, with exponential decay.
_DEMAND_MS = 1_000.0

# Over which time of scarcity the yield of the cores is averaged; a shorter
# average follows each long job. A yield of 1 counts beside it for as long as
# from one refresh to the next, so that the first one isn't taken for sure.
_YIELD_MS = 3_000.0
_PRIOR_MS = 30.0

# The part of the cores' yield that is divided among the keys. If all of it
# were, a bursting key's account would stay close to its bound, and many of its
# jobs would be ordered among the others'.
_DIVIDED_SHARE = 0.8

# An account is kept below this many times its bound. What a key has had beyond
# that was room that nobody else wanted; charged in full, a burst of a minute
# would hold the key back for a minute after it.
_MOST_BURSTS = 2.0

# A key that demands less than this many cores, and whose account is empty,
# is forgotten.
_LEAST_DEMAND = 0.01

NAME_BY_KEY: dict[_scheduling.SharingKey, operator.attrgetter] = {
    _scheduling.SharingKey.QUEUE: operator.attrgetter('job.queue'),
    _scheduling.SharingKey.FAILURE_DOMAIN: operator.attrgetter('home_domain'),
    _scheduling.SharingKey.RACK: operator.attrgetter('job.rack'),
}


@attrs.frozen
class KeyShare:
    """What one key has of the cores, for operators.

    Attributes:
        name: The queue, failure domain or rack; '' for jobs that name none.
        weight: Its weight.
        share: The part of the cores, from 0 to 1, that it may use while the
            others' demand stays as it is. What a key doesn't use counts in
            the others' shares too, so the shares may add up to more than 1.
        demand: The cores that its arriving work would keep busy.
        ahead_ms: How far its account is ahead of its share.
        is_over: Whether its jobs come after those of other keys.
    """

    name: str
    weight: float
    share: float
    demand: float
    ahead_ms: float
    is_over: bool


@attrs.define
class _Account:
    """What one key demands and has had.

    Attributes:
        demand: The cores that its arriving work would keep busy.
        started: The work that was started for it and hasn't drained, in
            core-ms.
        rate: The cores at which ``started`` drains.
    """

    demand: float = 0.0
    started: float = 0.0
    rate: float = 0.0

    @property
    def ahead_ms(self) -> float:
        """How far the started work is ahead of the share."""
        return self.started / self.rate if self.rate else 0.0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is known of the key that matters."""
        return not self.started and self.demand < _LEAST_DEMAND


@attrs.define
class _Yield:
    """Which part of the cores' time becomes work while work waits.

    Room that no task fits into, workers that are slow or get no work, and run
    times that are estimated too low all lessen it. Where all the cores' time
    is divided, keys are promised more room than there is, and none is ever
    over its share.

    Attributes:
        work: The work that was started during scarcity, in core-ms.
        room: The cores' time during it, in core-ms.
    """

    work: float = 0.0
    room: float = 0.0

    def learn(self, work: float, room: float, passed_ms: float) -> None:
        """Takes in what was started while work waited all the time."""
        fading = math.exp(-passed_ms / _YIELD_MS)
        self.work = self.work * fading + work
        self.room = self.room * fading + room

    def share(self, cores: float) -> float:
        """Returns the part of the cores' time that becomes work."""
        prior = _PRIOR_MS * cores
        room = self.room + prior
        return (self.work + prior) / room if room else 1.0


class Shares:
    """Keeps an account of the work that was started for each key.

    Args:
        policy: Between whom cores are shared, and how.

    Attributes:
        policy: The same; one that is set later applies from the next
            refresh.
    """

    def __init__(self, policy: _scheduling.SharingPolicy) -> None:
        self.policy = policy
        self._by_name: dict[str, _Account] = {}
        self._over: frozenset[str] = frozenset()
        self._refreshed_at: float | None = None
        self._cores = 0.0
        self._divided = 0.0
        self._placed_work = 0.0
        self._was_scarce = False
        self._yield = _Yield()

    @property
    def is_on(self) -> bool:
        """Whether cores are shared at all."""
        return self.policy.key is not _scheduling.SharingKey.NONE

    def job_arrived(self, state: _state.JobState, now: float) -> None:
        """Takes in what a job that has just come demands."""
        if self.is_on:
            work = state.left * state.job.needs.cores * state.expected_ms
            self._account(state).demand += work / _DEMAND_MS

    def task_placed(
        self, state: _state.JobState, expected_ms: float, now: float
    ) -> None:
        """Takes in that room is taken for a task."""
        if self.is_on:
            work = state.job.needs.cores * expected_ms
            self._account(state).started += work
            self._placed_work += work

    def refresh(self, now: float, cores: float, is_scarce: bool) -> None:
        """Drains the accounts and divides the cores anew.

        Args:
            now: The present time.
            cores: What all workers have together.
            is_scarce: Whether tasks wait that find no room.
        """
        if not self.is_on:
            return
        since = now if self._refreshed_at is None else self._refreshed_at
        self._refreshed_at = now
        passed_ms = max(0.0, now - since)
        self._drain(passed_ms)
        if is_scarce and self._was_scarce:
            # Otherwise some room stood empty because nothing waited.
            room = self._cores * passed_ms
            self._yield.learn(self._placed_work, room, passed_ms)
        self._placed_work = 0.0
        self._was_scarce = is_scarce
        self._cores = cores
        self._divided = _DIVIDED_SHARE * cores * self._yield.share(cores)
        self._divide()
        self._over = frozenset(self._find_over())

    def is_over(self, state: _state.JobState) -> bool:
        """Tells whether a job's key had more than its share lately."""
        return bool(self._over) and self._name_of(state) in self._over

    def rows(self) -> tuple[KeyShare, ...]:
        """Returns what each key has, as of the last refresh, by name."""
        return tuple(
            KeyShare(
                name,
                self._weight(name),
                account.rate / self._divided if self._divided else 0.0,
                account.demand,
                account.ahead_ms,
                name in self._over,
            )
            for name, account in sorted(self._by_name.items())
        )

    def _drain(self, passed_ms: float) -> None:
        fading = math.exp(-passed_ms / _DEMAND_MS)
        for name, account in list(self._by_name.items()):
            account.demand *= fading
            drained = account.rate * passed_ms
            account.started = max(0.0, account.started - drained)
            if account.is_idle:
                del self._by_name[name]

    def _divide(self) -> None:
        if not self._by_name:
            return
        weights = [self._weight(name) for name in self._by_name]
        demands = [account.demand for account in self._by_name.values()]
        level = _fair_division.level(self._divided, demands, weights)
        met = sum(
            min(demand, weight * level)
            for demand, weight in zip(demands, weights, strict=True)
        )
        level += max(0.0, self._divided - met) / sum(weights)
        # A key that demands less than its part isn't held to its demand. The
        # demand follows a change within a second only, and each key would be
        # over its share when it asks for more than it lately did.
        for account, weight in zip(
            self._by_name.values(), weights, strict=True
        ):
            account.rate = weight * level

    def _find_over(self) -> collections.abc.Iterator[str]:
        for name, account in self._by_name.items():
            bound = self.policy.burst_ms * account.rate
            if account.started > bound:
                yield name
                if bound:
                    most = _MOST_BURSTS * bound
                    account.started = min(account.started, most)

    def _account(self, state: _state.JobState) -> _Account:
        return self._by_name.setdefault(self._name_of(state), _Account())

    def _name_of(self, state: _state.JobState) -> str:
        return NAME_BY_KEY[self.policy.key](state)

    def _weight(self, name: str) -> float:
        return self.policy.weights.get(name, 1.0)
