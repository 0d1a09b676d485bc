"""Computes and writes the plan while this instance holds the lease."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar
from typing import final

from sycamorenotch_daemon._background import make_periodic_task
from sycamorenotch_daemon._fleet_demand import FleetDemand
from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._lease import PlanLease
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._plan_codec import PLAN_KIND
from sycamorenotch_daemon._plan_codec import StoredPlan
from sycamorenotch_daemon._plan_codec import encode_plan
from sycamorenotch_daemon._plan_contacts import InstanceContacts
from sycamorenotch_daemon._plan_events import PlanLeaseLapsed
from sycamorenotch_daemon._plan_events import PlanNotWritten
from sycamorenotch_daemon._plan_events import PlanWritten
from sycamorenotch_daemon._plan_messages import PlanQuestion
from sycamorenotch_daemon._plan_watch import PlanWatch
from sycamorenotch_daemon._worker_observations import FleetWorkers
from sycamorenotch_kernel import DecisionKind
from sycamorenotch_kernel import DecisionRecord
from sycamorenotch_kernel import DrainKind
from sycamorenotch_kernel import Drains
from sycamorenotch_kernel import Event
from sycamorenotch_kernel import Fact
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Invariant
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import components
from sycamorenotch_policies import PlanDecision
from sycamorenotch_policies import SteeringView
from sycamorenotch_policies import excess_grants
from sycamorenotch_policies import excess_links
from sycamorenotch_policies import excess_shifts
from sycamorenotch_policies import make_plan

PLAN_INTERVAL = timedelta(seconds=2)
WRITE_TIMEOUT = timedelta(seconds=1)


@components.register("plan-holder")
@final
class PlanHolder:
    """Runs the document's steering policy periodically and on configuration changes.

    The first plan of a term is always written. It fences off a holder of an
    earlier term, whose conditional write expects an older version.
    """

    after: ClassVar[tuple[str, ...]] = ("drains", "instances", "lease", "plan")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._own_id = InstanceId(node.settings.instance)
        self._lease = node.require(PlanLease)
        self._watch = node.require(PlanWatch)
        self._loop = make_periodic_task(node.reactor, node.sink, self._turn)
        self._term: int | None = None
        self._written_term: int | None = None
        self._contacts = InstanceContacts(timedelta())
        self._demands = FleetDemand()
        self._workers = FleetWorkers()
        self._reported: frozenset[Event] = frozenset()
        # Whether the store is known to contain the plan in force here; false
        # while the outcome of a write is unknown.
        self._store_synced = False
        node.provide(PlanHolder, self)

    async def start(self) -> None:
        """Start the planning loop."""
        self._loop.start(PLAN_INTERVAL)
        self._node.configuration.subscribe(self._on_configuration)

    async def stop(self) -> None:
        """Stop the planning loop."""
        self._loop.stop()

    def record_measurements(self, instance: InstanceId, question: PlanQuestion) -> None:
        """Record the demand and the worker observations of an instance."""
        now = self._node.clock.monotonic()
        self._demands.report(instance, question.demands, now)
        self._workers.report(instance, question.workers, now)

    def try_confirm(self, instance: InstanceId, sequence: int) -> bool:
        """Confirm an instance's plan if it is the one in force.

        A confirmation renews the instance's loans.

        :param sequence: the plan in force at the instance, whose requests in
            flight are within the plan's grants.
        :return: whether the plan is confirmed; false unless this instance holds
            the lease and the store is known to contain the plan in force.
        """
        plan = self._watch.plan()
        acting = self._store_synced and self._is_acting()
        if not acting or plan is None:
            return False
        self._contacts.report(instance, sequence)
        if sequence != plan.sequence:
            return False
        self._contacts.confirm(instance, self._node.clock.monotonic())
        return True

    def _on_configuration(self, _: ServedConfiguration) -> None:
        if self._lease.is_held():
            self._loop.wake()

    async def _turn(self) -> timedelta:
        current = self._node.configuration.current
        if self._lease.is_held() and current is not None:
            await self._make_plan(current)
        return PLAN_INTERVAL

    async def _make_plan(self, current: ServedConfiguration) -> None:
        if not self._store_synced or self._term != self._lease.term:
            if not await self._watch.read():
                return
            self._begin_term()
        previous = self._watch.plan()
        view = self._build_view(current)
        decision = make_plan(view, previous, self._node.clock.now())
        # A persistent condition is reported once and not with every plan.
        for event in decision.events:
            if event not in self._reported:
                self._node.sink.emit(event)
        self._reported = frozenset(decision.events)
        must_write = decision.changed or self._written_term != self._term
        if must_write and self._check_invariants(decision.plan, previous, view):
            await self._write(decision)

    def _check_invariants(
        self, plan: Plan, previous: Plan | None, view: SteeringView
    ) -> bool:
        """Check the invariants of a plan before it is written."""
        environment, invariants = view.environment, self._node.invariants
        shifts = excess_shifts(plan, previous, environment)
        grants = excess_grants(plan, previous, environment)
        links = excess_links(plan, previous, environment, view.demands)
        checks = (
            (Invariant.I1, shifts),
            (Invariant.I2, grants),
            (Invariant.I3, links),
        )
        results = [
            invariants.holds(item, not excess, "; ".join(excess))
            for item, excess in checks
        ]
        return all(results)

    def _begin_term(self) -> None:
        if self._term != self._lease.term:
            self._contacts = InstanceContacts(self._node.clock.monotonic())
        self._term = self._lease.term
        self._store_synced = True

    def _build_view(self, current: ServedConfiguration) -> SteeringView:
        instances = self._node.require(InstanceView).instances()  # type: ignore[type-abstract]
        plan = self._watch.plan()
        grants = () if plan is None else plan.grants
        outstanding = () if plan is None else plan.outstanding
        grant_holders = (
            *(grant.instance for grant in grants),
            *(item.grant.instance for item in outstanding),
        )
        now = self._node.clock.monotonic()
        listed = tuple(item.id for item in instances)
        return SteeringView(
            environment=current.environment,
            generation=current.generation,
            holder=self._own_id,
            instances=instances,
            contacts=self._contacts.update(listed, grant_holders, now),
            demands=self._demands.total(current.environment, listed, now),
            workers=self._workers.reports(listed, now),
            drained=self._drained_regions(current),
        )

    def _drained_regions(self, current: ServedConfiguration) -> frozenset[str]:
        drains = self._node.require(Drains).current
        drained_names = {d.name for d in drains if d.kind is DrainKind.DATA_CENTRE}
        regions = current.environment.regions.values()
        return frozenset(
            r.name for r in regions if drained_names.issuperset(r.data_centres)
        )

    async def _write(self, decision: PlanDecision) -> None:
        assert self._term is not None
        plan, term = decision.plan, self._term
        value = encode_plan(StoredPlan(term, plan))
        if not self._is_acting():
            # The lease may have expired while the process was paused.
            self._node.sink.emit(PlanLeaseLapsed(term, plan.sequence))
            return
        self._store_synced = False
        store, name = self._node.store, self._node.settings.environment
        version = self._watch.version
        if version is None:
            result = await store.create(PLAN_KIND, name, value, WRITE_TIMEOUT)
        else:
            result = await store.update(PLAN_KIND, name, value, version, WRITE_TIMEOUT)
        if result.is_error():
            detail = f"{result.error.fault.value}: {result.error.detail}"
            self._node.sink.emit(PlanNotWritten(term, plan.sequence, detail))
            return
        self._store_synced = self._watch.accept(result.ok)
        self._written_term = term
        self._record_decision(decision, term)

    def _is_acting(self) -> bool:
        return self._lease.is_held() and self._lease.term == self._term

    def _record_decision(self, decision: PlanDecision, term: int) -> None:
        plan = decision.plan
        identifier = self._node.ids.decision()
        reasons = decision.reasons or ("This is the first plan of the term.",)
        self._node.sink.emit(
            PlanWritten(identifier, term, plan.sequence, " ".join(reasons))
        )
        self._node.decisions.record(
            DecisionRecord(
                id=identifier,
                kind=DecisionKind.SHIFT,
                at=plan.made_at,
                generation=plan.generation,
                outcome=f"plan {plan.sequence} of term {term} is written",
                reasons=reasons,
                facts=(
                    Fact("routes", str(len(plan.routes))),
                    Fact("grants", str(len(plan.grants))),
                    Fact("shifts in the window", str(len(plan.shifts))),
                ),
            )
        )
