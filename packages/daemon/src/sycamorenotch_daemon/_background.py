"""Background turns whose failures are events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event
from sycamorenotch_transport import PeriodicFunction
from sycamorenotch_transport import PeriodicTask


@event(4390, "background.turn-failed", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class TurnFailed(Event):
    """A component's turn raised an exception; the next turn comes as usual."""

    turn: str
    error: str


def background(reactor: Any, sink: EventSink, turn: PeriodicFunction) -> PeriodicTask:
    """Return a sequence of turns that reports failures to a sink."""
    return PeriodicTask(
        reactor, turn, lambda name, error: sink.emit(TurnFailed(name, error))
    )
