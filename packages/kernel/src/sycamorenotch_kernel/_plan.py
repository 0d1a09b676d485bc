"""Plan of routes, grants and recent shifts, independent of any encoding."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from datetime import timedelta
from enum import Enum
from enum import unique
from typing import final

from sycamorenotch_kernel._environment import Rank
from sycamorenotch_kernel._ports import InstanceId


@final
@unique
class ShiftCause(Enum):
    """Why traffic moves to another region."""

    PLANNED = "planned move"
    FAILOVER = "failover"


@final
@dataclass(frozen=True, slots=True)
class RegionShare:
    """Part of a route that one region serves.

    :param share: share of the route's traffic, from 0 to 1.
    """

    region: str
    share: float


@final
@dataclass(frozen=True, slots=True)
class PlanRoute:
    """Where one rank of a service's traffic from one client region goes.

    :param source: region of the clients.
    :param shares: serving regions, whose shares sum to 1; the part of a region
        that is lost is refused as not run until the shift cap lets it move.
    """

    service: str
    source: str
    rank: Rank
    shares: tuple[RegionShare, ...]

    def share_of(self, region: str) -> float:
        """Return the share that a region serves."""
        return sum(item.share for item in self.shares if item.region == region)


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """Slots of a region's workers that an instance may fill.

    :param region: region of the workers.
    :param floor: slots kept until the platform's list says that the instance
        is gone and a grace has passed.
    :param loan: further slots, which lapse without contact to the holder.
    :param loan_life: life of the loan since the instance asked for its last
        confirmation, on the instance's monotonic clock.
    """

    instance: InstanceId
    region: str
    service: str
    floor: int
    loan: int
    loan_life: timedelta


@final
@dataclass(frozen=True, slots=True)
class OutstandingGrant:
    """An earlier, larger grant that may still be in force.

    :param grant: the larger grant.
    :param until: plan sequence whose confirmation by the instance ends it.
    """

    grant: Grant
    until: int


@final
@dataclass(frozen=True, slots=True)
class Shift:
    """Traffic that was moved from one serving region to another.

    :param share: share of the service's whole traffic, from 0 to 1.
    :param at: wall clock time of the holder when it decided the move.
    """

    service: str
    source: str
    target: str
    share: float
    at: datetime
    cause: ShiftCause


@final
@dataclass(frozen=True, slots=True)
class Plan:
    """One version of the plan, replaced as a whole.

    :param generation: configuration generation that it was made for.
    :param sequence: increases by one with every plan.
    :param made_at: wall clock time of the holder.
    :param holder: instance that made the plan under the lease.
    :param outstanding: earlier grants that count until they are confirmed gone.
    :param shifts: moves that still count against the shift cap.
    """

    generation: int
    sequence: int
    made_at: datetime
    holder: InstanceId
    routes: tuple[PlanRoute, ...]
    grants: tuple[Grant, ...]
    outstanding: tuple[OutstandingGrant, ...] = ()
    shifts: tuple[Shift, ...] = ()
