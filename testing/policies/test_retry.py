"""Tests of the retry rules."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import pytest

from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Ran
from sycamorenotch_policies import BudgetedRetry
from sycamorenotch_policies import FailedAttempt
from sycamorenotch_policies import GiveUp
from sycamorenotch_policies import Retry

NOW = timedelta(seconds=5)


def attempt(
    kind: ErrorKind = ErrorKind.UPSTREAM_FAILED,
    ran: Ran = Ran.UNKNOWN,
    idempotent: bool = True,
    number: int = 1,
    remaining_s: float = 1.0,
) -> FailedAttempt:
    failure = Failure(kind, "it failed", ran)
    deadline = NOW + timedelta(seconds=remaining_s)
    service_time = timedelta(milliseconds=10)
    return FailedAttempt(number, idempotent, failure, deadline, service_time)


@pytest.mark.parametrize(
    ("failed", "retried"),
    [
        (attempt(), True),
        (attempt(idempotent=False), False),
        (attempt(ran=Ran.YES, idempotent=False), False),
        (attempt(ran=Ran.NO, idempotent=False), True),
        (attempt(ErrorKind.UPSTREAM_SHED, Ran.NO, idempotent=False), True),
        (attempt(ErrorKind.DEADLINE_PASSED), False),
        (attempt(ErrorKind.OVERLOADED, Ran.NO), False),
        (attempt(number=3), False),
        (attempt(remaining_s=0.005), False),
    ],
)
def test_attempt_is_retried_only_when_safe_and_useful(failed, retried) -> None:
    decision = BudgetedRetry(Random(1)).decide(failed, NOW)
    assert isinstance(decision, Retry) == retried


def test_retries_stay_within_budget_of_first_attempts() -> None:
    rule = BudgetedRetry(Random(1))
    retried = 0
    for _ in range(1000):
        rule.count_first_attempt()
        retried += isinstance(rule.decide(attempt(), NOW), Retry)
    assert 100 <= retried <= 110
    assert rule.decide(attempt(), NOW) == GiveUp("the retry budget is used up")


def test_delays_are_jittered_over_the_full_range() -> None:
    decisions = [BudgetedRetry(Random(n)).decide(attempt(), NOW) for n in range(200)]
    delays = sorted(decision.delay for decision in decisions)
    assert delays[0] < timedelta(milliseconds=2)
    assert timedelta(milliseconds=18) < delays[-1] <= timedelta(milliseconds=20)
