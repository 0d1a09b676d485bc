"""Tests of the adaptive idle timeout of keep-alive connections."""

from __future__ import annotations

from math import inf

import pytest

from sycamorenotch_policies import AdaptiveIdleTimeout


def test_idle_time_is_unlimited_at_first() -> None:
    assert AdaptiveIdleTimeout().max_idle_s(0.0) == inf


def test_limit_drops_below_idle_time_of_dropped_connection() -> None:
    timeout = AdaptiveIdleTimeout()
    assert timeout.record_close(3.0, 0.1, 10.0)
    assert timeout.max_idle_s(10.0) == pytest.approx(1.5)


def test_limit_grows_back_when_no_connection_is_dropped() -> None:
    timeout = AdaptiveIdleTimeout()
    timeout.record_close(1.0, 0.1, 0.0)
    assert timeout.max_idle_s(6.0) == pytest.approx(1.0)
    assert timeout.max_idle_s(60.0) == inf


def test_limit_drops_further_when_more_connections_are_dropped() -> None:
    timeout = AdaptiveIdleTimeout()
    timeout.record_close(4.0, 0.1, 0.0)
    timeout.record_close(1.0, 0.1, 1.0)
    assert timeout.max_idle_s(1.0) == pytest.approx(0.5)


@pytest.mark.parametrize(("idle_s", "after_s"), [(None, 0.1), (0.1, 0.1), (3.0, 0.5)])
def test_limit_is_unchanged_when_close_has_another_cause(idle_s, after_s) -> None:
    timeout = AdaptiveIdleTimeout()
    assert not timeout.record_close(idle_s, after_s, 0.0)
    assert timeout.max_idle_s(0.0) == inf
