"""Who has had more than a fair share of scarce room."""

from rosemaryroad.dispatching import _state
from rosemaryroad.dispatching import _view


class Shares:
    """Keeps an account of the work that was started for each key."""

    def job_arrived(self, state: _state.JobState, now: float) -> None:
        """Takes in what a job that has just come demands."""

    def task_placed(
        self, state: _state.JobState, expected_ms: float, now: float
    ) -> None:
        """Takes in that room is taken for a task."""

    def rows(self, now: float) -> tuple[_view.ShareRow, ...]:
        """Returns the standing of each key that has an account."""
        return ()
