"""Admission control: admits calls to the slots that this instance may use."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import ClassVar
from typing import final

from expression import Error
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from sycamorenotch_daemon._call_events import AdmissionRefused
from sycamorenotch_daemon._call_events import GrantChanged
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._upstreams import Upstreams
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import Proceed
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import RankPolicy
from sycamorenotch_kernel import Service
from sycamorenotch_kernel import admission_disciplines
from sycamorenotch_kernel import call_stages
from sycamorenotch_kernel import components
from sycamorenotch_policies import AdmissionDecision
from sycamorenotch_policies import AdmissionDecisions
from sycamorenotch_policies import AdmissionDiscipline
from sycamorenotch_policies import AdmissionSetup
from sycamorenotch_policies import Admitted
from sycamorenotch_policies import Outcome
from sycamorenotch_policies import Refused
from sycamorenotch_policies import Ticket

EXPIRY_INTERVAL_S = 0.05
RESIZE_INTERVAL_S = 1.0

OUTCOME_BY_ERROR_KIND = {
    ErrorKind.UPSTREAM_SHED: Outcome.SHED,
    ErrorKind.DEADLINE_PASSED: Outcome.LATE,
    ErrorKind.CANCELLED: Outcome.CANCELLED,
}


@final
@dataclass(frozen=True, slots=True)
class _DisciplineInputs:
    """Inputs of a discipline; a change of one of them creates a new discipline."""

    name: str
    ranks: tuple[RankPolicy, ...]
    service: Service


@components.register("admission")
@final
class Admission:
    """Keeps one admission discipline for each service.

    A discipline has as many slots as the grant of the instance, or an even
    share of the usable capacity while there is no grant.
    """

    after: ClassVar[tuple[str, ...]] = ("configuration", "upstreams")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._upstreams = node.require(Upstreams)
        self._disciplines: dict[str, AdmissionDiscipline] = {}
        self._slots: dict[str, int] = {}
        self._granted: set[str] = set()
        self._inputs: dict[str, _DisciplineInputs] = {}
        self._discipline_by_ticket: dict[str, AdmissionDiscipline] = {}
        # Decisions whose waiting call has not resumed yet.
        self._decided: dict[str, AdmissionDecision] = {}
        self._waiting: dict[str, Deferred[AdmissionDecision]] = {}
        self._expiry_timer = LoopingCall(self._expire)
        self._resize_timer = LoopingCall(self._resize_without_grants)
        self._expiry_timer.clock = self._resize_timer.clock = node.reactor
        node.provide(Admission, self)
        node.configuration.subscribe(self._on_configuration)

    async def start(self) -> None:
        """Start to update the shares when the number of live instances changes."""
        self._resize_timer.start(RESIZE_INTERVAL_S)

    async def stop(self) -> None:
        """Stop the timers."""
        for timer in (self._expiry_timer, self._resize_timer):
            if timer.running:
                timer.stop()

    def set_grant(self, service: str, slots: int) -> None:
        """Replace the even share of the usable capacity by a grant.

        :param slots: maximum number of concurrent requests of the service at
            this instance.
        """
        self._granted.add(service)
        self._resize(service, slots)

    async def wait(self, service: str, ticket: Ticket) -> AdmissionDecision:
        """Wait until a ticket is admitted or refused.

        :raises CancelledError: if the wait is cancelled.
        """
        discipline = self._disciplines[service]
        decision = discipline.offer(ticket, self._node.clock.monotonic())
        if isinstance(decision, Refused):
            return decision
        # A new configuration may replace the discipline before the release.
        self._discipline_by_ticket[ticket.id] = discipline
        if isinstance(decision, Admitted):
            return decision
        return await self._wait_in_queue(ticket)

    def release(self, ticket: Ticket, latency: timedelta, outcome: Outcome) -> None:
        """Free the slot of a ticket and decide the tickets that wait for it.

        :param latency: time that the last attempt spent at its worker; zero if no
            attempt was sent.
        :param outcome: how the call ended, for the discipline's measurements.
        """
        now = self._node.clock.monotonic()
        discipline = self._discipline_by_ticket.pop(ticket.id)
        self._resolve(discipline.release(ticket, latency, outcome, now))

    async def _wait_in_queue(self, ticket: Ticket) -> AdmissionDecision:
        if not self._expiry_timer.running:
            self._expiry_timer.start(EXPIRY_INTERVAL_S, now=False)
        waiting: Deferred[AdmissionDecision] = Deferred()
        self._waiting[ticket.id] = waiting
        try:
            decision = await waiting
        except CancelledError:
            self._cancel(ticket)
            raise
        self._decided.pop(ticket.id)
        if isinstance(decision, Refused):
            del self._discipline_by_ticket[ticket.id]
        return decision

    def _cancel(self, ticket: Ticket) -> None:
        self._waiting.pop(ticket.id, None)
        decided = self._decided.pop(ticket.id, None)
        if isinstance(decided, Admitted):
            self.release(ticket, timedelta(), Outcome.CANCELLED)
            return
        self._discipline_by_ticket.pop(ticket.id).cancel(ticket)

    def _resolve(self, decisions: AdmissionDecisions) -> None:
        for decision in decisions:
            waiting = self._waiting.pop(decision.ticket.id)
            self._decided[decision.ticket.id] = decision
            # Resuming the waiter from the event loop bounds the stack depth
            # when one release leads to the next.
            self._node.reactor.callLater(0, _resume, waiting, decision)

    def _expire(self) -> None:
        now = self._node.clock.monotonic()
        for discipline in dict.fromkeys(self._discipline_by_ticket.values()):
            self._resolve(discipline.expire(now))
        if not self._waiting:
            self._expiry_timer.stop()

    def _on_configuration(self, in_force: ServedConfiguration) -> None:
        environment = in_force.environment
        name = environment.policies["admission"]
        for service in environment.services.values():
            inputs = _DisciplineInputs(name, tuple(environment.ranks.values()), service)
            if self._inputs.get(service.name) == inputs:
                continue
            self._inputs[service.name] = inputs
            setup = AdmissionSetup(
                slots=self._slots.get(service.name, 0),
                ranks=environment.ranks,
                service_time=service.service_time,
                invariants=self._node.invariants,
            )
            self._disciplines[service.name] = admission_disciplines.get(name)(setup)
        self._resize_without_grants()

    def _resize_without_grants(self) -> None:
        for service in sorted(self._disciplines.keys() - self._granted):
            self._resize(service, self._even_share(service))

    def _even_share(self, service: str) -> int:
        """Return the even share of this instance in the usable slots.

        The slots are those of its own region, or those of every region if the
        service has no worker there.
        """
        choice = self._upstreams.choice(service)
        if choice is None:
            return 0
        region = self._node.settings.region
        has_local_workers = choice.table.deployed_in(region)
        instances = self._upstreams.count_live_instances(
            region if has_local_workers else None
        )
        slots = choice.table.usable_slots(region if has_local_workers else None)
        # At least one slot, so that a small share alone never refuses every call.
        return max(1, slots // instances)

    def _resize(self, service: str, slots: int) -> None:
        if self._slots.get(service) == slots:
            return
        self._slots[service] = slots
        self._node.sink.emit(GrantChanged(service, slots))
        discipline = self._disciplines.get(service)
        if discipline is not None:
            now = self._node.clock.monotonic()
            self._resolve(discipline.resize(slots, now))


@call_stages.register("admission")
@final
class AdmissionStage:
    """Runs each call in a slot of its service."""

    after: ClassVar[tuple[str, ...]] = ("quarantine",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._admission = node.require(Admission)

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Wait for a slot and run the call in it, or refuse the call."""
        ticket = Ticket(call.id, call.rank, call.deadline)
        try:
            decision = await self._admission.wait(call.route.service, ticket)
        except CancelledError:
            detail = "the caller disconnected before the call was sent"
            return Error(Failure(ErrorKind.CANCELLED, detail, Ran.NO))
        if isinstance(decision, Refused):
            return self._refuse(call, decision.failure)
        outcome = Outcome.FAILED
        try:
            result = await proceed(call)
            outcome = _outcome(result)
            return result
        finally:
            latency = call.upstream_time or timedelta()
            self._admission.release(ticket, latency, outcome)

    def _refuse(self, call: Call, failure: Failure) -> CallResult:
        service, rank = call.route.service, call.rank.label
        event = AdmissionRefused(
            call.id, service, rank, failure.kind.value, failure.detail
        )
        self._node.sink.emit(event)
        return Error(failure)


def _outcome(result: CallResult) -> Outcome:
    if result.is_ok():
        return Outcome.ANSWERED
    return OUTCOME_BY_ERROR_KIND.get(result.error.kind, Outcome.FAILED)


def _resume(waiting: Deferred[AdmissionDecision], decision: AdmissionDecision) -> None:
    if not waiting.called:
        waiting.callback(decision)
