"""How fast a service-level objective's error budget is spent."""

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
    """Windows over which requests are counted; the value is the label."""

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
    """Requests of one objective in one window.

    :param failed: requests answered with a server's error.
    :param slow: other requests answered later than the objective's limit.
    """

    total: int = 0
    failed: int = 0
    slow: int = 0

    def __add__(self, other: BurnCounts) -> BurnCounts:
        """Return the counts of two instances together."""
        return BurnCounts(
            self.total + other.total,
            self.failed + other.failed,
            self.slow + other.slow,
        )


@final
@dataclass(frozen=True, slots=True)
class BurnTarget:
    """The shares of requests that an objective asks for.

    :param availability: share, from 0 to 1, answered without a server's error.
    :param latency_share: share, from 0 to 1, answered within the limit.
    """

    availability: float
    latency_share: float

    def rate(self, counts: BurnCounts) -> float:
        """Return the burn rate; at 1 the budget lasts exactly its period.

        The higher one of the two budgets counts.
        """
        return max(
            _rate(counts.failed, counts.total, self.availability),
            _rate(counts.slow, counts.total - counts.failed, self.latency_share),
        )

    def budget_left(self, counts: BurnCounts) -> float:
        """Return the unspent share of the budget; negative if overspent."""
        return 1.0 - self.rate(counts)


def _rate(bad: int, total: int, share: float) -> float:
    if not bad:
        return 0.0
    allowed = total * (1.0 - share)
    return bad / allowed if allowed > 0 else float("inf")


@final
@unique
class BurnAlarm(Enum):
    """Alarms that need a high rate in a short and a long window at once."""

    FAST = "fast"
    SLOW = "slow"

    @property
    def windows(self) -> tuple[BurnWindow, BurnWindow]:
        """The short and the long window."""
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
    """Return the alarms whose two windows both burn above the threshold."""
    return tuple(
        alarm
        for alarm in BurnAlarm
        if all(target.rate(counts[w]) > alarm.threshold for w in alarm.windows)
    )
