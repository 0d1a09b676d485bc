"""Steering by latency, headroom, link budgets and rank, under the shift cap."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from datetime import datetime
from itertools import product

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_kernel import RegionShare
from sycamorenotch_kernel import ShiftCause
from sycamorenotch_kernel import steering_policies
from sycamorenotch_policies._grants import GrantDecision
from sycamorenotch_policies._grants import split_capacity
from sycamorenotch_policies._measurements import Assessment
from sycamorenotch_policies._measurements import assess
from sycamorenotch_policies._steering_moves import Move
from sycamorenotch_policies._steering_moves import MovePlanner
from sycamorenotch_policies._steering_occupancy import RouteKey
from sycamorenotch_policies._steering_occupancy import Shares
from sycamorenotch_policies._steering_view import PlanDecision
from sycamorenotch_policies._steering_view import SteeringView

# Utilisation of the home region up to which moved traffic returns. The gap to
# UTILISATION_LIMIT is hysteresis, which keeps routes from oscillating.
RETURN_UTILISATION = 0.7

MoveProposer = Callable[
    [SteeringView, Assessment, MovePlanner, RouteKey], Iterator[Move]
]


@steering_policies.register("headroom")
def headroom(view: SteeringView, previous: Plan | None, now: datetime) -> PlanDecision:
    """Make the next plan within the shift cap, headroom and link budgets."""
    assessment = assess(view)
    shares = _current_shares(view.environment, previous)
    planner = MovePlanner(view.environment, assessment, shares, previous, now)
    # The shift cap is used for failover of every rank before any planned move,
    # and within each step for the most urgent rank first.
    for propose in (_failover_moves, _drain_moves, _overload_moves, _return_moves):
        for key in sorted(shares):
            if key.service not in assessment.unmeasured:
                for move in propose(view, assessment, planner, key):
                    planner.execute(move)
    routes = _routes(shares)
    grants = split_capacity(view, assessment, routes, previous)
    return _decision(view, previous, now, assessment, planner, routes, grants)


def _decision(
    view: SteeringView,
    previous: Plan | None,
    now: datetime,
    assessment: Assessment,
    planner: MovePlanner,
    routes: tuple[PlanRoute, ...],
    grants: GrantDecision,
) -> PlanDecision:
    plan = Plan(
        generation=view.generation,
        sequence=grants.sequence,
        made_at=now,
        holder=view.holder,
        routes=routes,
        grants=grants.grants,
        outstanding=grants.outstanding,
        shifts=planner.ledger.shifts,
    )
    events = (*assessment.events, *planner.events, *grants.events)
    return PlanDecision(plan, _differs(plan, previous), _reasons(planner), events)


def _differs(plan: Plan, previous: Plan | None) -> bool:
    if previous is None:
        return True
    return (
        plan.generation != previous.generation
        or plan.holder != previous.holder
        or plan.routes != previous.routes
        or plan.grants != previous.grants
        or plan.outstanding != previous.outstanding
    )


def _reasons(planner: MovePlanner) -> tuple[str, ...]:
    described = tuple(
        f"{item.name}: "
        + ", ".join(f"{name} {value}" for name, value in item.fields().items())
        + "."
        for item in planner.events
    )
    return described or ("No traffic had to move.",)


def _current_shares(environment: Environment, previous: Plan | None) -> Shares:
    in_force = {
        RouteKey(route.rank, route.service, route.source): {
            item.region: item.share
            for item in route.shares
            if item.region in environment.regions
        }
        for route in (() if previous is None else previous.routes)
    }
    pairs = sorted({(route.rank, route.service) for route in environment.routes})
    keys = (
        RouteKey(rank, service, source)
        for (rank, service), source in product(pairs, environment.regions)
    )
    return {
        key: in_force.get(key) or {_home_region(environment, key): 1.0} for key in keys
    }


def _home_region(environment: Environment, key: RouteKey) -> str:
    present = {worker.region for worker in environment.workers_of(key.service)}
    if key.source in present or not present:
        return key.source
    links = environment.links
    linked = [name for name in sorted(present) if (name, key.source) in links]
    return min(
        linked,
        key=lambda name: links[name, key.source].latency,
        default=min(present),
    )


def _failover_moves(
    view: SteeringView, assessment: Assessment, planner: MovePlanner, key: RouteKey
) -> Iterator[Move]:
    for region, share in tuple(planner.shares[key].items()):
        if share and assessment.capacities[region, key.service].lost:
            rate = share * planner.occupancy.rate(key)
            targets = planner.nearest(key, (region,))
            yield Move(key, region, rate, targets, ShiftCause.FAILOVER)


def _drain_moves(
    view: SteeringView, assessment: Assessment, planner: MovePlanner, key: RouteKey
) -> Iterator[Move]:
    for region, share in tuple(planner.shares[key].items()):
        lost = assessment.capacities[region, key.service].lost
        if share and region in view.drained and not lost:
            rate = share * planner.occupancy.rate(key)
            targets = planner.nearest(key, view.drained)
            yield Move(key, region, rate, targets, ShiftCause.PLANNED)


def _overload_moves(
    view: SteeringView, assessment: Assessment, planner: MovePlanner, key: RouteKey
) -> Iterator[Move]:
    for region, share in tuple(planner.shares[key].items()):
        lost = assessment.capacities[region, key.service].lost
        if not share or lost or region in view.drained:
            continue
        rate = min(
            share * planner.occupancy.rate(key), planner.occupancy.excess(key, region)
        )
        targets = planner.nearest(key, (region,))
        if rate:
            yield Move(key, region, rate, targets, ShiftCause.PLANNED)


def _return_moves(
    view: SteeringView, assessment: Assessment, planner: MovePlanner, key: RouteKey
) -> Iterator[Move]:
    home_region = _home_region(view.environment, key)
    if home_region in view.drained:
        return
    for region, share in tuple(planner.shares[key].items()):
        if share and region != home_region:
            spare_rate = planner.occupancy.spare_rate(
                key, home_region, RETURN_UTILISATION
            )
            rate = min(share * planner.occupancy.rate(key), spare_rate)
            yield Move(
                key,
                region,
                rate,
                (home_region,),
                ShiftCause.PLANNED,
                RETURN_UTILISATION,
            )


def _routes(shares: Shares) -> tuple[PlanRoute, ...]:
    return tuple(
        PlanRoute(
            key.service,
            key.source,
            key.rank,
            tuple(
                RegionShare(region, share)
                for region, share in sorted(regions.items())
                if share > 0
            ),
        )
        for key, regions in sorted(shares.items())
    )
