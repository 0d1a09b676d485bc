"""Events of single calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(2310, "admission.refused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class AdmissionRefused(Event):
    """Admission control refused a call before it was sent to a worker."""

    decision: str
    service: str
    rank: str
    kind: str
    detail: str


@event(2311, "admission.grant-changed")
@final
@dataclass(frozen=True, slots=True)
class GrantChanged(Event):
    """The number of slots of a service that the instance may use changed."""

    service: str
    slots: int


@event(2320, "retry.scheduled")
@final
@dataclass(frozen=True, slots=True)
class RetryScheduled(Event):
    """A failed attempt will be retried after a delay in seconds."""

    decision: str
    attempt: int
    kind: str
    seconds: float


@event(2321, "retry.refused")
@final
@dataclass(frozen=True, slots=True)
class RetryRefused(Event):
    """A failed attempt will not be retried."""

    decision: str
    attempt: int
    kind: str
    reason: str


@event(2330, "quarantine.refused", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class QuarantineRefused(Event):
    """A call was refused; its request stays in quarantine for some seconds."""

    decision: str
    signature: str
    seconds: float


@event(2331, "quarantine.entered", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class QuarantineEntered(Event):
    """A request was quarantined after several workers failed while running it."""

    decision: str
    signature: str
    worker: str


@event(2340, "health.report-missing", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class HealthReportMissing(Event):
    """A worker returned no valid report; its last one loses weight with age."""

    worker: str
    reason: str
