"""Assembles a daemon from its settings."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from random import Random
from random import SystemRandom
from typing import Any
from typing import final

from sycamorenotch_daemon._clock import SystemClock
from sycamorenotch_daemon._daemon import Daemon
from sycamorenotch_daemon._events import EliotSink
from sycamorenotch_daemon._metrics import FanOutSink
from sycamorenotch_daemon._metrics import Metrics
from sycamorenotch_daemon._metrics import MetricsSink
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._store_guard import StoreCalls
from sycamorenotch_daemon._store_guard import StoreGuard
from sycamorenotch_documents import DaemonSettings
from sycamorenotch_kernel import Clock
from sycamorenotch_kernel import EventSink
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import RecentDecisions
from sycamorenotch_kernel import load_plugins
from sycamorenotch_kernel import store_adapters
from sycamorenotch_transport import install_literal_resolver


@final
@dataclass(frozen=True, slots=True)
class ProcessDependencies:
    """Dependencies of a daemon on the process that it runs in.

    :param strict: whether a violated invariant raises an exception.
    """

    clock: Clock = field(default_factory=SystemClock)
    random: Random = field(default_factory=SystemRandom)
    sink: EventSink = field(default_factory=EliotSink)
    strict: bool = False


def build_daemon(
    settings: DaemonSettings,
    reactor: Any,
    dependencies: ProcessDependencies | None = None,
) -> Daemon:
    """Build a daemon with every registered component.

    :param settings: validated settings.
    :param reactor: the reactor of the process.
    :param dependencies: defaults to the system's clock and random source and to
        the eliot log.
    :raises OSError: if a secret file cannot be read.
    """
    load_plugins()
    install_literal_resolver(reactor)
    resolved = ProcessDependencies() if dependencies is None else dependencies
    adapter = store_adapters.get(settings.store_adapter)(settings.store_url, reactor)
    metrics = Metrics()
    sink = FanOutSink(resolved.sink, MetricsSink(metrics))
    store = StoreGuard(
        adapter,
        reactor,
        resolved.clock,
        resolved.random,
        sink,
        settings.calls_per_second,
    )
    node = Node(
        settings=settings,
        reactor=reactor,
        clock=resolved.clock,
        random=resolved.random,
        sink=sink,
        decisions=RecentDecisions(),
        invariants=InvariantMonitor(sink, strict=resolved.strict),
        store=store,
        directory=store,
        token=_read_secret(settings.operator_token_file),
        peer_key=_read_secret(settings.peer_key_file).encode(),
    )
    node.provide(Metrics, metrics)
    node.provide(StoreCalls, store.calls)
    return Daemon(node)


def _read_secret(path: str) -> str:
    return Path(path).read_text().strip() if path else ""
