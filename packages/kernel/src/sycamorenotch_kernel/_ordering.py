"""Ordering of registered plug-ins by their declared dependencies."""

from __future__ import annotations

from graphlib import TopologicalSorter
from typing import Any
from typing import TypeVar

from sycamorenotch_kernel._registry import Registry

T = TypeVar("T")


def sort_by_dependencies(registry: Registry[Any]) -> tuple[Any, ...]:
    """Return the registered values in topological order.

    :param registry: registry whose values name their predecessors in ``after``;
        names that are not registered are ignored.
    :raises ValueError: if the dependencies form a cycle.
    """
    after = {entry.name: sorted(entry.value.after) for entry in registry}
    names = TopologicalSorter(after).static_order()
    return tuple(registry.get(name) for name in names if name in registry)
