"""Reading of YAML and JSON files written by people."""

import collections.abc
import pathlib

import yaml

from rosemaryroad import errors

__all__ = ['load', 'loads']


class _UniqueKeysLoader(yaml.SafeLoader):
    """The safe loader, but a mapping that repeats a key is refused."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict:
        """Builds a mapping; YAML's own rule is that keys are unique.

        PyYAML keeps the last of two equal keys without a word, so an
        operator who adds a key that stands further down already would see
        no effect of the change.
        """
        seen: set[collections.abc.Hashable] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, collections.abc.Hashable) and key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f'key given twice: {key}', key_node.start_mark
                )
            if isinstance(key, collections.abc.Hashable):
                seen.add(key)
        return super().construct_mapping(node, deep)


def loads(text: str) -> object:
    """Reads YAML or JSON text, which is a subset of it.

    Raises:
        errors.CheckFailed: The text is not valid YAML; the problem names
            the line.
    """
    try:
        # The loader is a SafeLoader, so tags can't build other objects.
        return yaml.load(text, _UniqueKeysLoader)
    except (yaml.YAMLError, RecursionError) as error:
        raise _unreadable(' '.join(str(error).split())) from error


def load(path: pathlib.Path) -> object:
    """Reads a YAML or JSON file.

    Raises:
        errors.CheckFailed: The file can't be read or is not valid YAML.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise _unreadable(str(error)) from error
    return loads(text)


def _unreadable(detail: str) -> errors.CheckFailed:
    code = errors.ResultCode.UNREADABLE
    return errors.CheckFailed((errors.Problem('(file)', code, detail),), code)
