"""Experiment files: a deployment, its load, what fails, and ways to compare.

Times of a play count from the start of its load.
"""

import pathlib
import typing

import attrs

from rosemaryroad import errors
from rosemaryroad import structure
from rosemaryroad import yamlfile
from rosemaryroad.emulation import _network

_v = attrs.validators


@attrs.frozen
class VmGroup:
    """Equal entry VMs.

    Attributes:
        per_domain: How many each failure domain has.
        cores: Their share of a processor core.
        speed: How many times as fast as usual that core is.
        start_ms: How long their daemon takes to start.
    """

    per_domain: int = attrs.field(validator=_v.ge(1))
    cores: float = 1.0
    speed: float = 1.0
    start_ms: float = 700.0


@attrs.frozen
class WorkerGroup:
    """The workers; they stand in the failure domains in turn.

    Attributes:
        count: How many there are.
        cores: Their sizes, which repeat.
        memory_mb: The memory of each.
        paces: How many times as fast as usual each is; they repeat.
        per_rack: How many stand in a rack.
    """

    count: int = attrs.field(validator=_v.ge(1))
    cores: tuple[float, ...] = (64.0,)
    memory_mb: int = 131_072
    paces: tuple[float, ...] = (1.0,)
    per_rack: int = 8


@attrs.frozen
class Spread:
    """A positive figure that varies.

    Attributes:
        mean: Its mean.
        sigma: The standard deviation of its logarithm.
        most: What it doesn't exceed.
        tail: The share of outliers.
        tail_factor: How many times as large as usual these are.
    """

    mean: float = attrs.field(validator=_v.gt(0))
    sigma: float = 0.0
    most: float = float(2**31)
    tail: float = attrs.field(
        default=0.0, validator=_v.and_(_v.ge(0.0), _v.le(1.0))
    )
    tail_factor: float = attrs.field(default=1.0, validator=_v.gt(0))


@attrs.frozen
class JobKind:
    """A kind of job.

    Attributes:
        queue: Its queue.
        per_s: How many come a second, over all failure domains.
        tasks: How many tasks one has.
        run_ms: How long its tasks take.
        uneven: How far the tasks of one job differ, as ``Spread.sigma``.
        estimate_off: How far clients' estimates are off, likewise.
        cores: What each task takes.
        memory_mb: The same of memory.
        worth: What an answer in time is worth.
        priority: The queue's priority.
        max_attempts: How many failures of a task fail the job.
        slack_factor: The objective allows this many times the longest task.
        target_ms: What it allows beyond that.
        patience_ms: How long clients wait beyond three times the objective.
        failing_share: The share of its tasks that fail by themselves.
    """

    queue: str
    per_s: float
    tasks: Spread
    run_ms: Spread
    cores: Spread
    worth: float = 1.0
    uneven: float = 0.15
    estimate_off: float = 0.4
    memory_mb: int = 64
    priority: int = 0
    max_attempts: int = 3
    slack_factor: float = 1.6
    target_ms: float = 60.0
    patience_ms: float = 1_500.0
    failing_share: float = 0.002


@attrs.frozen
class Wave:
    """How the load rises and falls.

    Attributes:
        swing: By which share.
        period_s: How often.
    """

    swing: float = 0.0
    period_s: float = 11.0


@attrs.frozen
class Event:
    """Something that happens to a service.

    Attributes:
        kind: What; ``docs/experiments.md`` lists the kinds.
        at_s: When it begins.
        for_s: How long it lasts.
        domain: The failure domain that it happens to.
        queue: The queue that it happens to; all of them where it is ''.
        share: The share of what it happens to.
        factor: How strong it is.
    """

    kind: str
    at_s: float
    for_s: float = 5.0
    domain: str = ''
    queue: str = ''
    share: float = 0.15
    factor: float = 1.0


@attrs.frozen
class Experiment:
    """A deployment under a load, and ways to compare.

    Attributes:
        name: A title.
        seconds: How long jobs come.
        domains: The failure domains.
        cells: How many dispatchers share the workers.
        entry_vms: The entry VMs.
        workers: The workers.
        kinds: The kinds of jobs.
        wave: How the load rises and falls.
        delays: How long messages take.
        resend_ms: After how long clients come again that got no answer.
        lease_ms: The longest lease of the workers.
        events: What happens.
        ways: Settings of the daemons that differ, by the name of the way;
            the first one is what the others are compared with.
    """

    name: str
    seconds: float
    domains: tuple[str, ...]
    entry_vms: tuple[VmGroup, ...]
    workers: WorkerGroup
    kinds: tuple[JobKind, ...]
    cells: int = 1
    wave: Wave = Wave()
    delays: _network.Delays = _network.Delays()
    resend_ms: float = 1_300.0
    lease_ms: float = 1_000.0
    events: tuple[Event, ...] = ()
    ways: dict[str, dict[str, typing.Any]] = attrs.field(
        factory=lambda: {'standing': {}}
    )


def load(path: pathlib.Path) -> Experiment:
    """Reads an experiment file.

    Raises:
        errors.SettingsInvalid: With one problem for each fault.
    """
    try:
        return structure.structure(yamlfile.load(path), Experiment)
    except errors.CheckFailed as error:
        raise errors.SettingsInvalid(error.problems, error.code) from error
