"""Demand of one customer at one instance, and what the instance reports of it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import exp
from typing import final

# An average that has just started counts as if it had lasted this much longer, as
# otherwise the first request would look like a high rate.
START_S = 0.5
# Time constant of the averages that divide the quota. It is long enough for instances
# that see a request every few seconds.
SLOW_S = 15.0
# Events that a fast average holds at usual demand, summed over all instances: a sum of
# Poisson counts then stays below the threshold of free admission.
FAST_EVENTS = 12.0
MIN_FAST_S = 0.6
MAX_FAST_S = 1.5
# An own rise is sudden if the fast average exceeds this multiple of the slow one, by
# this number of requests.
RISE_FACTOR = 2.0
RISE_REQUESTS = 8.0


@final
class MovingAverage:
    """Rate of events, exponentially weighted and corrected for its start.

    :param smoothing_s: time constant in seconds.
    :param now: start of the observation, monotonic time in seconds.
    """

    __slots__ = ("_at", "_since", "_value", "smoothing_s")

    def __init__(self, smoothing_s: float, now: float) -> None:
        self.smoothing_s = smoothing_s
        self._since = self._at = now
        self._value = 0.0

    def record(self, now: float) -> None:
        """Count one event."""
        decay = exp((self._at - now) / self.smoothing_s)
        self._value = self._value * decay + 1.0 / self.smoothing_s
        self._at = now

    def read(self, now: float) -> float:
        """Return the events per second."""
        value = self._value * exp((self._at - now) / self.smoothing_s)
        observed_s = now - self._since + START_S
        return value / (1.0 - exp(-observed_s / self.smoothing_s))


@final
@dataclass(frozen=True, slots=True)
class DemandReport:
    """Requests per second of one customer at one instance, admitted or not.

    :param fast: average over the last seconds, for the known demand.
    :param part: part of the demand at all instances, over a longer time, by which the
        quota is divided. A rise at all instances alike does not change it.
    """

    fast: float
    part: float


NO_DEMAND = DemandReport(0.0, 0.0)


@final
class CustomerDemand:
    """Measures a customer's demand and remembers what was reported of it.

    :param rate: the quota, in requests per second.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._since = now
        self._fast = MovingAverage(fast_smoothing_s(rate), now)
        self._slow = MovingAverage(SLOW_S, now)
        self._total = 0.0
        self._total_at: float | None = None
        # Nothing was reported before the start.
        self._reported: deque[tuple[float, float]] = deque([(now, 0.0)])

    def record(self, now: float) -> None:
        """Count a request, whether or not it is admitted."""
        self._fast.record(now)
        self._slow.record(now)

    def read(self, others: float, now: float) -> DemandReport:
        """Return the present averages.

        :param others: known demand at the other instances, in requests per second.
        """
        fast, slow = self._fast.read(now), self._slow.read(now)
        self._record_total(others + fast, now)
        part = min(1.0, slow / self._total) if self._total > 0 else 0.0
        return DemandReport(fast, part)

    def _record_total(self, total: float, now: float) -> None:
        if self._total_at is None:
            self._total, self._total_at = total, now
            return
        gain = 1.0 - exp((self._total_at - now) / SLOW_S)
        # Catches up as the own average does, which has its start corrected.
        gain = max(gain, (now - self._total_at) / (now - self._since + START_S))
        self._total += min(1.0, gain) * (total - self._total)
        self._total_at = now

    def record_report(self, part: float, now: float) -> None:
        """Record what a heartbeat states, or zero if it omits the customer."""
        self._reported.append((now, part))

    def former(self, since: float) -> float:
        """Return the part that was reported last before a time."""
        while len(self._reported) > 1 and self._reported[1][0] <= since:
            self._reported.popleft()
        return self._reported[0][1]

    def confirmed(self, since: float) -> float:
        """Return the lowest part in force since a time; all others know no lower one.

        The part reported last before that time was still in force at it.
        """
        lowest = self.former(since)
        return min(lowest, min(part for _, part in self._reported))

    def has_risen(self, now: float) -> bool:
        """Return whether the own demand has just risen well above the usual one."""
        excess = self._fast.read(now) - RISE_FACTOR * self._slow.read(now)
        return excess * self._fast.smoothing_s > RISE_REQUESTS


def fast_smoothing_s(rate: float) -> float:
    """Return the time constant of the fast average, in seconds.

    :param rate: the quota, in requests per second.
    """
    return min(MAX_FAST_S, max(MIN_FAST_S, FAST_EVENTS / rate))


def report_delay_s(interval_s: float) -> float:
    """Return the time until all reached instances know a report, in seconds.

    It allows for one lost heartbeat and for the latency between regions.

    :param interval_s: longest interval between two heartbeats to one instance.
    """
    return 2.0 * interval_s + 0.25
