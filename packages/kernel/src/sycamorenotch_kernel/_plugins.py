"""Discovery of plug-in modules through one entry-point group."""

from __future__ import annotations

from importlib import metadata

PLUGIN_GROUP = "sycamorenotch.plugins"


def load_plugins(group: str = PLUGIN_GROUP) -> tuple[str, ...]:
    """Import every plug-in module, which registers its values.

    Importing a module twice has no effect, so that the call is idempotent.

    :param group: entry-point group to search.
    :return: names of the modules, in the order of import.
    """
    found = sorted(metadata.entry_points(group=group), key=lambda point: point.value)
    return tuple(point.load().__name__ for point in found)
