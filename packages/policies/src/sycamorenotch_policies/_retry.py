"""Rules for whether and when a failed attempt is retried."""

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

MAX_ATTEMPTS = 3
BUDGET_PER_FIRST_ATTEMPT = 0.1
MAX_BUDGET = 10.0
BASE_DELAY = timedelta(milliseconds=10)
MAX_DELAY = timedelta(seconds=1)

RETRYABLE_KINDS = frozenset({ErrorKind.UPSTREAM_SHED, ErrorKind.UPSTREAM_FAILED})


@final
@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt, as input of a retry rule.

    :param number: 1 for the first attempt.
    :param idempotent: whether the route allows a request to run more than once.
    :param deadline: monotonic time.
    :param service_time: expected service time of one request.
    """

    number: int
    idempotent: bool
    failure: Failure
    deadline: timedelta
    service_time: timedelta


@final
@dataclass(frozen=True, slots=True)
class Retry:
    """Retry the request after a delay."""

    delay: timedelta


@final
@dataclass(frozen=True, slots=True)
class GiveUp:
    """Return the failure to the caller."""

    reason: str


RetryDecision = Retry | GiveUp


class RetryRule(Protocol):
    """Strategy for the retries of one service on this instance."""

    def count_first_attempt(self) -> None:
        """Count a request that was sent for the first time."""
        ...

    def decide(self, attempt: FailedAttempt, now: timedelta) -> RetryDecision:
        """Decide whether to retry a failed attempt."""
        ...


def may_run_again(attempt: FailedAttempt) -> bool:
    """Return whether a retry cannot run a non-idempotent request twice."""
    return attempt.idempotent or attempt.failure.stated_ran is Ran.NO


@retry_rules.register("never")
@final
class NeverRetry:
    """Returns every failure to the caller."""

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
    """Retries at once and without a budget; a baseline for comparison."""

    def __init__(self, random: Random) -> None:
        pass

    def count_first_attempt(self) -> None:
        """Do nothing; there is no budget."""

    def decide(self, attempt: FailedAttempt, now: timedelta) -> RetryDecision:
        """Retry up to the maximum number of attempts."""
        if not may_run_again(attempt):
            return GiveUp("the request may have run")
        if attempt.number >= MAX_ATTEMPTS:
            return GiveUp("the attempts are used up")
        return Retry(timedelta())


@retry_rules.register("budgeted")
@final
class BudgetedRetry:
    """Retries with full jitter, within a budget that first attempts refill.

    :param random: source of the jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._budget = MAX_BUDGET

    @property
    def budget(self) -> float:
        """The number of retries that the budget allows at present."""
        return self._budget

    def count_first_attempt(self) -> None:
        """Add a share of one retry to the budget."""
        self._budget = min(MAX_BUDGET, self._budget + BUDGET_PER_FIRST_ATTEMPT)

    def decide(self, attempt: FailedAttempt, now: timedelta) -> RetryDecision:
        """Retry if it is safe and within the deadline and the budget."""
        if attempt.failure.kind not in RETRYABLE_KINDS:
            return GiveUp("another attempt would not change the failure")
        if not may_run_again(attempt):
            return GiveUp("the request may have run")
        if attempt.number >= MAX_ATTEMPTS:
            return GiveUp("the attempts are used up")
        if self._budget < 1:
            return GiveUp("the retry budget is used up")
        delay = self._delay(attempt.number)
        if now + delay + attempt.service_time > attempt.deadline:
            return GiveUp("the deadline leaves no time")
        self._budget -= 1
        return Retry(delay)

    def _delay(self, number: int) -> timedelta:
        max_delay: timedelta = min(MAX_DELAY, BASE_DELAY * 2**number)
        return max_delay * self._random.random()
