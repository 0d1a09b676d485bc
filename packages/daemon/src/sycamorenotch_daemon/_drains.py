"""Applies the drains of the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar
from typing import final

from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_kernel import Drains
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import components
from sycamorenotch_kernel import event


@event(2401, "drains.changed")
@final
@dataclass(frozen=True, slots=True)
class DrainsChanged(Event):
    """Another set of drains is in force on this instance."""

    generation: int
    drained: str


@components.register("drains")
@final
class DrainsComponent:
    """Provides the drains of the configuration in force to other components."""

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: Node) -> None:
        self._node = node
        self._drains = Drains()
        node.provide(Drains, self._drains)
        node.configuration.subscribe(self._on_configuration)

    async def start(self) -> None:
        """Do nothing; the drains are updated by configuration changes."""

    async def stop(self) -> None:
        """Do nothing; there is nothing to release."""

    def _on_configuration(self, in_force: ServedConfiguration) -> None:
        if in_force.drains == self._drains.current:
            return
        self._drains.replace(in_force.drains)
        drained_names = ", ".join(f"{d.kind.value} {d.name}" for d in in_force.drains)
        self._node.sink.emit(
            DrainsChanged(in_force.generation, drained_names or "nothing")
        )
