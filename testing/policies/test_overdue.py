"""Tests of when a request without an answer is tried at a second worker."""

from __future__ import annotations

from math import inf
from random import Random

import pytest

from sycamorenotch_policies import LatencyEstimate
from sycamorenotch_policies import overdue_after_s
from sycamorenotch_policies._overdue import MIN_WAIT_S


def estimate_of(*latencies: float) -> LatencyEstimate:
    estimate = LatencyEstimate()
    for latency_s in latencies:
        estimate.observe(latency_s)
    return estimate


def test_slow_cold_work_is_rarely_overdue() -> None:
    # Cold work: a mean of 1.4 s with a tail to three times that.
    random = Random(3)
    latencies = [random.triangular(0.5, 4.2, 0.7) for _ in range(400)]
    estimate = estimate_of(*latencies)
    wait_s = overdue_after_s(estimate, 8.0, suspect=False)
    assert sum(latency_s > wait_s for latency_s in latencies) <= 0.05 * len(latencies)


def test_fast_service_is_overdue_after_the_minimum() -> None:
    estimate = estimate_of(*[0.05] * 50)
    assert overdue_after_s(estimate, 4.0, suspect=False) == MIN_WAIT_S


def test_second_worker_gets_half_of_the_time_while_no_latency_is_known() -> None:
    assert overdue_after_s(LatencyEstimate(), 6.0, suspect=False) == 3.0


def test_second_worker_gets_half_of_the_time_when_the_tail_is_long() -> None:
    estimate = estimate_of(*[1.0] * 4)
    assert estimate.tail_s > 1.5
    assert overdue_after_s(estimate, 3.0, suspect=False) == 1.5


def test_no_second_worker_is_tried_when_the_whole_service_is_slow() -> None:
    assert overdue_after_s(estimate_of(*[3.5] * 50), 4.0, suspect=False) == inf


@pytest.mark.parametrize("latency_s", [0.05, 1.5, 3.5])
def test_worker_of_a_suspect_data_centre_is_overdue_after_the_minimum(
    latency_s,
) -> None:
    estimate = estimate_of(*[latency_s] * 20)
    assert overdue_after_s(estimate, 4.0, suspect=True) == MIN_WAIT_S
