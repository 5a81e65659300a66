"""How likely a waiting job is to start in time, and when the queue drains.

At a time ahead, the cores that running attempts are expected to have left are
compared with the cores that the work ahead of a job is expected to hold then.
Work ahead that is over by then holds nothing any more: a task of run time
``m`` that starts at some moment before ``t`` still runs at ``t`` with the
probability ``m / t``. Over a long time this compares work in core-ms: how
many short tasks end within some hundred milliseconds tells little about
capacity.
"""

import bisect
import collections
import collections.abc
import math

import attrs

from rosemaryroad.dispatching import _run_times
from rosemaryroad.dispatching import _state

# Arrivals are counted over this time, and a new dispatcher waits as long.
WINDOW_MS = 500.0

# Times ahead are rounded to powers of this, so that many jobs share what is
# computed for one time.
_GRID_RATIO = 1.2

# The same for the cores of a task.
_SIZE_RATIO = 1.2

# An attempt that has run for longer than this many deviations says nothing
# more about its end, and its remaining probability can't be divided by.
_MOST_DEVIATIONS = 3.0

# The smallest variance, in squares of cores, against a division by 0.
_LEAST_VARIANCE = 1.0

_ROOT_HALF = math.sqrt(0.5)
_PER_STEP = 1 / math.log(_GRID_RATIO)
_PER_SIZE = 1 / math.log(_SIZE_RATIO)

_STOPPING = (_state.OrderPhase.STOPPING, _state.OrderPhase.STOPPED)


@attrs.frozen
class Chance:
    """The probability that a job starts in time, and what it follows from.

    Attributes:
        probability: The probability.
        cores_ahead: What the work ahead and one task of the job need.
        cores_expected: What is expected to be free for them.
        within_ms: Within how long.
    """

    probability: float
    cores_ahead: float
    cores_expected: float
    within_ms: float


@attrs.frozen
class _Sum:
    """The mean and the variance of a sum of independent parts."""

    mean: float = 0.0
    variance: float = 0.0

    def plus(self, other: '_Sum') -> '_Sum':
        return _Sum(self.mean + other.mean, self.variance + other.variance)

    def times(self, share: float) -> '_Sum':
        return _Sum(self.mean * share, self.variance * share * share)


@attrs.define
class _Prefix:
    """What the first jobs in order hold at a time, by their number.

    Attributes:
        means: The expected cores.
        variances: The variances of these.
        refused: What is to be left out, since it waits no longer.
    """

    means: list[float]
    variances: list[float]
    refused: _Sum


@attrs.frozen
class _Work:
    """The waiting tasks of a job.

    Attributes:
        cores: What they need together.
        size: The size of each.
        expected_ms: How long they are expected to run.
        doubt: The variance of that, as a share of its square.
    """

    cores: float
    size: int
    expected_ms: float
    doubt: float


@attrs.define
class _Running:
    """An attempt that runs.

    Attributes:
        cores: What it takes.
        room: What is free at its worker once it has ended.
        expected_ms: How long it is expected to run.
        ran_ms: How long it has run.
        spread: The deviation of the logarithm of its run time.
    """

    cores: float
    room: float
    expected_ms: float
    ran_ms: float
    spread: float
    _outlasts_now: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        longest = self.expected_ms * math.exp(_MOST_DEVIATIONS * self.spread)
        self.ran_ms = min(self.ran_ms, longest)
        self._outlasts_now = self._outlasts(self.ran_ms)

    def ended_within(self, ms: float) -> float:
        """Returns the probability that it has ended after so many ms."""
        return 1.0 - self._outlasts(self.ran_ms + ms) / self._outlasts_now

    def _outlasts(self, ms: float) -> float:
        if ms <= 0:
            return 1.0
        off = math.log(ms / self.expected_ms) / self.spread
        return 0.5 * math.erfc(off * _ROOT_HALF)


@attrs.frozen
class _Arrival:
    """A job that has come.

    Attributes:
        at: When its client sent it.
        service: Its service.
        queue: Its queue.
        tasks: How many tasks it has.
        cores: What these need together.
        expected_ms: How long they are expected to run.
        objective_ms: Within how long its answer is in time.
    """

    at: float
    service: str
    queue: str
    tasks: int
    cores: float
    expected_ms: float
    objective_ms: float


@attrs.define
class _Flow:
    """The jobs of a queue that have come within the window.

    Attributes:
        jobs: How many.
        cores: Their cores.
        squares: The squares of these, added up.
        expected_ms: What their tasks run, added up.
        objective_ms: Their objectives, added up.
        tasks: Their tasks.
    """

    jobs: int = 0
    cores: float = 0.0
    squares: float = 0.0
    expected_ms: float = 0.0
    objective_ms: float = 0.0
    tasks: int = 0

    @property
    def size(self) -> int:
        """The size of an average task of theirs."""
        return _size(self.cores / self.tasks)

    def add(self, arrival: _Arrival) -> None:
        """Counts a job."""
        self.jobs += 1
        self.cores += arrival.cores
        self.squares += arrival.cores * arrival.cores
        self.expected_ms += arrival.expected_ms
        self.objective_ms += arrival.objective_ms
        self.tasks += arrival.tasks

    def held(self, ms: float, due_ms: float) -> _Sum:
        """Returns what such jobs hold at a time, if they go on coming.

        Args:
            ms: The time ahead.
            due_ms: Only those count that are due earlier than this.
        """
        until = min(ms, due_ms - self.objective_ms / self.jobs)
        since = max(0.0, ms - self.expected_ms / self.jobs)
        share = max(0.0, until - since) / WINDOW_MS
        # The second part is that the window shows the rate inexactly.
        return _Sum(share * self.cores, share * (1 + share) * self.squares)


class Outlook:
    """What is foreseen for one service at one moment.

    Args:
        now: The moment.
        workers: The workers whose tasks end as expected.
        waiting: The waiting jobs, in order.
        arrivals: The jobs that have come within the window.
        run_times: What tasks take.
        remote_factor: How many times as long a task takes away from the
            rack where its data is.
    """

    def __init__(
        self,
        now: float,
        workers: collections.abc.Sequence[_state.WorkerState],
        waiting: collections.abc.Sequence[_state.JobState],
        arrivals: collections.abc.Iterable[_Arrival],
        run_times: _run_times.RunTimes,
        remote_factor: float,
    ) -> None:
        self._now = now
        self._remote_factor = remote_factor
        self._run_times = run_times
        self._work = [self._make_work(state) for state in waiting]
        self._job_ids = {state.job.id for state in waiting}
        self._ranks = [state.rank for state in waiting]
        self._running: list[_Running] = []
        # Cores in one piece that are free, or will be as soon as stops have
        # been carried out.
        self._free: list[float] = []
        for worker in workers:
            self._add_worker(worker)
        self._flow_by_queue: dict[str, _Flow] = {}
        for arrival in arrivals:
            flow = self._flow_by_queue.setdefault(arrival.queue, _Flow())
            flow.add(arrival)
        in_time = [
            index
            for index, state in enumerate(waiting)
            if state.lateness is _state.Lateness.IN_TIME
        ]
        self._late_from = in_time[-1] + 1 if in_time else 0
        self._late_keys = [
            _late_key(state) for state in waiting[self._late_from :]
        ]
        self._fit_by_size: dict[int, float] = {}
        self._ended_by_step: dict[int, _Sum] = {}
        self._demand_by_step_and_size: dict[tuple[int, int], _Prefix] = {}
        self._refused: list[_Work] = []

    def chance(self, state: _state.JobState, timeout_ms: float) -> Chance:
        """Returns how likely a job is to start within a time."""
        place = bisect.bisect_left(self._ranks, state.rank)
        in_time_ms = state.due - state.expected_ms - self._now
        if state.lateness is not _state.Lateness.IN_TIME:
            due_ms = math.inf
            if place < self._late_from:
                due_ms = state.of_use_until - self._now
            return self._compare(state, timeout_ms, place, due_ms)
        due_ms = state.due - self._now
        within_ms = min(timeout_ms, in_time_ms)
        in_time = self._compare(state, within_ms, place, due_ms)
        if timeout_ms <= in_time_ms:
            return in_time
        place = self._late_from + bisect.bisect_left(
            self._late_keys, _late_key(state)
        )
        late = self._compare(
            state, timeout_ms, place, math.inf, state.job.id in self._job_ids
        )
        return max(in_time, late, key=lambda chance: chance.probability)

    def drained_ms(self, least_ms: float, most_ms: float) -> float:
        """Returns in how long all that waits is expected to have started.

        Args:
            least_ms: The shortest time that is of interest.
            most_ms: The longest one.
        """
        steps = range(_step(least_ms), _step(most_ms))
        step = bisect.bisect_left(steps, True, key=self._is_drained)
        ms = _GRID_RATIO ** (steps.start + step)
        return min(most_ms, max(least_ms, ms))

    def refused(self, state: _state.JobState) -> None:
        """Leaves out a job that waits no longer.

        After this, chances are right only for jobs behind it in the order.
        """
        work = self._make_work(state)
        self._refused.append(work)
        for (step, size), demand in self._demand_by_step_and_size.items():
            demand.refused = demand.refused.plus(self._held(work, step, size))

    def _is_drained(self, step: int) -> bool:
        size = max((work.size for work in self._work), default=0)
        demand = self._demand(len(self._work), step, size)
        demand = demand.plus(self._held_by_arrivals(step, size, math.inf))
        return self._supply(step, size).mean >= demand.mean

    def _compare(
        self,
        state: _state.JobState,
        ms: float,
        place: int,
        due_ms: float,
        is_counted: bool = False,
    ) -> Chance:
        cores = state.job.needs.cores
        step, size = _step(ms), _size(cores)
        supply = self._supply(step, size)
        waiting = self._demand(place, step, size)
        # A job that has begun is not refused, so that one task is enough.
        waiting = waiting.plus(_Sum(cores))
        if is_counted:
            # It waits before its place itself, as long as it is in time.
            own = self._held(self._make_work(state), step, size)
            waiting = waiting.plus(own.times(-1.0))
        whole = waiting.plus(self._held_by_arrivals(step, size, due_ms))
        # The normal distribution of few arrivals includes negative demand,
        # which would make a start seem likelier than without arrivals.
        probability = min(
            _probability(supply, waiting), _probability(supply, whole)
        )
        return Chance(probability, whole.mean, supply.mean, _GRID_RATIO**step)

    def _supply(self, step: int, size: int) -> _Sum:
        """Returns the cores that come free by a time.

        What is free already counts in pieces of at least a size.
        """
        ended = self._ended_by_step.get(step)
        if ended is None:
            ended = self._ended_by_step[step] = self._ended_cores(step)
        cores = _SIZE_RATIO**size
        free = sum(item for item in self._free if item >= cores)
        return _Sum(free + ended.mean, ended.variance)

    def _ended_cores(self, step: int) -> _Sum:
        ms = _GRID_RATIO**step
        mean = variance = 0.0
        for attempt in self._running:
            ended = attempt.ended_within(ms)
            mean += attempt.cores * ended
            variance += attempt.cores**2 * ended * (1 - ended)
        return _Sum(mean, variance)

    def _demand(self, place: int, step: int, size: int) -> _Sum:
        """Returns what the jobs before a place in the order hold."""
        known = self._demand_by_step_and_size.get((step, size))
        if known is None:
            known = self._make_prefix(step, size)
            self._demand_by_step_and_size[step, size] = known
        return _Sum(
            known.means[place] - known.refused.mean,
            known.variances[place] - known.refused.variance,
        )

    def _held_by_arrivals(self, step: int, size: int, due_ms: float) -> _Sum:
        whole = _Sum()
        for flow in self._flow_by_queue.values():
            held = flow.held(_GRID_RATIO**step, due_ms)
            whole = whole.plus(held.times(self._blocking(flow.size, size)))
        return whole

    def _make_prefix(self, step: int, size: int) -> _Prefix:
        blocking_by_size = {
            work.size: self._blocking(work.size, size) for work in self._work
        }
        ms = _GRID_RATIO**step
        mean = variance = 0.0
        prefix = _Prefix([mean], [variance], self._held_by_refused(step, size))
        for work in self._work:
            cores = work.cores * blocking_by_size[work.size]
            if work.expected_ms < ms:
                cores *= work.expected_ms / ms
                variance += cores * cores * work.doubt
            mean += cores
            prefix.means.append(mean)
            prefix.variances.append(variance)
        return prefix

    def _held_by_refused(self, step: int, size: int) -> _Sum:
        held = _Sum()
        for work in self._refused:
            held = held.plus(self._held(work, step, size))
        return held

    def _held(self, work: _Work, step: int, size: int) -> _Sum:
        """Returns what a waiting job holds at a time, once it has begun.

        Args:
            work: Its tasks.
            step: The time.
            size: Of which tasks it holds up the start.
        """
        cores = work.cores * self._blocking(work.size, size)
        share = work.expected_ms / _GRID_RATIO**step
        if share >= 1.0:
            return _Sum(cores)
        cores *= share
        return _Sum(cores, cores * cores * work.doubt)

    def _make_work(self, state: _state.JobState) -> _Work:
        needed = state.job.needs.cores
        spread = self._run_times.spread(state.job.queue)
        return _Work(
            state.waiting * needed,
            _size(needed),
            state.expected_ms,
            math.expm1(spread * spread),
        )

    def _blocking(self, size: int, other: int) -> float:
        """Returns how often a task takes room that another one could use.

        A task that is too large for most pieces of room lets smaller ones
        go ahead, whatever the order.
        """
        if size <= other:
            return 1.0
        return self._fit(size) / self._fit(other)

    def _fit(self, size: int) -> float:
        """Returns which part of the room comes free in large pieces."""
        known = self._fit_by_size.get(size)
        if known is None:
            cores = _SIZE_RATIO**size
            fitting = sum(item.room >= cores for item in self._running)
            # A part is never 0, so that parts can be compared.
            known = (fitting + 1) / (len(self._running) + 1)
            self._fit_by_size[size] = known
        return known

    def _add_worker(self, worker: _state.WorkerState) -> None:
        slowness = self._run_times.slowness(worker.worker.id)
        free = worker.free_cores
        for order in worker.orders_by_key.values():
            state = order.job
            if order.phase in _STOPPING:
                free += order.needs.cores
            elif state is not None:
                expected_ms = state.expected_ms * slowness
                rack = state.job.rack
                if rack and rack not in worker.worker.labels:
                    expected_ms *= self._remote_factor
                self._running.append(
                    _Running(
                        order.needs.cores,
                        worker.free_cores + order.needs.cores,
                        expected_ms,
                        self._now - order.at,
                        self._run_times.spread(state.job.queue),
                    )
                )
        self._free.append(free)


class Forecast:
    """Keeps what the outlooks are made from.

    Args:
        is_enabled: Whether anything asks for a forecast.
    """

    def __init__(self, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._arrivals: collections.deque[_Arrival] = collections.deque()
        self._known_from: float | None = None
        self._outlook_by_service: dict[str, Outlook] = {}

    def job_arrived(self, state: _state.JobState, now: float) -> None:
        """Takes in the work of a job that has just come."""
        if not self._is_enabled or now - state.arrived > WINDOW_MS:
            return
        if not state.left:
            return
        job = state.job
        self._arrivals.append(
            _Arrival(
                state.arrived,
                job.service,
                job.queue,
                state.left,
                state.left * job.needs.cores,
                state.expected_ms,
                state.due - state.arrived,
            )
        )

    def heard(self, workers: int, listed: int, now: float) -> None:
        """Takes in how many of the listed workers can be heard."""
        if 2 * workers <= listed:
            self._known_from = None
        elif self._known_from is None:
            self._known_from = now + WINDOW_MS

    def is_known(self, now: float) -> bool:
        """Tells whether enough has been seen for a forecast."""
        return self._known_from is not None and now >= self._known_from

    def forget_outlooks(self) -> None:
        """Has the next outlooks made anew."""
        self._outlook_by_service.clear()

    def outlook(self, service: str) -> Outlook | None:
        """Returns the outlook made for a service, if there is one."""
        return self._outlook_by_service.get(service)

    def make_outlook(
        self,
        service: str,
        workers: collections.abc.Sequence[_state.WorkerState],
        waiting: collections.abc.Sequence[_state.JobState],
        run_times: _run_times.RunTimes,
        remote_factor: float,
        now: float,
    ) -> Outlook:
        """Makes and keeps the outlook of a service."""
        self._arrivals = collections.deque(
            arrival
            for arrival in self._arrivals
            if now - arrival.at <= WINDOW_MS
        )
        arrivals = [
            arrival for arrival in self._arrivals if arrival.service == service
        ]
        outlook = Outlook(
            now, workers, waiting, arrivals, run_times, remote_factor
        )
        self._outlook_by_service[service] = outlook
        return outlook


def _probability(supply: _Sum, demand: _Sum) -> float:
    """Returns how likely it is that what is free is enough at some moment.

    By the reflection principle, this is twice as likely as that it is enough
    at the end: a sum that has got so far falls back as often as not.
    """
    variance = max(_LEAST_VARIANCE, supply.variance + demand.variance)
    off = (demand.mean - supply.mean) / math.sqrt(variance)
    return min(1.0, math.erfc(off * _ROOT_HALF))


def _step(ms: float) -> int:
    return round(math.log(max(1.0, ms)) * _PER_STEP)


def _size(cores: float) -> int:
    # Rounded down, a task may seem to fit where it doesn't, and waits.
    return math.floor(math.log(max(1.0, cores)) * _PER_SIZE)


def _late_key(state: _state.JobState) -> tuple[bool, bool, float]:
    """Returns the order among jobs that have missed their objective."""
    is_too_late = state.lateness is _state.Lateness.TOO_LATE
    return is_too_late, not state.started, state.left * state.expected_ms
