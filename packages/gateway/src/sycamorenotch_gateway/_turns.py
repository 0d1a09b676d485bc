"""Turns of the loop in which the input of the clients of all listeners is parsed."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies.client_turns import AheadShares
from sycamorenotch_policies.client_turns import ClientTurns
from sycamorenotch_transport import TurnSchedule


def _ignore() -> None:
    """Report nothing."""


@gateway_components.register("turns")
@final
class Turns:
    """Shares the turns among the clients of all listeners, as these share the loop."""

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: GatewayNode) -> None:
        # Set by the component that reports what clients use.
        self.on_held_back: Callable[[], None] = _ignore
        self.schedule = TurnSchedule(
            node.reactor, ClientTurns(), lambda: self.on_held_back()
        )
        self.shares = AheadShares()
        node.provide(Turns, self)

    def start(self) -> None:
        """Do nothing; the listeners add clients to the schedule."""

    async def stop(self) -> None:
        """Do nothing; the listeners close their clients."""
