"""Counts and percentiles of one run."""

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

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
US_PER_S = 1_000_000


@final
@unique
class End(Enum):
    """How a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@final
@dataclass(slots=True)
class Results:
    """What one run measured, from the moment of the fault on.

    :ivar drain_s: time until the drained workers were empty, if any drained.
    :ivar shift: highest share of a service that moved within a window.
    """

    environment: Environment
    measured_s: float
    ends: Counter[tuple[str, Rank, End]] = field(default_factory=Counter)
    latencies: dict[Rank, HdrHistogram] = field(
        default_factory=lambda: {rank: _histogram() for rank in Rank}
    )
    region_use: float = 0.0
    link_use: float = 0.0
    shift: float = 0.0
    drain_s: float | None = None
    late_starts: int = 0
    violations: int = 0
    plan_us: float = 0.0

    def count(self, service: str, rank: Rank, end: End, latency_s: float) -> None:
        """Count the end of one request."""
        self.ends[service, rank, end] += 1
        if end in (End.IN_TIME, End.LATE):
            self.latencies[rank].record_value(max(1, int(latency_s * US_PER_S)))

    def offered(self, rank: Rank, service: str | None = None) -> int:
        """Return the number of requests of a rank."""
        return sum(self._count(rank, end, service) for end in End)

    def in_time(self, rank: Rank, service: str | None = None) -> int:
        """Return the number of requests answered in time."""
        return self._count(rank, End.IN_TIME, service)

    def misses(self, rank: Rank) -> float:
        """Return the share of a rank that was not answered in time."""
        offered = self.offered(rank)
        return 1 - self.in_time(rank) / offered if offered else 0.0

    def refused(self, rank: Rank) -> float:
        """Return the share of a rank that was refused as not run."""
        offered = self.offered(rank)
        return self._count(rank, End.REFUSED, None) / offered if offered else 0.0

    def percentile_ms(self, rank: Rank, percent: float) -> float:
        """Return a percentile of the latency of answered requests."""
        return float(self.latencies[rank].get_value_at_percentile(percent)) / 1000

    def goodput(self) -> float:
        """Return the worth of the answers in time, per second."""
        ranks = self.environment.ranks
        worth = sum(ranks[rank].worth * self.in_time(rank) for rank in ranks)
        return worth / self.measured_s

    def highest_goodput(self) -> float:
        """Return the worth per second if every slot ran the best work offered."""
        return sum(map(self._highest_of, self.environment.services))

    def _highest_of(self, service: str) -> float:
        slots = sum(w.slots for w in self.environment.workers_of(service))
        service_time = self.environment.services[service].service_time
        left, worth = slots / service_time.total_seconds(), 0.0
        by_worth = sorted(self.environment.ranks.values(), key=lambda r: -r.worth)
        for policy in by_worth:
            served = min(left, self.offered(policy.rank, service) / self.measured_s)
            left -= served
            worth += served * policy.worth
        return worth

    def floor_kept(self, rank: Rank, service: str) -> float:
        """Return the answers in time as a share of what the floor grants."""
        slots = sum(w.slots for w in self.environment.workers_of(service))
        service_time = self.environment.services[service].service_time
        capacity = slots / service_time.total_seconds() * self.measured_s
        granted = min(
            self.offered(rank, service), self.environment.ranks[rank].floor * capacity
        )
        return self.in_time(rank, service) / granted if granted else 1.0

    def _count(self, rank: Rank, end: End, service: str | None) -> int:
        return sum(
            number
            for (name, r, e), number in self.ends.items()
            if r is rank and e is end and service in (None, name)
        )
