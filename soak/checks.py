"""What must hold, judged by what callers and workers have seen."""

import collections
import collections.abc

import attrs

from soak import clients as clients_module
from soak import kept_clients
from soak import plan
from soak import world as world_module
from tests.standins import job_minion

# A connection that a leaving daemon cuts counts where nothing else went
# wrong from so long before its signal on.
_CALM_S = 4.0

_MS_PER_SECOND = 1000.0


@attrs.frozen
class Broken:
    """A promise that was broken.

    Attributes:
        promise: Which one.
        what: By what.
    """

    promise: str
    what: str


_Found = collections.abc.Iterator[Broken]


def judge(
    world: world_module.World,
    asked: collections.abc.Sequence[clients_module.Asked],
    requests: collections.abc.Iterable[kept_clients.Request],
    faults: collections.abc.Sequence[plan.Fault],
    began: float,
) -> list[Broken]:
    """Returns all promises that were broken.

    Args:
        world: What was played.
        asked: The jobs as their clients know them.
        requests: What was sent on kept connections.
        faults: The faults.
        began: When the first could come, by the steady clock.
    """
    runs_by_task = collections.defaultdict(list)
    for worker in (*world.workers, *world.gone):
        for run in worker.runs:
            runs_by_task[run.task].append(run)
    runs_by_job = collections.defaultdict(list)
    for task, runs in runs_by_task.items():
        runs_by_job[task.partition('.')[0]] += runs
    return [
        *_never_twice_at_a_time(runs_by_task),
        *_whole_answers(asked, runs_by_task),
        *_true_refusals(asked, runs_by_job),
        *_nothing_unasked(asked, runs_by_job),
        *_no_ends_of_their_own(world),
        *_no_internal_faults(world),
        *_leaves_without_harm(world, asked, faults, began),
        *_answers_on_open_connections(world, requests),
    ]


def _never_twice_at_a_time(
    runs_by_task: collections.abc.Mapping[str, list[job_minion.Run]],
) -> _Found:
    for task, runs in runs_by_task.items():
        runs = sorted(runs, key=lambda run: run.began)
        for one, other in zip(runs, runs[1:], strict=False):
            if one.ended is None or one.ended > other.began:
                yield Broken(
                    'no task runs twice at a time',
                    f'{task}: attempts {one.attempt} and {other.attempt}',
                )


def _whole_answers(
    asked: collections.abc.Iterable[clients_module.Asked],
    runs_by_task: collections.abc.Mapping[str, list[job_minion.Run]],
) -> _Found:
    for item in asked:
        if not item.is_completed:
            continue
        for index in range(item.tasks):
            task = f'{item.job}.0.0.{index}'
            runs = runs_by_task.get(task, [])
            if not any(run.end == 'done' for run in runs):
                yield Broken('a completed job is whole', task)


def _true_refusals(
    asked: collections.abc.Iterable[clients_module.Asked],
    runs_by_job: collections.abc.Mapping[str, list[job_minion.Run]],
) -> _Found:
    for item in asked:
        if item.is_refused and item.job in runs_by_job:
            yield Broken('what was refused has not run', item.job)


def _nothing_unasked(
    asked: collections.abc.Iterable[clients_module.Asked],
    runs_by_job: collections.abc.Mapping[str, list[job_minion.Run]],
) -> _Found:
    known = {item.job for item in asked}
    for job in runs_by_job:
        if job not in known:
            yield Broken('only what was asked for runs', job)


def _no_ends_of_their_own(world: world_module.World) -> _Found:
    for daemon in world.daemons:
        for ended in daemon.ended:
            if ended.told is None:
                yield Broken(
                    'no daemon ends by itself',
                    f'entry-{daemon.number}: exit code {ended.code}',
                )


def _no_internal_faults(world: world_module.World) -> _Found:
    for daemon in world.daemons:
        for line in daemon.all_lines():
            if 'level=error' in line or 'Traceback' in line:
                yield Broken('no internal fault', line[:300])


def _leaves_without_harm(
    world: world_module.World,
    asked: collections.abc.Iterable[clients_module.Asked],
    faults: collections.abc.Sequence[plan.Fault],
    began: float,
) -> _Found:
    tries = [item for one in asked for item in one.tries]
    for daemon in world.daemons:
        for ended in daemon.ended:
            if ended.told is None or ended.code < 0:
                continue
            if not _is_calm(faults, ended.told_at - began, ended.at - began):
                continue
            cut = [
                item
                for item in tries
                if item.daemon == daemon.number
                and item.is_broken
                and item.began < ended.at <= item.ended + 0.1
            ]
            if cut:
                yield Broken(
                    'a daemon leaves without harm',
                    f'entry-{daemon.number}: {len(cut)} connections cut, '
                    f'the first {ended.at - cut[0].began:.3f} s old',
                )


def _answers_on_open_connections(
    world: world_module.World,
    requests: collections.abc.Iterable[kept_clients.Request],
) -> _Found:
    dropped = collections.defaultdict(list)
    for request in requests:
        if not request.is_answered:
            dropped[request.daemon, request.process].append(request)
    for (number, process), lost in dropped.items():
        ended = world.daemons[number].ended[process : process + 1]
        if any(item.code < 0 for item in ended):
            # It was killed.
            continue
        yield Broken(
            'a request on an open connection is answered',
            f'entry-{number}, process {process}: {len(lost)} without an '
            f'answer, sent {_describe(lost, ended)}',
        )


def _describe(
    lost: collections.abc.Iterable[kept_clients.Request],
    ended: collections.abc.Sequence[world_module.Ended],
) -> str:
    if not ended:
        return f'to one that still runs: {[item.outcome for item in lost]}'
    before_ms = [
        round((ended[0].at - item.sent_at) * _MS_PER_SECOND) for item in lost
    ]
    return f'{before_ms} ms before its end'


def _is_calm(
    faults: collections.abc.Sequence[plan.Fault], told_s: float, ended_s: float
) -> bool:
    """Tells whether nothing but one leave went on around a time."""
    near = [
        fault
        for fault in faults
        if fault.at_s < ended_s and fault.ends_s + _CALM_S > told_s
    ]
    return len(near) == 1 and near[0].kind is plan.Kind.LEAVE


def nothing_runs(world: world_module.World) -> list[Broken]:
    """Returns what still runs though nobody waits for it."""
    return [
        Broken('what nobody waits for is stopped', f'{run.task} {run.attempt}')
        for worker in world.workers
        for run in worker.running()
    ]


def all_work(world: world_module.World, since: float) -> list[Broken]:
    """Returns the workers that got none of more tasks than all have room for.

    Args:
        world: What was played.
        since: When these were handed in, by the steady clock.
    """
    return [
        Broken('every worker is given tasks again', worker.id)
        for worker in world.workers
        if not any(run.began >= since for run in worker.runs)
    ]


def served(
    asked: collections.abc.Iterable[clients_module.Asked],
) -> list[Broken]:
    """Returns the jobs of the calm after the faults that weren't served."""
    return [
        Broken(
            'all are served again once the faults are over',
            f'{item.job}: {[one.status for one in item.tries]}',
        )
        for item in asked
        if not item.is_completed
    ]
