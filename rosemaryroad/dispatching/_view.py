"""What a dispatcher does with its room, in a form that adds up."""

import collections
import enum

import attrs

from rosemaryroad.dispatching import _scheduling


class RefusalCause(enum.StrEnum):
    """Why a job was refused before any of its tasks was told to start.

    Attributes:
        START_TIMEOUT: None of its tasks started within the part of its
            client's timeout that it may wait.
        DEADLINE: Too little of its client's timeout is left for a run.
        TOO_LARGE: No worker is large enough for a task.
        DRAINED: All workers that are large enough are drained.
        NO_ROOM_IN_TIME: The forecast leaves it almost no chance to start in
            time.
    """

    START_TIMEOUT = 'start_timeout'
    DEADLINE = 'deadline'
    TOO_LARGE = 'too_large'
    DRAINED = 'drained'
    NO_ROOM_IN_TIME = 'no_room_in_time'


@attrs.define
class QueueView:
    """What one queue has and lacks.

    Attributes:
        waiting_tasks: Tasks that wait for room.
        cores: Cores in use.
        refusals_by_cause: Jobs refused since the start of the dispatcher.
        preempted_tasks: Tasks stopped since then for more urgent jobs.
        expected_wait_ms: How long a job is expected to wait, as told by the
            age of the oldest one that waits.
    """

    waiting_tasks: int = 0
    cores: float = 0.0
    refusals_by_cause: dict[RefusalCause, int] = attrs.field(factory=dict)
    preempted_tasks: int = 0
    expected_wait_ms: float = 0.0

    def add(self, other: 'QueueView') -> None:
        """Adds what the queue has and lacks at another dispatcher."""
        self.waiting_tasks += other.waiting_tasks
        self.cores += other.cores
        for cause, count in other.refusals_by_cause.items():
            known = self.refusals_by_cause.get(cause, 0)
            self.refusals_by_cause[cause] = known + count
        self.preempted_tasks += other.preempted_tasks
        self.expected_wait_ms = max(
            self.expected_wait_ms, other.expected_wait_ms
        )


@attrs.define
class ShareView:
    """What a key that room is shared between has of it.

    Attributes:
        weight: Its weight.
        cores: Cores in use.
        share: Its share of all cores, from 0 to 1.
        is_over: Whether it is over its share, in any cell.
    """

    weight: float = 1.0
    cores: float = 0.0
    share: float = 0.0
    is_over: bool = False


@attrs.define
class SchedulingView:
    """What one dispatcher, or several, do with their room.

    Attributes:
        cores: The cores of all workers that aren't drained.
        unassigned_cores: Cores in use by attempts whose jobs aren't held
            here, such as ones that are being stopped.
        sharing: Between whom room is shared.
        queue_by_name: The queues that have work or had refusals or
            preemptions here.
        share_by_name: The keys that room is shared between.
    """

    cores: float = 0.0
    unassigned_cores: float = 0.0
    sharing: _scheduling.SharingKey = _scheduling.SharingKey.NONE
    queue_by_name: dict[str, QueueView] = attrs.field(factory=dict)
    share_by_name: dict[str, ShareView] = attrs.field(factory=dict)

    def queue(self, name: str) -> QueueView:
        """Returns the row of a queue, a new one if it has none."""
        return self.queue_by_name.setdefault(name, QueueView())

    def add(self, other: 'SchedulingView') -> None:
        """Adds what another dispatcher does."""
        self._add_shares(other)
        self.cores += other.cores
        self.unassigned_cores += other.unassigned_cores
        for name, queue in other.queue_by_name.items():
            self.queue(name).add(queue)

    def _add_shares(self, other: 'SchedulingView') -> None:
        if other.sharing is not _scheduling.SharingKey.NONE:
            self.sharing = other.sharing
        # A share is of its own cell's cores, and cells differ in size.
        total = self.cores + other.cores or 1.0
        own_part, other_part = self.cores / total, other.cores / total
        for name in self.share_by_name.keys() | other.share_by_name.keys():
            own = self.share_by_name.get(name)
            added = other.share_by_name.get(name)
            known = own or added
            own, added = own or ShareView(), added or ShareView()
            self.share_by_name[name] = ShareView(
                known.weight,
                own.cores + added.cores,
                own.share * own_part + added.share * other_part,
                own.is_over or added.is_over,
            )


@attrs.define
class DecisionCounts:
    """What one dispatcher, or several, have decided, counted.

    Attributes:
        refusals_by_queue: Refused jobs, by queue and cause.
        preemptions_by_queue: Tasks stopped for more urgent jobs, by the
            queue of the stopped one.
    """

    refusals_by_queue: dict[str, collections.Counter[RefusalCause]] = (
        attrs.field(factory=dict)
    )
    preemptions_by_queue: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def add(self, other: 'DecisionCounts') -> None:
        """Adds what another dispatcher has decided."""
        for queue, counts in other.refusals_by_queue.items():
            known = self.refusals_by_queue.setdefault(
                queue, collections.Counter()
            )
            known.update(counts)
        self.preemptions_by_queue.update(other.preemptions_by_queue)
