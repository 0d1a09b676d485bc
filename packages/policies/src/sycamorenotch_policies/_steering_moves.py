"""Moves of traffic between regions within headroom, link budget and shift cap."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import Shift
from sycamorenotch_kernel import ShiftCause
from sycamorenotch_policies._ledger import ShiftLedger
from sycamorenotch_policies._measurements import Assessment
from sycamorenotch_policies._steering_events import ShiftDeferred
from sycamorenotch_policies._steering_events import TrafficShifted
from sycamorenotch_policies._steering_occupancy import COLD_CACHE_COST
from sycamorenotch_policies._steering_occupancy import UTILISATION_LIMIT
from sycamorenotch_policies._steering_occupancy import Occupancy
from sycamorenotch_policies._steering_occupancy import RouteKey
from sycamorenotch_policies._steering_occupancy import Shares

# Share of the cap that plans use; demand may change before the next plan.
PLANNED_CAP_SHARE = 0.9
# Smallest move worth a new plan, as a share of a service's traffic.
MIN_SHIFT_SHARE = 0.002


@final
@dataclass(frozen=True, slots=True)
class Move:
    """A proposed move of part of a route to another region.

    :param rate: requests per second to move.
    :param targets: regions that may take them, the nearest first.
    :param limit: utilisation up to which a target may be filled, from 0 to 1.
    """

    key: RouteKey
    source: str
    rate: float
    targets: tuple[str, ...]
    cause: ShiftCause
    limit: float = UTILISATION_LIMIT


@final
class MovePlanner:
    """Applies moves to the routes of the next plan and accounts for their load.

    :param shares: serving regions of every route; the moves modify them.
    """

    def __init__(
        self,
        environment: Environment,
        assessment: Assessment,
        shares: Shares,
        previous: Plan | None,
        now: datetime,
    ) -> None:
        self._environment = environment
        self._assessment = assessment
        self._now = now
        self.shares = shares
        self.ledger = ShiftLedger.of(environment, previous, now)
        self.occupancy = Occupancy(environment, assessment, shares)
        self.occupancy.add_recent_shifts(self.ledger.shifts, now)
        self.events: list[Event] = []

    def nearest(self, key: RouteKey, without: Iterable[str]) -> tuple[str, ...]:
        """Return the regions that can answer a route in time, nearest first.

        :param without: regions to leave out.
        """
        excluded = set(without)
        deadline = self._environment.ranks[key.rank].deadline
        latencies = {
            region: self._latency(region, key.source)
            for region in self._environment.regions
            if region not in excluded
        }
        in_time = [name for name, found in latencies.items() if found < deadline / 2]
        return tuple(sorted(in_time, key=lambda name: (latencies[name], name)))

    def execute(self, move: Move) -> None:
        """Move as much as every limit allows and report the remainder as deferred."""
        remaining, limits = move.rate, []
        total = self._assessment.total(move.key.service)
        if remaining <= MIN_SHIFT_SHARE * total:
            return
        for target in move.targets:
            moved, limit = self._shift(move, target, remaining, total)
            remaining -= moved
            limits.append(limit)
            if remaining <= MIN_SHIFT_SHARE * total:
                return
        limit = "shift cap" if "shift cap" in limits else ", ".join(sorted(set(limits)))
        self.events.append(
            ShiftDeferred(
                move.key.service,
                move.key.rank.label,
                move.source,
                round(remaining / total, 4),
                limit or "no other region",
            )
        )

    def _shift(
        self, move: Move, target: str, wanted: float, total: float
    ) -> tuple[float, str]:
        key = move.key
        cap_left = (
            self.ledger.available(key.service)
            - (1 - PLANNED_CAP_SHARE) * self.ledger.cap
        )
        route_rate = self.occupancy.rate(key)
        # A move uses the cap in proportion to the upper bound of the route's share.
        cost = self._assessment.upper_share(key.service, route_rate) / route_rate
        allowed = {
            "headroom": self.occupancy.spare_rate(key, target, move.limit)
            / COLD_CACHE_COST,
            "link budget": self.occupancy.spare_link_rate(key, target),
            "shift cap": max(0.0, cap_left) / cost,
        }
        limit = min(allowed, key=allowed.__getitem__)
        rate = min(wanted, allowed[limit])
        if rate <= MIN_SHIFT_SHARE * total:
            return 0.0, limit
        self._apply(move, target, rate, rate * cost)
        return rate, limit

    def _apply(self, move: Move, target: str, rate: float, share: float) -> None:
        key = move.key
        shares = self.shares[key]
        part = min(rate / self.occupancy.rate(key), shares[move.source])
        shares[move.source] -= part
        shares[target] = shares.get(target, 0.0) + part
        self.ledger = self.ledger.add(
            Shift(key.service, move.source, target, share, self._now, move.cause)
        )
        self.occupancy.add_load(key, target, rate, COLD_CACHE_COST)
        self.occupancy.remove_load(key, move.source, rate)
        self.events.append(
            TrafficShifted(
                key.service,
                key.rank.label,
                key.source,
                move.source,
                target,
                round(share, 4),
                move.cause.value,
            )
        )

    def _latency(self, region: str, source: str) -> timedelta:
        if region == source:
            return self._environment.regions[source].client_latency
        link = self._environment.links.get((region, source))
        return timedelta.max if link is None else link.latency
