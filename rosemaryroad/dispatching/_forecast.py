"""When room comes free, and how sure that is."""

from rosemaryroad.dispatching import _state


class Forecast:
    """Foresees when waiting jobs start, from what runs and what waits."""

    def job_arrived(self, state: _state.JobState, now: float) -> None:
        """Takes in the work of a job that has just come."""

    def room_freed(self, cores: float, now: float) -> None:
        """Takes in that cores have come free."""
