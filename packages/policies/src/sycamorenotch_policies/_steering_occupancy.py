"""Traffic that a set of routes places on regions and links."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from datetime import datetime
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Shift
from sycamorenotch_policies._measurements import Assessment

# Use of a region or link that steering plans for; the rest takes the swings
# of demand between two plans.
USE_LIMIT = 0.85
# Answers are large for a link and come unevenly, so that more is kept free.
LINK_LIMIT = 0.6
# Work of a request whose data the target's caches do not hold yet.
COLD_COST = 2.0
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
    """Counts what routes place on regions and links.

    Placements are only added: what a move frees is not used again by the same
    plan, because an instance may still work by the plan before it.

    :param shares: serving regions of every route.
    """

    def __init__(
        self, environment: Environment, assessment: Assessment, shares: Shares
    ) -> None:
        self._environment = environment
        self._assessment = assessment
        self._rates: defaultdict[tuple[str, str, Rank], float] = defaultdict(float)
        self._unsettled: defaultdict[tuple[str, str], float] = defaultdict(float)
        self._leaving: defaultdict[tuple[str, str], float] = defaultdict(float)
        self._links: defaultdict[tuple[str, str], float] = defaultdict(float)
        for key, regions in shares.items():
            for region, share in regions.items():
                self.place(key, region, share * self.rate(key))

    def rate(self, key: RouteKey) -> float:
        """Return the demand of a route in requests per second."""
        return self._assessment.rates.get((key.service, key.source, key.rank), 0.0)

    def add_recent(self, shifts: tuple[Shift, ...], now: datetime) -> None:
        """Count recent moves that callers or caches have not followed yet."""
        bounds = self._environment.bounds
        for shift in shifts:
            rate = shift.share * self._assessment.total(shift.service)
            age = now - shift.at
            if age < bounds.answer_lifetime:
                self._unsettled[shift.source, shift.service] += rate
            if age < bounds.cold_start:
                cold = rate * (COLD_COST - 1.0)
                self._unsettled[shift.target, shift.service] += cold

    def place(self, key: RouteKey, region: str, rate: float, cost: float = 1.0) -> None:
        """Count requests per second of a route in a region.

        :param cost: work of one request, in that of a request on warm caches.
        """
        self._rates[region, key.service, key.rank] += rate
        self._unsettled[region, key.service] += rate * (cost - 1.0)
        if region != key.source:
            self._links[region, key.source] += rate * self._answer_bits(key)

    def room(self, key: RouteKey, region: str, limit: float = USE_LIMIT) -> float:
        """Return the requests per second that a region can still take.

        A less urgent rank counts up to its floor: above it, admission serves
        the more urgent rank first.
        """
        capacity = self._assessment.capacities[region, key.service]
        planned = capacity.rate * limit * capacity.weight
        used = sum(
            self._protected(region, key.service, rank, key.rank) for rank in Rank
        )
        return max(0.0, planned - used - self._unsettled[region, key.service])

    def remove(self, key: RouteKey, region: str, rate: float) -> None:
        """Note what a move takes off a region; it frees no room yet."""
        self._leaving[region, key.service] += rate

    def excess(self, key: RouteKey, region: str) -> float:
        """Return the requests per second of a rank that a region cannot serve."""
        capacity = self._assessment.capacities[region, key.service].rate * USE_LIMIT
        protected = sum(
            self._protected(region, key.service, rank, key.rank)
            for rank in Rank
            if rank != key.rank
        )
        own = self._rates[region, key.service, key.rank]
        leaving = self._leaving[region, key.service]
        return min(own, max(0.0, own + protected - leaving - capacity))

    def link_room(self, key: RouteKey, region: str) -> float:
        """Return the requests per second whose answers the link can carry."""
        if region == key.source:
            return float("inf")
        link = self._environment.links.get((region, key.source))
        if link is None:
            return 0.0
        free = link.budget * LINK_LIMIT - self._links[region, key.source]
        return max(0.0, free / self._answer_bits(key))

    def _protected(self, region: str, service: str, rank: Rank, by: Rank) -> float:
        used = self._rates[region, service, rank]
        if rank <= by:
            return used
        floor = self._environment.ranks[rank].floor
        return min(used, floor * self._assessment.capacities[region, service].rate)

    def _answer_bits(self, key: RouteKey) -> int:
        size = self._environment.services[key.service].answer_size
        return size * BITS_PER_BYTE
