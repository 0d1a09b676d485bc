"""Events of the lease under which plans are written."""

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
    """This instance acquired the lease and makes the plan."""

    lease: str
    term: int


@event(4302, "lease.lost", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LeaseLost(Event):
    """This instance may no longer act as the lease holder.

    Its lease was not renewed in time, or another instance acquired it.
    """

    lease: str
    term: int
    holder: str


@event(4303, "lease.released")
@final
@dataclass(frozen=True, slots=True)
class LeaseReleased(Event):
    """This instance released the lease because it stops."""

    lease: str
    term: int


@event(4304, "lease.store-failed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LeaseStoreFailed(Event):
    """The lease could not be read or written; retried with backoff.

    Emitted only for the first of consecutive failures.
    """

    lease: str
    detail: str
