"""Invariants that are checked at run time."""

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
    """Statements that always hold; the value is the statement in brief."""

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
    """An invariant check failed and the decision was refused.

    :param invariant: member name of the invariant.
    :param statement: what the invariant states.
    :param detail: values that violated it.
    """

    invariant: str
    statement: str
    detail: str


class InvariantError(AssertionError):
    """Raised by a strict monitor when an invariant is violated."""


@final
class InvariantMonitor:
    """Checks invariants, and counts and reports violations.

    :param sink: receives an event for each violation.
    :param strict: whether a violation raises an error; tests set this.
    """

    def __init__(self, sink: EventSink, *, strict: bool = False) -> None:
        self._sink = sink
        self._strict = strict
        self.violations = dict.fromkeys(Invariant, 0)

    def holds(self, invariant: Invariant, condition: bool, detail: str) -> bool:
        """Return the condition, and report a violation if it is false.

        The caller must refuse the decision if the result is false.

        :param detail: values to report with a violation.
        :raises InvariantError: if the condition is false and the monitor is
            strict.
        """
        if condition:
            return True
        self.violations[invariant] += 1
        self._sink.emit(InvariantViolated(invariant.name, invariant.value, detail))
        if self._strict:
            raise InvariantError(f"{invariant.name}: {invariant.value}: {detail}")
        return False
