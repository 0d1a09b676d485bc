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

    Components are started after those that they name in ``after`` and are
    stopped in the opposite order.
    """

    after: ClassVar[tuple[str, ...]]

    async def start(self) -> None:
        """Start; the component is usable when this returns."""
        ...

    async def stop(self) -> None:
        """Stop; nothing of the component runs when this returns."""
        ...


@final
@dataclass(frozen=True, slots=True)
class InForce:
    """The configuration that a daemon serves.

    :param generation: the store's version of the document.
    :param digest: hash of the stored value.
    :param text: the stored value as text, with the header that goes with the
        document, so that peers can be given all of it.
    """

    environment: Environment
    generation: int
    digest: str
    text: str
    drains: tuple[Drain, ...] = ()


Listener = Callable[[InForce], None]


@final
class ConfigurationInForce:
    """Holds the configuration in force; its generation never decreases."""

    def __init__(self, sink: EventSink, invariants: InvariantMonitor) -> None:
        self._sink = sink
        self._invariants = invariants
        self._current: InForce | None = None
        self._listeners: list[Listener] = []

    @property
    def current(self) -> InForce | None:
        """The configuration in force, if there is one."""
        return self._current

    @property
    def generation(self) -> int:
        """The generation in force, or 0."""
        return 0 if self._current is None else self._current.generation

    def subscribe(self, listener: Listener) -> None:
        """Call a function now, if possible, and for each newer generation."""
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    def put(self, candidate: InForce) -> bool:
        """Put a newer generation in force.

        :return: whether the candidate is in force now.
        """
        if not self._supersedes(candidate):
            return False
        newer = candidate.generation > self.generation
        detail = f"{self.generation} to {candidate.generation}"
        if not self._invariants.holds(Invariant.I9, newer, detail):
            return False
        self._current = candidate
        self._sink.emit(
            ConfigurationInForceChanged(candidate.generation, candidate.digest)
        )
        for listener in self._listeners:
            listener(candidate)
        return True

    def _supersedes(self, candidate: InForce) -> bool:
        current = self._current
        return current is None or current.generation < candidate.generation


@final
@dataclass(slots=True)
class Node:
    """Everything that components of one daemon share.

    :param reactor: the one loop of the process.
    :param token: bearer token of the operators' listener.
    :param linger: whether a stop waits until earlier look-up answers have run out.
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
    _provided: dict[type, object] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ids = IdentifierSource(self.random)
        self.configuration = ConfigurationInForce(self.sink, self.invariants)

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

    def find(self, kind: type[T]) -> T | None:
        """Return the service of a component, if one provides it."""
        return cast("T | None", self._provided.get(kind))
