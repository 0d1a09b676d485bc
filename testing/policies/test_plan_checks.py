"""Tests of the checks that a plan must pass before it is written."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from datetime import timedelta
from pathlib import Path

import pytest

from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RegionShare
from sycamorenotch_kernel import Shift
from sycamorenotch_kernel import ShiftCause
from sycamorenotch_policies import Demand
from sycamorenotch_policies import excess_grants
from sycamorenotch_policies import excess_links
from sycamorenotch_policies import excess_shifts

DOCUMENT = (Path(__file__).parents[2] / "examples" / "vatukoula.ini").read_text()
ENVIRONMENT = parse_environment(DOCUMENT)
NOW = datetime(2026, 1, 1, tzinfo=UTC)
CAP = ENVIRONMENT.shift.cap
SLOTS = sum(
    worker.slots
    for worker in ENVIRONMENT.workers_of("balance")
    if worker.region == "viti-west"
)


def grant(name: str, slots: int) -> Grant:
    life = timedelta(seconds=5)
    return Grant(InstanceId(name), "viti-west", "balance", slots, 0, life)


def shift(share: float, second: int = 0) -> Shift:
    at = NOW + timedelta(seconds=second)
    cause = ShiftCause.PLANNED
    return Shift("balance", "viti-west", "viti-east", share, at, cause)


def plan(*grants: Grant, shifts: tuple[Shift, ...] = ()) -> Plan:
    return Plan(1, 1, NOW, InstanceId("first"), (), grants, shifts=shifts)


@pytest.mark.parametrize(("more", "excess"), [(0, False), (1, True)])
def test_grants_are_rejected_when_they_exceed_slots(more: int, excess: bool) -> None:
    made = plan(grant("first", SLOTS - 4), grant("second", 4 + more))
    assert bool(excess_grants(made, None, ENVIRONMENT)) is excess


def test_excess_grants_may_stay_but_not_grow_when_slots_were_reduced() -> None:
    before = plan(grant("first", SLOTS + 2))
    same = plan(grant("first", SLOTS), grant("second", 2))
    more = plan(grant("first", SLOTS + 3))
    assert not excess_grants(same, before, ENVIRONMENT)
    assert excess_grants(more, before, ENVIRONMENT)


def test_shifts_are_rejected_when_their_sum_exceeds_cap() -> None:
    first, second = shift(CAP / 2), shift(CAP / 2 + 0.01, second=1)
    assert not excess_shifts(plan(shifts=(first,)), None, ENVIRONMENT)
    assert excess_shifts(
        plan(shifts=(first, second)), plan(shifts=(first,)), ENVIRONMENT
    )


def test_plan_without_shifts_passes_when_earlier_shifts_exceed_cap() -> None:
    before = plan(shifts=(shift(CAP * 2),))
    assert not excess_shifts(before, before, ENVIRONMENT)


def route_over_link(share: float) -> Plan:
    shares = (RegionShare("viti-west", 1 - share), RegionShare("viti-east", share))
    route = PlanRoute("redemption", "viti-west", Rank.DEFERRABLE, shares)
    return Plan(1, 1, NOW, InstanceId("a"), (route,), ())


@pytest.mark.parametrize(
    ("share", "before", "excess"),
    [
        pytest.param(0.1, 0.0, 0, id="within the budget"),
        pytest.param(0.9, 0.0, 1, id="over the budget"),
        pytest.param(0.9, 0.9, 0, id="over the budget by demand alone"),
    ],
)
def test_link_is_reported_only_when_plan_adds_load_over_its_budget(
    share: float, before: float, excess: int
) -> None:
    # 10,000 answers of 100 kB are twice the 4 Gbit/s of the link.
    demand = Demand("redemption", "viti-west", Rank.DEFERRABLE, 10_000, timedelta())
    plan, previous = route_over_link(share), route_over_link(before)
    found = excess_links(plan, previous, ENVIRONMENT, (demand,))
    assert len(found) == excess
