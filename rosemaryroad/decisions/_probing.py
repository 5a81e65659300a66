"""When something that is kept out is tried again."""

import attrs

__all__ = ['ProbeSchedule']

FIRST_PROBE_MS = 1_000.0
PROBE_FACTOR = 3.0


@attrs.define
class ProbeSchedule:
    """Plans one probe at a time, each later than the one before.

    Attributes:
        last_ms: The longest wait between two probes.
        due_at: When the next probe may go, in milliseconds; None where
            nothing is kept out.
        attempt: The attempt that is the probe, or None.
    """

    last_ms: float
    due_at: float | None = None
    attempt: int | None = None
    _delay: float = FIRST_PROBE_MS

    @property
    def is_on(self) -> bool:
        """Whether ordinary work stays away."""
        return self.due_at is not None

    def is_due(self, now: float) -> bool:
        """Tells whether a probe may go now."""
        if self.due_at is None or self.attempt is not None:
            return False
        return now >= self.due_at

    def begin(self, now: float) -> None:
        """Keeps ordinary work away from now on."""
        self._delay = FIRST_PROBE_MS
        self.due_at = now + self._delay

    def stop(self) -> None:
        """Lets ordinary work come back."""
        self.due_at = None
        self.attempt = None

    def soon(self) -> None:
        """Lets a probe go at once, and plans those after it anew."""
        if self.due_at is not None:
            self.due_at = 0.0
            self._delay = FIRST_PROBE_MS / PROBE_FACTOR

    def started(self, attempt: int) -> None:
        """Notes the attempt that goes out, if it is a probe."""
        if self.is_on:
            self.attempt = attempt

    def ended(self, attempt: int, now: float) -> None:
        """Plans the next probe, unless the one that ended got through."""
        if self.attempt != attempt:
            return
        self.attempt = None
        if self.due_at is not None:
            self._delay = min(PROBE_FACTOR * self._delay, self.last_ms)
            self.due_at = now + self._delay
