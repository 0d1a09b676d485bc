"""Moves of traffic between regions, each within every limit."""

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
from sycamorenotch_policies._steering_occupancy import COLD_COST
from sycamorenotch_policies._steering_occupancy import USE_LIMIT
from sycamorenotch_policies._steering_occupancy import Occupancy
from sycamorenotch_policies._steering_occupancy import RouteKey
from sycamorenotch_policies._steering_occupancy import Shares

# Part of the cap that is planned for; demand may change before the next plan.
CAP_MARGIN = 0.9
# Smallest move worth a plan, as a share of a service's traffic.
SMALLEST_SHIFT = 0.002


@final
@dataclass(frozen=True, slots=True)
class Move:
    """A wish to move part of a route.

    :param rate: requests per second to move.
    :param targets: regions that may take them, the nearest first.
    :param limit: use of the target up to which it may be filled.
    """

    key: RouteKey
    source: str
    rate: float
    targets: tuple[str, ...]
    cause: ShiftCause
    limit: float = USE_LIMIT


@final
class Mover:
    """Carries out moves on a copy of the routes in force.

    :param shares: serving regions of every route, which the moves change.
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
        self.occupancy.add_recent(self.ledger.shifts, now)
        self.events: list[Event] = []

    def nearest(self, key: RouteKey, without: Iterable[str]) -> tuple[str, ...]:
        """Return the regions that can answer a route in time, nearest first."""
        excluded = set(without)
        deadline = self._environment.ranks[key.rank].deadline
        latencies = {
            region: self._latency(region, key.source)
            for region in self._environment.regions
            if region not in excluded
        }
        in_time = [name for name, found in latencies.items() if found < deadline / 2]
        return tuple(sorted(in_time, key=lambda name: (latencies[name], name)))

    def carry_out(self, move: Move) -> None:
        """Move as much as every limit allows and report the rest."""
        left, limits = move.rate, []
        total = self._assessment.total(move.key.service)
        if left <= SMALLEST_SHIFT * total:
            return
        for target in move.targets:
            moved, limit = self._shift(move, target, left, total)
            left -= moved
            limits.append(limit)
            if left <= SMALLEST_SHIFT * total:
                return
        limit = "shift cap" if "shift cap" in limits else ", ".join(sorted(set(limits)))
        self.events.append(
            ShiftDeferred(
                move.key.service,
                move.key.rank.label,
                move.source,
                round(left / total, 4),
                limit or "no other region",
            )
        )

    def _shift(
        self, move: Move, target: str, wanted: float, total: float
    ) -> tuple[float, str]:
        key = move.key
        cap_room = self.ledger.room(key.service) - (1 - CAP_MARGIN) * self.ledger.cap
        route_rate = self.occupancy.rate(key)
        # A part of the route costs that part of the route's highest share.
        cost = self._assessment.highest_share(key.service, route_rate) / route_rate
        rooms = {
            "headroom": self.occupancy.room(key, target, move.limit) / COLD_COST,
            "link budget": self.occupancy.link_room(key, target),
            "shift cap": max(0.0, cap_room) / cost,
        }
        limit = min(rooms, key=rooms.__getitem__)
        rate = min(wanted, rooms[limit])
        if rate <= SMALLEST_SHIFT * total:
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
        self.occupancy.place(key, target, rate, COLD_COST)
        self.occupancy.remove(key, move.source, rate)
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
