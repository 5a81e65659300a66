"""What a dispatcher holds at a moment, for operators."""

import collections
import enum

import attrs

from rosemaryroad.dispatching import _context
from rosemaryroad.dispatching import _holding
from rosemaryroad.dispatching import _state


class WorkerCondition(enum.Enum):
    """What keeps a worker from getting tasks, if anything does.

    Attributes:
        SOUND: Nothing but room.
        UNHEARD: It has not told yet what it runs.
        UNKNOWN: It has started again, and its entry doesn't tell yet as what.
        SILENT: It gives no answer.
        IN_DOUBT: It left a call unanswered and hasn't told of itself since.
        REFUSING: It refused a task for want of room and hasn't told of itself
            since.
        SUSPENDED: Its tasks failed.
        ON_TRIAL: Its tasks failed, and it has got one that shows whether it
            is sound again.
        CONTENDED: Another dispatcher may let what starts there lapse.
        LEAVING: It is about to go, or its entry has gone.
        DRAINED: Its failure domain is drained.
    """

    SOUND = 'sound'
    UNHEARD = 'unheard'
    UNKNOWN = 'unknown'
    SILENT = 'silent'
    IN_DOUBT = 'in_doubt'
    REFUSING = 'refusing'
    SUSPENDED = 'suspended'
    ON_TRIAL = 'on_trial'
    CONTENDED = 'contended'
    LEAVING = 'leaving'
    DRAINED = 'drained'


@attrs.define
class DispatcherLoad:
    """The jobs and the workers of a dispatcher, or of several.

    Attributes:
        jobs: Jobs that are not settled.
        unstarted: Those of which nothing has started.
        oldest_ms: How long the one that has waited longest has not started.
        workers_by_condition: How many workers there are of each.
    """

    jobs: int = 0
    unstarted: int = 0
    oldest_ms: float = 0.0
    workers_by_condition: collections.Counter[WorkerCondition] = attrs.field(
        factory=collections.Counter
    )

    def add(self, other: 'DispatcherLoad') -> None:
        """Adds what another dispatcher holds."""
        self.jobs += other.jobs
        self.unstarted += other.unstarted
        self.oldest_ms = max(self.oldest_ms, other.oldest_ms)
        self.workers_by_condition.update(other.workers_by_condition)


def measure(context: _context.Context, now: float) -> DispatcherLoad:
    """Returns what a dispatcher holds."""
    ages = [
        now - state.arrived
        for state in context.jobs_by_id.values()
        if not state.started
    ]
    conditions = collections.Counter(
        condition_of(context, worker, now)
        for worker in context.workers_by_id.values()
    )
    return DispatcherLoad(
        len(context.jobs_by_id), len(ages), max(ages, default=0.0), conditions
    )


def condition_of(
    context: _context.Context, worker: _state.WorkerState, now: float
) -> WorkerCondition:
    """Returns what keeps a worker from getting tasks."""
    if not worker.listed or worker.worker.leaving:
        return WorkerCondition.LEAVING
    if context.is_drained(worker):
        return WorkerCondition.DRAINED
    told = _condition_by_answers(worker)
    if told is not None:
        return told
    if worker.suspensions and now < worker.suspended_until:
        return WorkerCondition.SUSPENDED
    if worker.suspensions and worker.orders_by_key:
        return WorkerCondition.ON_TRIAL
    if not _holding.keeps_tasks(context, worker, now):
        return WorkerCondition.CONTENDED
    return WorkerCondition.SOUND


def _condition_by_answers(
    worker: _state.WorkerState,
) -> WorkerCondition | None:
    """Returns what is wrong with a worker's answers, if anything is."""
    if worker.silent_since is not None:
        return WorkerCondition.SILENT
    if not worker.reported:
        return WorkerCondition.UNHEARD
    if not worker.is_kind_known:
        return WorkerCondition.UNKNOWN
    if worker.unanswered_at is not None:
        return WorkerCondition.IN_DOUBT
    return WorkerCondition.REFUSING if worker.full else None


def describe_room(
    context: _context.Context, state: _state.JobState, now: float
) -> str:
    """Says what room there is for a job, for the line that refuses it."""
    workers = [
        worker
        for worker in context.workers_by_id.values()
        if worker.worker.service == state.job.service
    ]
    free = 0.0
    counts = collections.Counter()
    for worker in workers:
        condition = condition_of(context, worker, now)
        counts[condition] += 1
        if condition is WorkerCondition.SOUND:
            free = max(free, worker.free_cores)
    others = ''.join(
        f', {counts[condition]} {condition.value}'
        for condition in WorkerCondition
        if counts[condition] and condition is not WorkerCondition.SOUND
    )
    return (
        f'{state.job.needs.cores:g} cores wanted, at most {free:g} free, '
        f'{counts[WorkerCondition.SOUND]} of {len(workers)} workers sound'
        f'{others}'
    )
