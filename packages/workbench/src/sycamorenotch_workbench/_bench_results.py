"""Counts and latency percentiles of one benchmark run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import final

from hdrh.histogram import HdrHistogram

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Rank

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


@final
@unique
class RequestResult(Enum):
    """Result of a request for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@final
@dataclass(slots=True)
class Results:
    """Measurements of one run, from the injection of the fault on.

    :ivar measured_s: duration of the measurement in seconds.
    :ivar result_counts: number of requests by service, rank and result.
    :ivar latencies: latency of answered requests in microseconds.
    :ivar region_utilisation: highest ratio of attempts in flight to slots of the live
        workers of one region and service.
    :ivar link_utilisation: highest utilisation of a link in any second.
    :ivar shift: highest share of a service's traffic shifted within a window.
    :ivar drain_s: time in seconds until drained workers were idle, if any drained.
    :ivar late_starts: number of attempts dispatched after the leaving time.
    :ivar violations: number of invariant violations.
    :ivar plan_us: mean time to make a plan, in microseconds.
    """

    environment: Environment
    measured_s: float
    result_counts: Counter[tuple[str, Rank, RequestResult]] = field(
        default_factory=Counter
    )
    latencies: dict[Rank, HdrHistogram] = field(
        default_factory=lambda: {rank: _histogram() for rank in Rank}
    )
    region_utilisation: float = 0.0
    link_utilisation: float = 0.0
    shift: float = 0.0
    drain_s: float | None = None
    late_starts: int = 0
    violations: int = 0
    plan_us: float = 0.0

    def count(
        self, service: str, rank: Rank, result: RequestResult, latency_s: float
    ) -> None:
        """Record the result of a request and its latency in seconds."""
        self.result_counts[service, rank, result] += 1
        if result in (RequestResult.IN_TIME, RequestResult.LATE):
            self.latencies[rank].record_value(max(1, int(latency_s * US_PER_S)))

    def offered(self, rank: Rank, service: str | None = None) -> int:
        """Return the number of requests of a rank, for one service or for all."""
        return sum(
            self._count_results(rank, result, service) for result in RequestResult
        )

    def in_time(self, rank: Rank, service: str | None = None) -> int:
        """Return the number of requests answered within their deadline."""
        return self._count_results(rank, RequestResult.IN_TIME, service)

    def miss_share(self, rank: Rank) -> float:
        """Return the share of a rank's requests not answered within their deadline."""
        offered = self.offered(rank)
        return 1 - self.in_time(rank) / offered if offered else 0.0

    def refused_share(self, rank: Rank) -> float:
        """Return the share of a rank's requests that were refused without running."""
        offered = self.offered(rank)
        return (
            self._count_results(rank, RequestResult.REFUSED, None) / offered
            if offered
            else 0.0
        )

    def percentile_ms(self, rank: Rank, percent: float) -> float:
        """Return a percentile of the latency of answered requests, in milliseconds."""
        return float(self.latencies[rank].get_value_at_percentile(percent)) / 1000

    def goodput(self) -> float:
        """Return the total worth of requests answered in time, per second."""
        ranks = self.environment.ranks
        worth = sum(ranks[rank].worth * self.in_time(rank) for rank in ranks)
        return worth / self.measured_s

    def max_goodput(self) -> float:
        """Return the goodput if every slot ran the most valuable requests offered."""
        return sum(map(self._max_goodput_of, self.environment.services))

    def _max_goodput_of(self, service: str) -> float:
        slots = sum(w.slots for w in self.environment.workers_of(service))
        service_time = self.environment.services[service].service_time
        remaining, worth = slots / service_time.total_seconds(), 0.0
        by_worth = sorted(self.environment.ranks.values(), key=lambda r: -r.worth)
        for policy in by_worth:
            served = min(
                remaining, self.offered(policy.rank, service) / self.measured_s
            )
            remaining -= served
            worth += served * policy.worth
        return worth

    def floor_attainment(self, rank: Rank, service: str) -> float:
        """Return the answers in time as a share of the floor, or of lower demand."""
        slots = sum(w.slots for w in self.environment.workers_of(service))
        service_time = self.environment.services[service].service_time
        capacity = slots / service_time.total_seconds() * self.measured_s
        granted = min(
            self.offered(rank, service), self.environment.ranks[rank].floor * capacity
        )
        return self.in_time(rank, service) / granted if granted else 1.0

    def _count_results(
        self, rank: Rank, result: RequestResult, service: str | None
    ) -> int:
        return sum(
            number
            for (name, r, e), number in self.result_counts.items()
            if r is rank and e is result and service in (None, name)
        )
