"""Tests of the headroom steering policy."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from itertools import product
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import ShiftCause
from sycamorenotch_policies import Demand
from sycamorenotch_policies import PlanDecision
from sycamorenotch_policies import SteeringView
from sycamorenotch_policies import WorkerReport
from sycamorenotch_policies import assess
from sycamorenotch_policies import make_plan

EXAMPLES = Path(__file__).parents[2] / "examples"
VATUKOULA = parse_environment((EXAMPLES / "vatukoula.ini").read_text())
LACTEOS = parse_environment((EXAMPLES / "lacteos.ini").read_text())
START = datetime(2026, 1, 1, tzinfo=UTC)
HOLDER = InstanceId("viti-west-0")
NEW = timedelta()


def instance(region: str) -> ListedInstance:
    name = f"{region}-0"
    return ListedInstance(InstanceId(name), region, "", name, "", InstanceState.LIVE)


def view_of(
    environment=VATUKOULA,
    use: float = 0.5,
    lost: str = "",
    age: timedelta = NEW,
) -> SteeringView:
    """Return a view with the same utilisation of each service in every region.

    :param use: utilisation, from 0 to 1 and above.
    :param lost: region whose workers are all unusable.
    :param age: age of the worker reports.
    """
    pairs = {(route.service, route.rank) for route in environment.routes}
    ranks = {s: [r for name, r in pairs if name == s] for s in environment.services}
    demands = tuple(
        Demand(service, source, rank, use * rate(environment, service) / count, NEW)
        for (service, rank), source in product(sorted(pairs), environment.regions)
        for count in (len(ranks[service]) * len(environment.regions),)
    )
    workers = tuple(
        WorkerReport(worker.name, worker.region != lost, use, age)
        for worker in environment.workers.values()
    )
    instances = tuple(map(instance, environment.regions))
    return SteeringView(
        environment, 1, HOLDER, instances, demands=demands, workers=workers
    )


def rate(environment, service: str) -> float:
    slots = sum(worker.slots for worker in environment.workers_of(service))
    return slots / environment.services[service].service_time.total_seconds()


def run(
    view: SteeringView, seconds: int, previous: Plan | None = None
) -> list[PlanDecision]:
    """Make one plan per second."""
    decided: list[PlanDecision] = []
    for second in range(seconds):
        made = make_plan(view, previous, START + timedelta(seconds=second))
        decided.append(made)
        previous = made.plan
    return decided


def share_in(plan: Plan, service: str, rank: Rank, source: str, region: str) -> float:
    (route,) = (
        r
        for r in plan.routes
        if (r.service, r.rank, r.source) == (service, rank, source)
    )
    return route.share_of(region)


def emitted(decided: list[PlanDecision], number: int) -> list[Event]:
    return [e for made in decided for e in made.events if e.number == number]


def test_every_client_is_served_in_its_region_when_no_region_is_overloaded() -> None:
    decided = run(view_of(), 10)
    assert all(len(route.shares) == 1 for route in decided[-1].plan.routes)
    assert [made.changed for made in decided[1:]] == [False] * 9


def test_urgent_rank_moves_first_when_region_is_lost() -> None:
    (calm,) = run(view_of(), 1)
    decided = run(view_of(lost="vanua"), 3, calm.plan)
    plan = decided[-1].plan
    urgent = share_in(plan, "redemption", Rank.URGENT, "vanua", "vanua")
    deferrable = share_in(plan, "redemption", Rank.DEFERRABLE, "vanua", "vanua")
    assert urgent < 0.6
    assert deferrable == 1.0
    assert emitted(decided, 3306)
    assert emitted(decided, 3307)


def test_all_traffic_has_moved_when_region_is_lost_for_minutes() -> None:
    (calm,) = run(view_of(), 1)
    decided = run(view_of(lost="vanua"), 300, calm.plan)
    for rank in (Rank.URGENT, Rank.DEFERRABLE):
        left = share_in(decided[-1].plan, "redemption", rank, "vanua", "vanua")
        assert left < 0.05


def test_planned_move_is_counted_when_region_drains() -> None:
    (calm,) = run(view_of(), 1)
    view = replace(view_of(), drained=frozenset({"vanua"}))
    made = make_plan(view, calm.plan, START)
    causes = {shift.cause for shift in made.plan.shifts}
    assert causes == {ShiftCause.PLANNED}


def test_no_traffic_moves_to_region_when_its_reports_are_stale() -> None:
    (calm,) = run(view_of(), 1)
    view = view_of(lost="vanua", age=VATUKOULA.bounds.stale_after)
    fresh = tuple(
        replace(report, age=NEW) if report.worker.endswith(("labasa-1",)) else report
        for report in view.workers
    )
    decided = run(replace(view, workers=fresh), 5, calm.plan)
    assert decided[-1].plan.routes == calm.plan.routes
    assert emitted(decided, 3301)


def test_routes_stay_when_measurements_are_missing() -> None:
    (calm,) = run(view_of(), 1)
    decided = run(replace(view_of(), workers=()), 5, calm.plan)
    assert decided[-1].plan.routes == calm.plan.routes
    assert emitted(decided, 3302)


@pytest.mark.parametrize("known", [True, False])
def test_routes_stay_when_demand_is_unknown(known: bool) -> None:
    (calm,) = run(view_of(), 1)
    old = tuple(replace(d, age=timedelta(minutes=1)) for d in view_of().demands)
    view = replace(view_of(lost="vanua"), demands=old if known else ())
    decided = run(view, 5, calm.plan)
    assert decided[-1].plan.routes == calm.plan.routes
    assert emitted(decided, 3304)


def test_report_is_discounted_when_outcomes_contradict_it() -> None:
    name = next(iter(VATUKOULA.workers))
    contradicted = tuple(
        replace(r, load=0.1, failures=0.8) if r.worker == name else r
        for r in view_of().workers
    )
    before = assess(view_of())
    after = assess(replace(view_of(), workers=contradicted))
    key = ("viti-west", "balance")
    assert [e.number for e in after.events] == [3303]
    assert after.capacities[key].rate < before.capacities[key].rate


def test_weight_falls_when_reports_age() -> None:
    ages = [timedelta(seconds=s) for s in (0, 5, 10, 15)]
    key = ("viti-west", "balance")
    found = [assess(view_of(age=age)).capacities[key].weight for age in ages]
    assert found == pytest.approx([1.0, 2 / 3, 1 / 3, 0.0])


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["", "cantabria", "galicia"]),
            st.sampled_from(["", "asturias"]),
            st.floats(0.1, 2.0),
            st.integers(1, 30),
            st.sampled_from(["asturias-0", "galicia-0"]),
        ),
        min_size=1,
        max_size=12,
    )
)
@settings(max_examples=60)
def test_plans_keep_cap_and_links_when_faults_and_holders_change(
    steps: list[tuple[str, str, float, int, str]],
) -> None:
    previous, now = run(view_of(LACTEOS), 1)[0].plan, START
    moved: dict[str, list[tuple[datetime, float]]] = defaultdict(list)
    for lost, drained, use, seconds, holder in steps:
        now += timedelta(seconds=seconds)
        view = replace(
            view_of(LACTEOS, use, lost),
            drained=frozenset({drained} - {""}),
            holder=InstanceId(holder),
        )
        made = make_plan(view, previous, now)
        check_moves(previous, made.plan, view, now, moved)
        check_links(previous, made.plan, view)
        previous = made.plan


def check_moves(previous, plan, view, now, moved) -> None:
    """Check the shift cap from the routes alone (I1)."""
    old = {(r.service, r.source, r.rank): r for r in previous.routes}
    rates = {(d.service, d.source, d.rank): d.rate for d in view.demands}
    for service in LACTEOS.services:
        total = sum(r for key, r in rates.items() if key[0] == service)
        gained = sum(
            max(
                0.0,
                s.share
                - old[route.service, route.source, route.rank].share_of(s.region),
            )
            * rates[route.service, route.source, route.rank]
            for route in plan.routes
            if route.service == service
            for s in route.shares
        )
        moved[service].append((now, gained / total))
        window = LACTEOS.shift.window + LACTEOS.bounds.answer_lifetime
        recent = sum(s for at, s in moved[service] if now - at <= window)
        assert recent <= LACTEOS.shift.cap + 1e-9


def check_links(previous, plan, view) -> None:
    """Check that moves load no link beyond its budget (I3)."""
    before, after = link_use(previous, view), link_use(plan, view)
    for link, used in after.items():
        if used > before[link] + 1:
            assert used <= LACTEOS.links[link].budget


def link_use(plan, view) -> dict[tuple[str, str], float]:
    rates = {(d.service, d.source, d.rank): d.rate for d in view.demands}
    used: dict[tuple[str, str], float] = defaultdict(float)
    for route in plan.routes:
        bits = LACTEOS.services[route.service].answer_size * 8
        for item in route.shares:
            if item.region != route.source:
                rate = rates[route.service, route.source, route.rank] * item.share
                used[item.region, route.source] += rate * bits
    return used
