"""Events about customers, their keys and their quotas."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Severity
from sycamorenotch_kernel import event


@event(6150, "customers.changed")
@final
@dataclass(frozen=True, slots=True)
class CustomersChanged(Event):
    """The configuration has more or fewer customers than the one before.

    :param version: version of the configuration.
    """

    version: int
    customers: int
    previous: int


@event(6151, "customers.keys-refused", Severity.ERROR)
@final
@dataclass(frozen=True, slots=True)
class KeysRefused(Event):
    """Requests with keys are refused, as the configuration may be out of date.

    :param age_s: age that the configuration is known to have; none if it is unknown.
    :param limit_s: age from which keys are refused.
    """

    age_s: float | None
    limit_s: float


@event(6152, "customers.keys-accepted")
@final
@dataclass(frozen=True, slots=True)
class KeysAccepted(Event):
    """Requests with keys are accepted again.

    :param age_s: age that the configuration is known to have.
    :param refused: requests that were refused because of the age.
    """

    age_s: float | None
    refused: int
    seconds: float


@event(6170, "quota.exceeded", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class QuotaExceeded(Event):
    """A customer's requests were refused as beyond its quota, at most once a second.

    :param rate: the quota, in requests per second.
    :param mode: how requests are admitted: ``share`` by tokens of the own share,
        ``chance`` at random.
    :param share: part of the quota that this instance may use.
    :param demand: known demand of all reached instances, in requests per second.
    :param debt: requests admitted beyond the share, or beyond the quota if by chance.
    :param reached: number of other instances whose demand is known.
    :param known_age_s: age of the oldest of these reports.
    :param refused: requests refused since the last such line.
    """

    customer: str
    rate: float
    mode: str
    share: float
    demand: float
    debt: float
    reached: int
    known_age_s: float
    refused: int


@event(6171, "quota.shares-frozen", Severity.WARNING)
@final
@dataclass(frozen=True, slots=True)
class QuotaSharesFrozen(Event):
    """Fewer than half of the other instances are heard from; shares do not rise."""

    reached: int
    instances: int


@event(6172, "quota.shares-resumed")
@final
@dataclass(frozen=True, slots=True)
class QuotaSharesResumed(Event):
    """At least half of the other instances are heard from again."""

    reached: int
    instances: int
