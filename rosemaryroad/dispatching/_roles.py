"""What VMs may be in a cell, and which of them comes first."""

import attrs

from rosemaryroad import model


@attrs.frozen
class LeaseRow:
    """The row that names the dispatcher.

    Attributes:
        term: Its term; the fence on its orders.
        vm: The entry VM.
    """

    term: int
    vm: str


@attrs.frozen
class Role:
    """What this VM does, and whom it hands its jobs to.

    Attributes:
        claim: Whether it gives orders itself.
        term: The term of the dispatcher.
        dispatcher: The VM that it hands its jobs to, or ''.
    """

    claim: model.Claim
    term: int
    dispatcher: str


def rank(claim: model.Claim, term: int, vm: str) -> tuple[int, int, str]:
    """Returns what the best of several dispatchers has the lowest of."""
    return -int(claim), -term, vm


def preference(vm: str, pulse: model.Pulse) -> tuple[bool, float, int, str]:
    """Returns what the VM that should act first has the lowest of.

    One that gives orders in another cell has half of its processor for this
    one. That may still be more than the whole of a weak VM, which can't keep
    up with a cell at the usual load.
    """
    cores = pulse.cores / 2 if pulse.elsewhere else pulse.cores
    return (not pulse.settled, -cores, -pulse.started, vm)
