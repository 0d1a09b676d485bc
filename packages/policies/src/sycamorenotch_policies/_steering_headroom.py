"""Steers by latency, headroom, link budgets and rank, under the shift cap."""

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
from sycamorenotch_policies._steering_moves import Mover
from sycamorenotch_policies._steering_occupancy import RouteKey
from sycamorenotch_policies._steering_occupancy import Shares
from sycamorenotch_policies._steering_view import PlanDecision
from sycamorenotch_policies._steering_view import SteeringView

# Use of the home region up to which moved traffic returns; the gap to the
# limit for moves away keeps routes from swinging back and forth.
RETURN_LIMIT = 0.7

Wishes = Callable[[SteeringView, Assessment, Mover, RouteKey], Iterator[Move]]


@steering_policies.register("headroom")
def headroom(view: SteeringView, previous: Plan | None, now: datetime) -> PlanDecision:
    """Make the next plan within the cap, headroom and link budgets."""
    assessment = assess(view)
    shares = _shares_in_force(view.environment, previous)
    mover = Mover(view.environment, assessment, shares, previous, now)
    # Every rank's failover comes before any planned move, and within each
    # step the most urgent rank comes first.
    for wishes in (_off_lost, _off_drained, _off_full, _back_home):
        for key in sorted(shares):
            if key.service not in assessment.held:
                for move in wishes(view, assessment, mover, key):
                    mover.carry_out(move)
    routes = _routes(shares)
    grants = split_capacity(view, assessment, routes, previous)
    return _decision(view, previous, now, assessment, mover, routes, grants)


def _decision(
    view: SteeringView,
    previous: Plan | None,
    now: datetime,
    assessment: Assessment,
    mover: Mover,
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
        shifts=mover.ledger.shifts,
    )
    events = (*assessment.events, *mover.events, *grants.events)
    return PlanDecision(plan, _differs(plan, previous), _reasons(mover), events)


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


def _reasons(mover: Mover) -> tuple[str, ...]:
    described = tuple(
        f"{item.name}: "
        + ", ".join(f"{name} {value}" for name, value in item.fields().items())
        + "."
        for item in mover.events
    )
    return described or ("No traffic had to move.",)


def _shares_in_force(environment: Environment, previous: Plan | None) -> Shares:
    known = {
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
    return {key: known.get(key) or {_home(environment, key): 1.0} for key in keys}


def _home(environment: Environment, key: RouteKey) -> str:
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


def _off_lost(
    view: SteeringView, assessment: Assessment, mover: Mover, key: RouteKey
) -> Iterator[Move]:
    for region, share in tuple(mover.shares[key].items()):
        if share and assessment.capacities[region, key.service].lost:
            rate = share * mover.occupancy.rate(key)
            targets = mover.nearest(key, (region,))
            yield Move(key, region, rate, targets, ShiftCause.FAILOVER)


def _off_drained(
    view: SteeringView, assessment: Assessment, mover: Mover, key: RouteKey
) -> Iterator[Move]:
    for region, share in tuple(mover.shares[key].items()):
        lost = assessment.capacities[region, key.service].lost
        if share and region in view.drained and not lost:
            rate = share * mover.occupancy.rate(key)
            targets = mover.nearest(key, view.drained)
            yield Move(key, region, rate, targets, ShiftCause.PLANNED)


def _off_full(
    view: SteeringView, assessment: Assessment, mover: Mover, key: RouteKey
) -> Iterator[Move]:
    for region, share in tuple(mover.shares[key].items()):
        lost = assessment.capacities[region, key.service].lost
        if not share or lost or region in view.drained:
            continue
        rate = min(
            share * mover.occupancy.rate(key), mover.occupancy.excess(key, region)
        )
        targets = mover.nearest(key, (region,))
        if rate:
            yield Move(key, region, rate, targets, ShiftCause.PLANNED)


def _back_home(
    view: SteeringView, assessment: Assessment, mover: Mover, key: RouteKey
) -> Iterator[Move]:
    home = _home(view.environment, key)
    if home in view.drained:
        return
    for region, share in tuple(mover.shares[key].items()):
        if share and region != home:
            room = mover.occupancy.room(key, home, RETURN_LIMIT)
            rate = min(share * mover.occupancy.rate(key), room)
            yield Move(key, region, rate, (home,), ShiftCause.PLANNED, RETURN_LIMIT)


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
