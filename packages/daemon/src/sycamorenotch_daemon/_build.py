"""Builds a daemon from its settings."""

from __future__ import annotations

from pathlib import Path
from random import SystemRandom
from typing import Any

from sycamorenotch_daemon._clock import SystemClock
from sycamorenotch_daemon._daemon import Daemon
from sycamorenotch_daemon._events import EliotSink
from sycamorenotch_daemon._node import Node
from sycamorenotch_documents import DaemonSettings
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import RecentDecisions
from sycamorenotch_kernel import load_plugins
from sycamorenotch_kernel import store_adapters
from sycamorenotch_transport import install_literal_resolver


def build_daemon(settings: DaemonSettings, reactor: Any) -> Daemon:
    """Build a daemon that uses the system's clock and random source.

    :param settings: validated settings.
    :param reactor: the one loop of the process.
    :raises OSError: if a secret file cannot be read.
    """
    load_plugins()
    install_literal_resolver(reactor)
    sink = EliotSink()
    store = store_adapters.get(settings.store_adapter)(settings.store_url, reactor)
    node = Node(
        settings=settings,
        reactor=reactor,
        clock=SystemClock(),
        random=SystemRandom(),
        sink=sink,
        decisions=RecentDecisions(),
        invariants=InvariantMonitor(sink),
        store=store,
        directory=store,
        token=_secret(settings.operator_token_file),
        peer_key=_secret(settings.peer_key_file).encode(),
    )
    return Daemon(node)


def _secret(path: str) -> str:
    return Path(path).read_text().strip() if path else ""
