"""Tests of answers that do not end: time, memory and processor time stay bounded."""

from __future__ import annotations

import time
import tracemalloc

import pytest
from testing.platform.endless import KINDS
from testing.platform.endless import EndlessServer
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.task import deferLater

from sycamorenotch_gateway._relay import Relay
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Topic
from sycamorenotch_platform._feed import PlatformFeed

ANSWERS = 20
MAX_EXTRA_BYTES = 60_000_000
PATIENCE_MS = 2500


async def replace_worker(site, server: EndlessServer) -> None:
    (worker,) = site.workers
    site.store.put("servers", worker.name, server.entry(worker))
    await site.wait_until(lambda: len(site.events("worker.changed")) > 1)


def call_many(site, path: str, count: int) -> Deferred:
    calls = [
        site.call(path, key=str(n), patience=str(PATIENCE_MS)) for n in range(count)
    ]
    return gatherResults(map(Deferred.fromCoroutine, calls), consumeErrors=True)


@pytest.mark.parametrize("path", ["/safe/1", "/once/1"])
@pytest.mark.parametrize("kind", sorted(KINDS))
def test_endless_answers_are_cut_in_bounded_time_and_memory(
    run_on_site, kind: str, path: str
) -> None:
    server = EndlessServer(kind)

    async def scenario(site) -> None:
        await replace_worker(site, server)
        tracemalloc.start()
        idle_bytes, _ = tracemalloc.get_traced_memory()
        answers = await call_many(site, path, ANSWERS)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await site.wait_until(lambda: not server.answering)
        assert {answer.status for answer in answers} <= {502, 503, 504}
        assert not any(b"xxxx" in answer.body for answer in answers)
        assert peak_bytes - idle_bytes < MAX_EXTRA_BYTES
        assert site.events("worker.failed")
        assert site.gateway.node.response_buffers.total_bytes == 0

    try:
        run_on_site(scenario, count=1)
    finally:
        server.port.stopListening()


@pytest.mark.parametrize("kind", ["body without length", "informational", "headers"])
def test_slow_drip_ends_at_the_deadline(run_on_site, kind: str) -> None:
    server = EndlessServer(kind, drips=True)

    async def scenario(site) -> None:
        await replace_worker(site, server)
        started_at = time.monotonic()
        answers = await call_many(site, "/once/1", ANSWERS)
        assert {answer.status for answer in answers} <= {502, 503, 504}
        assert time.monotonic() - started_at < PATIENCE_MS / 1000 + 1.0
        assert site.events("worker.failed")
        await site.wait_until(lambda: not server.answering)

    try:
        run_on_site(scenario, count=1)
    finally:
        server.port.stopListening()


def test_other_requests_are_answered_while_answers_do_not_end(run_on_site) -> None:
    server = EndlessServer("small chunks")

    async def scenario(site) -> None:
        first, second = site.workers
        site.store.put("servers", first.name, server.entry(first))
        await site.wait_until(lambda: len(site.events("worker.changed")) > 2)
        answers = await call_many(site, "/safe/1", ANSWERS)
        assert [answer.status for answer in answers].count(200) >= ANSWERS // 2
        assert second.ran

    try:
        run_on_site(scenario, slots=40)
    finally:
        server.port.stopListening()


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_endless_answer_of_the_store_fails_the_read(run_in_reactor, kind) -> None:
    server = EndlessServer(kind)

    async def scenario() -> None:
        feed = PlatformFeed(server.address, reactor, time.monotonic)
        assert (await feed.read(Topic.WORKERS, fresh=True)).is_error()
        await deferLater(reactor, 0.05, lambda: None)
        assert not server.answering

    try:
        run_in_reactor(scenario())
    finally:
        server.port.stopListening()


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_endless_answer_of_a_peer_is_not_applied(run_on_site, kind) -> None:
    server = EndlessServer(kind)
    peer = PeerEntry("p", "west", "a", "127.0.0.1:1", server.address, 1, False)

    async def scenario(site) -> None:
        relay = site.gateway.node.require(Relay)
        relay.peers = lambda: (peer,)
        assert await relay.read(Topic.WORKERS) is None
        await site.wait_until(lambda: not server.answering)
        assert (await site.call()).status == 200

    try:
        run_on_site(scenario)
    finally:
        server.port.stopListening()
