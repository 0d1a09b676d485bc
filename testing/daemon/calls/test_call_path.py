"""Tests of complete calls through the local example with faulty workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import pytest
import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.task import deferLater
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool

from sycamorenotch_daemon._upstreams import Upstreams
from sycamorenotch_workbench import LocalExample


@pytest.fixture(scope="module")
def example(run_in_reactor) -> Iterator[LocalExample]:
    example = LocalExample(reactor, instances=1)
    run_in_reactor(example.start())
    yield example
    run_in_reactor(example.stop())


@pytest.fixture
def workers(example):
    """Workers of the balance service in the region of the only instance."""
    settings = example.daemons[0].node.settings
    deployed = example.environment.workers_of("balance")
    names = [w.name for w in deployed if w.region == settings.region]
    nearby_workers = [example.workers[name] for name in names]
    yield nearby_workers
    for worker in nearby_workers:
        worker.fault.set("none", 0, None)


@pytest.fixture(scope="module")
def client(run_in_reactor):
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 200
    yield treq.client.HTTPClient(Agent(reactor, pool=pool))

    async def close() -> None:
        await pool.closeCachedConnections()

    run_in_reactor(close())


@pytest.fixture
def call(example, client):
    async def call(path: str, method: str = "GET", **headers: str):
        callers = example.describe()["callers"][0]
        url = f"{callers}/v1/call/{path}"
        response = await client.request(method, url, headers=headers)
        body = await treq.json_content(response)
        return response, body

    return call


def test_call_is_answered_when_one_worker_crashes_on_every_request(
    workers, call, run_in_reactor
) -> None:
    workers[0].fault.set("crash", 0, None)

    async def scenario() -> None:
        for number in range(40):
            response, _ = await call(f"balance/balances/{number}")
            assert response.code == 200

    run_in_reactor(scenario())


def test_other_requests_are_served_when_a_poison_request_is_repeated(
    workers, call, run_in_reactor
) -> None:
    for worker in workers:
        worker.fault.set("crash", 0, None, "/balances/poison")

    async def scenario() -> None:
        kinds = [(await call("balance/balances/poison"))[1]["kind"] for _ in range(4)]
        assert kinds[0] == "upstream-failed"
        assert kinds[-1] == "quarantined"
        served = [await call(f"balance/balances/{n}") for n in range(20)]
        assert {response.code for response, _ in served} == {200}

    run_in_reactor(scenario())


def test_call_fails_when_every_worker_truncates_the_answer(
    workers, call, run_in_reactor
) -> None:
    for worker in workers:
        worker.fault.set("cut", 0, None, "/balances/cut")

    async def scenario() -> None:
        response, body = await call("balance/balances/cut")
        assert response.code == 502
        assert (body["kind"], body["ran"]) == ("upstream-failed", "unknown")

    run_in_reactor(scenario())


def test_draining_worker_gets_no_request_when_the_bound_has_passed(
    example, workers, call, run_in_reactor
) -> None:
    workers[0].fault.set("drain", 0, None)

    async def scenario() -> None:
        bound = example.environment.bounds.leaving
        await deferLater(reactor, bound.total_seconds())
        served = [await call(f"balance/balances/{n}") for n in range(40)]
        requests_by_worker = Counter(body["worker"] for _, body in served)
        assert workers[0].name not in requests_by_worker
        node = example.daemons[0].node
        assert not any(node.invariants.violations.values())

    run_in_reactor(scenario())


def test_excess_calls_are_refused_as_not_run_when_workers_are_slow(
    example, workers, call, run_in_reactor
) -> None:
    for worker in workers:
        worker.fault.set("slow", 0.3, None)
    before = sum(worker.served for worker in workers)

    async def scenario() -> None:
        calls = [
            Deferred.fromCoroutine(
                call(f"balance/balances/{n}", **{"Request-Timeout": "0.9"})
            )
            for n in range(150)
        ]
        results = await gatherResults(calls)
        statuses = Counter(response.code for response, _ in results)
        refused = [r for r in results if r[0].code == 503]
        assert statuses[200] > 0 and refused
        assert {body["ran"] for _, body in refused} == {"no"}
        assert all(r.headers.hasHeader("Retry-After") for r, _ in refused)
        assert sum(worker.served for worker in workers) - before >= statuses[200]

    run_in_reactor(scenario())


def test_upstream_request_is_cancelled_when_the_caller_disconnects(
    example, workers, call, run_in_reactor
) -> None:
    for worker in workers:
        worker.fault.set("slow", 30, None, "/balances/slow")
    daemon = example.daemons[0]

    async def scenario() -> None:
        calling = Deferred.fromCoroutine(call("balance/balances/slow"))
        while not any(worker.running for worker in workers):
            await deferLater(reactor, 0.005)
        calling.addErrback(lambda _: None)
        calling.cancel()
        upstreams = daemon.node.require(Upstreams)
        states = upstreams.choice("balance").table.states.values()
        while any(state.in_flight for state in states):
            await deferLater(reactor, 0.005)

    run_in_reactor(scenario())
