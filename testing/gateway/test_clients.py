"""Tests of the limits on clients: their settings, and the reports of evictions."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from random import Random

import pytest
from testing.gateway.test_settings import render
from twisted.internet.task import Clock

from sycamorenotch_documents import InvalidFileError
from sycamorenotch_gateway import GatewayNode
from sycamorenotch_gateway import parse_gateway_settings
from sycamorenotch_gateway._clients import REPORT_INTERVAL_S
from sycamorenotch_gateway._clients import Clients
from sycamorenotch_gateway._metrics import GatewayMetrics
from sycamorenotch_gateway._turns import Turns
from sycamorenotch_kernel import EventList


class Metrics:
    """Counts evictions in the place of the metrics page."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def count_evicted_client(self, reason: str) -> None:
        self.counts[reason] += 1

    def measure_clients(self, measure) -> None:
        self.measure = measure


def build(section: str = "") -> tuple[Clients, Clock, EventList, Metrics]:
    clock, sink, metrics = Clock(), EventList(), Metrics()
    node = GatewayNode(
        settings=parse_gateway_settings(render() + section),
        reactor=clock,
        clock=clock.seconds,
        started=1,
        random=Random(1),
        sink=sink,
        feed=None,
        dialect=None,
        processor_clock=lambda: 0.0,
    )
    node.provide(GatewayMetrics, metrics)
    Turns(node)
    return Clients(node), clock, sink, metrics


def test_limits_come_from_the_machine_unless_the_settings_state_them() -> None:
    clients, *_ = build()
    assert clients.account.limits.total_bytes == 552_000_000 - 85_000_000 - 33_554_432
    assert clients.account.limits.connections == 4_995
    clients, *_ = build("[clients]\nconnections = 7\nmax_bytes = 9\n")
    limits = clients.account.limits
    assert (limits.total_bytes, limits.connections) == (9, 7)


def test_settings_of_clients_have_defaults_and_are_checked() -> None:
    clients = parse_gateway_settings(render()).clients
    assert clients.pipelined_requests == 32
    assert clients.unread_timeout == timedelta(seconds=10)
    with pytest.raises(InvalidFileError, match="pipelined_requests"):
        parse_gateway_settings(render() + "[clients]\npipelined_requests = 0\n")


def test_crowd_of_evictions_is_counted_and_written_as_two_lines() -> None:
    # A crowd must not fill the log.
    clients, clock, sink, metrics = build()
    for _ in range(1_000):
        clients.record_eviction("unread")
    clients.record_eviction("memory")
    clock.advance(REPORT_INTERVAL_S)
    clock.advance(REPORT_INTERVAL_S * 3)
    reasons = [event.reasons for event in sink.events]
    assert reasons == ["unread: 1", "memory: 1, unread: 999"]
    assert metrics.counts == {"unread": 1_000, "memory": 1}
    clients.record_eviction("memory")
    assert len(sink.events) == 3
    assert metrics.measure()["body"] == 0


def test_stop_writes_the_last_evictions_and_leaves_no_timer() -> None:
    # A timer after the end of the component would write to a closed log.
    clients, clock, sink, _ = build()
    clients.record_eviction("unread")
    clients.record_eviction("memory")
    with pytest.raises(StopIteration):
        clients.stop().send(None)
    assert [event.reasons for event in sink.events] == ["unread: 1", "memory: 1"]
    assert clock.getDelayedCalls() == []
