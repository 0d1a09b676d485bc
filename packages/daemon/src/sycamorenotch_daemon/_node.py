"""The context that the components of one daemon share."""

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

from sycamorenotch_daemon._events import ConfigurationInForceChanged
from sycamorenotch_documents import DaemonSettings
from sycamorenotch_kernel import Clock
from sycamorenotch_kernel import DecisionLog
from sycamorenotch_kernel import Directory
from sycamorenotch_kernel import Drain
from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import IdentifierSource
from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import Store

T = TypeVar("T")


class Component(Protocol):
    """A part of the daemon that is started and stopped.

    A component is started after the components that its ``after`` names.
    Components are stopped in reverse order.
    """

    after: ClassVar[tuple[str, ...]]

    async def start(self) -> None:
        """Start the component; it is usable when this returns."""
        ...

    async def stop(self) -> None:
        """Stop the component; none of its tasks run when this returns."""
        ...


@final
@dataclass(frozen=True, slots=True)
class ServedConfiguration:
    """The configuration that a daemon serves.

    :param generation: the store's version of the document.
    :param digest: hash of the stored value in hexadecimal.
    :param text: the whole stored value, including the document's metadata, for
        pushes to peers.
    """

    environment: Environment
    generation: int
    digest: str
    text: str
    drains: tuple[Drain, ...] = ()


Subscriber = Callable[[ServedConfiguration], None]


@final
class ConfigurationInForce:
    """Holds the configuration in force; its generation never decreases."""

    def __init__(self, sink: EventSink, invariants: InvariantMonitor) -> None:
        self._sink = sink
        self._invariants = invariants
        self._current: ServedConfiguration | None = None
        self._subscribers: list[Subscriber] = []

    @property
    def current(self) -> ServedConfiguration | None:
        """The configuration in force, or None before the first one."""
        return self._current

    @property
    def generation(self) -> int:
        """The generation in force, or 0."""
        return 0 if self._current is None else self._current.generation

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with the configuration in force, if any, and newer ones."""
        self._subscribers.append(subscriber)
        if self._current is not None:
            subscriber(self._current)

    def put(self, candidate: ServedConfiguration) -> bool:
        """Put a candidate in force if its generation is newer.

        :return: whether the candidate was put in force.
        """
        if not self._supersedes(candidate):
            return False
        is_newer = candidate.generation > self.generation
        detail = f"{self.generation} to {candidate.generation}"
        if not self._invariants.holds(Invariant.I9, is_newer, detail):
            return False
        self._current = candidate
        self._sink.emit(
            ConfigurationInForceChanged(candidate.generation, candidate.digest)
        )
        for subscriber in self._subscribers:
            subscriber(candidate)
        return True

    def _supersedes(self, candidate: ServedConfiguration) -> bool:
        current = self._current
        return current is None or current.generation < candidate.generation


@final
@dataclass(slots=True)
class Node:
    """Dependencies, state and service registry that a daemon's components share.

    :param reactor: the reactor of the process.
    :param token: bearer token of the operators' listener.
    :param peer_key: shared key that authenticates peers; empty to disable peers.
    :param stopping: whether the daemon is shutting down.
    :param linger: whether shutdown waits until earlier look-up answers expire.
    """

    settings: DaemonSettings
    reactor: Any
    clock: Clock
    random: Random
    sink: EventSink
    decisions: DecisionLog
    invariants: InvariantMonitor
    store: Store
    directory: Directory
    token: str
    peer_key: bytes = b""
    stopping: bool = False
    linger: bool = True
    ids: IdentifierSource = field(init=False)
    configuration: ConfigurationInForce = field(init=False)
    _services: dict[type, object] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ids = IdentifierSource(self.random)
        self.configuration = ConfigurationInForce(self.sink, self.invariants)

    def provide(self, service_type: type[T], value: T) -> None:
        """Register a component's service for other components."""
        self._services[service_type] = value

    def require(self, service_type: type[T]) -> T:
        """Return a registered service.

        :raises LookupError: if no component built so far provides it.
        """
        if service_type not in self._services:
            raise LookupError(f"no component provides {service_type.__name__}")
        return cast(T, self._services[service_type])

    def find(self, service_type: type[T]) -> T | None:
        """Return a registered service, or None if no component provides it."""
        return cast("T | None", self._services.get(service_type))
