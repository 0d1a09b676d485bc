"""Measures how long single turns of the event loop take."""

from __future__ import annotations

from typing import Any
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._events import LoopStalled
from sycamorenotch_gateway._metrics import GatewayMetrics
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_kernel import gateway_components

CHECK_INTERVAL_S = 0.1
# Callers notice a delay of all answers of this length.
STALL_S = 0.25


@gateway_components.register("loop-delay")
@final
class LoopDelay:
    """Counts how late timers run, as a turn of the loop delays all others.

    A turn of a certain length delays the next check by that less up to one interval.
    """

    after: ClassVar[tuple[str, ...]] = ("metrics",)

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._metrics = node.require(GatewayMetrics)
        self._due_at = 0.0
        self._timer: Any = None

    def start(self) -> None:
        """Start to measure."""
        self._schedule()

    async def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule(self) -> None:
        self._due_at = self._node.clock() + CHECK_INTERVAL_S
        self._timer = self._node.reactor.callLater(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        delay_s = max(0.0, self._node.clock() - self._due_at)
        self._metrics.observe_loop_delay(delay_s)
        if delay_s >= STALL_S:
            self._node.sink.emit(LoopStalled(round(delay_s, 3)))
        self._schedule()
