"""The memory that unanswered submissions take at their home."""

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _job


@attrs.frozen
class MemoryLimits:
    """Bounds in bytes.

    Attributes:
        held: What all unanswered submissions may take, their results so
            far included; beyond it new ones are refused.
        answer: What the results of one submission may come to.
    """

    held: int = 256 * 1024 * 1024
    answer: int = 24 * 1024 * 1024


class HeldMemory:
    """Counts what unanswered submissions take.

    Payloads alone don't bound it: without the records, queues of small
    tasks would take many times their payload, and without the results, one
    job of large results would take all. The kernel would then end the
    daemon, and every job in progress with it.
    """

    def __init__(self, limits: MemoryLimits | None = None) -> None:
        self._limits = limits or MemoryLimits()
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes that are taken now."""
        return self._held

    def has_room(self, submission: model.Submission) -> bool:
        """Tells whether a new submission may be let in."""
        return self._held + submission.held_bytes <= self._limits.held

    def admitted(self, job: _job.Job) -> None:
        """Counts a submission that was let in."""
        self._held += job.held_bytes

    def take_result(self, job: _job.Job, size: int) -> bool:
        """Counts a result; tells whether the answer may hold it.

        Args:
            job: The submission.
            size: Bytes of the result.
        """
        if job.result_bytes + size > self._limits.answer:
            return False
        job.result_bytes += size
        self._held += size
        return True

    def answered(self, job: _job.Job) -> None:
        """Counts a submission that has its final answer."""
        self._held -= job.held_bytes + job.result_bytes
