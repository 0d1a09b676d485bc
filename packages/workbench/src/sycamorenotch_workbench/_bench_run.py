"""One run: a scenario, a system, callers and the holder of the plan."""

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
from sycamorenotch_workbench._bench_fleet import FakeFleet
from sycamorenotch_workbench._bench_results import End
from sycamorenotch_workbench._bench_results import Results
from sycamorenotch_workbench._bench_scenarios import FAULT_AT_S
from sycamorenotch_workbench._bench_scenarios import Scenario
from sycamorenotch_workbench._bench_scenarios import route_rate
from sycamorenotch_workbench._bench_systems import SystemUnderTest

INSTANCES_PER_REGION = 3
CALLERS_PER_REGION = 24
SOURCE_SHARES = (0.38, 0.34, 0.28)
PLAN_PERIOD_S = 1.0
TICK_S = 0.1
DETECTION_S = 2.0
LIST_LAG_S = 4.0
DEMAND_WEIGHT = 0.2

Answers = dict[tuple[str, str, int], tuple[float, tuple[ListedInstance, ...]]]


@final
class Run:
    """Drives one system through one scenario."""

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
        self._fleet = FakeFleet(environment, self._time, self._random)
        self._invariants = InvariantMonitor(EventList())
        self._lookups = LookupTable(environment)
        self._instances = self._build_instances()
        self._answers: Answers = {}
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
        """Run the scenario to its end."""
        end_s = self._scenario.duration_s
        self._time.every(PLAN_PERIOD_S, self._control, end_s)
        self._time.every(TICK_S, self._tick, end_s)
        for route, source in product(self._environment.routes, range(3)):
            self._next_arrival(route, source)
        self._time.after(FAULT_AT_S, self._inject)
        self._time.run()
        self._close()
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

    def _inject(self) -> None:
        regions = list(self._environment.regions.values())
        for worker in self._fleet.workers.values():
            if self._scenario.lost and worker.worker.region == regions[-1].name:
                worker.kill()
            drained = regions[0].data_centres[1]
            if self._scenario.drained and worker.worker.data_centre == drained:
                worker.leaving_since_s = self._time.now_s
                worker.emptied_s = self._time.now_s if not worker.in_flight else None
                for instance in self._instances.values():
                    instance.mark_leaving(worker.worker.name)
        for instance in self._instances.values():
            if self._scenario.lost and instance.listed.region == regions[-1].name:
                instance.alive = False

    def _next_arrival(self, route: Route, source: int) -> None:
        rate = route_rate(self._environment, self._scenario, route, self._time.now_s)
        shares = SOURCE_SHARES
        if self._scenario.lagging and self._time.now_s >= FAULT_AT_S:
            # The load moves while the measurements still show the old one.
            shares = SOURCE_SHARES[::-1]
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
            req.ended(End.FAILED)
            return
        hop_s = self._fleet.latency_s(region, instance.listed.region)
        self._time.after(hop_s, lambda: instance.call(req))

    def _request(self, route: Route, region: str) -> Request:
        arrived_s = self._time.now_s
        deadline_s = self._environment.ranks[route.rank].deadline.total_seconds()

        def ended(end: End) -> None:
            latency_s = self._time.now_s - arrived_s
            late = end is End.IN_TIME and latency_s > deadline_s
            if arrived_s >= FAULT_AT_S:
                found = End.LATE if late else end
                self.results.count(route.service, route.rank, found, latency_s)

        deadline = timedelta(seconds=arrived_s + deadline_s)
        ticket = Ticket(str(next(self._ids)), route.rank, deadline)
        return Request(ticket, route, region, arrived_s, ended)

    def _look_up(self, service: str, region: str, caller: int) -> EntryInstance | None:
        key = (service, region, caller)
        expires_s, listed = self._answers.get(key, (-1.0, ()))
        if expires_s <= self._time.now_s:
            block = self._environment.regions[region].client_blocks[-1]
            address = ip_address(int(block.network_address) + caller + 1)
            answer = self._lookups.answer(service, address).ok
            listed = answer.instances
            lifetime_s = answer.lifetime.total_seconds()
            self._answers[key] = (self._time.now_s + lifetime_s, listed)
        found = (self._instances[item.id] for item in listed)
        return next((item for item in found if item.alive), None)

    def _tick(self) -> None:
        for instance in self._instances.values():
            if instance.alive:
                instance.tick()

    def _control(self) -> None:
        for key in product(self._environment.services, self._environment.regions, Rank):
            change = self._offered[key] / PLAN_PERIOD_S - self._demand[key]
            self._demand[key] += DEMAND_WEIGHT * change
        self._offered.clear()
        listed = self._listed()
        if self._system.steering:
            self._make_plan(listed)
        self._lookups.update(self._plan, listed)

    def _listed(self) -> tuple[ListedInstance, ...]:
        known = self._time.now_s >= FAULT_AT_S + LIST_LAG_S
        return tuple(
            item.listed for item in self._instances.values() if item.alive or not known
        )

    def _make_plan(self, listed: tuple[ListedInstance, ...]) -> None:
        view = self._measure(listed)
        started_s = perf_counter()
        decided = make_plan(view, self._plan, self._time.now())
        self._plan_times_s.append(perf_counter() - started_s)
        if self._plan is not None:
            self._count_shifts(self._plan, decided.plan)
        self._plan = decided.plan
        for instance in self._instances.values():
            if instance.alive:
                instance.take_plan(decided.plan)

    def _measure(self, listed: tuple[ListedInstance, ...]) -> SteeringView:
        now_s, environment = self._time.now_s, self._environment
        contacts = tuple(
            InstanceContact(
                name,
                item.holding.sequence,
                timedelta() if item.alive else timedelta(seconds=now_s - FAULT_AT_S),
            )
            for name, item in self._instances.items()
        )
        holder = next(n for n, item in self._instances.items() if item.alive)
        lag_s = max(0.0, now_s - FAULT_AT_S) if self._scenario.lagging else 0.0
        if lag_s and self._view is not None:
            return self._aged(self._view, contacts)
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
        detected = now_s >= FAULT_AT_S + DETECTION_S
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

    def _aged(
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
                rate = self._true_rate(service, route.rank)
                rate *= SOURCE_SHARES[regions.index(route.source)]
                known = before[route.service, route.source, route.rank]
                gains = (
                    max(0.0, item.share - known.share_of(item.region))
                    for item in route.shares
                )
                moved += rate * sum(gains)
                total += rate
            self._shifts.append((self._time.now_s, service, moved / total))

    def _true_rate(self, service: str, rank: Rank) -> float:
        return sum(
            route_rate(self._environment, self._scenario, route, self._time.now_s)
            for route in self._environment.routes
            if (route.service, route.rank) == (service, rank)
        )

    def _close(self) -> None:
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
        results.region_use = max(self._fleet.highest_use.values(), default=0.0)
        results.link_use = self._fleet.highest_link_use()
        results.late_starts = self._fleet.late_starts
        results.violations = sum(self._invariants.violations.values())
        if self._plan_times_s:
            mean_s = sum(self._plan_times_s) / len(self._plan_times_s)
            results.plan_us = mean_s * 1e6
        leaving = [w for w in self._fleet.workers.values() if w.leaving_since_s]
        if leaving:
            emptied_s = max(w.emptied_s or self._time.now_s for w in leaving)
            results.drain_s = max(0.0, emptied_s - FAULT_AT_S)
