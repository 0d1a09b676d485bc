"""Confirms with the lease holder that this instance's plan is in force."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar
from typing import final

from sycamorenotch_daemon._background import make_periodic_task
from sycamorenotch_daemon._demand import DemandCounter
from sycamorenotch_daemon._membership import FleetMembership
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._peer_greeting import PeerIdentity
from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_daemon._plan_holder import PlanHolder
from sycamorenotch_daemon._plan_messages import PlanConfirmation
from sycamorenotch_daemon._plan_messages import PlanQuestion
from sycamorenotch_daemon._plan_watch import PlanWatch
from sycamorenotch_daemon._worker_observations import observe_workers
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import components
from sycamorenotch_policies import HeldGrants

QUESTION_INTERVAL = timedelta(seconds=1)


@components.register("plan-asker")
@final
class PlanAsker:
    """Renews the instance's grants with the lease holder and reports demand.

    A loan expires by this instance's own monotonic clock, counted from when it
    sent the question that the holder confirmed.
    """

    after: ClassVar[tuple[str, ...]] = ("calls", "peers", "plan", "plan-holder")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._own_id = InstanceId(node.settings.instance)
        self._mesh = node.require(PeerMesh)
        self._watch = node.require(PlanWatch)
        self._holder = node.require(PlanHolder)
        self._held_grants = HeldGrants(self._own_id)
        self._loop = make_periodic_task(node.reactor, node.sink, self._turn)
        self._question_number = 0
        self._sent_at = timedelta()
        self._mesh.handle(PlanQuestion, self._on_question)
        self._mesh.handle(PlanConfirmation, self._on_confirmation)
        node.provide(HeldGrants, self._held_grants)

    async def start(self) -> None:
        """Start to send questions."""
        self._watch.subscribe(self._on_plan)
        self._loop.start(self._node.random.random() * QUESTION_INTERVAL)

    async def stop(self) -> None:
        """Stop sending questions."""
        self._loop.stop()

    def _on_plan(self, plan: Plan) -> None:
        self._held_grants.accept(plan)

    async def _turn(self) -> timedelta:
        plan = self._watch.plan()
        if plan is not None:
            self._send_question(plan.holder)
        return QUESTION_INTERVAL * (0.9 + 0.2 * self._node.random.random())

    def _send_question(self, holder: InstanceId) -> None:
        now = self._node.clock.monotonic()
        self._question_number += 1
        self._sent_at = now
        demands = self._node.require(DemandCounter).report(now)
        question = PlanQuestion(
            self._question_number,
            self._held_grants.sequence,
            demands,
            observe_workers(self._node),
        )
        if holder != self._own_id:
            self._keep_holder_connected(holder)
            self._mesh.send(holder, question)
            return
        confirmation = self._answer(self._own_id, question)
        if confirmation is not None:
            self._accept(confirmation)

    def _keep_holder_connected(self, holder: InstanceId) -> None:
        # The holder is not necessarily one of this instance's few contacts.
        fleet = self._node.find(FleetMembership)
        if fleet is not None:
            fleet.keep("plan", holder)

    def _answer(
        self, instance: InstanceId, question: PlanQuestion
    ) -> PlanConfirmation | None:
        self._holder.record_measurements(instance, question)
        if not self._holder.try_confirm(instance, question.sequence):
            return None
        return PlanConfirmation(question.question, question.sequence)

    def _on_question(self, peer: PeerIdentity, question: PlanQuestion) -> None:
        confirmation = self._answer(peer.instance, question)
        if confirmation is not None:
            self._mesh.send(peer.instance, confirmation)

    def _on_confirmation(
        self, peer: PeerIdentity, confirmation: PlanConfirmation
    ) -> None:
        plan = self._watch.plan()
        if plan is not None and peer.instance == plan.holder:
            self._accept(confirmation)

    def _accept(self, confirmation: PlanConfirmation) -> None:
        # Loans are renewed from the time of the newest question, so an answer to
        # an earlier one would renew them for too long.
        if confirmation.question == self._question_number:
            self._held_grants.confirm(confirmation.sequence, self._sent_at)
