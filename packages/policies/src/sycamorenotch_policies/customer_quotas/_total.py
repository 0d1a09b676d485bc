"""The bucket of a quota over all reached instances, as one instance estimates it."""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import final

from sycamorenotch_policies.customer_quotas._demand import fast_smoothing_s
from sycamorenotch_policies.customer_quotas._limits import QuotaLimits
from sycamorenotch_policies.customer_quotas._share import Share

# What is known of the demand of others is that of about one second before, since their
# averages and heartbeats lag. So many steps of this length make up that time.
STEP_S = 0.25
KNOWN_STEPS = 5
# A rise of the known demand over this number of steps is taken to go on.
RISE_STEPS = 2
# Time over which saved requests are used up, in seconds.
SPEND_S = 0.5
# Saved requests cover so many standard deviations of the known demand at the full rate,
# as the averages of Poisson arrivals scatter. More would notice a rise late.
SCATTER_FACTOR = 3.5
# A customer that is not seen for a while says nothing about the time in between.
MAX_STEP_S = 1.0


@final
class EstimatedTotal:
    """Token bucket of all reached instances together.

    Own admissions are counted exactly, those of others are estimated from their known
    demand and the chance of admission at that time. All instances estimate about the
    same, so that each can admit requests by chance without a token of its own.

    :param saved: requests that may have been saved up by now.
    """

    def __init__(self, limits: QuotaLimits, saved: float, now: float) -> None:
        self._limits = limits
        self._rate = max(limits.rate, limits.free_rate)
        self._tokens = saved
        self._admitted = 0
        self._share = Share(0.0, 1.0, 0.0, 0.0)
        self._updated_at = self._stepped_at = now
        self.chance = 1.0
        self._chances = deque([1.0], KNOWN_STEPS)
        self._demands: deque[float] = deque(maxlen=RISE_STEPS)

    def record_admitted(self) -> None:
        """Count a request that this instance admitted."""
        self._admitted += 1

    def update(self, share: Share, now: float) -> None:
        """Refill the bucket, and compute the chance of admission."""
        elapsed_s = min(MAX_STEP_S, now - self._updated_at)
        self._updated_at = now
        used = self._share.others * self._chances[0] * elapsed_s + self._admitted
        self._admitted = 0
        if share.reached < self._share.reached:
            self._tokens *= share.reached / self._share.reached
        self._share = share
        refilled = self._tokens + self._rate * share.reached * elapsed_s - used
        depth = self._limits.depth * share.reached
        self._tokens = max(-2.0 * self._limits.stop, min(depth, refilled))
        self.chance = self._current_chance()
        if now - self._stepped_at >= STEP_S:
            self._stepped_at = now
            self._chances.append(self.chance)
            self._demands.append(share.demand)

    @property
    def debt(self) -> float:
        """Requests admitted beyond the quota, or less than 0 if some are saved up."""
        return -self._tokens

    def wait_s(self) -> float:
        """Return the time until the debt allows the usual chance, in seconds."""
        excess = self.debt - self._limits.slow_down * self._share.reached
        return excess / (self._rate * self._share.reached)

    def _current_chance(self) -> float:
        reached, demand = self._share.reached, self._share.demand
        former = self._demands[0] if self._demands else demand
        expected = demand + max(0.0, demand - former)
        rate = self._rate * reached
        scatter = sqrt(rate / (2.0 * fast_smoothing_s(self._limits.rate)))
        saved = max(0.0, self._tokens) / SPEND_S
        usable = rate + min(saved, SCATTER_FACTOR * scatter)
        start, stop = self._limits.slow_down * reached, self._limits.stop * reached
        # Without headroom, both limits are 0.
        unpaid = min(1.0, max(0.0, (self.debt - start) / max(stop - start, 1e-9)))
        return min(1.0, usable / max(expected, 1e-9)) * (1.0 - unpaid)
