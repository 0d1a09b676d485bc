"""Daemons that run only control components, for tests and scaling measurements."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from typing import final

from sycamorenotch_daemon import Node
from sycamorenotch_daemon._clock import ReactorClock
from sycamorenotch_daemon._node import Component
from sycamorenotch_daemon._store_guard import StoreCalls
from sycamorenotch_daemon._store_guard import StoreGuard
from sycamorenotch_documents import DaemonSettings
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import RecentDecisions
from sycamorenotch_kernel import components
from sycamorenotch_standins import ObjectTable
from sycamorenotch_standins._memory import MemoryStore

CONTROL_COMPONENTS = ("drains", "peers", "membership", "configuration", "instances")
ENVIRONMENT = "production"
PEER_KEY = b"key of the workbench"
STORE_CALLS_PER_SECOND = 20


@final
@dataclass
class ControlDaemon:
    """Control components of one daemon, with its own store adapter.

    :param store: in-memory store adapter.
    :param sink: events emitted by the daemon.
    :param components: components in the order of start.
    """

    node: Node
    store: MemoryStore
    sink: EventList
    components: list[Component] = field(default_factory=list)

    def build(self, names: Sequence[str]) -> None:
        """Build the components of the given names, in order."""
        self.components = [components.get(name)(self.node) for name in names]

    async def start(self) -> None:
        """Start the components in order."""
        for component in self.components:
            await component.start()

    async def stop(self) -> None:
        """Stop the components in reverse order."""
        self.node.stopping = True
        for component in reversed(self.components):
            await component.stop()

    @property
    def listed(self) -> ListedInstance:
        """Entry of the daemon in the platform's list of instances."""
        settings = self.node.settings
        return ListedInstance(
            id=InstanceId(settings.instance),
            region=settings.region,
            data_centre=settings.data_centre,
            callers=settings.callers,
            peers=settings.peers,
            state=InstanceState.LIVE,
            operators=settings.operators,
        )


def build_control_daemon(
    reactor: Any,
    table: ObjectTable,
    name: str,
    location: tuple[str, str],
    port: int,
    *,
    key: bytes = PEER_KEY,
    names: Sequence[str] = CONTROL_COMPONENTS,
    adapter: Any = None,
) -> ControlDaemon:
    """Build a daemon that runs only control components on loopback.

    :param table: objects of the store.
    :param name: name of the instance, which seeds its random source.
    :param location: region and data centre.
    :param port: port of the peers' listener.
    :param key: key that authenticates peers.
    :param names: names of the components, in the order of start.
    :param adapter: store adapter; an in-memory one over the table by default.
    """
    clock, random, sink = ReactorClock(reactor), Random(name), EventList()
    store = MemoryStore(table, reactor)
    store_adapter = store if adapter is None else adapter
    guard = StoreGuard(
        store_adapter, reactor, clock, random, sink, STORE_CALLS_PER_SECOND
    )
    node = Node(
        settings=_settings(name, location, port),
        reactor=reactor,
        clock=clock,
        random=random,
        sink=sink,
        decisions=RecentDecisions(),
        invariants=InvariantMonitor(sink, strict=True),
        store=guard,
        directory=guard,
        token="",
        peer_key=key,
    )
    node.provide(StoreCalls, guard.calls)
    daemon = ControlDaemon(node, store, sink)
    daemon.build(names)
    return daemon


def _settings(name: str, location: tuple[str, str], port: int) -> DaemonSettings:
    region, data_centre = location
    return DaemonSettings(
        instance=name,
        environment=ENVIRONMENT,
        region=region,
        data_centre=data_centre,
        callers=f"127.0.0.1:{port}",
        peers=f"127.0.0.1:{port}",
        operators="127.0.0.1:0",
        callers_endpoint="",
        peers_endpoint="",
        operators_endpoint="",
        store_adapter="memory",
        store_url="",
        calls_per_second=STORE_CALLS_PER_SECOND,
        operator_token_file="",
        peer_key_file="",
        log_file="",
    )
