"""Events about the choice of an upstream worker."""

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
    """A load report disagrees with observed outcomes and loses weight."""

    worker: str
    trust: float


@event(3102, "upstream.ejected", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class WorkerEjected(Event):
    """A failing worker gets no new work until a probe succeeds."""

    worker: str
    seconds: float
    failures_in_row: int


@event(3103, "upstream.ejection-bounded", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class EjectionBounded(Event):
    """A failing worker stays in use because too many are ejected already."""

    worker: str
    ejected: int
    workers: int


@event(3104, "upstream.probing")
@final
@dataclass(frozen=True, slots=True)
class WorkerProbing(Event):
    """An ejected worker gets one request at a time until one is answered."""

    worker: str


@event(3105, "upstream.readmitted")
@final
@dataclass(frozen=True, slots=True)
class WorkerReadmitted(Event):
    """A worker that was ejected or leaving is ramped up again."""

    worker: str


@event(3106, "upstream.leaving")
@final
@dataclass(frozen=True, slots=True)
class WorkerLeaving(Event):
    """A worker is leaving and gets no new work from this instance."""

    worker: str
