"""Upstream workers of each service and their connection budgets."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from itertools import groupby
from typing import ClassVar
from typing import final

from twisted.internet.task import LoopingCall

from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._upstream_client import UpstreamClient
from sycamorenotch_kernel import Drains
from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import Worker
from sycamorenotch_kernel import components
from sycamorenotch_kernel import upstream_choices
from sycamorenotch_policies import ChoiceSetup
from sycamorenotch_policies import ConnectionBudget
from sycamorenotch_policies import UpstreamChoice

RESIZE_INTERVAL_S = 1.0


@components.register("upstreams")
@final
class Upstreams:
    """Keeps an upstream choice for each service and a connection budget per worker."""

    after: ClassVar[tuple[str, ...]] = ("configuration", "drains", "instances")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._instance_view = node.require(InstanceView)  # type: ignore[type-abstract]
        self._choices: dict[str, UpstreamChoice] = {}
        self._policy_names: dict[str, str] = {}
        self._budgets: dict[str, ConnectionBudget] = {}
        self._workers: Mapping[str, Worker] = {}
        self._leaving: set[str] = set()
        self._regions: dict[str, tuple[str, ...]] = {}
        self.client = UpstreamClient(node.reactor, self.budget)
        self._resize_timer = LoopingCall(self._resize)
        self._resize_timer.clock = node.reactor
        node.provide(Upstreams, self)
        node.configuration.subscribe(self._on_configuration)

    async def start(self) -> None:
        """Start to update the budgets when the number of live instances changes."""
        self._resize_timer.start(RESIZE_INTERVAL_S)

    async def stop(self) -> None:
        """Stop the updates and close the idle connections."""
        if self._resize_timer.running:
            self._resize_timer.stop()
        await self.client.close()

    @property
    def workers(self) -> Mapping[str, Worker]:
        """Every worker of the configuration in force, by name."""
        return self._workers

    def target_workers(self) -> tuple[Worker, ...]:
        """Return the workers in the regions that this instance sends requests to.

        A service without assigned regions uses the region of this instance.
        """
        home = self._node.settings.region
        return tuple(
            worker
            for worker in self._workers.values()
            if worker.region in self._regions.get(worker.service, (home,))
        )

    def choice(self, service: str) -> UpstreamChoice | None:
        """Return the upstream choice of a service, or none if it is not configured."""
        return self._choices.get(service)

    def budget(self, address: str) -> ConnectionBudget | None:
        """Return the connection budget of a worker, or none if it is not configured.

        :param address: host and port, separated by a colon.
        """
        return self._budgets.get(address)

    def set_regions(self, service: str, weights: Mapping[str, float]) -> None:
        """Set the worker regions of a service.

        :param weights: share of the requests by region.
        """
        choice = self._choices.get(service)
        if choice is not None:
            choice.set_regions(weights)
            self._regions[service] = tuple(weights)

    def record_leaving(self, worker: str, leaving: bool) -> None:
        """Record whether a worker reports that it is leaving.

        :param leaving: whether the worker must get no new requests.
        """
        if leaving:
            self._leaving.add(worker)
        else:
            self._leaving.discard(worker)
        if worker in self._workers:
            self._update_worker_state(self._workers[worker])

    def count_live_instances(self, region: str | None = None) -> int:
        """Return the number of live instances, at least 1.

        :param region: count only the instances of this region.
        """
        live = (
            i for i in self._instance_view.instances() if i.state is InstanceState.LIVE
        )
        return max(1, sum(region in (None, item.region) for item in live))

    def _on_configuration(self, in_force: ServedConfiguration) -> None:
        environment = in_force.environment
        now = self._node.clock.monotonic()
        name = environment.policies["choice"]
        workers_by_service = dict(_group_by_service(environment))
        for service in environment.services:
            # A different policy starts without state; the same one keeps it.
            if self._policy_names.get(service) != name:
                self._choices[service] = self._build(name, environment, service)
                self._policy_names[service] = name
            self._choices[service].update(workers_by_service.get(service, ()), now)
        for service in self._choices.keys() - environment.services.keys():
            del self._choices[service], self._policy_names[service]
        self._workers = environment.workers
        for worker in self._workers.values():
            self._update_worker_state(worker)
        self._leaving &= self._workers.keys()
        self._update_budgets()

    def _update_worker_state(self, worker: Worker) -> None:
        """Stop or allow new requests to a worker.

        A worker that is leaving or that operators drain gets none.
        """
        table = self._choices[worker.service].table
        now = self._node.clock.monotonic()
        drained = self._node.require(Drains).covers_worker(worker)
        if drained or worker.name in self._leaving:
            table.mark_leaving(worker.name, now)
        else:
            table.mark_live(worker.name, now)

    def _build(
        self, name: str, environment: Environment, service: str
    ) -> UpstreamChoice:
        setup = ChoiceSetup(
            region=self._node.settings.region,
            service_time=environment.services[service].service_time,
            instances=self.count_live_instances(),
            bounds=environment.bounds,
            random=self._node.random,
            sink=self._node.sink,
            invariants=self._node.invariants,
        )
        choice: UpstreamChoice = upstream_choices.get(name)(setup)
        return choice

    def _update_budgets(self) -> None:
        instances = self.count_live_instances()
        for worker in self._workers.values():
            limit = max(1, worker.connections // instances)
            interval = worker.connection_cost * instances
            budget = self._budgets.setdefault(
                worker.address, ConnectionBudget(limit, interval)
            )
            budget.limit, budget.interval = limit, interval

    def _resize(self) -> None:
        instances = self.count_live_instances()
        for choice in self._choices.values():
            choice.table.resize(instances)
        self._update_budgets()


def _group_by_service(
    environment: Environment,
) -> Iterator[tuple[str, tuple[Worker, ...]]]:
    ordered = sorted(environment.workers.values(), key=lambda w: w.service)
    for service, workers in groupby(ordered, key=lambda w: w.service):
        yield service, tuple(workers)
