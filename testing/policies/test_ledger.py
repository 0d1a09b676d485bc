"""Tests of the shift ledger."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import Shift
from sycamorenotch_kernel import ShiftCause
from sycamorenotch_policies import ShiftLedger

EXAMPLE = Path(__file__).parents[2] / "examples" / "vatukoula.ini"
VATUKOULA = parse_environment(EXAMPLE.read_text())
START = datetime(2026, 1, 1, tzinfo=UTC)
HORIZON = VATUKOULA.shift.window + VATUKOULA.bounds.answer_lifetime


def shift(share: float, at: datetime) -> Shift:
    return Shift("balance", "vanua", "viti-west", share, at, ShiftCause.PLANNED)


def plan_of(ledger: ShiftLedger, holder: str, at: datetime) -> Plan:
    return Plan(1, 1, at, InstanceId(holder), (), (), shifts=ledger.shifts)


@given(
    st.lists(
        st.tuples(st.integers(0, 40), st.floats(0, 0.2), st.sampled_from(["a", "b"])),
        max_size=40,
    )
)
def test_shifts_in_any_window_fit_under_cap_when_holders_change(
    steps: list[tuple[int, float, str]],
) -> None:
    plan, now, made = None, START, []
    for seconds, wanted, holder in steps:
        now += timedelta(seconds=seconds)
        ledger = ShiftLedger.of(VATUKOULA, plan, now)
        share = min(wanted, ledger.available("balance"))
        ledger = ledger.add(shift(share, now))
        made.append((now, share))
        plan = plan_of(ledger, holder, now)
    for start, _ in made:
        inside = sum(s for at, s in made if start <= at <= start + HORIZON)
        assert inside <= VATUKOULA.shift.cap + 1e-9


def test_shift_is_rejected_when_cap_is_used() -> None:
    ledger = ShiftLedger.of(VATUKOULA, None, START).add(shift(0.1, START))
    with pytest.raises(ValueError, match="cap"):
        ledger.add(shift(0.01, START))


def test_cap_of_other_service_is_unused_when_one_shifted() -> None:
    ledger = ShiftLedger.of(VATUKOULA, None, START).add(shift(0.1, START))
    assert ledger.available("issuing") == VATUKOULA.shift.cap


def test_shift_counts_when_clock_of_new_holder_is_behind() -> None:
    ledger = ShiftLedger.of(VATUKOULA, None, START).add(shift(0.1, START))
    plan = plan_of(ledger, "a", START)
    later = ShiftLedger.of(VATUKOULA, plan, START - timedelta(seconds=30))
    assert later.available("balance") == 0
