"""Order of registered plug-ins that name what they come after."""

from __future__ import annotations

from graphlib import TopologicalSorter
from typing import Any
from typing import TypeVar

from sycamorenotch_kernel._registry import Registry

T = TypeVar("T")


def ordered(registry: Registry[Any]) -> tuple[Any, ...]:
    """Return the registered values, each after those that it names.

    :raises ValueError: if the values name one another in a circle.
    """
    after = {entry.name: sorted(entry.value.after) for entry in registry}
    names = TopologicalSorter(after).static_order()
    return tuple(registry.get(name) for name in names if name in registry)
