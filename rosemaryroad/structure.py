"""Strict reading of plain data into attrs classes."""

import base64
import binascii
import collections.abc
import enum
import math
import typing

import attrs
import cattrs
import cattrs.errors
import cattrs.gen

from rosemaryroad import _json_values
from rosemaryroad import errors

__all__ = ['OMIT_DEFAULT', 'structure', 'unstructure']

# Metadata of a field that is left out of the plain data while it has its
# default. Programs from before the field refuse a key that they don't
# know; during a rolling upgrade they would refuse everything.
OMIT_DEFAULT = {'omit_default': True}

_Target = typing.TypeVar('_Target')


class _WrongType(TypeError):
    """A value has another type than the field; cattrs adds the path."""


def _strict(kind: type) -> collections.abc.Callable:
    # cattrs would call int('5') and bool('no'); a typing error in a
    # document would then be in force as something nobody wrote.
    def read(value: object, target: type) -> object:
        # The hook of str is asked for the enumerations of text as well.
        if issubclass(target, enum.Enum):
            return _read_enum(value, target)
        number_for_float = kind is float and type(value) is int
        if type(value) is not kind and not number_for_float:
            found = type(value).__name__
            raise _WrongType(f'expected {kind.__name__}, found {found}')
        _check_bounds(value)
        return kind(value)

    return read


def _check_bounds(value: object) -> None:
    # NaN passes no comparison and infinity passes every lower bound; a
    # deadline of either would never end, so a submission would hang. What
    # can't be encoded or held by a float would fail where it is used.
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError('not a finite number')
    if type(value) is int and abs(value) > _json_values.MOST:
        raise ValueError('out of bounds')
    if isinstance(value, str) and not _json_values.is_text(value):
        raise ValueError('not a text that can be encoded')


def _read_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    try:
        return kind(value)
    except ValueError:
        allowed = ', '.join(str(member.value) for member in kind)
        raise ValueError(f'one of: {allowed}') from None


def _read_bytes(value: object, _: type) -> bytes:
    if isinstance(value, bytes):
        return value
    if not isinstance(value, str):
        raise _WrongType('expected base64 text')
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise ValueError(f'not base64: {error}') from error


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for kind in (int, float, str, bool):
        converter.register_structure_hook(kind, _strict(kind))
    converter.register_structure_hook(bytes, _read_bytes)
    converter.register_unstructure_hook(
        bytes, lambda value: base64.b64encode(value).decode()
    )
    converter.register_unstructure_hook(
        enum.StrEnum, lambda value: value.value
    )
    converter.register_unstructure_hook_factory(
        lambda cls: attrs.has(cls) and bool(_omitted_fields(cls)),
        lambda cls: cattrs.gen.make_dict_unstructure_fn(
            cls, converter, **_omitted_fields(cls)
        ),
    )
    converter.register_structure_hook_factory(
        attrs.has,
        lambda cls: _require_mapping(
            cattrs.gen.make_dict_structure_fn(
                cls,
                converter,
                _cattrs_forbid_extra_keys=True,
                _cattrs_detailed_validation=True,
                **_checked_fields(cls, converter),
            )
        ),
    )
    return converter


def _omitted_fields(cls: type) -> dict[str, typing.Any]:
    return {
        field.name: cattrs.override(omit_if_default=True)
        for field in attrs.fields(cls)
        if field.metadata == OMIT_DEFAULT
    }


def _checked_fields(
    cls: type, converter: cattrs.Converter
) -> dict[str, typing.Any]:
    # The constructor runs validators too, but stops at the first fault
    # and can't say which key it belongs to; here each gets its own path.
    return {
        field.name: cattrs.override(struct_hook=_checked(field, converter))
        for field in attrs.fields(cls)
        if field.validator is not None
    }


def _checked(
    field: attrs.Attribute, converter: cattrs.Converter
) -> collections.abc.Callable:
    def read(value: object, kind: typing.Any) -> object:
        checked = converter.structure(value, kind)
        field.validator(None, field, checked)
        return checked

    return read


def _require_mapping(read: collections.abc.Callable) -> typing.Any:
    def checked(value: object, kind: type) -> object:
        if not isinstance(value, dict):
            found = type(value).__name__
            raise _WrongType(f'expected a mapping, found {found}')
        return read(value, kind)

    return checked


_CONVERTER = _make_converter()


def structure(raw: object, kind: type[_Target]) -> _Target:
    """Reads plain data, as YAML or JSON give it, into an attrs class.

    Args:
        raw: Mappings, lists and scalars.
        kind: The attrs class to build.

    Returns:
        The checked object.

    Raises:
        errors.CheckFailed: With one problem for each thing that is wrong.
    """
    try:
        return _CONVERTER.structure(raw, kind)
    except Exception as error:
        raise errors.CheckFailed(tuple(_problems(error, ''))) from error


def unstructure(value: object) -> typing.Any:
    """Turns an attrs object into mappings, lists and scalars.

    Byte strings become base64 text and enumerations their values.
    """
    return _CONVERTER.unstructure(value)


def _problems(
    error: BaseException, path: str
) -> collections.abc.Iterator[errors.Problem]:
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield errors.Problem(
                _join(path, str(key)),
                errors.ResultCode.UNKNOWN_KEY,
                'there is no such key',
            )
    elif isinstance(error, cattrs.errors.IterableValidationError):
        for inner, note in _with_notes(error, cattrs.IterableValidationNote):
            where = path if note is None else f'{path}[{note.index}]'
            yield from _problems(inner, where)
    elif isinstance(error, cattrs.errors.ClassValidationError):
        for inner, note in _with_notes(error, cattrs.AttributeValidationNote):
            where = path if note is None else _join(path, note.name)
            yield from _problems(inner, where)
    else:
        yield _leaf(error, path)


def _leaf(error: BaseException, path: str) -> errors.Problem:
    code = errors.ResultCode.INVALID_VALUE
    detail = str(error)
    if isinstance(error, _WrongType):
        code = errors.ResultCode.WRONG_TYPE
    elif isinstance(error, KeyError):
        code = errors.ResultCode.MISSING_KEY
        path = path or str(error.args[0])
        detail = 'a required key is missing'
    elif isinstance(error, TypeError):
        code = errors.ResultCode.WRONG_TYPE
    return errors.Problem(path or '(top)', code, detail)


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _with_notes(
    group: BaseExceptionGroup, kind: type
) -> collections.abc.Iterator[tuple[BaseException, typing.Any]]:
    for inner in group.exceptions:
        notes = getattr(inner, '__notes__', ())
        found = [note for note in notes if isinstance(note, kind)]
        yield inner, found[-1] if found else None
