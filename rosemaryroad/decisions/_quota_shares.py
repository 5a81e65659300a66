"""How much of a team's quota one entry VM gives out.

A quota holds over all entry VMs, and nobody keeps count of it. Each entry
VM tells what its callers want where that is much, and all work out the
same division from the same numbers.
"""

import attrs

from rosemaryroad import _fair_division
from rosemaryroad import model

# Demand below this part of the even share is not told: it fits beside the
# others' shares, and telling it would cost bytes for each team. What all
# that is not told can add up to is at most this part of the quota.
TOLD_ABOVE = 1 / 4

# Demand that has passed is told as this part of itself after each
# heartbeat. Without it a team that submits each few seconds would lose
# its share in between. That of waiting tasks fades more slowly: a caller
# that was refused comes back after up to 3.3 s and must find the share
# that its job had asked for.
FADE_RUNNING = 1 / 2
FADE_QUEUED = 3 / 4


@attrs.frozen
class Share:
    """What a team may have at this entry VM.

    Attributes:
        queued: Tasks that may wait.
        running: Tasks that may be out.
        room: Tasks that may wait as far as peers have told their demand.
    """

    queued: int
    running: int
    room: int


@attrs.frozen
class Use:
    """What a team has at this entry VM, or would have but for its share.

    Attributes:
        team: The team.
        running: Tasks that would be out.
        queued: Tasks that wait.
        quota: What it may have over all entry VMs.
    """

    team: str
    running: int
    queued: int
    quota: model.Quota

    @property
    def most_running(self) -> int:
        """What would be out, within the whole quota."""
        return min(self.running, self.quota.running_tasks)

    @property
    def most_queued(self) -> int:
        """What waits, within the whole quota."""
        return min(self.queued, self.quota.queued_tasks)


@attrs.frozen
class TeamView:
    """What the status page shows of a team in a service.

    Attributes:
        team: The team.
        queued: Its tasks that wait here.
        running: Its tasks that are out from here.
        share: What it may have here.
        quota: What it may have over all entry VMs.
    """

    team: str
    queued: int
    running: int
    share: Share
    quota: model.Quota


@attrs.define
class _Wanted:
    """What one team wants here.

    Attributes:
        key: The service and the team.
        running: Tasks that it would have had out lately.
        queued: Tasks that it would have had waiting lately.
        told: What the last heartbeat with this team told.
        counted: What its share is worked out from.
    """

    key: bytes
    running: int = 0
    queued: int = 0
    told: model.TeamDemand | None = None
    counted: model.TeamDemand | None = None


class QuotaShares:
    """This entry VM's shares of the teams' quotas in one service."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._peers = model.TeamDemandReported()
        self._by_team: dict[str, _Wanted] = {}

    @property
    def is_alone(self) -> bool:
        """Whether there is nobody to share quotas with."""
        return self._peers.entry_vms == 1 and not self._peers.peers_by_key

    def teams(self) -> tuple[str, ...]:
        """Teams that have wanted something lately."""
        return tuple(self._by_team)

    def set_peers(self, peers: model.TeamDemandReported) -> None:
        """Takes over what the peers' last heartbeats say."""
        if peers.rejoined != self._peers.rejoined:
            # When a cut heals, nobody knows what the other side wants.
            # All would count their own demand alone and take the whole
            # quota, so all begin again from the even share.
            for wanted in self._by_team.values():
                wanted.told = wanted.counted = None
        self._peers = peers

    def want(self, use: Use) -> None:
        """Notes what a team has here, or would have but for its share."""
        wanted = self._wanted(use.team)
        wanted.running = max(wanted.running, use.most_running)
        wanted.queued = max(wanted.queued, use.most_queued)

    def refused(self, use: Use, tasks: int) -> None:
        """Notes tasks that did not fit into a team's share."""
        wanted = self._wanted(use.team)
        queued = max(wanted.queued, use.queued) + tasks
        wanted.queued = min(use.quota.queued_tasks, queued)

    def demand(self, uses: tuple[Use, ...]) -> tuple[model.TeamDemand, ...]:
        """Returns what peers should know, teams with little left out."""
        found = (self._demand_of(use) for use in uses)
        return tuple(item for item in found if item.running or item.queued)

    def _demand_of(self, use: Use) -> model.TeamDemand:
        wanted = self._by_team.get(use.team) or self._new(use.team)
        others = self._peers.peers_by_key.get(wanted.key, ())
        running = self._worth_telling(
            max(use.most_running, wanted.running),
            use.quota.running_tasks,
            any(other.running for other in others),
        )
        queued = self._worth_telling(
            max(use.most_queued, wanted.queued),
            use.quota.queued_tasks,
            any(other.queued for other in others),
        )
        return model.TeamDemand(wanted.key, running, queued)

    def sent(
        self, use: Use, told_by_key: dict[bytes, model.TeamDemand]
    ) -> None:
        """A heartbeat has gone out.

        More demand counts from the heartbeat after the one that told it:
        by then all peers that beat have told theirs too. Were it counted
        at once, entry VMs whose callers come in the same second would
        each take the whole quota. Less demand counts at once.

        Args:
            use: What the team has here now.
            told_by_key: What the heartbeat told.
        """
        wanted = self._wanted(use.team)
        told = told_by_key.get(wanted.key)
        wanted.counted = wanted.told
        if told is not None:
            before = wanted.told or model.TeamDemand(wanted.key, 0, 0)
            wanted.counted = model.TeamDemand(
                wanted.key,
                min(before.running, told.running),
                min(before.queued, told.queued),
            )
            wanted.told = told
        faded = int(wanted.running * FADE_RUNNING)
        wanted.running = max(use.most_running, faded)
        faded = int(wanted.queued * FADE_QUEUED)
        wanted.queued = max(use.most_queued, faded)
        known = wanted.told is not None and (
            wanted.told.running or wanted.told.queued
        )
        if not (wanted.running or wanted.queued or known):
            del self._by_team[use.team]

    def share(self, team: str, quota: model.Quota) -> Share:
        """Returns what a team may have here now."""
        if self.is_alone:
            queued = quota.queued_tasks
            return Share(queued, quota.running_tasks, queued)
        wanted = self._by_team.get(team)
        counted = wanted.counted if wanted else None
        key = wanted.key if wanted else model.team_key(self._service, team)
        others = self._peers.peers_by_key.get(key, ())
        if counted is None and not others:
            # This is what most submissions meet, and it is asked twice for
            # each of them.
            queued = quota.queued_tasks
            running = self._even(quota.running_tasks)
            return Share(self._even(queued), running, queued)
        queued_by_others = [item.queued for item in others]
        queued = self._part(
            quota.queued_tasks,
            counted.queued if counted else 0,
            queued_by_others,
        )
        running = self._part(
            quota.running_tasks,
            counted.running if counted else 0,
            [item.running for item in others],
        )
        room = quota.queued_tasks - sum(queued_by_others)
        return Share(queued, running, max(queued, room))

    def _part(self, total: int, own: int, others: list[int]) -> int:
        even = self._even(total)
        if not own:
            return even
        own = min(own, total)
        claims = [own, *(min(item, total) for item in others if item)]
        level = _fair_division.level(total, claims)
        spare = total - sum(min(item, level) for item in claims)
        part = min(own, level) + spare / len(claims)
        return max(even, int(part))

    def _worth_telling(self, number: int, total: int, contended: bool) -> int:
        # Where nobody wants more than the even share there is nothing to
        # divide, and nothing is told.
        even = self._even(total)
        least = TOLD_ABOVE * even if contended else even
        if self.is_alone:
            return 0
        return min(number, total) if number > least else 0

    def _even(self, total: int) -> int:
        return max(1, total // self._peers.entry_vms)

    def _wanted(self, team: str) -> _Wanted:
        if team not in self._by_team:
            self._by_team[team] = self._new(team)
        return self._by_team[team]

    def _new(self, team: str) -> _Wanted:
        return _Wanted(model.team_key(self._service, team))
