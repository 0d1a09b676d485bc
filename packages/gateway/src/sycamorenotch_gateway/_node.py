"""Context shared by the components of one gateway."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from typing import ClassVar
from typing import Protocol
from typing import TypeVar
from typing import cast
from typing import final

from sycamorenotch_gateway._dialect import Dialect
from sycamorenotch_gateway._events import GatewayTurnFailed
from sycamorenotch_gateway._settings import GatewaySettings
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import ObjectFeed
from sycamorenotch_transport import PeriodicFunction
from sycamorenotch_transport import PeriodicTask
from sycamorenotch_transport import ResponseBuffers

T = TypeVar("T")


def read_boot_clock() -> float:
    """Return the time since the machine started, suspensions included, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class GatewayComponent(Protocol):
    """A component of the gateway.

    Components are built and started after those named in ``after``, and stopped
    in reverse order.
    """

    after: ClassVar[tuple[str, ...]]

    def start(self) -> None:
        """Start without waiting."""
        ...

    async def stop(self) -> None:
        """Stop; no task of the component runs after this returns."""
        ...


@final
@dataclass(slots=True)
class GatewayNode:
    """Settings, ports and services shared by the components.

    :param reactor: the event loop of the process.
    :param clock: returns the monotonic time in seconds.
    :param started: start on the wall clock, in Unix milliseconds.
    :param processor_clock: returns the processor time of the process in seconds.
    :param boot_clock: returns a time in seconds that also passes while the machine is
        suspended, unlike that of ``clock``.
    :param response_buffers: memory for answers of workers, peers and the store.
    :param stopping_since: start of the shutdown on ``clock``, or ``None``.
    """

    settings: GatewaySettings
    reactor: Any
    clock: Callable[[], float]
    started: int
    random: Random
    sink: EventSink
    feed: ObjectFeed
    dialect: Dialect
    processor_clock: Callable[[], float]
    boot_clock: Callable[[], float] = read_boot_clock
    response_buffers: ResponseBuffers = field(default_factory=ResponseBuffers)
    stopping_since: float | None = None
    _provided: dict[type, object] = field(default_factory=dict)

    @property
    def stopping(self) -> bool:
        """Whether the shutdown has begun."""
        return self.stopping_since is not None

    def background(self, turn: PeriodicFunction) -> PeriodicTask:
        """Return a background task that logs the failures of its turns."""
        return PeriodicTask(self.reactor, turn, self._report_turn_failure)

    def provide(self, kind: type[T], value: T) -> None:
        """Register a service for the components that are built later."""
        self._provided[kind] = value

    def require(self, kind: type[T]) -> T:
        """Return the service of a component that has been built.

        :raises LookupError: if no built component provides it.
        """
        if kind not in self._provided:
            raise LookupError(f"no component provides {kind.__name__}")
        return cast(T, self._provided[kind])

    def _report_turn_failure(self, turn: str, error: str) -> None:
        self.sink.emit(GatewayTurnFailed(turn, error))
