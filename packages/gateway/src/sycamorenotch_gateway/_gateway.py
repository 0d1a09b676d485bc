"""Builds, starts and stops the components of one gateway."""

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
    """One instance of the system that forwards requests.

    :param node: the context that the components share.
    """

    def __init__(self, node: GatewayNode) -> None:
        self.node = node
        self._components: tuple[GatewayComponent, ...] = tuple(
            factory(node) for factory in sort_by_dependencies(gateway_components)
        )

    @property
    def addresses(self) -> dict[str, str]:
        """``IP:port`` of each listener by its name, once it has started."""
        return self.node.require(GatewayFrontEnd).addresses

    def start(self) -> None:
        """Start every component in order."""
        for component in self._components:
            component.start()
        settings = self.node.settings
        place = settings.placement
        self.node.sink.emit(
            GatewayStarted(
                settings.instance, place.region, place.data_centre, settings.callers
            )
        )

    async def stop(self, *_: Any) -> None:
        """Leave the look-up answers, finish what is in flight, and stop."""
        if self.node.stopping:
            return
        self.node.stopping_since = self.node.clock()
        for component in reversed(self._components):
            await component.stop()
