"""The queues in force, and which one a call is for."""

from rosemaryroad import jobservice
from rosemaryroad import model


class QueueBook:
    """The newest version of the queues; never an older one again."""

    def __init__(self) -> None:
        self._table: model.QueueTable | None = None
        self._routes_by_host: dict[str, list[model.QueueRoute]] = {}

    @property
    def version(self) -> int:
        """The version in force; 0 for none."""
        return self._table.version if self._table is not None else 0

    @property
    def table(self) -> model.QueueTable | None:
        """All queues, or None before the first version."""
        return self._table

    def apply(self, table: model.QueueTable) -> bool:
        """Puts a version in force, unless one as new is already.

        A peer or a read that was slow may bring an older version after a
        newer one; put in force it would undo what operators have seen.

        Returns:
            Whether it was newer.
        """
        if table.version <= self.version:
            return False
        self._table = table
        by_host: dict[str, list[model.QueueRoute]] = {}
        for route in table.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._routes_by_host = by_host
        return True

    def find(self, host: str, path: str) -> jobservice.QueueMatch | None:
        """Returns the queue with the longest prefix of a path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return jobservice.QueueMatch(route, path[len(route.prefix) :])
        return None
