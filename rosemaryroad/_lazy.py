"""Public modules whose private ones are imported when they are first used."""

import collections.abc
import importlib
import sys

_NamesByModule = collections.abc.Mapping[str, tuple[str, ...]]


def importer(
    package: str, names_by_module: _NamesByModule
) -> collections.abc.Callable[[str], object]:
    """Returns the ``__getattr__`` of a package.

    Args:
        package: The package.
        names_by_module: What it offers, by the private module of each name.
    """
    module_by_name = {
        name: module
        for module, names in names_by_module.items()
        for name in names
    }

    def find(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f'{package} has no {name}')
        value = getattr(importlib.import_module(f'{package}.{module}'), name)
        setattr(sys.modules[package], name, value)
        return value

    return find


def names(names_by_module: _NamesByModule) -> list[str]:
    """Returns all names that a package offers, for its ``__all__``."""
    return sorted(
        name for offered in names_by_module.values() for name in offered
    )
