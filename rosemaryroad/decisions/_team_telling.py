"""What heartbeats tell of teams' quotas, within a byte budget."""

from rosemaryroad import model

# A number that differs by less than this part of itself is not told
# again; the shares that peers work out are wrong by no more than this.
CHANGED_MUCH = 1 / 8
_KEY_BYTES = 7
# The field stands at the end, so those before it are no longer left out.
_FIELD_BYTES = 6
_INT_BYTES = ((24, 1), (256, 2), (65_536, 3))
_LARGEST_INT_BYTES = 5


class TeamTeller:
    """Remembers what peers were told and chooses what they hear next."""

    def __init__(self) -> None:
        # None stands for numbers that not all peers have been told.
        self._told_by_key: dict[bytes, model.TeamDemand | None] = {}
        self._repeated = 0

    @property
    def is_telling(self) -> bool:
        """Whether peers count with any demand that they were told."""
        return bool(self._told_by_key)

    def joined(self) -> None:
        """All is told again, bit by bit."""
        self._told_by_key = dict.fromkeys(self._told_by_key)

    def choose(
        self,
        wanted: tuple[model.TeamDemand, ...],
        budget: int,
        at_least_one: bool,
    ) -> tuple[model.TeamDemand, ...]:
        """Returns what is told now, the largest change first.

        Args:
            wanted: All that this entry VM wants of teams' quotas.
            budget: Bytes that it may take.
            at_least_one: Whether one item goes, however small the budget.
        """
        chosen: list[model.TeamDemand] = []
        for item in self._order({item.key: item for item in wanted}):
            if size_of((*chosen, item)) > budget and (
                chosen or not at_least_one
            ):
                break
            chosen.append(item)
            self._remember(item)
        return tuple(chosen)

    def _order(
        self, wanted_by_key: dict[bytes, model.TeamDemand]
    ) -> list[model.TeamDemand]:
        present = {
            key: wanted_by_key.get(key, model.TeamDemand(key, 0, 0))
            for key in {**self._told_by_key, **wanted_by_key}
        }
        changed = [
            item
            for key, item in present.items()
            if _changed_much(self._before(key), item)
        ]
        changed.sort(
            key=lambda item: _distance(self._before(item.key), item),
            reverse=True,
        )
        # A heartbeat may be lost with one of two links. Each number, also
        # that a team wants nothing any more, is therefore told again.
        first = {item.key for item in changed}
        unchanged = [
            item
            for key, item in present.items()
            if key in self._told_by_key and key not in first
        ]
        if unchanged:
            self._repeated = (self._repeated + 1) % len(unchanged)
            changed.append(unchanged[self._repeated])
        return changed

    def _before(self, key: bytes) -> model.TeamDemand:
        told = self._told_by_key.get(key)
        return told or model.TeamDemand(key, 0, 0)

    def _remember(self, item: model.TeamDemand) -> None:
        told = self._told_by_key.get(item.key)
        nothing = not (item.running or item.queued)
        if nothing and told == item:
            del self._told_by_key[item.key]
        else:
            self._told_by_key[item.key] = item


def size_of(items: tuple[model.TeamDemand, ...]) -> int:
    """Returns the bytes that items take in a heartbeat."""
    if not items:
        return 0
    return _FIELD_BYTES + sum(
        _KEY_BYTES + _int_bytes(item.running) + _int_bytes(item.queued)
        for item in items
    )


def _int_bytes(number: int) -> int:
    for end, size in _INT_BYTES:
        if number < end:
            return size
    return _LARGEST_INT_BYTES


def _changed_much(before: model.TeamDemand, now: model.TeamDemand) -> bool:
    pairs = ((before.running, now.running), (before.queued, now.queued))
    return any(
        (not old) != (not new) or abs(new - old) > CHANGED_MUCH * max(old, new)
        for old, new in pairs
    )


def _distance(before: model.TeamDemand, now: model.TeamDemand) -> int:
    return abs(now.running - before.running) + abs(now.queued - before.queued)
