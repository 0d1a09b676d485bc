"""Rates and debts that keep a quota, worked out from the agreed bounds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

# Known demand below this part of the rate is admitted freely, together with a rate
# that would use up this part of the slack in one second.
FREE_FRACTION = 0.88
FREE_SLACK_FRACTION = 0.04
# Part of the burst that may be saved up; the rest covers what is admitted until all
# instances know of a rise.
BURST_FRACTION = 0.25
SAVED_SLACK_FRACTION = 0.075
# Parts of the headroom of a window at which admission begins to slow down until the
# debt is paid back, and at which it stops.
SLOW_DOWN_FRACTION = 0.05
STOP_FRACTION = 0.4


@final
@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """What is agreed of all quotas.

    :param window_s: time in which a quota holds, in seconds.
    :param overage: part by which it may be exceeded in that time.
    :param slack: further requests in that time.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def allowed(self, rate: float, burst: float) -> float:
        """Return the requests that a customer may have admitted in one window."""
        return (rate * self.window_s + burst) * (1.0 + self.overage) + self.slack


@final
@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """Limits of one customer over all instances.

    :param rate: requests per second that are divided into shares.
    :param free_rate: known demand up to which requests are admitted freely.
    :param depth: requests that may be saved up.
    :param slow_down: debt at which admission begins to slow down.
    :param stop: debt at which it stops.
    """

    rate: float
    free_rate: float
    depth: float
    slow_down: float
    stop: float


def quota_limits(rate: float, burst: float, bounds: QuotaBounds) -> QuotaLimits:
    """Return the limits for a quota.

    :param rate: requests per second that the customer may send.
    :param burst: requests that it may send on top.
    """
    depth = BURST_FRACTION * burst + SAVED_SLACK_FRACTION * bounds.slack
    headroom = bounds.allowed(rate, burst) - rate * bounds.window_s - depth
    return QuotaLimits(
        rate,
        FREE_FRACTION * rate + FREE_SLACK_FRACTION * bounds.slack,
        depth,
        SLOW_DOWN_FRACTION * headroom,
        STOP_FRACTION * headroom,
    )
