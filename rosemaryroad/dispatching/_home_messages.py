"""What homes tell a dispatcher."""

import functools

from rosemaryroad import model
from rosemaryroad.dispatching import _actions
from rosemaryroad.dispatching import _dispatcher

_Actions = list[_actions.Action]


@functools.singledispatch
def take_message(
    message: model.JobMessage,
    dispatcher: _dispatcher.JobDispatcher,
    home: str,
    now: float,
) -> _Actions:
    """Has a dispatcher take in what a home tells.

    Args:
        message: The message.
        dispatcher: The dispatcher.
        home: The entry VM that tells it.
        now: The present time.
    """
    raise TypeError(f'not for a dispatcher: {message!r}')


@take_message.register
def _(
    message: model.JobSubmitted,
    dispatcher: _dispatcher.JobDispatcher,
    home: str,
    now: float,
) -> _Actions:
    return dispatcher.submit(home, message, now)


@take_message.register
def _(
    message: model.PlacementsRecorded,
    dispatcher: _dispatcher.JobDispatcher,
    home: str,
    now: float,
) -> _Actions:
    return dispatcher.placements_recorded(home, message, now)


@take_message.register
def _(
    message: model.JobWithdrawn,
    dispatcher: _dispatcher.JobDispatcher,
    home: str,
    now: float,
) -> _Actions:
    return dispatcher.withdraw(home, message.job, now)


@take_message.register
def _(
    message: model.JobCancelled,
    dispatcher: _dispatcher.JobDispatcher,
    home: str,
    now: float,
) -> _Actions:
    return dispatcher.cancel(home, message, now)


@take_message.register
def _(
    message: model.JobsEnded,
    dispatcher: _dispatcher.JobDispatcher,
    home: str,
    now: float,
) -> _Actions:
    return dispatcher.jobs_ended(message, now)
