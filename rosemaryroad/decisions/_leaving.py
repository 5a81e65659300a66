"""Which lives of endpoints are known to be leaving."""

__all__ = ['LeavingMarks']

# Lists lag by minutes at most; at 460 restarts a day this is days.
MOST_MARKS = 2_048


class LeavingMarks:
    """Marks that are kept although a list says otherwise.

    The platform's list lags. An endpoint that said that it is leaving, and
    which a list read later still calls live, would be given new work and
    take it along. So a mark is kept for the whole incarnation.
    """

    def __init__(self) -> None:
        # By mark, in the order in which they came; the values mean nothing.
        self._marks: dict[str, None] = {}

    def __contains__(self, mark: str) -> bool:
        return mark in self._marks

    def add(self, mark: str) -> None:
        """Marks one incarnation, given as ``id@incarnation``."""
        self._marks.setdefault(mark)
        if len(self._marks) > MOST_MARKS:
            del self._marks[next(iter(self._marks))]
