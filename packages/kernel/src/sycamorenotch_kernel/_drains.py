"""Drains: what operators have taken out of service."""

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
    """An instance, upstream or data centre that receives no new requests.

    :param name: name of the instance, upstream worker or data centre.
    :param author: operator who requested the drain.
    :param at: wall clock time of the request.
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
        """The drains in force, in the order in which operators requested them."""
        return self._current

    def replace(self, drains: Iterable[Drain]) -> None:
        """Replace all drains in force."""
        self._current = tuple(drains)
        self._names = frozenset((d.kind, d.name) for d in self._current)

    def covers_worker(self, worker: Worker) -> bool:
        """Return whether an upstream worker or its data centre is drained."""
        named = (DrainKind.UPSTREAM, worker.name) in self._names
        return named or self._covers_data_centre(worker.data_centre)

    def covers_instance(self, instance: ListedInstance) -> bool:
        """Return whether an instance or its data centre is drained.

        Look-up answers omit drained instances.
        """
        named = (DrainKind.INSTANCE, instance.id) in self._names
        return named or self._covers_data_centre(instance.data_centre)

    def _covers_data_centre(self, name: str) -> bool:
        return (DrainKind.DATA_CENTRE, name) in self._names
