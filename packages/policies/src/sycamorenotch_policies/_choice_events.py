"""Events of outlier ejection and of load reports of upstream workers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(3101, "upstream.report-contradicted", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LoadReportContradicted(Event):
    """A load report contradicts observed outcomes, so its weight is reduced."""

    worker: str
    trust: float


@event(3102, "upstream.ejected", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class WorkerEjected(Event):
    """A failing worker is ejected and gets no requests until a probe succeeds."""

    worker: str
    seconds: float
    failures_in_row: int


@event(3103, "upstream.ejection-bounded", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class EjectionBounded(Event):
    """A failing worker is not ejected because the limit on ejections is reached."""

    worker: str
    ejected: int
    workers: int


@event(3104, "upstream.probing")
@final
@dataclass(frozen=True, slots=True)
class WorkerProbing(Event):
    """An ejected worker is probed with one request at a time until one succeeds."""

    worker: str


@event(3105, "upstream.readmitted")
@final
@dataclass(frozen=True, slots=True)
class WorkerReadmitted(Event):
    """A worker that was ejected or leaving is usable again and ramps up."""

    worker: str


@event(3106, "upstream.leaving")
@final
@dataclass(frozen=True, slots=True)
class WorkerLeaving(Event):
    """A worker is leaving and gets no new requests from this instance."""

    worker: str
