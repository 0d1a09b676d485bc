"""The configuration that a gateway applies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._customer_events import CustomersChanged
from sycamorenotch_gateway._events import ConfigurationApplied
from sycamorenotch_gateway._events import ConfigurationIgnored
from sycamorenotch_gateway._events import ConfigurationRejected
from sycamorenotch_gateway._follower import Follower
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import RouteTable

ConfigurationListener = Callable[[ForwardingConfiguration], None]


@gateway_components.register("routes")
@final
class Routes:
    """Holds the newest configuration; its version never decreases.

    Revisions do not order configurations, as the store may give them out again.
    """

    after: ClassVar[tuple[str, ...]] = ("relay", "sources")

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.table: RouteTable | None = None
        self._follower = Follower(node, Topic.CONFIGURATION, self._apply_batch, self)
        # The object with the configuration in force.
        self._item: Item | None = None
        self._listeners: list[ConfigurationListener] = []
        node.provide(Routes, self)

    def start(self) -> None:
        """Follow the configuration."""
        self._follower.start()

    async def stop(self) -> None:
        """Stop following the topic; the configuration stays in force."""
        self._follower.stop()

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Register a function that is called with each applied configuration."""
        self._listeners.append(listener)

    @property
    def version(self) -> int:
        """Version of the configuration in force, or 0 if there is none."""
        return 0 if self.table is None else self.table.configuration.version

    @property
    def age_s(self) -> float:
        """Time since the moment up to which the configuration is current, in seconds.

        It is infinite if no such moment is known.
        """
        return self._follower.age_s

    @property
    def lost(self) -> bool:
        """Whether the last call to the store for the configuration failed."""
        return self._follower.lost

    async def refresh(self, *, asks_store: bool) -> None:
        """Ask the store once, or else a peer, whether the configuration is current."""
        await self._follower.refresh(asks_store=asks_store)

    def apply(self, configuration: ForwardingConfiguration, era: int = 0) -> None:
        """Apply a configuration if it is newer than the one in force.

        :param era: era of the store in which it was read.
        """
        current = self.table
        if current is not None and (
            current.configuration.version >= configuration.version
        ):
            if current.configuration != configuration:
                self._report_ignored(configuration, current.configuration)
            return
        self.table = RouteTable(configuration)
        self._node.sink.emit(
            ConfigurationApplied(
                configuration.version,
                configuration.revision,
                len(configuration.routes),
                era,
                self._follower.source,
            )
        )
        known = 0 if current is None else len(current.customers)
        if known != len(self.table.customers):
            self._node.sink.emit(
                CustomersChanged(
                    configuration.version, len(self.table.customers), known
                )
            )
        for listener in self._listeners:
            listener(configuration)

    def _report_ignored(
        self, ignored: ForwardingConfiguration, in_force: ForwardingConfiguration
    ) -> None:
        self._node.sink.emit(
            ConfigurationIgnored(
                ignored.version, ignored.revision, in_force.version, in_force.revision
            )
        )

    def _apply_batch(self, batch: Batch, is_snapshot: bool) -> None:
        for item in batch.items:
            if item.problem:
                self._node.sink.emit(
                    ConfigurationRejected(item.name, item.revision, item.problem)
                )
            elif not item.removed and item.value is not None:
                self.apply(item.value, batch.era)
                if self._item is None or item.value.version > self._item.value.version:
                    self._item = item

    def keep_newest(self, batch: Batch, is_snapshot: bool) -> Batch:
        """Put the configuration in force in place of an older one, for peers.

        A snapshot without any gets it too.
        """
        newest, batch = self._item, replace(batch, version=self.version)
        if newest is None:
            return batch
        others = tuple(item for item in batch.items if item.name != newest.name)
        if not is_snapshot and len(others) == len(batch.items):
            return batch
        current = next((i for i in batch.items if i.name == newest.name), newest)
        if current.problem:
            # Readers report the problem, and those without a configuration need one.
            items = (*batch.items, newest) if is_snapshot else batch.items
        elif current.value is None or current.value.version < newest.value.version:
            items = (*others, newest)
        else:
            items = (*others, current)
        return replace(batch, items=items)
