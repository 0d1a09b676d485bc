"""Burn rates and alarms of the error budgets of service-level objectives."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from enum import unique
from typing import final


@final
@unique
class BurnWindow(Enum):
    """Sliding windows over which requests are counted; the value is the label."""

    FIVE_MINUTES = "5m"
    ONE_HOUR = "1h"
    SIX_HOURS = "6h"
    THREE_DAYS = "3d"

    @property
    def length(self) -> timedelta:
        """Length of the window."""
        return WINDOW_LENGTHS[self]


WINDOW_LENGTHS = {
    BurnWindow.FIVE_MINUTES: timedelta(minutes=5),
    BurnWindow.ONE_HOUR: timedelta(hours=1),
    BurnWindow.SIX_HOURS: timedelta(hours=6),
    BurnWindow.THREE_DAYS: timedelta(days=3),
}


@final
@dataclass(frozen=True, slots=True)
class BurnCounts:
    """Request counts of one objective in one window.

    :param total: all answered requests.
    :param failed: requests answered with a server error.
    :param slow: requests answered without error but above the latency limit.
    """

    total: int = 0
    failed: int = 0
    slow: int = 0

    def __add__(self, other: BurnCounts) -> BurnCounts:
        """Return the sum of the counts of two instances."""
        return BurnCounts(
            self.total + other.total,
            self.failed + other.failed,
            self.slow + other.slow,
        )


@final
@dataclass(frozen=True, slots=True)
class BurnTarget:
    """The shares of requests that an objective requires.

    :param availability: share of requests, from 0 to 1, answered without a
        server error.
    :param latency_share: share of answers, from 0 to 1, within the latency
        limit.
    """

    availability: float
    latency_share: float

    def rate(self, counts: BurnCounts) -> float:
        """Return the burn rate; at 1 the error budget lasts exactly its period.

        The result is the higher rate of the availability and latency budgets.
        """
        return max(
            _rate(counts.failed, counts.total, self.availability),
            _rate(counts.slow, counts.total - counts.failed, self.latency_share),
        )

    def budget_left(self, counts: BurnCounts) -> float:
        """Return the share of the error budget left; negative if overspent."""
        return 1.0 - self.rate(counts)


def _rate(bad: int, total: int, share: float) -> float:
    if not bad:
        return 0.0
    allowed = total * (1.0 - share)
    return bad / allowed if allowed > 0 else float("inf")


@final
@unique
class BurnAlarm(Enum):
    """Alarms on a high burn rate in both a short and a long window."""

    FAST = "fast"
    SLOW = "slow"

    @property
    def windows(self) -> tuple[BurnWindow, BurnWindow]:
        """Short and long window of the alarm."""
        return ALARM_WINDOWS[self]

    @property
    def threshold(self) -> float:
        """Burn rate above which the alarm is raised."""
        return ALARM_THRESHOLDS[self]


ALARM_WINDOWS = {
    BurnAlarm.FAST: (BurnWindow.FIVE_MINUTES, BurnWindow.ONE_HOUR),
    BurnAlarm.SLOW: (BurnWindow.SIX_HOURS, BurnWindow.THREE_DAYS),
}
ALARM_THRESHOLDS = {BurnAlarm.FAST: 14.4, BurnAlarm.SLOW: 1.0}


def raised_alarms(
    target: BurnTarget, counts: Mapping[BurnWindow, BurnCounts]
) -> tuple[BurnAlarm, ...]:
    """Return the alarms whose burn rate exceeds the threshold in both windows."""
    return tuple(
        alarm
        for alarm in BurnAlarm
        if all(target.rate(counts[w]) > alarm.threshold for w in alarm.windows)
    )
