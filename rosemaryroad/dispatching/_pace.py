"""How often entry VMs give signs of life, by how many there are."""

import attrs

# Signs grow with the square of the number of VMs, and large deployments have
# weak ones: at the rate of small groups they fall behind under load, and are
# taken for silent.
_SMALL_GROUP = 12
_VMS_A_STRIDE = 4


@attrs.frozen
class Pace:
    """The times of a group.

    Attributes:
        pulse_ms: How often signs go out between whoever dispatches and the
            others.
        silent_ms: Without a sign for so long a VM counts as silent. Four in
            a row have to be missing: a VM that is slowed down five times is
            late by some hundred ms.
        pause_ms: A process whose timers are late by this much was stopped
            meanwhile, and may have been replaced.
        stride: How many times as seldom VMs give signs to each other of
            which neither dispatches.
    """

    pulse_ms: float
    silent_ms: float
    pause_ms: float
    stride: int


def pace_of(vms: int) -> Pace:
    """Returns the times of a group of so many VMs."""
    if vms <= _SMALL_GROUP:
        return Pace(60.0, 240.0, 220.0, 2)
    return Pace(120.0, 480.0, 400.0, 1 + vms // _VMS_A_STRIDE)
