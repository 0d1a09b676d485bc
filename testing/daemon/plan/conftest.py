"""Fixtures: instances with the plan's components under a virtual clock."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sycamorenotch_daemon._clock import ReactorClock
from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._lease import PlanLease
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._node import ServedConfiguration
from sycamorenotch_daemon._plan_holder import PlanHolder
from sycamorenotch_daemon._plan_watch import PlanWatch
from sycamorenotch_daemon._store_guard import StoreGuard
from sycamorenotch_documents import parse_environment
from sycamorenotch_documents import parse_settings
from sycamorenotch_kernel import Drains
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import RecentDecisions
from sycamorenotch_standins import MemoryStore
from sycamorenotch_standins import ObjectTable

DOCUMENT = (Path(__file__).parents[3] / "examples" / "vatukoula.ini").read_text()
ENVIRONMENT = parse_environment(DOCUMENT)
NAMES = ("first", "second", "third")
STEP_S = 0.25
SETTINGS = """\
[instance]
id = {name}
environment = production
region = viti-west
data_centre = nadi
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
[store]
[secrets]
operator_token_file = none
"""


class FixedInstances:
    """Instance view with a constant list."""

    def instances(self) -> tuple[ListedInstance, ...]:
        return tuple(
            ListedInstance(
                InstanceId(name), "viti-west", "nadi", "", "", InstanceState.LIVE
            )
            for name in NAMES
        )


class Instance:
    """The plan's components of one instance, on a virtual clock of its own."""

    def __init__(self, name: str, table: ObjectTable) -> None:
        self.clock = Clock()
        self.memory = MemoryStore(table, self.clock)
        self.sink = EventList()
        clock = ReactorClock(self.clock)
        random = Random(name)
        self.guard = StoreGuard(self.memory, self.clock, clock, random, self.sink, 20)
        self.node = Node(
            settings=parse_settings(SETTINGS.format(name=name)),
            reactor=self.clock,
            clock=clock,
            random=random,
            sink=self.sink,
            decisions=RecentDecisions(),
            invariants=InvariantMonitor(self.sink, strict=True),
            store=self.guard,
            directory=self.guard,
            token="",
        )
        self.node.provide(InstanceView, FixedInstances())  # type: ignore[type-abstract]
        self.node.provide(Drains, Drains())
        self.lease = PlanLease(self.node)
        self.watch = PlanWatch(self.node)
        self.holder = PlanHolder(self.node)

    def start(self) -> None:
        self.configure(1)
        for component in (self.lease, self.watch, self.holder):
            Deferred.fromCoroutine(component.start())

    def stop(self) -> None:
        self.node.stopping = True
        for component in (self.holder, self.watch, self.lease):
            Deferred.fromCoroutine(component.stop())

    def configure(self, generation: int) -> None:
        in_force = ServedConfiguration(ENVIRONMENT, generation, "", DOCUMENT)
        self.node.configuration.put(in_force)

    def events(self, name: str) -> list[Any]:
        return [event for event in self.sink.events if event.name == name]


class Fleet:
    """Three instances that share one object table."""

    def __init__(self) -> None:
        self.table = ObjectTable()
        self.instances = [Instance(name, self.table) for name in NAMES]
        for instance in self.instances:
            instance.start()

    def pass_time(self, seconds: float, paused: Any = None) -> None:
        """Advance every clock except that of a paused instance.

        Asserts that at most one running instance holds the lease at any time.
        """
        for _ in range(round(seconds / STEP_S)):
            for instance in self.instances:
                if instance is not paused:
                    instance.clock.advance(STEP_S)
            acting = [i for i in self.instances if i.lease.is_held()]
            assert len([i for i in acting if i is not paused]) <= 1

    def holder(self) -> Any:
        (acting,) = (i for i in self.instances if i.lease.is_held())
        return acting

    def followers(self) -> list[Any]:
        return [i for i in self.instances if not i.lease.is_held()]

    def set_store(self, mode: str) -> None:
        for instance in self.instances:
            instance.memory.fault.set(mode, 0, None)


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def second() -> timedelta:
    return timedelta(seconds=1)
