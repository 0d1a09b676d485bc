"""Builds, starts and stops the components of a gateway."""

from __future__ import annotations

from typing import Any
from typing import final

from sycamorenotch_gateway._events import GatewayStarted
from sycamorenotch_gateway._front_end import GatewayFrontEnd
from sycamorenotch_gateway._node import GatewayComponent
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_kernel import gateway_components
from sycamorenotch_kernel import sort_by_dependencies


@final
class Gateway:
    """One instance, which forwards requests of callers to workers.

    :param node: the context that the components share.
    """

    def __init__(self, node: GatewayNode) -> None:
        self.node = node
        self._components: tuple[GatewayComponent, ...] = tuple(
            factory(node) for factory in sort_by_dependencies(gateway_components)
        )

    @property
    def addresses(self) -> dict[str, str]:
        """``IP:port`` of each listener by its name, after :meth:`start`."""
        return self.node.require(GatewayFrontEnd).addresses

    def start(self) -> None:
        """Start the components in the order of their dependencies."""
        for component in self._components:
            component.start()
        settings = self.node.settings
        placement = settings.placement
        self.node.sink.emit(
            GatewayStarted(
                settings.instance,
                placement.region,
                placement.data_centre,
                settings.callers,
            )
        )

    async def stop(self, *_: Any) -> None:
        """Drain this instance, finish requests in flight, and stop.

        Further calls return at once.
        """
        if self.node.stopping:
            return
        self.node.stopping_since = self.node.clock()
        for component in reversed(self._components):
            await component.stop()
