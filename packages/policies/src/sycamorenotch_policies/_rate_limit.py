"""What one instance knows of, and may use of, a worker's request rate limit."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import final

# Length of the burst that an allowance may save up, in seconds at its rate.
BURST_S = 0.25
# An observation is passed on for this long. The end of a limit reaches instances that
# send the worker nothing in this way only.
REPORT_PERIOD_S = 10.0
# A change goes before other reports for this long, which is a few heartbeats.
URGENT_PERIOD_S = 3.0


@final
@dataclass(slots=True)
class RateAllowance:
    """Token bucket for the requests of this instance to one worker.

    It starts empty, so that an instance that takes over the share of another one does
    not send on top of it. All times are seconds on the monotonic clock.

    :param rate: tokens per second.
    """

    rate: float = 0.0
    _tokens: float = 0.0
    _updated_at: float | None = None

    def set_rate(self, rate: float, now: float) -> None:
        """Set the rate; saved tokens shrink with it."""
        self._refill(now)
        if rate < self.rate:
            self._tokens *= rate / self.rate
        self.rate = rate

    def is_available(self, now: float) -> bool:
        """Return whether a request may be sent."""
        self._refill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> None:
        """Use one token; it may be one that the next requests have to wait for."""
        self._refill(now)
        self._tokens -= 1.0

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent; infinite at rate zero."""
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / self.rate if self.rate > 0 else inf

    def _refill(self, now: float) -> None:
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        depth = max(1.0, self.rate * BURST_S)
        self._tokens = min(depth, self._tokens + elapsed * self.rate)
        self._updated_at = now


@final
@dataclass(frozen=True, slots=True)
class RateLimitReport:
    """An instance's own observation of a worker's limit, for the other instances.

    :param limit: requests per second from all instances; none if it names no limit.
    :param age_s: time since the observation, in seconds.
    """

    worker: str
    limit: float | None
    age_s: float


@final
@dataclass(slots=True)
class WorkerRateLimit:
    """The newest limit that a worker named to any instance.

    All times are seconds on the monotonic clock.

    :param limit: requests per second from all instances; none if it names no limit.
    :param observed_at: time of the newest observation, by this instance or another.
    :param own_observed_at: time of the last observation by this instance, while a
        limit was known.
    :param changed_at: time of the last change by an own observation.
    :param reported_at: time at which the own observation was last passed on.
    :param share_until: time at which ``allowance.rate`` is to be computed again.
    :param distances: logarithms of the rendezvous hashes of worker and instance, by
        instance.
    """

    limit: float | None = None
    observed_at: float = -1e9
    own_observed_at: float = -1e9
    changed_at: float = -1e9
    reported_at: float = -1e9
    share_until: float = -1e9
    allowance: RateAllowance = field(default_factory=RateAllowance)
    distances: dict[str, float] = field(default_factory=dict)
    _own_limit: float | None = None

    def observe(self, limit: float | None, now: float) -> bool:
        """Record what an answer to this instance says; return whether it is new."""
        if limit != self.limit or limit != self._own_limit:
            self.changed_at = now
        # The end of a limit that only others observed is passed on too.
        if limit is not None or self._own_limit is not None or self.limit is not None:
            self.own_observed_at = now
        self._own_limit = limit
        return self.learn(limit, now)

    def learn(self, limit: float | None, observed_at: float) -> bool:
        """Record an observation of any instance; return whether it is new."""
        if observed_at <= self.observed_at:
            return False
        self.observed_at = observed_at
        if limit == self.limit:
            return False
        if self.limit is None:
            self.allowance = RateAllowance()
        self.limit = limit
        self.share_until = -1e9
        return True

    def is_recent(self, now: float) -> bool:
        """Return whether the own observation is recent enough to be passed on."""
        return now - self.own_observed_at <= REPORT_PERIOD_S

    def turn(self, now: float) -> tuple[bool, float]:
        """Return the place of the report among others; the lowest goes first."""
        return now - self.changed_at > URGENT_PERIOD_S, self.reported_at

    def report(self, worker: str, now: float) -> RateLimitReport:
        """Return the own observation, and count it as passed on."""
        self.reported_at = now
        return RateLimitReport(worker, self._own_limit, now - self.own_observed_at)
