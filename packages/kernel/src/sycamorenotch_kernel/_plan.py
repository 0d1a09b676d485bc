"""The plan: routes, grants and recent shifts, independent of any encoding."""

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
    """Why traffic was shifted to another region."""

    PLANNED = "planned move"
    FAILOVER = "failover"


@final
@dataclass(frozen=True, slots=True)
class RegionShare:
    """The part of a route's traffic that one region serves.

    :param share: share of the route's traffic, from 0 to 1.
    """

    region: str
    share: float


@final
@dataclass(frozen=True, slots=True)
class PlanRoute:
    """Where one rank of a service's traffic from one client region goes.

    :param source: region of the clients.
    :param shares: serving regions, whose shares sum to 1. After the loss of a
        region, the requests of its share are refused as not run until the shift
        cap allows the share to move.
    """

    service: str
    source: str
    rank: Rank
    shares: tuple[RegionShare, ...]

    def share_of(self, region: str) -> float:
        """Return the share of a region, from 0 to 1; 0 if it serves none."""
        return sum(item.share for item in self.shares if item.region == region)


@final
@dataclass(frozen=True, slots=True)
class Grant:
    """Slots of a region's workers that an instance may use.

    :param region: region of the workers.
    :param floor: slots that the instance keeps until the platform's list
        reports it as gone and a grace period has passed.
    :param loan: further slots, which expire unless the lease holder confirms
        them.
    :param loan_life: time to live of the loan, from the moment at which the
        instance requested its last confirmation, on the instance's monotonic
        clock.
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
    :param until: plan sequence; the grant ends when the instance confirms it.
    """

    grant: Grant
    until: int


@final
@dataclass(frozen=True, slots=True)
class Shift:
    """A move of traffic from one serving region to another.

    :param share: share of the service's whole traffic, from 0 to 1.
    :param at: time of the decision, on the wall clock of the lease holder.
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
    """One version of the plan, which is replaced as a whole.

    :param generation: configuration generation that the plan was computed for.
    :param sequence: number that increases by one with every plan.
    :param made_at: time of the plan, on the wall clock of the lease holder.
    :param holder: lease holder that computed the plan.
    :param outstanding: earlier grants that count as in force until the instance
        confirms a smaller one.
    :param shifts: shifts that still count against the shift cap.
    """

    generation: int
    sequence: int
    made_at: datetime
    holder: InstanceId
    routes: tuple[PlanRoute, ...]
    grants: tuple[Grant, ...]
    outstanding: tuple[OutstandingGrant, ...] = ()
    shifts: tuple[Shift, ...] = ()
