"""Typed, numbered log events and their sinks."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Any
from typing import ClassVar
from typing import Protocol
from typing import TypeVar
from typing import final
from typing import runtime_checkable

from sycamorenotch_kernel._registry import Registry


@final
@unique
class Severity(Enum):
    """Severity of a log event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event:
    """Base class of all events; each subclass is a frozen data class.

    The docstring of a subclass is its entry in the event catalogue.
    """

    number: ClassVar[int]
    name: ClassVar[str]
    severity: ClassVar[Severity]

    def fields(self) -> dict[str, Any]:
        """Return the event's fields by name."""
        assert dataclasses.is_dataclass(self)
        return {f.name: getattr(self, f.name) for f in dataclasses.fields(self)}


events: Registry[type[Event]] = Registry("log event")

E = TypeVar("E", bound=type[Event])


def event(
    number: int, name: str, severity: Severity = Severity.INFO
) -> Callable[[E], E]:
    """Return a decorator that registers an event class under a number.

    :param number: unique number; its four digits are the registry name.
    :param name: dotted name, such as ``claim.created``.
    """

    def decorate(cls: E) -> E:
        cls.number = number
        cls.name = name
        cls.severity = severity
        return events.register(f"{number:04d}")(cls)

    return decorate


@runtime_checkable
class EventSink(Protocol):
    """Receives log events."""

    def emit(self, event: Event) -> None:
        """Record an event."""
        ...


@final
@dataclass(slots=True)
class EventList:
    """Event sink that keeps events in memory, for recorded runs and tests."""

    events: list[Event] = dataclasses.field(default_factory=list)

    def emit(self, event: Event) -> None:
        """Append an event to the list."""
        self.events.append(event)
