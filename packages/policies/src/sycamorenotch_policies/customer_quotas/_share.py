"""The part of a customer's quota that one instance may use, from what it knows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_policies.customer_quotas._demand import DemandReport
from sycamorenotch_policies.customer_quotas._knowledge import PeerSums

# All instances together have this part of the quota beside that of their demand, so
# that each can admit some requests.
FLOOR_FRACTION = 0.05
# Most that all instances use together that hear from fewer than half of the others.
# It is half of the usual demand. With the whole quota of the others, which forget this
# minority after a time, a window stays within its bound.
MINORITY_FRACTION = 0.32


@final
@dataclass(frozen=True, slots=True)
class Share:
    """What an instance knows of a customer, and its part of the quota.

    :param own: part of the quota that this instance may use, up to 1.
    :param reached: part of the quota of all reached instances, this one included.
    :param demand: known demand of all reached instances, in requests per second.
    :param others: known demand of those other than this one.
    """

    own: float
    reached: float
    demand: float
    others: float


@final
@dataclass(frozen=True, slots=True)
class Fleet:
    """The other instances as this one knows them.

    :param known: number of those with a last known value.
    :param reached: number of those heard from lately.
    :param missing: number of those that are listed but were never heard from.
    :param in_minority: whether this one hears from fewer than half of the others.
    """

    known: int
    reached: int
    missing: int
    in_minority: bool


def compute_share(
    own: DemandReport, confirmed: float, sums: PeerSums, fleet: Fleet
) -> Share:
    """Return the share of an instance.

    The numerator is at most what any other instance counts in its denominator, so
    that all shares together are at most 1. An instance that was never heard from
    counts as much as the average one.

    :param confirmed: own part that all others know by now.
    """
    count = fleet.known + fleet.missing + 1
    floor = FLOOR_FRACTION / count
    present = max(own.part, confirmed)
    known = sums.all_part + present + floor * (fleet.known + 1)
    total = known * count / (fleet.known + 1)
    reached = (sums.part + present + floor * (fleet.reached + 1)) / total
    scale = 1.0
    if fleet.in_minority and reached > MINORITY_FRACTION:
        scale = MINORITY_FRACTION / reached
    others = max(0.0, sums.fast)
    part = (confirmed + floor) / total
    return Share(part * scale, reached * scale, others + own.fast, others)
