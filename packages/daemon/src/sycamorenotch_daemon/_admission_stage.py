"""Admits calls to the slots that this instance may use."""

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
RECOUNT_INTERVAL_S = 1.0

OUTCOMES = {
    ErrorKind.UPSTREAM_SHED: Outcome.SHED,
    ErrorKind.DEADLINE_PASSED: Outcome.LATE,
    ErrorKind.CANCELLED: Outcome.CANCELLED,
}


@final
@dataclass(frozen=True, slots=True)
class _Parts:
    """What a discipline was built from; a change replaces it."""

    name: str
    ranks: tuple[RankPolicy, ...]
    service: Service


@components.register("admission")
@final
class Admission:
    """One discipline for each service, sized by the instance's grants."""

    after: ClassVar[tuple[str, ...]] = ("configuration", "upstreams")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._upstreams = node.require(Upstreams)
        self._disciplines: dict[str, AdmissionDiscipline] = {}
        self._slots: dict[str, int] = {}
        self._granted: set[str] = set()
        self._parts: dict[str, _Parts] = {}
        self._holders: dict[str, AdmissionDiscipline] = {}
        self._settled: dict[str, AdmissionDecision] = {}
        self._waiting: dict[str, Deferred[AdmissionDecision]] = {}
        self._expiry = LoopingCall(self._expire)
        self._recount = LoopingCall(self._resize_without_grants)
        self._expiry.clock = self._recount.clock = node.reactor
        node.provide(Admission, self)
        node.configuration.subscribe(self._on_configuration)

    async def start(self) -> None:
        """Start to follow the number of live instances."""
        self._recount.start(RECOUNT_INTERVAL_S)

    async def stop(self) -> None:
        """Stop every timer."""
        for timer in (self._expiry, self._recount):
            if timer.running:
                timer.stop()

    def set_grant(self, service: str, slots: int) -> None:
        """Use a grant in place of an even share of the usable capacity.

        :param slots: requests of the service that may run at once here.
        """
        self._granted.add(service)
        self._resize(service, slots)

    async def wait(self, service: str, ticket: Ticket) -> AdmissionDecision:
        """Return the final decision on a ticket.

        :raises CancelledError: if the wait is cancelled.
        """
        discipline = self._disciplines[service]
        decision = discipline.offer(ticket, self._node.clock.monotonic())
        if isinstance(decision, Refused):
            return decision
        # A new configuration may replace the discipline before the release.
        self._holders[ticket.id] = discipline
        if isinstance(decision, Admitted):
            return decision
        return await self._wait_in_queue(ticket)

    def release(self, ticket: Ticket, latency: timedelta, outcome: Outcome) -> None:
        """Free a slot and settle the tickets that this decides."""
        now = self._node.clock.monotonic()
        discipline = self._holders.pop(ticket.id)
        self._settle(discipline.release(ticket, latency, outcome, now))

    async def _wait_in_queue(self, ticket: Ticket) -> AdmissionDecision:
        if not self._expiry.running:
            self._expiry.start(EXPIRY_INTERVAL_S, now=False)
        waiting: Deferred[AdmissionDecision] = Deferred()
        self._waiting[ticket.id] = waiting
        try:
            decision = await waiting
        except CancelledError:
            self._cancel(ticket)
            raise
        self._settled.pop(ticket.id)
        if isinstance(decision, Refused):
            del self._holders[ticket.id]
        return decision

    def _cancel(self, ticket: Ticket) -> None:
        self._waiting.pop(ticket.id, None)
        settled = self._settled.pop(ticket.id, None)
        if isinstance(settled, Admitted):
            self.release(ticket, timedelta(), Outcome.CANCELLED)
            return
        self._holders.pop(ticket.id).cancel(ticket)

    def _settle(self, decisions: AdmissionDecisions) -> None:
        for decision in decisions:
            waiting = self._waiting.pop(decision.ticket.id)
            self._settled[decision.ticket.id] = decision
            # Deciding from the loop keeps the stack flat when one release
            # leads to the next.
            self._node.reactor.callLater(0, _fire, waiting, decision)

    def _expire(self) -> None:
        now = self._node.clock.monotonic()
        for discipline in dict.fromkeys(self._holders.values()):
            self._settle(discipline.expire(now))
        if not self._waiting:
            self._expiry.stop()

    def _on_configuration(self, in_force: ServedConfiguration) -> None:
        environment = in_force.environment
        name = environment.policies["admission"]
        for service in environment.services.values():
            parts = _Parts(name, tuple(environment.ranks.values()), service)
            if self._parts.get(service.name) == parts:
                continue
            self._parts[service.name] = parts
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
        """Return this instance's part of the slots that are near it."""
        choice = self._upstreams.choice(service)
        if choice is None:
            return 0
        region = self._node.settings.region
        near = choice.table.deployed_in(region)
        users = self._upstreams.live_instances(region if near else None)
        slots = choice.table.usable_slots(region if near else None)
        # One slot stays, so that a service is never refused by the share alone.
        return max(1, slots // users)

    def _resize(self, service: str, slots: int) -> None:
        if self._slots.get(service) == slots:
            return
        self._slots[service] = slots
        self._node.sink.emit(GrantChanged(service, slots))
        discipline = self._disciplines.get(service)
        if discipline is not None:
            now = self._node.clock.monotonic()
            self._settle(discipline.resize(slots, now))


@call_stages.register("admission")
@final
class AdmissionStage:
    """Waits for a slot, runs the call and frees the slot."""

    after: ClassVar[tuple[str, ...]] = ("quarantine",)

    def __init__(self, node: Node) -> None:
        self._node = node
        self._admission = node.require(Admission)

    async def run(self, call: Call, proceed: Proceed) -> CallResult:
        """Refuse the call, or run it in a slot."""
        ticket = Ticket(call.id, call.rank, call.deadline)
        try:
            decision = await self._admission.wait(call.route.service, ticket)
        except CancelledError:
            detail = "the caller went away before the call was sent"
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
    return OUTCOMES.get(result.error.kind, Outcome.FAILED)


def _fire(waiting: Deferred[AdmissionDecision], decision: AdmissionDecision) -> None:
    if not waiting.called:
        waiting.callback(decision)
