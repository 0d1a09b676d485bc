"""Admission of one customer's requests at one instance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import final

from sycamorenotch_policies.customer_quotas._demand import CustomerDemand
from sycamorenotch_policies.customer_quotas._limits import QuotaLimits
from sycamorenotch_policies.customer_quotas._share import Share
from sycamorenotch_policies.customer_quotas._total import EstimatedTotal

# An own sudden rise counts for this long; by then the heartbeats of the others tell
# whether they have one too.
RISE_PERIOD_S = 2.0
# A share below this rate is kept by chance and not by tokens: a token for each of many
# instances would be more than the burst.
MIN_BUCKET_RATE = 3.0
# Longest time for which the own debt is paid back, in seconds at the own share.
MAX_DEBT_S = 4.0
# The bucket of a share may be in debt by up to so many requests while the known demand
# is less than a third above what may be admitted, as the excess may be chance.
CHANCE_DEBT = 4.0
# After at least so many admitted requests, or those that make up the debt at which
# admission stops, the share is due again. A burst between two regular updates would
# otherwise be admitted whole.
MIN_UNCHECKED = 4.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0


@final
@unique
class AdmissionMode(Enum):
    """How requests of a customer are admitted at this moment."""

    FREE = "free"
    BUCKET = "share"
    CHANCE = "chance"


@final
@dataclass(frozen=True, slots=True)
class QuotaRefusal:
    """Why a request is beyond its customer's quota.

    :param retry_after_s: time until the share allows one more request, in seconds.
    :param share: part of the quota that this instance may use.
    :param demand: known demand of all reached instances, in requests per second.
    :param debt: requests admitted beyond the share, at this instance or at all.
    """

    mode: AdmissionMode
    retry_after_s: float
    share: float
    demand: float
    debt: float


@final
class CustomerAdmission:
    """Decides on the requests of one customer with a quota.

    All admitted requests are counted against the bucket of the own share and that of
    all instances.

    :param saved: requests that all instances together may have saved up by now.
    :param start_tokens: requests that are admitted up to ``start_until`` beyond the
        share, as this instance may not have heard from others yet.
    """

    def __init__(
        self,
        limits: QuotaLimits,
        demand: CustomerDemand,
        saved: float,
        start_tokens: float,
        start_until: float,
        now: float,
    ) -> None:
        self.demand = demand
        self.refresh_at = now
        self._limits = limits
        self._unchecked = 0
        self._start_tokens = start_tokens
        self._start_until = start_until
        self._share = Share(0.0, 0.0, 0.0, 0.0)
        self._mode = AdmissionMode.FREE
        self._total = EstimatedTotal(limits, saved, now)
        self._tokens = 0.0
        self._chance_debt = 0.0
        self._refilled_at = now
        self._risen_at: float | None = None

    def update(self, share: Share, now: float) -> None:
        """Apply a new share."""
        self._refill(now)
        self._unchecked = 0
        self._share = share
        self._total.update(share, now)
        risen = self._has_risen(now)
        chance = self._total.chance
        if chance >= 1.0 and not risen:
            self._mode = AdmissionMode.FREE
        elif share.own * self._limits.rate >= MIN_BUCKET_RATE:
            self._mode = AdmissionMode.BUCKET
        else:
            self._mode = AdmissionMode.CHANCE
        self._chance_debt = CHANCE_DEBT * max(0.0, 1.0 - 4.0 * (1.0 - chance))

    def needs_update(self, now: float) -> bool:
        """Whether the share is due, by time or by the requests admitted since."""
        most = max(MIN_UNCHECKED, self._limits.stop)
        return now >= self.refresh_at or self._unchecked >= most

    def admit(self, now: float, random: Callable[[], float]) -> QuotaRefusal | None:
        """Decide on one request, and count it if it is admitted."""
        self._refill(now)
        if self._is_admitted(now, random):
            self._tokens -= 1.0
            self._unchecked += 1
            self._total.record_admitted()
            return None
        in_bucket = self._mode is AdmissionMode.BUCKET
        return QuotaRefusal(
            self._mode,
            self._retry_after_s(random),
            self._share.own,
            self._share.demand,
            -self._tokens if in_bucket else self._total.debt,
        )

    def _is_admitted(self, now: float, random: Callable[[], float]) -> bool:
        if self._mode is AdmissionMode.FREE:
            return True
        if self._mode is AdmissionMode.BUCKET:
            if self._tokens >= 1.0 - self._chance_debt:
                return True
        elif self._total.chance >= 1.0 or random() < self._total.chance:
            return True
        if now < self._start_until and random() < self._start_tokens:
            self._start_tokens = max(0.0, self._start_tokens - 1.0)
            return True
        return False

    def _has_risen(self, now: float) -> bool:
        if not self.demand.has_risen(now):
            self._risen_at = None
            return False
        if self._risen_at is None:
            self._risen_at = now
        return now - self._risen_at < RISE_PERIOD_S

    def _refill(self, now: float) -> None:
        rate = self._share.own * self._limits.rate
        depth = max(1.0, self._share.own * self._limits.depth)
        refilled = self._tokens + (now - self._refilled_at) * rate
        self._tokens = max(-max(MAX_DEBT_S * rate, 1.0), min(depth, refilled))
        self._refilled_at = now

    def _retry_after_s(self, random: Callable[[], float]) -> float:
        """Return the time until the share allows one more request, with jitter."""
        if self._mode is AdmissionMode.BUCKET:
            missing = 1.0 - self._chance_debt - self._tokens
            wait_s = missing / (self._share.own * self._limits.rate)
        else:
            wait_s = self._total.wait_s()
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return wait_s * (1.0 + 0.5 * random())
