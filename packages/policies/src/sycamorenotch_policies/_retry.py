"""Whether and when a failed attempt is repeated."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Protocol
from typing import final

from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import retry_rules

MAXIMUM_ATTEMPTS = 3
BUDGET_SHARE = 0.1
BUDGET_LIMIT = 10.0
BASE_DELAY = timedelta(milliseconds=10)
MAXIMUM_DELAY = timedelta(seconds=1)

UPSTREAM_KINDS = frozenset({ErrorKind.UPSTREAM_SHED, ErrorKind.UPSTREAM_FAILED})


@final
@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that a retry rule is asked about.

    :param number: 1 for the first attempt.
    :param idempotent: whether the route may run a request more than once.
    :param deadline: moment on the monotonic clock.
    :param service_time: usual time of one request.
    """

    number: int
    idempotent: bool
    failure: Failure
    deadline: timedelta
    service_time: timedelta


@final
@dataclass(frozen=True, slots=True)
class Retry:
    """Try again after a delay."""

    delay: timedelta


@final
@dataclass(frozen=True, slots=True)
class GiveUp:
    """Hand the failure to the caller."""

    reason: str


RetryDecision = Retry | GiveUp


class RetryRule(Protocol):
    """Decides on retries of one service on this instance."""

    def count_first_attempt(self) -> None:
        """Count a request that was sent for the first time."""
        ...

    def decide(self, attempt: FailedAttempt, now: timedelta) -> RetryDecision:
        """Decide what follows a failed attempt."""
        ...


def may_run_again(attempt: FailedAttempt) -> bool:
    """Return whether a retry cannot run a protected action twice."""
    return attempt.idempotent or attempt.failure.stated_ran is Ran.NO


@retry_rules.register("never")
@final
class NeverRetry:
    """Hands on every failure."""

    def __init__(self, random: Random) -> None:
        pass

    def count_first_attempt(self) -> None:
        """Do nothing; there is no budget."""

    def decide(self, attempt: FailedAttempt, now: timedelta) -> RetryDecision:
        """Give up."""
        return GiveUp("the rule allows no retry")


@retry_rules.register("plain")
@final
class PlainRetry:
    """Retries at once and without a budget; a baseline for measurements."""

    def __init__(self, random: Random) -> None:
        pass

    def count_first_attempt(self) -> None:
        """Do nothing; there is no budget."""

    def decide(self, attempt: FailedAttempt, now: timedelta) -> RetryDecision:
        """Retry until the attempts are used up."""
        if not may_run_again(attempt):
            return GiveUp("the request may have run")
        if attempt.number >= MAXIMUM_ATTEMPTS:
            return GiveUp("the attempts are used up")
        return Retry(timedelta())


@retry_rules.register("budgeted")
@final
class BudgetedRetry:
    """Retries within a share of the first attempts, with full jitter.

    :param random: source of the jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._budget = BUDGET_LIMIT

    @property
    def budget(self) -> float:
        """The number of retries that may follow now."""
        return self._budget

    def count_first_attempt(self) -> None:
        """Add a share of one retry to the budget."""
        self._budget = min(BUDGET_LIMIT, self._budget + BUDGET_SHARE)

    def decide(self, attempt: FailedAttempt, now: timedelta) -> RetryDecision:
        """Retry if it is safe, in time and within the budget."""
        if attempt.failure.kind not in UPSTREAM_KINDS:
            return GiveUp("another attempt would not change the failure")
        if not may_run_again(attempt):
            return GiveUp("the request may have run")
        if attempt.number >= MAXIMUM_ATTEMPTS:
            return GiveUp("the attempts are used up")
        if self._budget < 1:
            return GiveUp("the retry budget is used up")
        delay = self._delay(attempt.number)
        if now + delay + attempt.service_time > attempt.deadline:
            return GiveUp("the deadline leaves no time")
        self._budget -= 1
        return Retry(delay)

    def _delay(self, number: int) -> timedelta:
        longest: timedelta = min(MAXIMUM_DELAY, BASE_DELAY * 2**number)
        return longest * self._random.random()
