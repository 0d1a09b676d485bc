"""Contract tests that every store adapter must pass behind the guard."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web.server import Site

from sycamorenotch_daemon._clock import SystemClock
from sycamorenotch_daemon._http_store import HttpStore
from sycamorenotch_daemon._store_guard import StoreGuard
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import StoreFault
from sycamorenotch_kernel import Version
from sycamorenotch_standins import ObjectTable
from sycamorenotch_standins import StoreApi
from sycamorenotch_standins._faults import FaultInjector
from sycamorenotch_standins._memory import MemoryStore

CALL_TIMEOUT = timedelta(seconds=5)
SHORT_TIMEOUT = timedelta(milliseconds=200)


@dataclass
class StoreSetup:
    store: StoreGuard
    table: ObjectTable
    fault: FaultInjector


def guard(adapter: Any) -> StoreGuard:
    return StoreGuard(adapter, reactor, SystemClock(), Random(1), EventList(), 1000)


@pytest.fixture(params=["memory", "http"])
def setup(
    request: pytest.FixtureRequest, run_in_reactor: Callable[..., Any]
) -> Iterator[StoreSetup]:
    table = ObjectTable()
    if request.param == "memory":
        memory = MemoryStore(table, reactor)
        yield StoreSetup(guard(memory), table, memory.fault)
        return
    api = StoreApi(table, reactor)
    endpoint = TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1")
    listening = endpoint.listen(Site(api.app.resource()))
    port = run_in_reactor(_wait(listening))
    adapter = HttpStore(f"http://127.0.0.1:{port.getHost().port}", reactor)
    yield StoreSetup(guard(adapter), table, api.fault)
    run_in_reactor(adapter.close())
    run_in_reactor(_wait(port.stopListening()))


async def _wait(deferred: Any) -> Any:
    return await deferred


def test_object_is_read_back_when_created(
    setup: StoreSetup, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        created = await setup.store.create("plans", "p", b"\x00one", CALL_TIMEOUT)
        assert (await setup.store.get("plans", "p", CALL_TIMEOUT)).ok == created.ok
        assert (await setup.store.list("plans", CALL_TIMEOUT)).ok == (created.ok,)

    run_in_reactor(scenario())


def test_update_returns_the_current_object_when_version_is_stale(
    setup: StoreSetup, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        first = (await setup.store.create("plans", "p", b"1", CALL_TIMEOUT)).ok
        second = (
            await setup.store.update("plans", "p", b"2", first.version, CALL_TIMEOUT)
        ).ok
        lost = await setup.store.update("plans", "p", b"3", first.version, CALL_TIMEOUT)
        assert lost.error.fault is StoreFault.CONFLICT
        assert lost.error.current == second
        again = await setup.store.create("plans", "p", b"4", CALL_TIMEOUT)
        assert again.error.fault is StoreFault.CONFLICT

    run_in_reactor(scenario())


def test_write_is_unknown_but_took_effect_when_answer_is_lost(
    setup: StoreSetup, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        setup.fault.set("lose_answers", 0, 1)
        lost = await setup.store.create("plans", "p", b"1", CALL_TIMEOUT)
        assert lost.error.fault is StoreFault.UNKNOWN
        assert (await setup.store.get("plans", "p", CALL_TIMEOUT)).ok.value == b"1"

    run_in_reactor(scenario())


def test_read_is_retried_when_store_is_down_for_one_call(
    setup: StoreSetup, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        setup.table.create("plans", "p", b"1")
        setup.fault.set("down", 0, 1)
        assert (await setup.store.get("plans", "p", CALL_TIMEOUT)).ok.value == b"1"
        assert setup.store.calls.made["get"] == 2
        assert setup.store.calls.failed["get"] == 1

    run_in_reactor(scenario())


def test_write_is_not_made_when_store_is_down(
    setup: StoreSetup, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        setup.fault.set("down", 0, None)
        refused = await setup.store.create("plans", "p", b"1", CALL_TIMEOUT)
        assert refused.error.fault is StoreFault.UNAVAILABLE
        assert setup.table.list("plans") == ()

    run_in_reactor(scenario())


def test_write_is_unknown_when_store_is_slow(
    setup: StoreSetup, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        setup.fault.set("slow", 0.5, 1)
        late = await setup.store.create("plans", "p", b"1", SHORT_TIMEOUT)
        assert late.error.fault is StoreFault.UNKNOWN

    run_in_reactor(scenario())


def test_watch_returns_change_when_object_is_written(
    setup: StoreSetup, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        watched = Deferred.fromCoroutine(
            setup.store.watch("plans", Version(0), CALL_TIMEOUT)
        )
        written = await setup.store.create("plans", "p", b"1", CALL_TIMEOUT)
        changes = (await watched).ok
        assert changes.objects == (written.ok,)
        assert changes.version == written.ok.version

    run_in_reactor(scenario())


def test_watch_returns_no_objects_when_it_times_out(
    setup: StoreSetup, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        assert (
            await setup.store.watch("plans", Version(0), SHORT_TIMEOUT)
        ).ok.objects == ()

    run_in_reactor(scenario())
