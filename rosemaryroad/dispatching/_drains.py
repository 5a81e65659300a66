"""Which failure domains operators have drained."""

import attrs

from rosemaryroad import model


@attrs.frozen
class DrainChange:
    """What newer word of the drained failure domains has changed.

    Attributes:
        began: The failure domains that are drained from now on.
        ended: For how long each was drained that no longer is, in
            milliseconds, by its name.
    """

    began: tuple[str, ...]
    ended: dict[str, float]


class DrainBook:
    """The failure domains that are drained, by the newest word of them.

    Word comes from the store and from peers, in any order. What was read
    from a slow store, or told by a VM that was stopped, may be older than
    what is known: taken in, it would start tasks in a failure domain whose
    drain operators count on.
    """

    def __init__(self) -> None:
        self._drains = model.DomainDrains()
        self._since_by_domain: dict[str, float] = {}

    @property
    def drains(self) -> model.DomainDrains:
        """What is known, as peers are told."""
        return self._drains

    @property
    def domains(self) -> frozenset[str]:
        """The drained failure domains."""
        return frozenset(self._since_by_domain)

    def ages_ms(self, now: float) -> dict[str, float]:
        """Returns for how long each drain has been known here."""
        return {
            domain: now - since
            for domain, since in self._since_by_domain.items()
        }

    def apply(
        self, drains: model.DomainDrains, now: float
    ) -> DrainChange | None:
        """Takes in what somebody knows.

        Returns:
            What has changed, or None where it is no newer than what is known.
        """
        if drains.version <= self._drains.version:
            return None
        self._drains = drains
        before = self._since_by_domain
        self._since_by_domain = {
            domain: before.get(domain, now) for domain in drains.domains
        }
        began = tuple(item for item in drains.domains if item not in before)
        ended = {
            domain: now - since
            for domain, since in before.items()
            if domain not in self._since_by_domain
        }
        return DrainChange(began, ended)
