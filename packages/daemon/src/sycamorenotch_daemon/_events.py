"""Events of the daemon and the sink that writes them with eliot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from eliot import log_message

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(2001, "daemon.started")
@final
@dataclass(frozen=True, slots=True)
class DaemonStarted(Event):
    """Every component of the daemon has started."""

    instance: str
    callers: str
    operators: str


@event(2002, "daemon.stopping")
@final
@dataclass(frozen=True, slots=True)
class DaemonStopping(Event):
    """The daemon left the look-up answers and drains its calls in flight."""

    instance: str


@event(2003, "daemon.stopped")
@final
@dataclass(frozen=True, slots=True)
class DaemonStopped(Event):
    """Every component of the daemon has stopped."""

    instance: str


@event(2101, "configuration.in-force")
@final
@dataclass(frozen=True, slots=True)
class ConfigurationInForceChanged(Event):
    """A newer configuration generation is in force on this instance."""

    generation: int
    digest: str


@event(2102, "configuration.invalid", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class ConfigurationInvalid(Event):
    """The stored document is invalid; the configuration in force stays."""

    generation: int
    problems: str


@event(2103, "configuration.unavailable", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ConfigurationUnavailable(Event):
    """The configuration could not be read; the one in force, if any, stays."""

    fault: str
    detail: str


@event(2201, "lookup.answered")
@final
@dataclass(frozen=True, slots=True)
class LookupAnswered(Event):
    """A caller's look-up was answered with a list of instances."""

    decision: str
    service: str
    region: str
    instances: str


@event(2301, "call.answered")
@final
@dataclass(frozen=True, slots=True)
class CallAnswered(Event):
    """A call was answered with the complete response of an upstream."""

    decision: str
    route: str
    rank: str
    status: int


@event(2302, "call.refused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class CallRefused(Event):
    """A call was answered with an error."""

    decision: str
    route: str
    rank: str
    kind: str
    ran: str
    detail: str


@event(2303, "front-end.failed", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class FrontEndFailed(Event):
    """A front end raised an exception and answered with an internal error."""

    decision: str
    error: str


@final
class EliotSink:
    """Writes events as eliot messages."""

    def emit(self, event: Event) -> None:
        """Write one event."""
        log_message(
            event.name,
            event_number=event.number,
            severity=event.severity.value,
            **event.fields(),
        )
