"""Events of the guard in front of the store."""

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
    """Store calls failed in a row; calls are refused but for a few probes."""

    detail: str


@event(4002, "store.breaker-closed")
@final
@dataclass(frozen=True, slots=True)
class StoreBreakerClosed(Event):
    """The store answered a probe; calls are admitted again."""


@event(4003, "store.budget-exceeded", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class StoreBudgetExceeded(Event):
    """A store call was refused because the call budget is used up."""

    call: str
