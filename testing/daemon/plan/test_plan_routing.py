"""Tests of applying the plan's grants and routes to calls."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from sycamorenotch_daemon._admission_stage import Admission
from sycamorenotch_daemon._plan_routing import PlanRouting
from sycamorenotch_daemon._plan_view import PlanView
from sycamorenotch_daemon._upstreams import Upstreams
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import ManualClock
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RegionShare
from sycamorenotch_policies import HeldGrants

EXAMPLE = Path(__file__).parents[3] / "examples" / "vatukoula.ini"
ENVIRONMENT = parse_environment(EXAMPLE.read_text())
ME = InstanceId("entry-0")
LOAN_LIFETIME = timedelta(seconds=5)
SHARES = (RegionShare("vanua", 0.2), RegionShare("viti-west", 0.8))


class Recorder:
    """Fake admission, upstreams and worker choice that record what is set."""

    def __init__(self) -> None:
        self.grants: dict[str, int] = {}
        self.regions: dict[str, Mapping[str, float]] = {}
        self.quotas: dict[str, int] = {}
        self.table = self

    def set_grant(self, service: str, slots: int) -> None:
        self.grants[service] = slots

    def set_regions(self, service: str, weights: Mapping[str, float]) -> None:
        self.regions[service] = weights

    def choice(self, service: str) -> Recorder:
        return self

    def set_quotas(self, region: str, quotas: Mapping[str, int]) -> None:
        self.quotas[region] = sum(quotas.values())


def grant(region: str, floor: int, loan: int) -> Grant:
    return Grant(ME, region, "balance", floor, loan, LOAN_LIFETIME)


@pytest.fixture
def recorder() -> Recorder:
    return Recorder()


@pytest.fixture
def held_grants() -> HeldGrants:
    return HeldGrants(ME)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def routing(recorder: Recorder, held_grants: HeldGrants, clock: ManualClock) -> Any:
    route = PlanRoute("balance", "viti-west", Rank.STANDARD, SHARES)
    grants = (grant("viti-west", 4, 2), grant("vanua", 1, 1))
    made_at = datetime(2026, 1, 1, tzinfo=UTC)
    plan = Plan(1, 3, made_at, ME, (route,), grants)
    held_grants.accept(plan)
    services = {
        Admission: recorder,
        Upstreams: recorder,
        HeldGrants: held_grants,
        PlanView: SimpleNamespace(plan=lambda: plan),
    }
    node = SimpleNamespace(
        require=services.__getitem__,
        reactor=Clock(),
        clock=clock,
        settings=SimpleNamespace(instance=ME, region="viti-west"),
        configuration=SimpleNamespace(current=SimpleNamespace(environment=ENVIRONMENT)),
    )
    return PlanRouting(node)


def test_calls_follow_grants_and_routes_when_plan_is_confirmed(
    routing: Any, recorder: Recorder, held_grants: HeldGrants, clock: ManualClock
) -> None:
    held_grants.confirm(3, clock.monotonic())
    routing._apply_plan()
    assert recorder.grants == {"balance": 8}
    assert recorder.regions == {"balance": {"viti-west": 0.8, "vanua": 0.2}}
    assert recorder.quotas == {"viti-west": 6, "vanua": 2}


def test_only_floors_are_used_when_loans_expired(
    routing: Any, recorder: Recorder, held_grants: HeldGrants, clock: ManualClock
) -> None:
    held_grants.confirm(3, clock.monotonic())
    clock.advance(LOAN_LIFETIME)
    routing._apply_plan()
    assert recorder.grants == {"balance": 5}


def test_nothing_changes_when_no_plan_was_confirmed(
    routing: Any, recorder: Recorder
) -> None:
    routing._apply_plan()
    assert recorder.grants == {}
