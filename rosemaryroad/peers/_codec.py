"""Peer messages as CBOR arrays.

A message is one CBOR array: a number for its kind, then the fields in the
order of their attrs class, nested objects again as arrays. A newer daemon
may add fields with defaults at the end of a class: an older reader drops
them, and a newer reader fills in what an older writer left out.
"""

import collections.abc
import enum
import functools
import operator
import typing

import attrs
import cattrs
import cattrs.strategies
import cbor2

from rosemaryroad import errors
from rosemaryroad import model

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
_MAX_DEPTH = 16

_KIND_BY_TYPE: dict[type, int] = {
    model.Hello: 1,
    model.Forward: 2,
    model.ForwardAnswer: 3,
    model.CancelForward: 4,
    model.Heartbeat: 5,
    # 6 was a sign of life before there were cells.
    model.QueuesShared: 7,
    model.JobSubmitted: 8,
    model.JobWithdrawn: 9,
    model.JobProgress: 10,
    model.JobSettled: 11,
    model.JobReleased: 12,
    model.DirectoryShared: 13,
    model.Pulses: 14,
    model.PlacementsRecorded: 15,
    model.JobCancelled: 16,
    model.CancelAnswered: 17,
    model.JobsEnded: 18,
}
_PLAIN = (int, float, str, bool, bytes)
_TYPE_BY_KIND = {kind: cls for cls, kind in _KIND_BY_TYPE.items()}


class MalformedMessage(errors.RosemaryroadError):
    """Bytes on a link are not a message that this daemon can read."""

    code = errors.ResultCode.MALFORMED_BODY


class UnknownKind(MalformedMessage):
    """A well-formed message of a kind that this version does not know."""


class MessageTooLarge(errors.RosemaryroadError):
    """A message is over the size that a link carries."""

    code = errors.ResultCode.BODY_TOO_LARGE


def encode(message: model.PeerMessage) -> bytes:
    """Turns a message into the bytes of one websocket message.

    Raises:
        MessageTooLarge: It is longer than ``MAX_MESSAGE_BYTES``.
    """
    kind = _KIND_BY_TYPE[type(message)]
    data = cbor2.dumps((kind, *_CONVERTER.unstructure(message)))
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageTooLarge(f'{len(data)} bytes')
    return data


def decode(data: bytes | str) -> model.PeerMessage:
    """Reads one websocket message.

    Raises:
        UnknownKind: It is well formed, of a kind not known here.
        MalformedMessage: It is anything else but a message.
        MessageTooLarge: It is longer than ``MAX_MESSAGE_BYTES``.
    """
    if not isinstance(data, bytes):
        raise MalformedMessage('text in place of binary data')
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageTooLarge(f'{len(data)} bytes')
    kind, fields = _read_envelope(data)
    cls = _TYPE_BY_KIND.get(kind)
    if cls is None:
        raise UnknownKind(f'kind={kind}')
    try:
        return _CONVERTER.structure(fields, cls)
    except Exception as error:
        # The bytes come from outside, and each checked class of the model
        # refuses bad values in its own way; none may end the reading task.
        detail = f'{cls.__name__}: {type(error).__name__}: {error}'
        raise MalformedMessage(detail[:300]) from error


def _read_envelope(data: bytes) -> tuple[int, list]:
    try:
        raw = cbor2.loads(data, max_depth=_MAX_DEPTH)
    except Exception as error:
        # Besides its own error, the decoder lets those of the tags' types
        # through, such as a date out of range.
        detail = f'{type(error).__name__}: {error}'
        raise MalformedMessage(detail[:300]) from error
    if not isinstance(raw, list) or not raw or type(raw[0]) is not int:
        raise MalformedMessage('not an array that starts with a kind')
    return raw[0], raw[1:]


def _read_scalar(kind: type) -> collections.abc.Callable:
    # cattrs would call str(5) and bool('no') and so let a message through
    # that no peer can have meant.
    def read(value: object, target: type) -> object:
        # The hook of a scalar is asked for its enumerations as well.
        if target is not kind:
            return target(value)
        if type(value) is kind:
            return value
        if kind is float and type(value) is int:
            return float(value)
        raise TypeError(f'expected {kind.__name__}')

    return read


def _read_tuple(
    kind: type, converter: cattrs.Converter
) -> collections.abc.Callable:
    item_kind = typing.get_args(kind)[0]
    read_item = converter.get_structure_hook(item_kind)

    def read(value: object, _: type) -> tuple:
        # A text is a sequence too; it would come out as its characters.
        if not isinstance(value, list):
            raise TypeError('expected an array')
        return tuple([read_item(item, item_kind) for item in value])

    return read


def _read_attrs(
    cls: type, converter: cattrs.Converter
) -> collections.abc.Callable:
    fields = attrs.fields(attrs.resolve_types(cls))
    hooks = [
        (field.type, converter.get_structure_hook(field.type))
        for field in fields
    ]
    required = sum(field.default is attrs.NOTHING for field in fields)

    def read(value: object, _: type) -> object:
        if not isinstance(value, list) or len(value) < required:
            raise TypeError(f'expected at least {required} fields')
        return cls(
            *[
                hook(item, kind)
                for item, (kind, hook) in zip(value, hooks, strict=False)
            ]
        )

    return read


def _write_tuple(
    kind: type, converter: cattrs.Converter
) -> collections.abc.Callable:
    item_kind = typing.get_args(kind)[0]
    if item_kind in _PLAIN:
        return lambda value: value
    write_item = converter.get_unstructure_hook(item_kind)
    return lambda value: [write_item(item) for item in value]


def _trailing_defaults(
    fields: tuple[attrs.Attribute, ...],
    hook_by_index: dict[int, collections.abc.Callable],
) -> list[object]:
    """Returns the written defaults of a class, of its last field first."""
    defaults = []
    for index in reversed(range(len(fields))):
        default = fields[index].default
        if default is attrs.NOTHING or isinstance(default, attrs.Factory):
            break
        hook = hook_by_index.get(index)
        defaults.append(default if hook is None else hook(default))
    return defaults


def _getter(
    names: list[str],
) -> collections.abc.Callable[[object], collections.abc.Iterable]:
    if len(names) > 1:
        return operator.attrgetter(*names)
    # attrgetter returns the bare value of a single name; a text would go
    # out as its letters, and the reader would take the first for all.
    return lambda value: [getattr(value, name) for name in names]


def _write_attrs(
    cls: type, converter: cattrs.Converter
) -> collections.abc.Callable:
    fields = attrs.fields(attrs.resolve_types(cls))
    take = _getter([field.name for field in fields])
    # Most fields are plain; only the others are worth a call.
    hooks = [
        (index, converter.get_unstructure_hook(field.type))
        for index, field in enumerate(fields)
        if field.type not in _PLAIN
    ]
    spare = _trailing_defaults(fields, dict(hooks))

    def write(value: object) -> list:
        found = list(take(value))
        for index, hook in hooks:
            found[index] = hook(found[index])
        # The reader fills in what is left out at the end. Heartbeats go to
        # each peer each second, and few have anything there.
        for default in spare:
            if found[-1] != default:
                break
            found.pop()
        return found

    return write


def _read_task(value: object, _: type) -> model.Task:
    # Written out, since a job of 1,500 tasks is the longest message by
    # far and holds the event loop while it is read.
    payload, run_ms, needs = value
    cores, memory_mb, accelerators = needs
    if (
        type(payload) is not bytes
        or not _are_numbers(run_ms, cores)
        or type(memory_mb) is not int
        or type(accelerators) is not int
    ):
        raise TypeError('a field of a task has the wrong type')
    return model.Task(
        payload, run_ms, _make_needs(cores, memory_mb, accelerators)
    )


# The tasks of a job mostly need the same. Typed, since 1 and 1.0 differ in
# the digest that tells two bodies under one name apart.
_make_needs = functools.lru_cache(maxsize=1024, typed=True)(model.Needs)


def _are_numbers(*values: object) -> bool:
    return all(type(value) in (int, float) for value in values)


def _write_task(task: model.Task) -> tuple:
    needs = task.needs
    return (
        task.payload,
        task.run_ms,
        (needs.cores, needs.memory_mb, needs.accelerators),
    )


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
        detailed_validation=False,
    )
    for kind in _PLAIN:
        converter.register_structure_hook(kind, _read_scalar(kind))
    converter.register_structure_hook_factory(
        lambda kind: typing.get_origin(kind) is tuple,
        lambda kind: _read_tuple(kind, converter),
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _read_attrs(cls, converter)
    )
    converter.register_unstructure_hook(
        enum.StrEnum, lambda value: value.value
    )
    converter.register_unstructure_hook(enum.IntEnum, lambda value: int(value))
    converter.register_unstructure_hook_factory(
        lambda kind: typing.get_origin(kind) is tuple,
        lambda kind: _write_tuple(kind, converter),
    )
    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: _write_attrs(cls, converter)
    )
    converter.register_structure_hook(model.Task, _read_task)
    converter.register_unstructure_hook(model.Task, _write_task)
    return converter


_CONVERTER: typing.Final = _make_converter()
