"""The order in which waiting tasks of a service are started.

Within a team the job with the fewest tasks left goes first. Between teams
that have work waiting, starts are shared by weight.
"""

import collections.abc
import heapq
import itertools

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _arrivals
from rosemaryroad.decisions import _job
from rosemaryroad.decisions import _ranked

# A job is ranked as if it had arrived this much later for each task left.
# The value bounds how long small jobs that come later can overtake a large
# one: a job of 1,500 tasks is overtaken for at most 450 s, and no longer
# than its deadline allows. Much less would turn the order of a long queue
# into first come, first served, just when order matters most.
RANK_MS_PER_TASK = 300.0

# A job is started early enough that this many run times are left over
# before its deadline, if its place by tasks left would come later.
URGENT_MARGIN_RUNS = 3.0

# How many jobs that can't start now are looked past in one search.
SEARCH_LIMIT = 32


@attrs.define(eq=False)
class _TeamQueue:
    """One team's waiting jobs and its share so far.

    Attributes:
        weight: The team's share against others.
        virtual: Task starts divided by the weight.
        heap: Waiting jobs by rank; entries may be out of date.
        waiting: Tasks that wait.
        running: Tasks that are out.
        turn: The ``virtual`` under which it stands in the order of teams,
            or None where it does not.
    """

    weight: float = 1.0
    virtual: float = 0.0
    heap: list[_ranked.Entry] = attrs.field(factory=list)
    waiting: int = 0
    running: int = 0
    turn: float | None = None
    waiting_by_class: dict[int, int] = attrs.field(factory=dict)


class JobQueue:
    """Waiting jobs of one service, by team and rank.

    A task counts as waiting from ``push`` or ``put_back`` to ``take``, and
    as running from ``take`` to ``ended``.
    """

    rank_ms_per_task = RANK_MS_PER_TASK

    def __init__(self) -> None:
        self._by_team: dict[str, _TeamQueue] = {}
        # Teams by ``virtual``; entries may be out of date. Sorting all of
        # them for each start would cost more than the rest of it.
        self._turns: list[tuple[float, str]] = []
        self._limits: dict[str, int] = {}
        self._serials = itertools.count()
        self._virtual_floor = 0.0
        self._waiting = 0
        self._held = _ranked.HeldJobs()
        self._ms_per_task = 0.0
        self._margin_ms = 0.0

    @property
    def waiting(self) -> int:
        """Tasks that wait, of all teams."""
        return self._waiting

    def teams(self) -> tuple[str, ...]:
        """Teams that have ever had work here."""
        return tuple(self._by_team)

    def busy_teams(self) -> tuple[str, ...]:
        """Teams that have tasks waiting or out."""
        return tuple(
            name
            for name, queue in self._by_team.items()
            if queue.waiting or queue.running
        )

    def waiting_of(self, team: str) -> int:
        """Tasks of one team that wait."""
        queue = self._by_team.get(team)
        return queue.waiting if queue else 0

    def running_of(self, team: str) -> int:
        """Tasks of one team that are out."""
        queue = self._by_team.get(team)
        return queue.running if queue else 0

    def waiting_ahead(self, tasks: int, team: str) -> int:
        """Tasks of a team that wait in jobs no larger than this many."""
        queue = self._by_team.get(team)
        if queue is None:
            return 0
        mine = _arrivals.size_class(tasks)
        by_class = queue.waiting_by_class
        return sum(count for size, count in by_class.items() if size <= mine)

    def share_of(self, team: str, weight: float | None = None) -> float:
        """Returns the share of the starts that a team is sure of now.

        Args:
            team: The team; it may never have had work here.
            weight: Its weight, or None for the one that was set.
        """
        mine = self._by_team.get(team)
        if weight is None:
            weight = mine.weight if mine else _TeamQueue().weight
        others = sum(
            queue.weight
            for queue in self._by_team.values()
            if queue.waiting and queue is not mine
        )
        return weight / (weight + others)

    def set_pace(self, run_ms: float, window: int) -> None:
        """Tells how fast work goes, for ranking jobs with tight deadlines.

        Args:
            run_ms: The service's measured run time.
            window: Tasks that may be out at once.
        """
        self._ms_per_task = run_ms / max(1, window)
        self._margin_ms = URGENT_MARGIN_RUNS * run_ms

    def set_quota(self, team: str, weight: float, running: int) -> None:
        """Sets a team's weight and the tasks that it may have out."""
        self._team(team).weight = weight
        self._limits[team] = running

    def push(self, job: _job.Job) -> None:
        """Adds a job that has just been admitted."""
        team = self._team(job.team)
        if not team.waiting:
            # Without this a team that was idle for an hour would be owed
            # an hour of starts, and the others would see none until then.
            team.virtual = max(team.virtual, self._virtual_floor)
        team.waiting += len(job.waiting)
        self._enter(job.team, team)
        self._place(team, job)

    def put_back(self, job: _job.Job, index: int) -> None:
        """Makes a task wait again whose attempt certainly did not run."""
        team = self._team(job.team)
        job.waiting.appendleft(index)
        # What comes next may need something else now.
        job.held_for = None
        team.waiting += 1
        self._enter(job.team, team)
        self._place(team, job)

    def take(self, job: _job.Job) -> int:
        """Takes the next waiting task of a job and counts it as running."""
        team = self._team(job.team)
        index = job.waiting.popleft()
        team.waiting -= 1
        team.running += 1
        self._virtual_floor = max(self._virtual_floor, team.virtual)
        team.virtual += 1.0 / team.weight
        self._enter(job.team, team)
        self._recount(job)
        return index

    def ended(self, job: _job.Job) -> None:
        """Counts a running task as ended and ranks the job anew."""
        team = self._team(job.team)
        team.running -= 1
        if job.waiting and not job.settled:
            self._place(team, job)

    def remove(self, job: _job.Job) -> None:
        """Drops the waiting tasks of a job."""
        team = self._team(job.team)
        team.waiting -= len(job.waiting)
        job.waiting.clear()
        self._recount(job)

    def rank(self, job: _job.Job) -> float:
        """Returns a job's place among its team's, the lowest first.

        It does not change with time, so that the order need not be sorted
        anew: ageing comes from the arrival time in it.
        """
        left = job.tasks_left
        by_size = job.arrived + self.rank_ms_per_task * left
        latest = job.deadline - self._margin_ms - self._ms_per_task * left
        return min(by_size, latest)

    def hold(self, job: _job.Job, needs: model.Needs) -> None:
        """Sets a job aside until ``release`` finds room for its next task.

        Args:
            job: A waiting job.
            needs: What its next task needs.
        """
        job.held_for = needs
        self._place(self._team(job.team), job)

    def release(
        self, may_start: collections.abc.Callable[[model.Needs], bool]
    ) -> bool:
        """Puts jobs back into the order for which there is room now.

        Args:
            may_start: Tells whether a task with these needs may start.

        Returns:
            Whether there were any.
        """
        released = self._held.release(may_start)
        for entry in released:
            entry.job.held_for = None
            heapq.heappush(self._team(entry.job.team).heap, entry)
        return bool(released)

    def candidates(self) -> collections.abc.Iterator[_job.Job]:
        """Yields waiting jobs, the one that should start next first.

        A job that is yielded and not taken is passed over, so that a task
        whose needs fit no free endpoint doesn't block those behind it.
        One that is put on hold meanwhile does not count as passed over.
        Teams at their limit of running tasks are left out.
        """
        seen: set[str] = set()
        try:
            while self._turns:
                virtual, name = heapq.heappop(self._turns)
                team = self._by_team[name]
                if team.turn != virtual:
                    continue
                team.turn = None
                if name in seen or not team.waiting:
                    continue
                seen.add(name)
                if self._may_run(name, team):
                    yield from self._in_order(team)
        finally:
            for name in seen:
                self._enter(name, self._by_team[name])

    def may_start(self, team: str) -> bool:
        """Tells whether a team is below its limit of running tasks."""
        return self._may_run(team, self._team(team))

    def _enter(self, name: str, team: _TeamQueue) -> None:
        if team.waiting and team.turn != team.virtual:
            team.turn = team.virtual
            heapq.heappush(self._turns, (team.virtual, name))

    def _may_run(self, name: str, queue: _TeamQueue) -> bool:
        limit = self._limits.get(name)
        return limit is None or queue.running < limit

    def _in_order(
        self, team: _TeamQueue
    ) -> collections.abc.Iterator[_job.Job]:
        passed: list[_ranked.Entry] = []
        seen: set[int] = set()
        try:
            while team.heap and len(passed) < SEARCH_LIMIT:
                entry = heapq.heappop(team.heap)
                job = entry.job
                if self._is_stale(entry) or id(job) in seen:
                    continue
                seen.add(id(job))
                passed.append(entry)
                yield job
                if job.held_for is not None:
                    passed.pop()
        finally:
            for entry in passed:
                if not self._is_stale(entry):
                    heapq.heappush(team.heap, entry)

    @staticmethod
    def _is_stale(entry: _ranked.Entry) -> bool:
        return entry.is_stale or entry.job.held_for is not None

    def _place(self, team: _TeamQueue, job: _job.Job) -> None:
        entry = _ranked.Entry(
            self.rank(job), next(self._serials), job.tasks_left, job
        )
        if job.held_for is None:
            heapq.heappush(team.heap, entry)
        else:
            self._held.hold(job.team, entry)
        self._recount(job)

    def _recount(self, job: _job.Job) -> None:
        by_class = self._team(job.team).waiting_by_class
        if job.counted_tasks:
            by_class[job.counted_class] -= job.counted_tasks
        self._waiting += len(job.waiting) - job.counted_tasks
        job.counted_class = _arrivals.size_class(job.tasks_left)
        job.counted_tasks = len(job.waiting)
        counted = by_class.get(job.counted_class, 0)
        by_class[job.counted_class] = counted + job.counted_tasks

    def _team(self, name: str) -> _TeamQueue:
        return self._by_team.setdefault(name, _TeamQueue())
