"""Tests of windowed counts and burn rates."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_kernel import BurnAlarm
from sycamorenotch_kernel import BurnCounts
from sycamorenotch_kernel import BurnTarget
from sycamorenotch_kernel import BurnWindow
from sycamorenotch_kernel import raised_alarms
from sycamorenotch_policies import WindowedCounts

TARGET = BurnTarget(availability=0.99, latency_share=0.9)


@pytest.mark.parametrize(
    ("counts", "rate"),
    [
        (BurnCounts(), 0.0),
        (BurnCounts(1000, 10, 0), 1.0),
        (BurnCounts(1000, 0, 200), 2.0),
        (BurnCounts(1000, 1000, 0), 100.0),
    ],
)
def test_rate_is_bad_share_over_allowed_share(counts: BurnCounts, rate: float) -> None:
    assert TARGET.rate(counts) == pytest.approx(rate)


def test_rate_is_infinite_when_no_error_is_allowed() -> None:
    assert BurnTarget(1.0, 1.0).rate(BurnCounts(10, 1, 0)) == float("inf")


def test_alarm_is_raised_only_when_both_windows_burn() -> None:
    bad, good = BurnCounts(100, 50, 0), BurnCounts(100_000, 50, 0)
    counts = dict.fromkeys(BurnWindow, good)
    counts[BurnWindow.FIVE_MINUTES] = bad
    assert raised_alarms(TARGET, counts) == ()
    counts[BurnWindow.ONE_HOUR] = bad
    assert raised_alarms(TARGET, counts) == (BurnAlarm.FAST,)


@given(
    st.lists(
        st.tuples(st.integers(0, 400_000), st.booleans(), st.booleans()), max_size=60
    )
)
def test_windowed_counts_match_counts_of_full_list(
    requests: list[tuple[int, bool, bool]],
) -> None:
    counts = WindowedCounts()
    ordered = sorted(requests)
    for second, failed, slow in ordered:
        counts.add(timedelta(seconds=second), BurnCounts(1, failed, slow))
    now = timedelta(seconds=ordered[-1][0]) if ordered else timedelta()
    found = counts.counts(now)
    steps = {
        BurnWindow.FIVE_MINUTES: timedelta(minutes=1),
        BurnWindow.ONE_HOUR: timedelta(minutes=1),
        BurnWindow.SIX_HOURS: timedelta(minutes=15),
        BurnWindow.THREE_DAYS: timedelta(minutes=15),
    }
    for window, step in steps.items():
        first = now // step - window.length // step
        inside = [r for r in ordered if timedelta(seconds=r[0]) // step > first]
        expected = BurnCounts(
            len(inside), sum(r[1] for r in inside), sum(r[2] for r in inside)
        )
        assert found[window] == expected
