"""Tests of the retry budget of an instance."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_policies import RetryBudget
from sycamorenotch_policies import RetryLimits

LIMITS = RetryLimits(ratio=0.2, window_s=10.0, extra=60.0)


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=400))
def test_retries_stay_within_limit_in_every_window(steps) -> None:
    instances = 3
    budget = RetryBudget(lambda: LIMITS)
    now = 0.0
    first_attempts: list[float] = []
    retries_sent: list[float] = []
    for pause, retry in steps:
        now += pause
        if not retry:
            budget.record_first_attempt("s", now)
            first_attempts.append(now)
        elif budget.try_acquire("s", now, instances):
            retries_sent.append(now)
    for end in retries_sent:
        retries = sum(end - LIMITS.window_s < t <= end for t in retries_sent)
        requests = sum(end - LIMITS.window_s < t <= end for t in first_attempts)
        assert retries <= LIMITS.ratio * requests + LIMITS.extra / instances


def test_retry_is_denied_when_share_is_used_up() -> None:
    budget = RetryBudget(lambda: RetryLimits(0.0, 10.0, 10.0))
    allowed = sum(budget.try_acquire("s", 1.0, 2) for _ in range(20))
    assert allowed == 4


def test_retry_is_allowed_again_when_window_has_passed() -> None:
    budget = RetryBudget(lambda: RetryLimits(0.0, 10.0, 2.0))
    assert budget.try_acquire("s", 0.0, 1)
    assert not budget.try_acquire("s", 9.0, 1)
    assert budget.try_acquire("s", 10.0, 1)
