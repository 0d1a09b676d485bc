"""Load that a set of routes puts on regions and links."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from datetime import datetime
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Shift
from sycamorenotch_policies._measurements import Assessment

# Utilisation of a region that steering plans for; the rest absorbs changes of
# demand between two plans.
UTILISATION_LIMIT = 0.85
# Answers are large for a link and arrive in bursts, so more of it is kept free.
LINK_UTILISATION_LIMIT = 0.6
# Work of a request on cold caches, as a multiple of one on warm caches.
COLD_CACHE_COST = 2.0
BITS_PER_BYTE = 8


@final
@dataclass(frozen=True, slots=True, order=True)
class RouteKey:
    """One rank of a service's traffic from one client region."""

    rank: Rank
    service: str
    source: str


Shares = dict[RouteKey, dict[str, float]]


@final
class Occupancy:
    """Accounts for the load of routes on regions and links.

    Load is only added. What a move frees is not used again by the same plan,
    because an instance may still route by the previous plan.

    :param shares: serving regions of every route.
    """

    def __init__(
        self, environment: Environment, assessment: Assessment, shares: Shares
    ) -> None:
        self._environment = environment
        self._assessment = assessment
        self._rates: defaultdict[tuple[str, str, Rank], float] = defaultdict(float)
        self._unsettled_rates: defaultdict[tuple[str, str], float] = defaultdict(float)
        self._departing_rates: defaultdict[tuple[str, str], float] = defaultdict(float)
        self._link_loads: defaultdict[tuple[str, str], float] = defaultdict(float)
        for key, regions in shares.items():
            for region, share in regions.items():
                self.add_load(key, region, share * self.rate(key))

    def rate(self, key: RouteKey) -> float:
        """Return the demand of a route in requests per second."""
        return self._assessment.rates.get((key.service, key.source, key.rank), 0.0)

    def add_recent_shifts(self, shifts: tuple[Shift, ...], now: datetime) -> None:
        """Add the load of recent shifts that has not settled.

        Callers use the old region until their answers expire, and the caches of
        the new region are cold at first.
        """
        bounds = self._environment.bounds
        for shift in shifts:
            rate = shift.share * self._assessment.total(shift.service)
            age = now - shift.at
            if age < bounds.answer_lifetime:
                self._unsettled_rates[shift.source, shift.service] += rate
            if age < bounds.cold_start:
                cold = rate * (COLD_CACHE_COST - 1.0)
                self._unsettled_rates[shift.target, shift.service] += cold

    def add_load(
        self, key: RouteKey, region: str, rate: float, cost: float = 1.0
    ) -> None:
        """Add requests per second of a route to a region and its link.

        :param rate: requests per second.
        :param cost: work of one request, as a multiple of one on warm caches.
        """
        self._rates[region, key.service, key.rank] += rate
        self._unsettled_rates[region, key.service] += rate * (cost - 1.0)
        if region != key.source:
            self._link_loads[region, key.source] += rate * self._answer_bits(key)

    def spare_rate(
        self, key: RouteKey, region: str, limit: float = UTILISATION_LIMIT
    ) -> float:
        """Return the requests per second that a region can still take.

        A less urgent rank counts only up to its floor, because above it
        admission serves the more urgent rank first.

        :param limit: utilisation up to which the region may be filled, from 0 to 1.
        """
        capacity = self._assessment.capacities[region, key.service]
        planned = capacity.rate * limit * capacity.weight
        used = sum(
            self._reserved_rate(region, key.service, rank, key.rank) for rank in Rank
        )
        return max(0.0, planned - used - self._unsettled_rates[region, key.service])

    def remove_load(self, key: RouteKey, region: str, rate: float) -> None:
        """Record requests per second that leave a region; no capacity is freed yet."""
        self._departing_rates[region, key.service] += rate

    def excess(self, key: RouteKey, region: str) -> float:
        """Return the requests per second of a rank that a region cannot serve."""
        capacity = (
            self._assessment.capacities[region, key.service].rate * UTILISATION_LIMIT
        )
        reserved = sum(
            self._reserved_rate(region, key.service, rank, key.rank)
            for rank in Rank
            if rank != key.rank
        )
        own = self._rates[region, key.service, key.rank]
        departing = self._departing_rates[region, key.service]
        return min(own, max(0.0, own + reserved - departing - capacity))

    def spare_link_rate(self, key: RouteKey, region: str) -> float:
        """Return the requests per second whose answers fit the link's spare budget."""
        if region == key.source:
            return float("inf")
        link = self._environment.links.get((region, key.source))
        if link is None:
            return 0.0
        free = (
            link.budget * LINK_UTILISATION_LIMIT - self._link_loads[region, key.source]
        )
        return max(0.0, free / self._answer_bits(key))

    def _reserved_rate(
        self, region: str, service: str, rank: Rank, admitted_rank: Rank
    ) -> float:
        used = self._rates[region, service, rank]
        if rank <= admitted_rank:
            return used
        floor = self._environment.ranks[rank].floor
        return min(used, floor * self._assessment.capacities[region, service].rate)

    def _answer_bits(self, key: RouteKey) -> int:
        size = self._environment.services[key.service].answer_size
        return size * BITS_PER_BYTE
