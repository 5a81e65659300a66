"""Bounds of values that other programs write as JSON.

JSON allows numbers that no float holds, texts that can't be encoded and
nesting without end. Python reads most of it, and fails where such a value is
used: in arithmetic, in a message to a peer, in a log line. Read through this
module, a value that would do so is refused where it comes in.
"""

import json
import typing

# Whole numbers beyond this aren't exact in other programs (RFC 8259).
MOST = 2**53


def load(text: str | bytes) -> typing.Any:
    """Reads JSON.

    Raises:
        ValueError: It is no JSON, or nested too deep.
    """
    try:
        return json.loads(text, parse_constant=_refuse)
    except RecursionError as error:
        raise ValueError('nested too deep') from error


def is_text(value: object) -> bool:
    """Tells whether a value is a text that can be encoded."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        # Half of a surrogate pair.
        return False
    return True


def is_whole(value: object) -> bool:
    """Tells whether a value is a whole number within bounds."""
    return type(value) is int and 0 <= value <= MOST


def is_number(value: object) -> bool:
    """Tells whether a value is a number within bounds; NaN isn't."""
    return type(value) in (int, float) and 0 <= value <= MOST


def _refuse(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no number')
