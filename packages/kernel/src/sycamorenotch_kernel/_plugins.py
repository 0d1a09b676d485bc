"""Discovery of plug-in modules through one entry-point group."""

from __future__ import annotations

import pkgutil
from importlib import import_module
from importlib import metadata

PLUGIN_GROUP = "sycamorenotch.plugins"


def load_plugins(group: str = PLUGIN_GROUP) -> tuple[str, ...]:
    """Import every plug-in module of an entry-point group.

    The modules register their values when they are imported. A second call has
    no effect, because Python imports each module once.

    :param group: entry-point group to search.
    :return: names of the modules, in import order.
    """
    found = sorted(metadata.entry_points(group=group), key=lambda point: point.value)
    return tuple(point.load().__name__ for point in found)


def import_private_modules(package: str) -> tuple[str, ...]:
    """Import the private modules of a package so that they register their values.

    :param package: fully qualified name of the package.
    :return: fully qualified names of the modules, in import order.
    """
    paths = import_module(package).__path__
    names = sorted(module.name for module in pkgutil.iter_modules(paths))
    private = tuple(f"{package}.{name}" for name in names if name.startswith("_"))
    for name in private:
        import_module(name)
    return private
