"""Events of traffic steering and grants."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(3301, "steering.measurement-stale", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class MeasurementStale(Event):
    """Worker reports of a region are too old; no traffic is moved to it."""

    service: str
    region: str
    age_s: float


@event(3302, "steering.measurement-missing", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class MeasurementMissing(Event):
    """No worker of a region has a report; the routes in force stay."""

    service: str
    region: str


@event(3303, "steering.report-contradicted", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ReportContradicted(Event):
    """A worker's report contradicts the outcome of requests sent to it."""

    worker: str
    reported_load: float
    failures: float
    detail: str


@event(3304, "steering.demand-stale", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class DemandStale(Event):
    """Demand for a service is unknown or stale; its routes stay."""

    service: str


@event(3305, "steering.shifted")
@final
@dataclass(frozen=True, slots=True)
class TrafficShifted(Event):
    """A plan moved part of a service's traffic to another region."""

    service: str
    rank: str
    clients: str
    source: str
    target: str
    share: float
    cause: str


@event(3306, "steering.shift-deferred", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class ShiftDeferred(Event):
    """A move of traffic was deferred by a limit."""

    service: str
    rank: str
    source: str
    share: float
    limit: str


@event(3307, "steering.region-unusable", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class RegionUnusable(Event):
    """No worker of a service is usable in a region."""

    service: str
    region: str


@event(3321, "grants.instance-gone")
@final
@dataclass(frozen=True, slots=True)
class InstanceGone(Event):
    """The grants of a gone instance were freed after the grace period."""

    instance: str


@event(3322, "grants.loans-lapsed", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class LoansLapsed(Event):
    """An instance did not renew its loans in time; it keeps only its floors."""

    instance: str
    silence_s: float
