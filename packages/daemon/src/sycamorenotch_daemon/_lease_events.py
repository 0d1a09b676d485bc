"""Events of the plan's lease."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(4301, "lease.acquired")
@final
@dataclass(frozen=True, slots=True)
class LeaseAcquired(Event):
    """This instance is the holder of the lease and makes the plan."""

    lease: str
    term: int


@event(4302, "lease.lost", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LeaseLost(Event):
    """This instance may no longer act as the holder.

    Its lease was not renewed in time, or another instance has taken it.
    """

    lease: str
    term: int
    holder: str


@event(4303, "lease.released")
@final
@dataclass(frozen=True, slots=True)
class LeaseReleased(Event):
    """This instance stops and has given the lease up."""

    lease: str
    term: int


@event(4304, "lease.store-failed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LeaseStoreFailed(Event):
    """The lease could not be read or written; it is tried again with back-off.

    Emitted for the first of several failures in a row.
    """

    lease: str
    detail: str
