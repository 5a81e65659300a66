"""What the logs tell of each job, put together from its lines."""

import collections.abc
import statistics

import attrs

from rosemaryroad import logreader
from rosemaryroad import model

_DONE = 'done'
_COMPLETED = 'completed'


@attrs.frozen
class Handover:
    """A home handed a job to a dispatcher.

    Attributes:
        at_ms: When.
        dispatcher: To whom.
        sent: Whether there was a way.
    """

    at_ms: float
    dispatcher: str
    sent: bool


@attrs.frozen
class Order:
    """A task was told to start.

    Attributes:
        attempt: Which attempt.
        waited_ms: How long the job had been here.
    """

    attempt: int
    waited_ms: float


@attrs.frozen
class End:
    """A worker listed the end of an attempt.

    Attributes:
        how: How it ended.
        ran_ms: How long it ran, or None where that isn't known.
    """

    how: str
    ran_ms: float | None


@attrs.define
class JobStory:
    """One job, from the lines of all VMs that had to do with it.

    Attributes:
        job: Its id.
        queue: Its queue.
        home: The VM that it came to first.
        at_ms: When it came there.
        tasks: How many tasks it has.
        cores: What each of them wants.
        estimate_ms: What the client thinks that one takes.
        terms: What its queue promises.
        homes: All VMs that it came to.
        handovers: How it went to dispatchers.
        orders: What was told to start.
        ends: How attempts ended.
        unanswered: How many orders to start got no answer.
        stops: Why attempts were stopped.
        settled: Why the dispatcher ended it, or ''.
        answer: How it was answered, or '' where no answer is logged.
        answer_cause: The home's reason for that answer.
        answered_at_ms: When it was answered.
        withdrawn: Why its home took it back, or ''.
        refused: Why it was refused before it was taken in, or ''.
        home_restarted: Whether a home of it started anew before it had
            answered.
    """

    job: str
    queue: str = ''
    home: str = ''
    at_ms: float = 0.0
    tasks: int = 0
    cores: float = 0.0
    estimate_ms: float = 0.0
    terms: model.JobTerms = model.JobTerms()
    homes: list[str] = attrs.field(factory=list)
    handovers: list[Handover] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    ends: list[End] = attrs.field(factory=list)
    unanswered: int = 0
    stops: list[str] = attrs.field(factory=list)
    settled: str = ''
    answer: str = ''
    answer_cause: str = ''
    answered_at_ms: float = 0.0
    withdrawn: str = ''
    refused: str = ''
    home_restarted: bool = False

    @property
    def run_ms(self) -> float:
        """What one of its tasks takes, as far as the logs tell."""
        ran = [
            end.ran_ms
            for end in self.ends
            if end.how == _DONE and end.ran_ms is not None
        ]
        return statistics.median(ran) if ran else self.estimate_ms

    @property
    def objective_ms(self) -> float:
        """Within how long an answer is in time."""
        return self.terms.objective_ms(self.run_ms)

    @property
    def work(self) -> float:
        """Its work in core-seconds, by the client's word."""
        return self.tasks * self.cores * self.estimate_ms / 1000.0

    @property
    def took_ms(self) -> float:
        """How long its client waited for the answer."""
        return self.answered_at_ms - self.at_ms

    @property
    def is_completed(self) -> bool:
        """Whether its client got the whole answer."""
        return self.answer == _COMPLETED

    @property
    def is_in_time(self) -> bool:
        """Whether its client got it inside the objective."""
        return self.is_completed and self.took_ms <= self.objective_ms


@attrs.define
class _Vm:
    failure_domain: str = ''
    started_at_ms: list[float] = attrs.field(factory=list)


@attrs.frozen
class Stories:
    """All jobs in the logs.

    Attributes:
        by_id: The jobs that a client's call began, by id.
        domain_by_vm: The failure domains of the VMs that say theirs.
    """

    by_id: dict[str, JobStory]
    domain_by_vm: dict[str, str]


def tell(reading: logreader.Reading) -> Stories:
    """Puts the lines of all VMs together, job by job."""
    story_by_id: dict[str, JobStory] = {}
    vm_by_name: dict[str, _Vm] = collections.defaultdict(_Vm)
    for line in sorted(reading.lines, key=lambda item: item.time_ms):
        if line.event == 'started':
            vm = vm_by_name[line.vm]
            vm.failure_domain = line.fields.get('failure_domain', '')
            vm.started_at_ms.append(line.time_ms)
            continue
        take = _TAKE_BY_EVENT.get(line.event)
        job = line.fields.get('request_id', '')
        if take is not None and job:
            story = story_by_id.setdefault(job, JobStory(job))
            take(story, line)
    whole = {
        job: story
        for job, story in story_by_id.items()
        if story.home or story.refused
    }
    for story in whole.values():
        story.home_restarted = _has_restarted(story, vm_by_name)
    domains = {name: vm.failure_domain for name, vm in vm_by_name.items()}
    return Stories(whole, domains)


def _has_restarted(
    story: JobStory, vm_by_name: collections.abc.Mapping[str, _Vm]
) -> bool:
    until = story.answered_at_ms if story.answer else float('inf')
    return any(
        story.at_ms < started_at <= until
        for home in story.homes
        if home in vm_by_name
        for started_at in vm_by_name[home].started_at_ms
    )


def _number(line: logreader.LogLine, key: str) -> float:
    try:
        return float(line.fields.get(key, ''))
    except ValueError:
        return 0.0


def _received(story: JobStory, line: logreader.LogLine) -> None:
    story.homes.append(line.vm)
    if story.home:
        return
    story.home = line.vm
    story.at_ms = line.time_ms
    story.queue = line.fields.get('queue', '')
    story.tasks = int(_number(line, 'tasks'))
    story.cores = _number(line, 'cores')
    story.estimate_ms = _number(line, 'estimate_ms')
    story.terms = model.JobTerms(
        slack_factor=_number(line, 'slack') or 1.0,
        target_ms=_number(line, 'target_ms'),
    )


def _refused(story: JobStory, line: logreader.LogLine) -> None:
    story.refused = line.fields.get('cause', '')
    if not story.home:
        story.home = line.vm
        story.at_ms = line.time_ms


def _handed(story: JobStory, line: logreader.LogLine) -> None:
    story.handovers.append(
        Handover(
            line.time_ms,
            line.fields.get('dispatcher', ''),
            line.fields.get('sent') != 'False',
        )
    )


def _ordered(story: JobStory, line: logreader.LogLine) -> None:
    story.orders.append(
        Order(
            int(_number(line, 'attempt')),
            _number(line, 'waited_ms'),
        )
    )


def _ended(story: JobStory, line: logreader.LogLine) -> None:
    ran_ms = _number(line, 'ran_ms') if 'ran_ms' in line.fields else None
    story.ends.append(
        End(
            line.fields.get('end', ''),
            ran_ms,
        )
    )


def _order_failed(story: JobStory, line: logreader.LogLine) -> None:
    is_start = line.fields.get('order') == 'start'
    if is_start and line.fields.get('result') == 'unknown':
        story.unanswered += 1


def _stopped(story: JobStory, line: logreader.LogLine) -> None:
    story.stops.append(line.fields.get('cause', ''))


def _settled(story: JobStory, line: logreader.LogLine) -> None:
    story.settled = line.fields.get('cause', '')


def _answered(story: JobStory, line: logreader.LogLine) -> None:
    if story.is_completed:
        return
    story.answer = line.fields.get('end', '')
    story.answer_cause = line.fields.get('cause', '')
    story.answered_at_ms = line.time_ms


def _withdrawn(story: JobStory, line: logreader.LogLine) -> None:
    story.withdrawn = line.fields.get('cause', '')


_TAKE_BY_EVENT: dict[
    str, collections.abc.Callable[[JobStory, logreader.LogLine], None]
] = {
    'job_answered': _answered,
    'job_handed': _handed,
    'job_received': _received,
    'job_refused': _refused,
    'job_settled': _settled,
    'job_withdrawn': _withdrawn,
    'order_failed': _order_failed,
    'task_ended': _ended,
    'task_ordered': _ordered,
    'task_stopped': _stopped,
}
