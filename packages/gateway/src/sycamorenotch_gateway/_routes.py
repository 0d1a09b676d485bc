"""The configuration in force on a gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._events import ConfigurationApplied
from sycamorenotch_gateway._events import ConfigurationRejected
from sycamorenotch_gateway._follower import Follower
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import RouteTable

Listener = Callable[[ForwardingConfiguration], None]


@gateway_components.register("routes")
@final
class Routes:
    """Holds the newest configuration; its revision never decreases."""

    after: ClassVar[tuple[str, ...]] = ("relay",)

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.table: RouteTable | None = None
        self._follower = Follower(node, Topic.CONFIGURATION, self._receive)
        self._listeners: list[Listener] = []
        node.provide(Routes, self)

    def start(self) -> None:
        """Follow the configuration."""
        self._follower.start()

    async def stop(self) -> None:
        """Stop to follow; the configuration stays in force."""
        self._follower.stop()

    def subscribe(self, listener: Listener) -> None:
        """Call a function with each configuration that comes into force."""
        self._listeners.append(listener)

    @property
    def version(self) -> int:
        """Version in force, or 0."""
        return 0 if self.table is None else self.table.configuration.version

    def put(self, configuration: ForwardingConfiguration) -> None:
        """Put a configuration in force if it is newer than the present one."""
        known = self.table
        if known is not None and (
            known.configuration.revision >= configuration.revision
        ):
            return
        self.table = RouteTable(configuration)
        self._node.sink.emit(
            ConfigurationApplied(
                configuration.version,
                configuration.revision,
                len(configuration.routes),
            )
        )
        for listener in self._listeners:
            listener(configuration)

    def _receive(self, batch: Batch, whole: bool) -> None:
        for item in batch.items:
            if item.problem:
                self._node.sink.emit(
                    ConfigurationRejected(item.name, item.revision, item.problem)
                )
            elif not item.removed and item.value is not None:
                self.put(item.value)
