"""Whether a VM is too slow to dispatch, judged by its own timers."""

# A VM whose looks at the time are late by so much on the average, for so
# long, is too slow to dispatch: an answer of a worker takes some 2 ms, and
# every job waits for several. A burst delays a sound VM by a few.
_STRAIN_MS = 15.0
_STRAINED_AFTER_MS = 200.0
_GAIN = 0.25


class Strain:
    """How late a VM looks at the time, on the average."""

    def __init__(self) -> None:
        self._delay_ms = 0.0
        self._since: float | None = None

    def looked(self, late_ms: float, now: float) -> None:
        """Takes in how late a look at the time was."""
        self._delay_ms += _GAIN * (late_ms - self._delay_ms)
        if self._delay_ms < _STRAIN_MS:
            self._since = None
        elif self._since is None:
            self._since = now

    def is_strained(self, now: float) -> bool:
        """Tells whether looks have been late for a while."""
        return self._since is not None and now - self._since >= (
            _STRAINED_AFTER_MS
        )
