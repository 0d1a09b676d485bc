"""Invariants asserted while the program runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import final

from sycamorenotch_kernel._events import Event
from sycamorenotch_kernel._events import EventSink
from sycamorenotch_kernel._events import Severity
from sycamorenotch_kernel._events import event


@final
@unique
class Invariant(Enum):
    """Statements that hold at every moment; the value is the short text."""

    I1 = "traffic moved in a window is at most the shift cap"
    I2 = "grants in force are at most the usable capacity"
    I3 = "traffic over a link is at most its budget"
    I4 = "an answer is whole and belongs to its request"
    I5 = "a request stated as not run did not run"
    I6 = "a non-idempotent request is dispatched at most once for its key"
    I7 = "a leaving upstream gets no new work after the bound"
    I8 = "a stop cuts no request in flight within the drain bound"
    I9 = "the configuration generation in force never decreases"
    I10 = "each rank keeps its floor and the urgent rank is served first"


@event(1001, "invariant.violated", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class InvariantViolated(Event):
    """An assertion failed and the decision was replaced by a refusal."""

    invariant: str
    statement: str
    detail: str


class InvariantError(AssertionError):
    """Raised for a violation when the monitor is strict."""


@final
class InvariantMonitor:
    """Counts and reports violations.

    :param sink: receives an event for each violation.
    :param strict: whether a violation raises, as it does in tests.
    """

    def __init__(self, sink: EventSink, *, strict: bool = False) -> None:
        self._sink = sink
        self._strict = strict
        self.violations = dict.fromkeys(Invariant, 0)

    def holds(self, invariant: Invariant, condition: bool, detail: str) -> bool:
        """Report a violation unless the condition is true.

        A caller must refuse the decision when this returns false.

        :raises InvariantError: if the condition is false and the monitor strict.
        """
        if condition:
            return True
        self.violations[invariant] += 1
        self._sink.emit(InvariantViolated(invariant.name, invariant.value, detail))
        if self._strict:
            raise InvariantError(f"{invariant.name}: {invariant.value}: {detail}")
        return False
