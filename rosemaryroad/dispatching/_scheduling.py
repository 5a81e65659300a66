"""The settings by which a dispatcher shares out scarce or uneven room.

Each default leaves a decision as it is without a setting.
"""

import enum

import attrs

from rosemaryroad import _settings_parts

_LONGEST_MS = 60_000.0


@attrs.frozen
class AdmissionPolicy:
    """Which jobs are refused before they have waited.

    Attributes:
        forecast: Whether a job is refused as soon as the forecast of the room
            leaves it next to no chance to start in time.
        least_chance: The chance below which that is so.
    """

    forecast: bool = False
    least_chance: float = attrs.field(
        default=0.05, validator=_settings_parts.between(0.001, 0.5)
    )


class PriorityOrder(enum.StrEnum):
    """What the priorities of queues do to the order of waiting jobs.

    Attributes:
        NONE: Nothing.
        SHIFTED: Each step of priority makes a job count as due later.
        STRICT: Jobs of a lower number come first.
    """

    NONE = 'none'
    SHIFTED = 'shifted'
    STRICT = 'strict'


@attrs.frozen
class PriorityPolicy:
    """What the priorities of queues do.

    Attributes:
        order: What they do to the order of waiting jobs.
        shift_ms: How much later a job counts as due for each step.
        longest_wait_ms: After how long a job counts as most urgent under
            ``STRICT``, so that none waits for good.
        preempt: Whether running tasks are stopped for more urgent jobs.
    """

    order: PriorityOrder = PriorityOrder.NONE
    shift_ms: float = attrs.field(
        default=200.0, validator=_settings_parts.between(1.0, _LONGEST_MS)
    )
    longest_wait_ms: float = attrs.field(
        default=1_000.0, validator=_settings_parts.between(1.0, _LONGEST_MS)
    )
    preempt: bool = False


class SharingKey(enum.StrEnum):
    """Between whom scarce room is shared.

    Attributes:
        NONE: Nobody.
        QUEUE: The queues.
        FAILURE_DOMAIN: The failure domains of the jobs' homes.
        RACK: The racks where the jobs' data is.
    """

    NONE = 'none'
    QUEUE = 'queue'
    FAILURE_DOMAIN = 'failure_domain'
    RACK = 'rack'


@attrs.frozen
class SharingPolicy:
    """How room is shared when it is scarce.

    Attributes:
        key: Between whom.
        weights: The weights of names that don't have the usual one of 1.
        burst_ms: How far ahead of its share a name may be before the jobs
            of others come first.
    """

    key: SharingKey = SharingKey.NONE
    weights: dict[str, float] = attrs.field(
        factory=dict,
        validator=attrs.validators.deep_mapping(
            key_validator=attrs.validators.instance_of(str),
            value_validator=_settings_parts.between(0.01, 1_000.0),
        ),
    )
    burst_ms: float = attrs.field(
        default=500.0, validator=_settings_parts.between(1.0, _LONGEST_MS)
    )


class PlacementRule(enum.StrEnum):
    """Which of the workers with room a task goes to.

    Attributes:
        PACE: The fastest.
        EXPECTED_END: The slowest on which the task still ends in time.
    """

    PACE = 'pace'
    EXPECTED_END = 'expected_end'


@attrs.frozen
class PlacementPolicy:
    """Which worker a task goes to.

    Attributes:
        rule: Which of those that have room.
    """

    rule: PlacementRule = PlacementRule.PACE


@attrs.frozen
class PacePolicy:
    """How paces of workers are learnt and judged.

    Attributes:
        compare_siblings: Whether a long job is told from a slow worker by
            the job's other tasks.
    """

    compare_siblings: bool = False


@attrs.frozen
class CellPolicy:
    """How the first division into cells is made.

    Attributes:
        by_room: Whether each cell gets jobs in proportion to the cores of
            its workers, in place of equal parts.
    """

    by_room: bool = False


@attrs.frozen
class SchedulingPolicy:
    """How a dispatcher shares out scarce or uneven room.

    Attributes:
        admission: Which jobs are refused before they have waited.
        priorities: What the priorities of queues do.
        sharing: How room is shared.
        placement: Which worker a task goes to.
        paces: How paces of workers are learnt and judged.
        cells: How the first division into cells is made.
    """

    admission: AdmissionPolicy = AdmissionPolicy()
    priorities: PriorityPolicy = PriorityPolicy()
    sharing: SharingPolicy = SharingPolicy()
    placement: PlacementPolicy = PlacementPolicy()
    paces: PacePolicy = PacePolicy()
    cells: CellPolicy = CellPolicy()
