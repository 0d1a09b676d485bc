"""Tests of the store guard under a virtual clock."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sycamorenotch_daemon._clock import ReactorClock
from sycamorenotch_daemon._store_guard import StoreGuard
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import StoreFault
from sycamorenotch_standins import ObjectTable
from sycamorenotch_standins._memory import MemoryStore

TIMEOUT = timedelta(seconds=1)


def build_guard(rate: float) -> tuple[StoreGuard, MemoryStore, Clock, EventList]:
    reactor, sink = Clock(), EventList()
    memory = MemoryStore(ObjectTable(), reactor)
    guard = StoreGuard(memory, reactor, ReactorClock(reactor), Random(1), sink, rate)
    return guard, memory, reactor, sink


def create(guard: StoreGuard, name: str) -> Any:
    results: list[Any] = []
    made = guard.create("plans", name, b"", TIMEOUT)
    Deferred.fromCoroutine(made).addBoth(results.append)
    return results[0]


def test_call_is_refused_when_rate_limit_is_reached() -> None:
    guard, _, reactor, _ = build_guard(rate=2)
    results = [create(guard, str(index)) for index in range(5)]
    assert [r.is_ok() for r in results] == [True] * 4 + [False]
    assert results[-1].error.fault is StoreFault.REFUSED
    reactor.advance(0.5)
    assert create(guard, "later").is_ok()
    assert guard.calls.refused == {"create": 1}


def test_breaker_opens_probes_and_closes_when_store_fails_and_recovers() -> None:
    guard, memory, reactor, sink = build_guard(rate=100)
    memory.fault.set("down", 0, None)
    for index in range(20):
        assert create(guard, str(index)).error.fault is StoreFault.UNAVAILABLE
    assert guard.calls.made["create"] == 5
    for _ in range(100):
        reactor.advance(0.1)
        create(guard, "probe")
    assert 6 <= guard.calls.made["create"] <= 15
    memory.fault.set("none", 0, None)
    reactor.advance(5)
    assert create(guard, "back").is_ok()
    assert create(guard, "again").is_ok()
    assert [event.number for event in sink.events] == [4001, 4002]


def test_write_is_unknown_when_adapter_never_answers() -> None:
    guard, memory, reactor, _ = build_guard(rate=100)
    results: list[Any] = []

    async def never(*_: object) -> None:
        await Deferred()

    memory.create = never  # type: ignore[method-assign,assignment]
    made = guard.create("plans", "p", b"", TIMEOUT)
    Deferred.fromCoroutine(made).addBoth(results.append)
    reactor.advance(1.1)
    assert results[0].error.fault is StoreFault.UNKNOWN
