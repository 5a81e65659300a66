"""What one entry VM holds of the submissions it is home to."""

import random

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _due
from rosemaryroad.decisions import _job
from rosemaryroad.decisions import _memory
from rosemaryroad.decisions import _service
from rosemaryroad.decisions import _sessions


@attrs.frozen(eq=False)
class Attempt:
    """A task that is out at an endpoint, or rests before its next try.

    Attributes:
        job: The job that it belongs to.
        index: The task's place in the job.
        endpoint: Where it was started.
        service: The service.
    """

    job: _job.Job
    index: int
    endpoint: model.Endpoint
    service: str


@attrs.define(eq=False)
class HomeState:
    """The state that the dispatcher's parts share.

    Attributes:
        sessions: Sessions and the names used in them.
        rng: The source of jitter.
        memory: The bytes of unanswered submissions and their bounds.
        draining: Whether new names are refused.
        services_by_name: The services in force.
        jobs_by_key: Submissions without a final answer.
        attempts_by_number: Attempts that are out.
        deadlines: Keys of submissions by their deadline.
        delayed: Attempts that are tried again later.
        actions: What the present event has led to so far.
        last_attempt: The number that was used last.
        team_demand: What peers want of teams' quotas.
    """

    sessions: _sessions.SessionBook
    rng: random.Random
    memory: _memory.HeldMemory
    draining: bool = False
    services_by_name: dict[str, _service.ServiceState] = attrs.field(
        factory=dict
    )
    jobs_by_key: dict[model.SubmissionKey, _job.Job] = attrs.field(
        factory=dict
    )
    attempts_by_number: dict[int, Attempt] = attrs.field(factory=dict)
    deadlines: _due.DueQueue[model.SubmissionKey] = attrs.field(
        factory=_due.DueQueue
    )
    delayed: _due.DueQueue[Attempt] = attrs.field(factory=_due.DueQueue)
    actions: list[model.Action] = attrs.field(factory=list)
    last_attempt: int = 0
    team_demand: model.TeamDemandReported = model.TeamDemandReported()

    @property
    def is_idle(self) -> bool:
        """Whether no submission is unanswered and no attempt is out."""
        return not self.jobs_by_key and not self.attempts_by_number

    def owes_answer(self, service: str) -> bool:
        """Tells whether a submission of a service is unanswered."""
        return any(
            job.submission.service == service
            for job in self.jobs_by_key.values()
        )

    def next_due(self) -> float | None:
        """Returns when the next deadline or retry falls due."""
        times = (self.deadlines.next_at(), self.delayed.next_at())
        return min((at for at in times if at is not None), default=None)

    def take_actions(self) -> list[model.Action]:
        """Returns the actions gathered so far and begins anew."""
        actions = self.actions
        self.actions = []
        return actions
