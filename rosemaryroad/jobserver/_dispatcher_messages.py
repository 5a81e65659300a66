"""What dispatchers tell a home."""

import functools

from rosemaryroad import model
from rosemaryroad.jobserver import _home


@functools.singledispatch
def take_message(
    message: model.JobMessage, home: _home.JobHome, vm: str
) -> bool:
    """Has a home take in what a dispatcher tells.

    Args:
        message: The message.
        home: The home.
        vm: The entry VM that tells it.

    Returns:
        Whether it is for a home; others are for dispatchers.
    """
    return False


@take_message.register
def _(message: model.JobProgress, home: _home.JobHome, vm: str) -> bool:
    home.progressed(vm, message)
    return True


@take_message.register
def _(message: model.JobSettled, home: _home.JobHome, vm: str) -> bool:
    home.settled(vm, message)
    return True


@take_message.register
def _(message: model.JobReleased, home: _home.JobHome, vm: str) -> bool:
    home.released(vm, message)
    return True


@take_message.register
def _(message: model.CancelAnswered, home: _home.JobHome, vm: str) -> bool:
    home.cancel_answered(message)
    return True
