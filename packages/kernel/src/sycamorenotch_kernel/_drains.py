"""What operators have taken out of service."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from enum import unique
from typing import final

from sycamorenotch_kernel._environment import Worker
from sycamorenotch_kernel._ports import ListedInstance


@final
@unique
class DrainKind(Enum):
    """What a drain applies to."""

    INSTANCE = "instance"
    UPSTREAM = "upstream"
    DATA_CENTRE = "data-centre"


@final
@dataclass(frozen=True, slots=True)
class Drain:
    """One thing that gets no new work until the drain is undone.

    :param author: who ordered the drain.
    """

    kind: DrainKind
    name: str
    author: str
    at: datetime


@final
class Drains:
    """The drains in force on one instance."""

    def __init__(self) -> None:
        self._current: tuple[Drain, ...] = ()
        self._names: frozenset[tuple[DrainKind, str]] = frozenset()

    @property
    def current(self) -> tuple[Drain, ...]:
        """The drains in force, in the order in which they were made."""
        return self._current

    def replace(self, drains: Iterable[Drain]) -> None:
        """Put another set of drains in force."""
        self._current = tuple(drains)
        self._names = frozenset((d.kind, d.name) for d in self._current)

    def covers_worker(self, worker: Worker) -> bool:
        """Return whether an upstream worker gets no new work."""
        named = (DrainKind.UPSTREAM, worker.name) in self._names
        return named or self._covers_data_centre(worker.data_centre)

    def covers_instance(self, instance: ListedInstance) -> bool:
        """Return whether look-up answers leave an instance out."""
        named = (DrainKind.INSTANCE, instance.id) in self._names
        return named or self._covers_data_centre(instance.data_centre)

    def _covers_data_centre(self, name: str) -> bool:
        return (DrainKind.DATA_CENTRE, name) in self._names
