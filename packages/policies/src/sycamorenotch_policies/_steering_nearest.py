"""Baseline policy that routes every client region to itself."""

from __future__ import annotations

from datetime import datetime
from itertools import product

from sycamorenotch_kernel import Grant
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import RegionShare
from sycamorenotch_kernel import steering_policies
from sycamorenotch_policies._steering_view import PlanDecision
from sycamorenotch_policies._steering_view import SteeringView


@steering_policies.register("nearest")
def nearest(view: SteeringView, previous: Plan | None, now: datetime) -> PlanDecision:
    """Route each client region to itself and make no grants."""
    environment = view.environment
    routes = tuple(
        PlanRoute(service, source, rank, (RegionShare(source, 1.0),))
        for service, source, rank in product(
            environment.services, environment.regions, Rank
        )
    )
    grants: tuple[Grant, ...] = ()
    changed = previous is None or previous.routes != routes
    sequence = 1 if previous is None else previous.sequence + 1
    plan = Plan(view.generation, sequence, now, view.holder, routes, grants)
    return PlanDecision(plan, changed)
