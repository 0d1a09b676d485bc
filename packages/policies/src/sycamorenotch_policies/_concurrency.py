"""Adaptive concurrency limit that follows the observed latency."""

from __future__ import annotations

from datetime import timedelta
from statistics import median
from typing import final

from sycamorenotch_policies._outcomes import Outcome

WINDOW_SAMPLES = 32
LATENCY_TOLERANCE_FACTOR = 2.0
LATENCY_SLACK = timedelta(milliseconds=5)
MAX_SHED_SHARE = 0.1
DECREASE_FACTOR = 0.9
MIN_GRANT_SHARE = 0.25
BASELINE_WEIGHT = 0.02


@final
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease of a limit within a grant.

    The limit decreases when the median latency of a window of attempts is well
    above the latency of an unloaded upstream, or when upstreams shed requests;
    otherwise it grows by one until it reaches the grant.

    :param grant: upper bound, in requests in flight.
    :param service_time: expected latency of an unloaded upstream.
    """

    def __init__(self, grant: int, service_time: timedelta) -> None:
        self._grant = grant
        self._limit = float(grant)
        self._unloaded_s = service_time.total_seconds()
        self._latencies_s: list[float] = []
        self._shed = 0

    @property
    def limit(self) -> int:
        """The number of requests that may be in flight."""
        return min(self._grant, max(1, int(self._limit))) if self._grant else 0

    def resize(self, grant: int) -> None:
        """Replace the grant and scale the limit in proportion."""
        share = self._limit / self._grant if self._grant else 1.0
        self._grant = grant
        self._limit = grant * share

    def observe(self, latency: timedelta, outcome: Outcome) -> None:
        """Record one finished attempt.

        :param latency: time from dispatch to the end of the attempt.
        """
        if outcome is Outcome.SHED:
            self._shed += 1
        elif outcome is Outcome.ANSWERED:
            self._latencies_s.append(latency.total_seconds())
        if self._shed + len(self._latencies_s) >= WINDOW_SAMPLES:
            self._close_window()

    def _close_window(self) -> None:
        overloaded = self._shed > MAX_SHED_SHARE * WINDOW_SAMPLES
        if self._latencies_s:
            overloaded = self._is_slow(median(self._latencies_s)) or overloaded
        if overloaded:
            lower_bound = max(1.0, self._grant * MIN_GRANT_SHARE)
            self._limit = max(lower_bound, self._limit * DECREASE_FACTOR)
        else:
            self._limit = min(float(self._grant), self._limit + 1)
        self._latencies_s.clear()
        self._shed = 0

    def _is_slow(self, observed_s: float) -> bool:
        allowed_s = self._unloaded_s * LATENCY_TOLERANCE_FACTOR
        slow = observed_s > allowed_s + LATENCY_SLACK.total_seconds()
        # The baseline rises slowly, so that it follows only a lasting change of
        # the service time, and drops to a lower latency at once.
        drift = (observed_s - self._unloaded_s) * BASELINE_WEIGHT
        self._unloaded_s = min(observed_s, self._unloaded_s + max(0.0, drift))
        return slow
