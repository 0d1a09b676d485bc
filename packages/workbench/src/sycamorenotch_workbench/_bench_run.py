"""Benchmark run: callers, instances and planning of one system in one scenario."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from dataclasses import replace
from datetime import timedelta
from ipaddress import ip_address
from itertools import count
from itertools import product
from random import Random
from time import perf_counter
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Route
from sycamorenotch_policies import Demand
from sycamorenotch_policies import InstanceContact
from sycamorenotch_policies import LookupTable
from sycamorenotch_policies import SteeringView
from sycamorenotch_policies import Ticket
from sycamorenotch_policies import WorkerReport
from sycamorenotch_policies import make_plan
from sycamorenotch_workbench._bench_clock import VirtualTime
from sycamorenotch_workbench._bench_entry import EntryInstance
from sycamorenotch_workbench._bench_entry import Request
from sycamorenotch_workbench._bench_fleet import SimulatedFleet
from sycamorenotch_workbench._bench_results import RequestResult
from sycamorenotch_workbench._bench_results import Results
from sycamorenotch_workbench._bench_scenarios import FAULT_AT_S
from sycamorenotch_workbench._bench_scenarios import Scenario
from sycamorenotch_workbench._bench_scenarios import route_rate
from sycamorenotch_workbench._bench_systems import SystemUnderTest

INSTANCES_PER_REGION = 3
CALLERS_PER_REGION = 24
REGION_DEMAND_SHARES = (0.38, 0.34, 0.28)
PLAN_PERIOD_S = 1.0
TICK_S = 0.1
FAILURE_DETECTION_S = 2.0
LIST_DELAY_S = 4.0
DEMAND_SMOOTHING_FACTOR = 0.2

LookupCache = dict[tuple[str, str, int], tuple[float, tuple[ListedInstance, ...]]]


@final
class Run:
    """Simulates one system in one scenario."""

    def __init__(
        self,
        environment: Environment,
        scenario: Scenario,
        system: SystemUnderTest,
        seed: int,
    ) -> None:
        self._environment = environment
        self._scenario = scenario
        self._system = system
        self._random = Random(seed)
        self._time = VirtualTime()
        self._fleet = SimulatedFleet(environment, self._time, self._random)
        self._invariants = InvariantMonitor(EventList())
        self._lookups = LookupTable(environment)
        self._instances = self._build_instances()
        self._lookup_cache: LookupCache = {}
        self._plan: Plan | None = None
        self._ids = count()
        self._offered: Counter[tuple[str, str, Rank]] = Counter()
        self._demand: defaultdict[tuple[str, str, Rank], float] = defaultdict(float)
        self._view: SteeringView | None = None
        self._shifts: list[tuple[float, str, float]] = []
        self._plan_times_s: list[float] = []
        measured_s = scenario.duration_s - FAULT_AT_S
        self.results = Results(environment, measured_s)

    def run(self) -> Results:
        """Run the scenario and return its measurements."""
        end_s = self._scenario.duration_s
        self._time.every(PLAN_PERIOD_S, self._update_plan, end_s)
        self._time.every(TICK_S, self._tick, end_s)
        for route, source in product(self._environment.routes, range(3)):
            self._next_arrival(route, source)
        self._time.after(FAULT_AT_S, self._inject_fault)
        self._time.run()
        self._compute_totals()
        return self.results

    def _build_instances(self) -> dict[InstanceId, EntryInstance]:
        regions = self._environment.regions.values()
        pairs = tuple(product(regions, range(INSTANCES_PER_REGION)))
        listed = (
            ListedInstance(
                InstanceId(f"{region.name}-{number}"),
                region.name,
                region.data_centres[number % len(region.data_centres)],
                "",
                "",
                InstanceState.LIVE,
            )
            for region, number in pairs
        )
        return {
            item.id: EntryInstance(
                item,
                self._system,
                self._fleet,
                self._random,
                self._invariants,
                len(pairs),
            )
            for item in listed
        }

    def _inject_fault(self) -> None:
        regions = list(self._environment.regions.values())
        for worker in self._fleet.workers.values():
            if self._scenario.region_lost and worker.worker.region == regions[-1].name:
                worker.kill()
            drained = regions[0].data_centres[1]
            if self._scenario.drained and worker.worker.data_centre == drained:
                worker.leaving_since_s = self._time.now_s
                worker.idle_since_s = self._time.now_s if not worker.in_flight else None
                for instance in self._instances.values():
                    instance.mark_leaving(worker.worker.name)
        for instance in self._instances.values():
            if (
                self._scenario.region_lost
                and instance.listed.region == regions[-1].name
            ):
                instance.alive = False

    def _next_arrival(self, route: Route, source: int) -> None:
        rate = route_rate(self._environment, self._scenario, route, self._time.now_s)
        shares = REGION_DEMAND_SHARES
        if self._scenario.stale_measurements and self._time.now_s >= FAULT_AT_S:
            # The demand moves while the measurements still show the old regions.
            shares = REGION_DEMAND_SHARES[::-1]
        delay_s = self._random.expovariate(rate * shares[source])
        if self._time.now_s + delay_s < self._scenario.duration_s:
            self._time.after(delay_s, lambda: self._arrive(route, source))

    def _arrive(self, route: Route, source: int) -> None:
        self._next_arrival(route, source)
        region = tuple(self._environment.regions)[source]
        self._offered[route.service, region, route.rank] += 1
        req = self._request(route, region)
        caller = self._random.randrange(CALLERS_PER_REGION)
        instance = self._look_up(route.service, region, caller)
        if instance is None:
            req.on_end(RequestResult.FAILED)
            return
        hop_s = self._fleet.latency_s(region, instance.listed.region)
        self._time.after(hop_s, lambda: instance.call(req))

    def _request(self, route: Route, region: str) -> Request:
        arrived_s = self._time.now_s
        deadline_s = self._environment.ranks[route.rank].deadline.total_seconds()

        def on_end(end: RequestResult) -> None:
            latency_s = self._time.now_s - arrived_s
            late = end is RequestResult.IN_TIME and latency_s > deadline_s
            if arrived_s >= FAULT_AT_S:
                result = RequestResult.LATE if late else end
                self.results.count(route.service, route.rank, result, latency_s)

        deadline = timedelta(seconds=arrived_s + deadline_s)
        ticket = Ticket(str(next(self._ids)), route.rank, deadline)
        return Request(ticket, route, region, arrived_s, on_end)

    def _look_up(self, service: str, region: str, caller: int) -> EntryInstance | None:
        key = (service, region, caller)
        expires_s, listed = self._lookup_cache.get(key, (-1.0, ()))
        if expires_s <= self._time.now_s:
            block = self._environment.regions[region].client_blocks[-1]
            address = ip_address(int(block.network_address) + caller + 1)
            answer = self._lookups.answer(service, address).ok
            listed = answer.instances
            lifetime_s = answer.lifetime.total_seconds()
            self._lookup_cache[key] = (self._time.now_s + lifetime_s, listed)
        candidates = (self._instances[item.id] for item in listed)
        return next((item for item in candidates if item.alive), None)

    def _tick(self) -> None:
        for instance in self._instances.values():
            if instance.alive:
                instance.tick()

    def _update_plan(self) -> None:
        for key in product(self._environment.services, self._environment.regions, Rank):
            change = self._offered[key] / PLAN_PERIOD_S - self._demand[key]
            self._demand[key] += DEMAND_SMOOTHING_FACTOR * change
        self._offered.clear()
        listed = self._listed()
        if self._system.steering:
            self._make_plan(listed)
        self._lookups.update(self._plan, listed)

    def _listed(self) -> tuple[ListedInstance, ...]:
        known = self._time.now_s >= FAULT_AT_S + LIST_DELAY_S
        return tuple(
            item.listed for item in self._instances.values() if item.alive or not known
        )

    def _make_plan(self, listed: tuple[ListedInstance, ...]) -> None:
        view = self._build_view(listed)
        started_s = perf_counter()
        decided = make_plan(view, self._plan, self._time.now())
        self._plan_times_s.append(perf_counter() - started_s)
        if self._plan is not None:
            self._count_shifts(self._plan, decided.plan)
        self._plan = decided.plan
        for instance in self._instances.values():
            if instance.alive:
                instance.apply_plan(decided.plan)

    def _build_view(self, listed: tuple[ListedInstance, ...]) -> SteeringView:
        now_s, environment = self._time.now_s, self._environment
        contacts = tuple(
            InstanceContact(
                name,
                item.held_grants.sequence,
                timedelta() if item.alive else timedelta(seconds=now_s - FAULT_AT_S),
            )
            for name, item in self._instances.items()
        )
        holder = next(n for n, item in self._instances.items() if item.alive)
        lag_s = (
            max(0.0, now_s - FAULT_AT_S) if self._scenario.stale_measurements else 0.0
        )
        if lag_s and self._view is not None:
            return self._age_view(self._view, contacts)
        demands = tuple(
            Demand(*key, self._demand[key], timedelta(seconds=PLAN_PERIOD_S))
            for key in sorted(
                {
                    (r.service, s, r.rank)
                    for r in environment.routes
                    for s in environment.regions
                }
            )
        )
        detected = now_s >= FAULT_AT_S + FAILURE_DETECTION_S
        workers = tuple(
            WorkerReport(
                name,
                not detected or (item.alive and item.leaving_since_s is None),
                item.running / item.worker.slots,
                timedelta(seconds=PLAN_PERIOD_S),
            )
            for name, item in self._fleet.workers.items()
        )
        self._view = SteeringView(
            environment, 1, holder, listed, contacts, demands, workers
        )
        return self._view

    def _age_view(
        self, view: SteeringView, contacts: tuple[InstanceContact, ...]
    ) -> SteeringView:
        step = timedelta(seconds=PLAN_PERIOD_S)
        self._view = replace(
            view,
            contacts=contacts,
            demands=tuple(replace(d, age=d.age + step) for d in view.demands),
            workers=tuple(replace(w, age=w.age + step) for w in view.workers),
        )
        return self._view

    def _count_shifts(self, old: Plan, new: Plan) -> None:
        before = {(r.service, r.source, r.rank): r for r in old.routes}
        regions = tuple(self._environment.regions)
        for service in self._environment.services:
            moved = total = 0.0
            for route in (r for r in new.routes if r.service == service):
                rate = self._actual_rate(service, route.rank)
                rate *= REGION_DEMAND_SHARES[regions.index(route.source)]
                known = before[route.service, route.source, route.rank]
                gains = (
                    max(0.0, item.share - known.share_of(item.region))
                    for item in route.shares
                )
                moved += rate * sum(gains)
                total += rate
            self._shifts.append((self._time.now_s, service, moved / total))

    def _actual_rate(self, service: str, rank: Rank) -> float:
        return sum(
            route_rate(self._environment, self._scenario, route, self._time.now_s)
            for route in self._environment.routes
            if (route.service, route.rank) == (service, rank)
        )

    def _compute_totals(self) -> None:
        results, window = self.results, self._environment.shift.window
        results.shift = max(
            (
                sum(
                    share
                    for at_s, name, share in self._shifts
                    if name == service and 0 <= end_s - at_s <= window.total_seconds()
                )
                for end_s, service, _ in self._shifts
            ),
            default=0.0,
        )
        results.region_utilisation = max(
            self._fleet.max_utilisation.values(), default=0.0
        )
        results.link_utilisation = self._fleet.max_link_utilisation()
        results.late_starts = self._fleet.late_starts
        results.violations = sum(self._invariants.violations.values())
        if self._plan_times_s:
            mean_s = sum(self._plan_times_s) / len(self._plan_times_s)
            results.plan_us = mean_s * 1e6
        leaving = [w for w in self._fleet.workers.values() if w.leaving_since_s]
        if leaving:
            idle_since_s = max(w.idle_since_s or self._time.now_s for w in leaving)
            results.drain_s = max(0.0, idle_since_s - FAULT_AT_S)
