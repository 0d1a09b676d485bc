"""Simulated entry instance that applies the registered policies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any
from typing import final

from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import Failure
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import PlanRoute
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Route
from sycamorenotch_kernel import admission_disciplines
from sycamorenotch_kernel import retry_rules
from sycamorenotch_kernel import upstream_choices
from sycamorenotch_policies import AdmissionSetup
from sycamorenotch_policies import Admitted
from sycamorenotch_policies import ChoiceSetup
from sycamorenotch_policies import FailedAttempt
from sycamorenotch_policies import HeldGrants
from sycamorenotch_policies import Outcome
from sycamorenotch_policies import Refused
from sycamorenotch_policies import Retry
from sycamorenotch_policies import Ticket
from sycamorenotch_policies import worker_quotas
from sycamorenotch_workbench._bench_fleet import Job
from sycamorenotch_workbench._bench_fleet import SimulatedFleet
from sycamorenotch_workbench._bench_results import RequestResult
from sycamorenotch_workbench._bench_systems import SystemUnderTest


@final
@dataclass(slots=True)
class Request:
    """Request of a caller.

    :param source: region of the caller.
    :param arrived_s: virtual time of arrival in seconds.
    :param on_end: callback for the result.
    :param attempts: number of attempts made so far.
    :param tried: names of the workers tried so far.
    """

    ticket: Ticket
    route: Route
    source: str
    arrived_s: float
    on_end: Callable[[RequestResult], None]
    attempts: int = 0
    tried: frozenset[str] = frozenset()


@final
class EntryInstance:
    """Admission control, worker choice and retries of one instance.

    :param listed: entry of the instance in the platform's list.
    :param system: policies to apply.
    :param instances: number of instances that share the workers.
    """

    def __init__(
        self,
        listed: ListedInstance,
        system: SystemUnderTest,
        fleet: SimulatedFleet,
        random: Random,
        invariants: InvariantMonitor,
        instances: int,
    ) -> None:
        self.listed = listed
        self.alive = True
        self.held_grants = HeldGrants(listed.id)
        self._uses_steering = bool(system.steering)
        self._fleet = fleet
        self._random = random
        self._routes: dict[tuple[str, str, Rank], PlanRoute] = {}
        self._pending: dict[str, tuple[Request, str]] = {}
        environment, now = fleet.environment, fleet.time.monotonic()
        bounds = environment.bounds
        self._admissions: dict[tuple[str, str], Any] = {}
        self._choices: dict[str, Any] = {}
        self._retries: dict[str, Any] = {}
        for name, service in environment.services.items():
            for region in environment.regions:
                setup = AdmissionSetup(
                    0, environment.ranks, service.service_time, invariants
                )
                discipline = admission_disciplines.get(system.admission)(setup)
                self._admissions[region, name] = discipline
            choice = upstream_choices.get(system.choice)(
                ChoiceSetup(
                    listed.region,
                    service.service_time,
                    instances,
                    bounds,
                    random,
                    EventList(),
                    invariants,
                )
            )
            choice.update(environment.workers_of(name), now)
            self._choices[name] = choice
            self._retries[name] = retry_rules.get(system.retry)(random)

    def apply_plan(self, plan: Plan) -> None:
        """Apply a plan as confirmed by the lease holder."""
        self.held_grants.accept(plan)
        self.held_grants.confirm(plan.sequence, self._fleet.time.monotonic())
        self._routes = {(r.service, r.source, r.rank): r for r in plan.routes}
        for service, choice in self._choices.items():
            for region in self._fleet.environment.regions:
                workers = [state.worker for state in choice.table.usable(region)]
                pool = (region, service)
                grants = [g for g in plan.grants if (g.region, g.service) == pool]
                quotas = worker_quotas(grants, workers, self.listed.id)
                choice.table.set_quotas(region, quotas)

    def tick(self) -> None:
        """Resize admission to the current grants and expire queued requests."""
        now = self._fleet.time.monotonic()
        for (region, service), discipline in self._admissions.items():
            slots = self.held_grants.slots(region, service, now)
            for decision in (*discipline.resize(slots, now), *discipline.expire(now)):
                self._apply_decision(decision)

    def mark_leaving(self, worker: str) -> None:
        """Stop dispatching new attempts to a worker."""
        for choice in self._choices.values():
            choice.table.mark_leaving(worker, self._fleet.time.monotonic())

    def call(self, req: Request) -> None:
        """Route a request and offer it to admission control."""
        region = self._choose_region(req)
        self._pending[req.ticket.id] = (req, region)
        self._retries[req.route.service].count_first_attempt()
        discipline = self._admissions[region, req.route.service]
        self._apply_decision(discipline.offer(req.ticket, self._fleet.time.monotonic()))

    def _choose_region(self, req: Request) -> str:
        route = self._routes.get((req.route.service, req.source, req.route.rank))
        if route is None:
            return self.listed.region
        weights = [item.share for item in route.shares]
        return self._random.choices(route.shares, weights)[0].region

    def _apply_decision(self, decision: Any) -> None:
        if isinstance(decision, Admitted):
            self._attempt(*self._pending.pop(decision.ticket.id))
        elif isinstance(decision, Refused):
            req, _ = self._pending.pop(decision.ticket.id)
            req.on_end(RequestResult.REFUSED)

    def _attempt(self, req: Request, region: str) -> None:
        choice = self._choices[req.route.service]
        if self._uses_steering:
            choice.set_regions({region: 1.0})
        now = self._fleet.time.monotonic()
        chosen = choice.choose(now, req.tried)
        if chosen is None:
            self._release(req, region, 0.0, Outcome.FAILED)
            req.on_end(RequestResult.REFUSED)
            return
        worker = chosen.worker
        req.attempts += 1
        req.tried |= {worker.name}
        sent_s = self._fleet.time.now_s
        hop_s = self._fleet.latency_s(self.listed.region, worker.region)
        simulated_worker = self._fleet.workers[worker.name]

        def on_finish(outcome: Outcome) -> None:
            ran = (
                None
                if simulated_worker.alive or outcome is not Outcome.FAILED
                else Ran.NO
            )
            self._fleet.time.after(hop_s, lambda: on_end(outcome, ran))
            if outcome is Outcome.ANSWERED:
                delay_s = self._fleet.answer_delay_s(
                    worker.region, req.source, req.route.service
                )
                self._fleet.time.after(
                    delay_s, lambda: req.on_end(RequestResult.IN_TIME)
                )

        def on_end(outcome: Outcome, ran: Ran | None) -> None:
            latency_s = self._fleet.time.now_s - sent_s
            latency = self._fleet.time.monotonic() - now
            choice.finish(worker.name, latency, outcome, self._fleet.time.monotonic())
            self._finish_attempt(req, region, latency_s, outcome, ran)

        job = Job(req.source, req.ticket.deadline.total_seconds(), on_finish)
        self._fleet.time.after(hop_s, lambda: self._fleet.dispatch(worker, job))

    def _finish_attempt(
        self,
        req: Request,
        region: str,
        latency_s: float,
        outcome: Outcome,
        ran: Ran | None,
    ) -> None:
        retry = self._retry(req, outcome, ran)
        if retry is None:
            self._release(req, region, latency_s, outcome)
            if outcome is not Outcome.ANSWERED:
                req.on_end(
                    RequestResult.LATE
                    if outcome is Outcome.LATE
                    else RequestResult.FAILED
                )
            return
        self._fleet.time.after(
            retry.delay.total_seconds(), lambda: self._attempt(req, region)
        )

    def _retry(self, req: Request, outcome: Outcome, ran: Ran | None) -> Retry | None:
        if outcome not in (Outcome.FAILED, Outcome.SHED):
            return None
        shed = outcome is Outcome.SHED
        kind = ErrorKind.UPSTREAM_SHED if shed else ErrorKind.UPSTREAM_FAILED
        attempt = FailedAttempt(
            req.attempts,
            req.route.idempotent,
            Failure(kind, outcome.value, ran),
            req.ticket.deadline,
            self._fleet.environment.services[req.route.service].service_time,
        )
        now = self._fleet.time.monotonic()
        retry_decision = self._retries[req.route.service].decide(attempt, now)
        return retry_decision if isinstance(retry_decision, Retry) else None

    def _release(
        self, req: Request, region: str, latency_s: float, outcome: Outcome
    ) -> None:
        now = self._fleet.time.monotonic()
        since_s = self._fleet.time.now_s - latency_s
        latency = now - type(now)(seconds=since_s)
        discipline = self._admissions[region, req.route.service]
        for decision in discipline.release(req.ticket, latency, outcome, now):
            self._apply_decision(decision)
