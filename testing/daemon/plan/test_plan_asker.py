"""Tests of grant renewal by the lease holder and of demand reports."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from sycamorenotch_daemon._demand import DemandCounter
from sycamorenotch_daemon._fleet_demand import FleetDemand
from sycamorenotch_daemon._peer_mesh import PeerMesh
from sycamorenotch_daemon._plan_asker import PlanAsker
from sycamorenotch_daemon._plan_messages import DemandReport
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Message
from sycamorenotch_kernel import Rank
from sycamorenotch_policies import HeldGrants

SECOND = timedelta(seconds=1)
FIRST, OTHER = InstanceId("first"), InstanceId("second")


class DirectMesh:
    """Delivers messages synchronously, unless an instance is partitioned."""

    def __init__(self, instance: Any, meshes: dict[str, DirectMesh]) -> None:
        self.name = instance.node.settings.instance
        self.partitioned = False
        self.handlers: dict[type[Message], Any] = {}
        self.meshes = meshes
        meshes[self.name] = self

    def handle(self, kind: type[Message], handler: Any) -> None:
        self.handlers[kind] = handler

    def send(self, instance: str, message: Message) -> bool:
        other = self.meshes[instance]
        if self.partitioned or other.partitioned:
            return False
        other.handlers[type(message)](SimpleNamespace(instance=self.name), message)
        return True


@pytest.fixture
def meshes(fleet: Any) -> dict[str, DirectMesh]:
    meshes: dict[str, DirectMesh] = {}
    for instance in fleet.instances:
        node = instance.node
        node.provide(PeerMesh, DirectMesh(instance, meshes))
        node.provide(DemandCounter, DemandCounter(node.clock.monotonic()))
        Deferred.fromCoroutine(PlanAsker(node).start())
    fleet.pass_time(30)
    return meshes


def slots(instance: Any) -> int:
    held_grants = instance.node.require(HeldGrants)
    now = instance.node.clock.monotonic()
    return int(held_grants.slots("viti-west", "balance", now))


def test_grants_of_all_instances_are_within_the_capacity(
    fleet: Any, meshes: dict[str, DirectMesh]
) -> None:
    environment = fleet.instances[0].node.configuration.current.environment
    workers = environment.workers_of("balance")
    usable = sum(w.slots for w in workers if w.region == "viti-west")
    granted = [slots(instance) for instance in fleet.instances]
    assert all(granted)
    assert sum(granted) <= usable


def test_loan_expires_when_an_instance_is_partitioned(
    fleet: Any, meshes: dict[str, DirectMesh]
) -> None:
    isolated = fleet.followers()[0]
    slots_before = slots(isolated)
    meshes[isolated.node.settings.instance].partitioned = True
    fleet.pass_time(7)
    assert 0 < slots(isolated) < slots_before
    meshes[isolated.node.settings.instance].partitioned = False
    fleet.pass_time(10)
    assert slots(isolated) >= slots_before - 1


def test_grants_are_confirmed_again_when_the_holder_changes(
    fleet: Any, meshes: dict[str, DirectMesh]
) -> None:
    holder = fleet.holder()
    holder.stop()
    meshes[holder.node.settings.instance].partitioned = True
    fleet.pass_time(30, paused=holder)
    assert all(slots(i) for i in fleet.instances if i is not holder)


def test_demand_is_summed_when_every_listed_instance_has_reported(fleet: Any) -> None:
    environment = fleet.instances[0].node.configuration.current.environment
    rank = next(r.rank for r in environment.routes if r.service == "balance")
    demand = FleetDemand()
    report = DemandReport("balance", "viti-west", rank, 1500)
    demand.report(FIRST, (report,), SECOND)
    assert demand.total(environment, (FIRST, OTHER), 2 * SECOND) == ()
    demand.report(OTHER, (report,), 3 * SECOND)
    total = demand.total(environment, (FIRST, OTHER), 4 * SECOND)
    assert [item.rate for item in total if item.rate] == [3.0]
    assert {item.age for item in total} == {3 * SECOND}
    assert {item.source for item in total} == set(environment.regions)


def test_rate_is_averaged_over_the_last_periods() -> None:
    counter = DemandCounter(timedelta())
    for _ in range(10):
        counter.count(("balance", "viti-west", Rank.STANDARD))
    (item,) = counter.report(SECOND)
    assert item.rate == 10_000
    (item,) = counter.report(2 * SECOND)
    assert item.rate == 5_000
    assert [counter.report((3 + n) * SECOND) for n in range(5)][-1] == ()
