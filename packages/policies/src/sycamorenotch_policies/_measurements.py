"""Assessment of worker reports and demand: staleness, absence and contradiction."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from itertools import product
from math import sqrt
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Worker
from sycamorenotch_policies._steering_events import DemandStale
from sycamorenotch_policies._steering_events import MeasurementMissing
from sycamorenotch_policies._steering_events import MeasurementStale
from sycamorenotch_policies._steering_events import RegionUnusable
from sycamorenotch_policies._steering_events import ReportContradicted
from sycamorenotch_policies._steering_view import Demand
from sycamorenotch_policies._steering_view import SteeringView
from sycamorenotch_policies._steering_view import WorkerReport

LOW_LOAD_SHARE = 0.5
HIGH_LOAD_SHARE = 0.95
FAILING_SHARE = 0.3
HEALTHY_FAILURE_SHARE = 0.02
COLD_START_SHARE = 0.1
# Standard deviations by which the bounds allow for noise in a count of requests.
NOISE_DEVIATIONS = 2.0


@final
@dataclass(frozen=True, slots=True)
class RegionCapacity:
    """Capacity of the workers of one service in one region.

    :param grantable: slots of the workers that accept new requests.
    :param rate: requests per second that a plan may route to the region, with
        cold and failing workers counted in part; 0 for a drained region.
    :param weight: weight of the reports by their age, from 0 (stale) to 1.
    """

    grantable: int
    rate: float
    weight: float

    @property
    def lost(self) -> bool:
        """Whether current reports show no usable worker."""
        return self.weight > 0 and not self.grantable


Capacities = dict[tuple[str, str], RegionCapacity]
Rates = dict[tuple[str, str, Rank], float]


@final
@dataclass(frozen=True, slots=True)
class Assessment:
    """Capacity and demand that a plan is based on.

    :param capacities: capacity by region and service.
    :param rates: requests per second by service, client region and rank.
    :param window: shortest time over which a rate was averaged.
    :param unmeasured: services whose demand is unknown or stale; their routes stay.
    """

    capacities: Capacities
    rates: Rates
    window: timedelta
    unmeasured: frozenset[str]
    events: tuple[Event, ...]

    def upper_share(self, service: str, rate: float) -> float:
        """Return a route's share of a service, from 0 to 1, with a margin for noise.

        Noise in the counts of requests rarely exceeds the returned share.

        :param rate: measured requests per second of the route.
        """
        total = self.total(service)
        window_s = self.window.total_seconds()
        highest = rate + NOISE_DEVIATIONS * sqrt(rate / window_s)
        lowest = total - NOISE_DEVIATIONS * sqrt(total / window_s)
        return min(1.0, highest / lowest) if lowest > 0 else 1.0

    def total(self, service: str) -> float:
        """Return the total demand for a service in requests per second."""
        return sum(rate for key, rate in self.rates.items() if key[0] == service)


def age_weight(age: timedelta, stale_after: timedelta) -> float:
    """Return the weight of a measurement, from 1 when new to 0 when stale."""
    return min(1.0, max(0.0, 1.0 - age / stale_after))


def assess(view: SteeringView) -> Assessment:
    """Assess capacity and demand from the measurements of a view."""
    reports = {report.worker: report for report in view.workers}
    events: list[Event] = []
    capacities = {
        (region, service): _capacity(view, reports, region, service, events)
        for region, service in product(
            view.environment.regions, view.environment.services
        )
    }
    unmeasured = frozenset(_unmeasured_services(view))
    events.extend(DemandStale(service) for service in sorted(unmeasured))
    rates = {(d.service, d.source, d.rank): d.rate for d in view.demands}
    window = min((d.window for d in view.demands), default=timedelta(seconds=1))
    return Assessment(capacities, rates, window, unmeasured, tuple(events))


def _capacity(
    view: SteeringView,
    reports: dict[str, WorkerReport],
    region: str,
    service: str,
    events: list[Event],
) -> RegionCapacity:
    environment = view.environment
    workers = [w for w in environment.workers_of(service) if w.region == region]
    reported = [(w, reports[w.name]) for w in workers if w.name in reports]
    stale_after = environment.bounds.stale_after
    weight = max((age_weight(r.age, stale_after) for _, r in reported), default=0.0)
    if workers and not reported:
        events.append(MeasurementMissing(service, region))
    elif reported and not weight:
        youngest = min(report.age for _, report in reported)
        events.append(MeasurementStale(service, region, youngest.total_seconds()))
    # A worker without a report counts with the slots that the document states.
    parts = [
        _usable_share(environment, reports.get(worker.name)) * worker.slots
        for worker in workers
    ]
    events.extend(_contradictions(environment, reported))
    grantable = sum(
        worker.slots for worker, part in zip(workers, parts, strict=True) if part
    )
    if workers and weight and not grantable:
        events.append(RegionUnusable(service, region))
    planned = 0.0 if region in view.drained else sum(parts)
    service_time = environment.services[service].service_time.total_seconds()
    return RegionCapacity(grantable, planned / service_time, weight)


def _usable_share(environment: Environment, report: WorkerReport | None) -> float:
    if report is None:
        return 1.0
    if not report.usable:
        return 0.0
    warm_up = min(1.0, report.in_service / environment.bounds.cold_start)
    success = 1.0 - report.failures if report.failures > HEALTHY_FAILURE_SHARE else 1.0
    return max(COLD_START_SHARE, warm_up) * success


def _contradictions(
    environment: Environment, reported: list[tuple[Worker, WorkerReport]]
) -> Iterator[Event]:
    for worker, report in reported:
        if report.load is None:
            continue
        service_time = environment.services[worker.service].service_time
        quick = report.latency is not None and report.latency <= 2 * service_time
        healthy = report.failures <= HEALTHY_FAILURE_SHARE
        if report.load <= LOW_LOAD_SHARE and report.failures >= FAILING_SHARE:
            detail = "the worker reports low load while requests fail"
        elif report.load >= HIGH_LOAD_SHARE and quick and healthy:
            detail = "the worker reports full load while requests succeed quickly"
        else:
            continue
        yield ReportContradicted(worker.name, report.load, report.failures, detail)


def _unmeasured_services(view: SteeringView) -> Iterator[str]:
    stale_after = view.environment.bounds.stale_after
    for service in view.environment.services:
        reported = [d for d in view.demands if d.service == service]
        if not reported or any(_is_stale(demand, stale_after) for demand in reported):
            yield service


def _is_stale(demand: Demand, stale_after: timedelta) -> bool:
    return demand.age >= stale_after
