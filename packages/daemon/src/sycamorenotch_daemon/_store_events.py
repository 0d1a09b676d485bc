"""Events of the guard around the store adapter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(4001, "store.breaker-opened", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class StoreBreakerOpened(Event):
    """Consecutive store calls failed; all calls but occasional probes are rejected."""

    detail: str


@event(4002, "store.breaker-closed")
@final
@dataclass(frozen=True, slots=True)
class StoreBreakerClosed(Event):
    """A call succeeded after the circuit breaker had opened; calls are sent again."""


@event(4003, "store.budget-exceeded", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class StoreBudgetExceeded(Event):
    """A store call was rejected by the rate limit of this daemon."""

    call: str
