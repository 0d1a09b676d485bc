"""Makes the calls of this instance follow the plan."""

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

FOLLOW_INTERVAL_S = 0.5


@components.register("plan-routing")
@final
class PlanRouting:
    """Hands the grants and routes of the plan to admission and choice.

    Until a holder has confirmed a plan that names this instance, admission
    keeps its even share of the slots.
    """

    after: ClassVar[tuple[str, ...]] = ("admission", "plan", "plan-asker", "upstreams")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._admission = node.require(Admission)
        self._upstreams = node.require(Upstreams)
        self._holding = node.require(HeldGrants)
        self._plan = node.require(PlanView)  # type: ignore[type-abstract]
        self._loop = LoopingCall(self._follow)
        self._loop.clock = node.reactor

    async def start(self) -> None:
        """Start to follow the plan and the life of the loans."""
        self._loop.start(FOLLOW_INTERVAL_S)

    async def stop(self) -> None:
        """Stop following."""
        if self._loop.running:
            self._loop.stop()

    def _follow(self) -> None:
        plan, current = self._plan.plan(), self._node.configuration.current
        if plan is None or current is None or not self._holding.is_confirmed:
            return
        me = InstanceId(self._node.settings.instance)
        for service in current.environment.services:
            if any((g.instance, g.service) == (me, service) for g in plan.grants):
                self._follow_service(plan, current.environment, service)

    def _follow_service(
        self, plan: Plan, environment: Environment, service: str
    ) -> None:
        now = self._node.clock.monotonic()
        # Slots are of use only in the regions that the routes lead to.
        weights = {
            item.region: item.share
            for item in self._route_shares(plan, service)
            if self._holding.slots(item.region, service, now)
        }
        if not weights:
            return
        self._upstreams.set_regions(service, weights)
        slots = sum(self._holding.slots(name, service, now) for name in weights)
        self._admission.set_grant(service, slots)
        for region in weights:
            self._set_quotas(plan, environment, service, region)

    def _route_shares(self, plan: Plan, service: str) -> tuple[RegionShare, ...]:
        home = self._node.settings.region
        routes = (r for r in plan.routes if (r.service, r.source) == (service, home))
        first: PlanRoute | None = min(routes, key=lambda r: r.rank, default=None)
        return () if first is None else first.shares

    def _set_quotas(
        self, plan: Plan, environment: Environment, service: str, region: str
    ) -> None:
        choice = self._upstreams.choice(service)
        if choice is None:
            return
        grants = [g for g in plan.grants if (g.region, g.service) == (region, service)]
        workers = [w for w in environment.workers_of(service) if w.region == region]
        me = InstanceId(self._node.settings.instance)
        choice.table.set_quotas(region, worker_quotas(grants, workers, me))
