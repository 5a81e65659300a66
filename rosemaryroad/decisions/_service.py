"""What one entry VM knows and holds of one service."""

import collections.abc

import attrs

from rosemaryroad import model
from rosemaryroad.decisions import _admission
from rosemaryroad.decisions import _arrivals
from rosemaryroad.decisions import _job
from rosemaryroad.decisions import _pool
from rosemaryroad.decisions import _queue
from rosemaryroad.decisions import _quota_shares
from rosemaryroad.decisions import _retries
from rosemaryroad.decisions import _window


@attrs.frozen
class Policy:
    """How the work of a service is ordered, bounded and placed.

    Benches compare the one in use with simpler ones.

    Attributes:
        make_queue: Makes the order of waiting tasks.
        make_window: Makes the bound of tasks that are out.
        make_pool: Makes the choice of endpoints, from the service and the
            failure domain of this entry VM.
        make_budget: Makes the bound of retries of single requests.
    """

    make_queue: collections.abc.Callable[[], _queue.JobQueue] = _queue.JobQueue
    make_window: collections.abc.Callable[[], _window.Window] = _window.Window
    make_pool: collections.abc.Callable[[str, str], _pool.EndpointPool] = (
        _pool.EndpointPool
    )
    make_budget: collections.abc.Callable[[], _retries.RetryBudget] = (
        _retries.RetryBudget
    )


@attrs.define(eq=False)
class ServiceState:
    """The decisions' state of one service.

    Attributes:
        document: The document in force.
        pool: Its endpoints.
        queue: The order of waiting tasks.
        window: How many tasks may be out.
        budget: Retries of single requests.
        quotas: This entry VM's shares of the teams' quotas.
        arrivals: How fast work has been admitted lately.
        deleted: Whether the service is deleted; new work is refused.
    """

    document: model.Document
    pool: _pool.EndpointPool
    queue: _queue.JobQueue
    window: _window.Window
    quotas: _quota_shares.QuotaShares
    budget: _retries.RetryBudget
    arrivals: _arrivals.ArrivalRates = attrs.field(
        factory=_arrivals.ArrivalRates
    )
    deleted: bool = False

    @classmethod
    def create(
        cls, document: model.Document, failure_domain: str, policy: Policy
    ) -> 'ServiceState':
        """Makes the state of a service that has just been described."""
        return cls(
            document,
            policy.make_pool(document.service, failure_domain),
            policy.make_queue(),
            policy.make_window(),
            _quota_shares.QuotaShares(document.service),
            policy.make_budget(),
        )

    @property
    def demand(self) -> int:
        """Tasks out and waiting."""
        return self.pool.outstanding + self.queue.waiting

    def apply(self, document: model.Document) -> None:
        """Puts a document in force for all that waits and all to come."""
        self.document = document
        for team in self.queue.teams():
            self._set_quota(team)

    def admit(self, job: _job.Job) -> None:
        """Puts a job that was let in into the queue."""
        self._set_quota(job.team)
        window = self.window_size()
        if not self.quotas.is_alone:
            # What comes and is done between two heartbeats is demand too.
            use = self._use_of(job.team, window, len(job.waiting))
            self.quotas.want(use)
        self.queue.set_pace(self.pool.run_ms, window)
        self.queue.push(job)
        tasks = len(job.submission.tasks)
        self.arrivals.note(job.team, tasks, job.arrived)

    def refused_by_quota(self, submission: model.Submission) -> None:
        """Counts what a team could not have waiting here as demand.

        Were it not told, a job that is larger than the share of an entry
        VM that has had no demand would be refused there for ever.
        """
        use = self._use_of(submission.team, self.window_size())
        tasks = len(submission.tasks)
        if tasks <= use.quota.queued_tasks:
            self.quotas.refused(use, tasks)

    def team_demand(self) -> tuple[model.TeamDemand, ...]:
        """Returns what this entry VM wants of the teams' quotas."""
        teams = self.busy_teams()
        if not teams:
            return ()
        window = self.window_size()
        uses = tuple(self._use_of(team, window) for team in teams)
        return self.quotas.demand(uses)

    def busy_teams(self) -> tuple[str, ...]:
        """Teams that have work here or had some in the last seconds."""
        both = (*self.queue.busy_teams(), *self.quotas.teams())
        return tuple(dict.fromkeys(both))

    def heartbeat_sent(self, told: dict[bytes, model.TeamDemand]) -> None:
        """Takes over what peers know of this entry VM's demand."""
        teams = self.busy_teams()
        window = self.window_size() if teams else 0
        for team in teams:
            self.quotas.sent(self._use_of(team, window), told)
            self._set_quota(team)

    def set_team_demand(self, peers: model.TeamDemandReported) -> None:
        """Takes over what peers want of the teams' quotas."""
        self.quotas.set_peers(peers)
        for team in self.queue.busy_teams():
            self._set_quota(team)

    def share_of(self, team: str) -> _quota_shares.Share:
        """Returns what a team may have here of its quota."""
        return self.quotas.share(team, self.document.quota_of(team))

    def team_views(self) -> tuple[_quota_shares.TeamView, ...]:
        """Returns the teams with work here for the status page."""
        return tuple(
            _quota_shares.TeamView(
                team=team,
                queued=self.queue.waiting_of(team),
                running=self.queue.running_of(team),
                share=self.share_of(team),
                quota=self.document.quota_of(team),
            )
            for team in sorted(self.queue.busy_teams())
        )

    def _use_of(
        self, team: str, window: int, arriving: int = 0
    ) -> _quota_shares.Use:
        # What the window doesn't let out is no demand on the quota of
        # running tasks; another entry VM may have room for it.
        running = self.queue.running_of(team)
        waiting = self.queue.waiting_of(team) + arriving
        out = min(running + waiting, max(running, window))
        quota = self.document.quota_of(team)
        return _quota_shares.Use(team, out, waiting, quota)

    def _set_quota(self, team: str) -> None:
        quota = self.document.quota_of(team)
        running = self.quotas.share(team, quota).running
        self.queue.set_quota(team, quota.weight, running)

    def window_size(self) -> int:
        """Returns how many tasks may be out now."""
        self.window.set_slots(self.pool.slots)
        self.pool.set_demand_share(self.window.demand_share(self.demand))
        return self.window.size(self.demand)

    def _expected_window(self, arriving: int) -> int:
        self.window.set_slots(self.pool.slots)
        return self.window.expected_size(self.demand, arriving)

    def load_for(
        self, submission: model.Submission, now: float
    ) -> _admission.Load:
        """Returns the load as a new submission meets it."""
        tasks = len(submission.tasks)
        team = submission.team
        quota = self.document.quota_of(team)
        share = self.quotas.share(team, quota)
        waiting_of_team = self.queue.waiting_of(team)
        ahead = self.queue.waiting_ahead(tasks, team)
        overtaking = self.arrivals.smaller_than(tasks, now, team)
        in_team = _admission.Ahead(
            ahead, overtaking, self.queue.share_of(team, quota.weight)
        )
        # Teams that use less than their share go first with all they have,
        # whatever its size.
        others = self.queue.waiting - waiting_of_team
        in_all = _admission.Ahead(
            ahead + others, overtaking + self.arrivals.of_others(team, now)
        )
        return _admission.Load(
            waiting=self.queue.waiting,
            waiting_of_team=waiting_of_team,
            in_all=in_all,
            in_team=in_team,
            outstanding=self.pool.outstanding,
            window=self._expected_window(tasks),
            run_ms=self.pool.run_ms,
            queued_limit=share.queued if waiting_of_team else share.room,
            queued_room=share.room,
            running_limit=share.running,
        )
