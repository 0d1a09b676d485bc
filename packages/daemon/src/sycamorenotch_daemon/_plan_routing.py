"""Applies the plan's grants and routes to the calls of this instance."""

from __future__ import annotations

from typing import ClassVar
from typing import final

from twisted.internet.task import LoopingCall

from sycamorenotch_daemon._admission_stage import Admission
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._plan_view import PlanView
from sycamorenotch_daemon._upstreams import Upstreams
from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_kernel import RegionShare
from sycamorenotch_kernel import components
from sycamorenotch_policies import HeldGrants
from sycamorenotch_policies import worker_quotas

APPLY_INTERVAL_S = 0.5


@components.register("plan-routing")
@final
class PlanRouting:
    """Applies the plan to admission control and to worker choice.

    Until the lease holder has confirmed a plan that has grants for this
    instance, admission control keeps its even share of the slots.
    """

    after: ClassVar[tuple[str, ...]] = ("admission", "plan", "plan-asker", "upstreams")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._admission = node.require(Admission)
        self._upstreams = node.require(Upstreams)
        self._held_grants = node.require(HeldGrants)
        self._plan = node.require(PlanView)  # type: ignore[type-abstract]
        self._loop = LoopingCall(self._apply_plan)
        self._loop.clock = node.reactor

    async def start(self) -> None:
        """Start to apply the plan periodically, as loans expire between plans."""
        self._loop.start(APPLY_INTERVAL_S)

    async def stop(self) -> None:
        """Stop applying the plan."""
        if self._loop.running:
            self._loop.stop()

    def _apply_plan(self) -> None:
        plan, current = self._plan.plan(), self._node.configuration.current
        if plan is None or current is None or not self._held_grants.is_confirmed:
            return
        own_id = InstanceId(self._node.settings.instance)
        for service in current.environment.services:
            if any((g.instance, g.service) == (own_id, service) for g in plan.grants):
                self._apply_to_service(plan, current.environment, service)

    def _apply_to_service(
        self, plan: Plan, environment: Environment, service: str
    ) -> None:
        now = self._node.clock.monotonic()
        # Slots count only in the regions that the routes lead to.
        weights = {
            item.region: item.share
            for item in self._route_shares(plan, service)
            if self._held_grants.slots(item.region, service, now)
        }
        if not weights:
            return
        self._upstreams.set_regions(service, weights)
        slots = sum(self._held_grants.slots(name, service, now) for name in weights)
        self._admission.set_grant(service, slots)
        for region in weights:
            self._set_quotas(plan, environment, service, region)

    def _route_shares(self, plan: Plan, service: str) -> tuple[RegionShare, ...]:
        home = self._node.settings.region
        routes = (r for r in plan.routes if (r.service, r.source) == (service, home))
        first_route: PlanRoute | None = min(routes, key=lambda r: r.rank, default=None)
        return () if first_route is None else first_route.shares

    def _set_quotas(
        self, plan: Plan, environment: Environment, service: str, region: str
    ) -> None:
        choice = self._upstreams.choice(service)
        if choice is None:
            return
        grants = [g for g in plan.grants if (g.region, g.service) == (region, service)]
        workers = [w for w in environment.workers_of(service) if w.region == region]
        own_id = InstanceId(self._node.settings.instance)
        choice.table.set_quotas(region, worker_quotas(grants, workers, own_id))
