"""The context that the components of one gateway share."""

from __future__ import annotations

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

T = TypeVar("T")


class GatewayComponent(Protocol):
    """A part of the gateway.

    Components are built and started after those that they name in ``after``
    and are stopped in the opposite order.
    """

    after: ClassVar[tuple[str, ...]]

    def start(self) -> None:
        """Start; must not wait."""
        ...

    async def stop(self) -> None:
        """Stop; nothing of the component runs when this returns."""
        ...


@final
@dataclass(slots=True)
class GatewayNode:
    """Everything that components of one gateway share.

    :param reactor: the one loop of the process.
    :param clock: seconds on the monotonic clock.
    :param processor_clock: processor time of the process in seconds.
    :param started: wall clock milliseconds of the start.
    :param stopping_since: moment of the order to stop, if it came.
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
    stopping_since: float | None = None
    _provided: dict[type, object] = field(default_factory=dict)

    @property
    def stopping(self) -> bool:
        """Whether the order to stop has come."""
        return self.stopping_since is not None

    def background(self, turn: PeriodicFunction) -> PeriodicTask:
        """Return a sequence of turns that reports failures to the log."""
        return PeriodicTask(self.reactor, turn, self._turn_failed)

    def provide(self, kind: type[T], value: T) -> None:
        """Offer a component's service to other components."""
        self._provided[kind] = value

    def require(self, kind: type[T]) -> T:
        """Return the service of a component that has been built.

        :raises LookupError: if no component provides it.
        """
        if kind not in self._provided:
            raise LookupError(f"no component provides {kind.__name__}")
        return cast(T, self._provided[kind])

    def _turn_failed(self, turn: str, error: str) -> None:
        self.sink.emit(GatewayTurnFailed(turn, error))
