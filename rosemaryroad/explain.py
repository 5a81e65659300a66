"""What happened to one job, from the log lines of all entry VMs."""

import re

import attrs

from rosemaryroad import logreader

__all__ = ['Entry', 'Explanation', 'explain']

# How long before a job's first line a change of belief may still bear on
# it: a silent VM is found out after half a second, a lease lapses after one.
_BEFORE_MS = 1_500.0

# Lines of a job in the order in which one can only follow the other.
_RANK_BY_EVENT = {
    'job_received': 0,
    'job_handed': 1,
    'task_ordered': 2,
    'order_failed': 3,
    'task_stopped': 3,
    'task_ended': 3,
    'job_settled': 4,
    'job_withdrawn': 5,
    'drain_cut_off': 5,
    'job_answered': 6,
}

# Changes of belief that are told for each worker in ``subject``.
_OF_WORKERS = frozenset(
    {
        'attempt_found',
        'attempts_lost',
        'worker_heard',
        'worker_leaving',
        'worker_silent',
        'worker_suspended',
        'worker_trusted',
        'worker_unlisted',
    }
)

# Those that name the jobs that they are about in ``detail``.
_OF_JOBS = frozenset({'task_preempted'})

# Those that concern whatever the VM does.
_OF_VMS = frozenset(
    {
        'dispatcher_claimed',
        'drain_started',
        'peer_lost',
        'peer_silent',
        'queues_applied',
        'role_changed',
        'started',
        'store_lost',
        'store_regained',
    }
)

_BAD_EVENTS = frozenset(
    {
        'attempts_lost',
        'drain_cut_off',
        'drain_started',
        'job_refused',
        'job_malformed',
        'job_withdrawn',
        'order_failed',
        'peer_lost',
        'peer_silent',
        'task_stopped',
        'worker_silent',
        'worker_suspended',
    }
)


# A part of a detail that may be a job's id, also within a task's name.
_NAME_PART = re.compile(r'[^\s/,]+')


@attrs.frozen
class Entry:
    """One step of a job's story.

    Attributes:
        after_ms: Milliseconds since the job's first line, with the clocks
            of the VMs set against each other where the order shows that
            they differ.
        vm: The entry VM.
        event: What happened.
        detail: What decided it, with ages and versions.
        is_fault: Whether something went wrong here.
    """

    after_ms: float
    vm: str
    event: str
    detail: str
    is_fault: bool


@attrs.frozen
class Explanation:
    """A job's story.

    Attributes:
        job: The job's id.
        entries: What happened, in causal order.
        first_fault: The first thing that went wrong, or None.
        outcome: How it ended, for a person.
    """

    job: str
    entries: tuple[Entry, ...]
    first_fault: Entry | None
    outcome: str


def explain(reading: logreader.Reading, job: str) -> Explanation:
    """Tells the story of one job.

    Args:
        reading: The lines of all entry VMs.
        job: The job's id.
    """
    own = [
        line for line in reading.lines if line.fields.get('request_id') == job
    ]
    if not own:
        return Explanation(job, (), None, 'no line names this job')
    offset_by_vm = _offsets(own)
    own.sort(key=lambda line: _key(line, offset_by_vm))
    first = _time(own[0], offset_by_vm)
    lines = own + _context(reading, own, offset_by_vm)
    lines.sort(key=lambda line: _key(line, offset_by_vm))
    entries = tuple(_entry(line, first, offset_by_vm) for line in lines)
    faults = [entry for entry in entries if entry.is_fault]
    return Explanation(
        job, entries, faults[0] if faults else None, _outcome(own)
    )


def _offsets(own: list[logreader.LogLine]) -> dict[str, float]:
    """Returns what to add to each VM's clock, so that causes come first.

    A job is handed over before it is ordered, and settled before it is
    answered; clocks that say otherwise differ by as much at least.
    """
    offset_by_vm = {line.vm: 0.0 for line in own}
    home = next((x.vm for x in own if x.event == 'job_received'), '')
    for vm in offset_by_vm:
        handed = [
            line.time_ms
            for line in own
            if line.event == 'job_handed'
            and line.fields.get('dispatcher') == vm
            and line.fields.get('sent') != 'False'
        ]
        ordered = [
            line.time_ms
            for line in own
            if line.event == 'task_ordered' and line.vm == vm
        ]
        if vm != home and handed and ordered:
            offset_by_vm[vm] = max(0.0, min(handed) - min(ordered))
    return offset_by_vm


def _time(line: logreader.LogLine, offset_by_vm: dict[str, float]) -> float:
    return line.time_ms + offset_by_vm.get(line.vm, 0.0)


def _key(
    line: logreader.LogLine, offset_by_vm: dict[str, float]
) -> tuple[float, int, int]:
    rank = _RANK_BY_EVENT.get(line.event, 0)
    return _time(line, offset_by_vm), rank, line.number


def _context(
    reading: logreader.Reading,
    own: list[logreader.LogLine],
    offset_by_vm: dict[str, float],
) -> list[logreader.LogLine]:
    """Returns the changes of belief that bear on a job."""
    workers = {line.fields.get('worker') for line in own} - {None}
    vms = {line.vm for line in own}
    job = own[0].fields['request_id']
    begin = _time(own[0], offset_by_vm) - _BEFORE_MS
    end = _time(own[-1], offset_by_vm)
    found = []
    for line in reading.lines:
        if line.vm not in vms:
            continue
        if not begin <= _time(line, offset_by_vm) <= end:
            continue
        if line.event in _OF_WORKERS:
            if line.fields.get('subject') in workers:
                found.append(line)
        elif line.event in _OF_JOBS:
            if job in _NAME_PART.findall(line.fields.get('detail', '')):
                found.append(line)
        elif line.event in _OF_VMS:
            about = line.fields.get('vm')
            if about is None or about in vms:
                found.append(line)
    return found


def _entry(
    line: logreader.LogLine, first: float, offset_by_vm: dict[str, float]
) -> Entry:
    detail = ' '.join(
        f'{key}={value}'
        for key, value in line.fields.items()
        if key != 'request_id'
    )
    return Entry(
        _time(line, offset_by_vm) - first,
        line.vm,
        line.event,
        detail,
        _is_fault(line),
    )


def _is_fault(line: logreader.LogLine) -> bool:
    end = line.fields.get('end')
    if line.event == 'task_ended':
        return end != 'done'
    if line.event in ('job_settled', 'job_answered'):
        return end != 'completed'
    if line.event == 'role_changed':
        return line.fields.get('dispatcher') == 'none'
    if line.event == 'job_handed':
        return line.fields.get('sent') == 'False'
    return line.event in _BAD_EVENTS


def _outcome(own: list[logreader.LogLine]) -> str:
    last = own[-1]
    answered = [line for line in own if line.event == 'job_answered']
    if answered:
        fields = answered[-1].fields
        settled = [
            line
            for line in own
            if line.event == 'job_settled'
            and line.fields.get('end') == fields.get('end')
        ]
        cause = settled[-1].fields.get('cause') if settled else None
        cause = cause or fields.get('cause')
        took = fields.get('took_ms')
        return f'answered {fields.get("end")} after {took} ms: {cause}'
    if last.event in ('job_withdrawn', 'job_refused', 'drain_cut_off'):
        cause = last.fields.get('cause', 'the daemon had to end')
        return f'{last.event}: {cause}'
    return f'no end is logged; the last line is {last.event} on {last.vm}'
