"""How many requests run outside the region of their first owner.

The region that serves them may change for few of a region's requests from one interval
to the next, so the share of such requests moves gradually.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import final

INTERVAL_S = 2.0
# Largest change of the share between two intervals; 0.15 may change, and part of that
# comes from workers that pause or fail.
MAX_CHANGE = 0.1
# An instance with few requests may still send one elsewhere in each interval.
MIN_REQUESTS = 1.0 / MAX_CHANGE


@final
@dataclass(slots=True)
class _Interval:
    begun_at: float
    requests: int = 0
    away: int = 0
    last_share: float | None = None
    last_requests: int = 0


@final
class RegionSpill:
    """Decides, for each request, whether it leaves the region of its first owner.

    :param random: draws the requests that leave while the advantage is small.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._services: dict[str, _Interval] = {}

    def record(self, service: str, *, away: bool, now: float) -> None:
        """Count a request by where it went.

        :param now: monotonic time in seconds.
        """
        interval = self._current(service, now)
        interval.requests += 1
        interval.away += away

    def leaves(self, service: str, advantage: float, now: float) -> bool:
        """Return whether a request that can run in both regions leaves its region.

        :param advantage: how much earlier it is likely to finish elsewhere, in
            multiples of its cost; negative if later.
        :param now: monotonic time in seconds.
        """
        interval = self._current(service, now)
        wanted = self._random.random() < advantage
        if interval.last_share is None:
            return wanted
        requests = max(interval.requests + 1, interval.last_requests, MIN_REQUESTS)
        most = interval.last_share + MAX_CHANGE
        if wanted:
            return interval.away + 1 <= most * requests
        least = interval.last_share - MAX_CHANGE
        return interval.away < least * (interval.requests + 1)

    def _current(self, service: str, now: float) -> _Interval:
        interval = self._services.setdefault(service, _Interval(now))
        elapsed_s = now - interval.begun_at
        if elapsed_s < INTERVAL_S:
            return interval
        share, requests = None, 0
        if elapsed_s < 2 * INTERVAL_S and interval.requests:
            requests = interval.requests
            share = interval.away / requests
        self._services[service] = _Interval(
            now, last_share=share, last_requests=requests
        )
        return self._services[service]
