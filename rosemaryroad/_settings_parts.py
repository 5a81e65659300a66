"""What the settings of all daemons have in common."""

import enum

import attrs


def between(low: float, high: float) -> object:
    """Returns a validator of numbers from one to another."""
    return attrs.validators.and_(
        attrs.validators.ge(low), attrs.validators.le(high)
    )


class LogLevel(enum.StrEnum):
    """The least severe events that are logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@attrs.frozen
class Log:
    """What is logged.

    Attributes:
        level: The least severe events that are logged.
    """

    level: LogLevel = LogLevel.INFO
