"""Periodic background tasks whose failures are emitted as events."""

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
    """A run of a periodic task raised an exception; it runs again after a delay."""

    turn: str
    error: str


def make_periodic_task(
    reactor: Any, sink: EventSink, turn: PeriodicFunction
) -> PeriodicTask:
    """Return a periodic task that emits an event when a run fails.

    :param turn: does one run and returns the delay before the next; its qualified
        name identifies the task in the event.
    """
    return PeriodicTask(
        reactor, turn, lambda name, error: sink.emit(TurnFailed(name, error))
    )
