"""Tests of workers that ask an instance for a pause when they turn a request away."""

from __future__ import annotations

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.task import deferLater

from sycamorenotch_transport import get_header

# The users' rule: more than two requests between this time after the answer and the end
# of the pause break it.
SETTLING_S = 0.5
MAX_STRAY_REQUESTS = 2
CALL_INTERVAL_S = 0.05
AT_ONCE_S = 0.25


async def call_for(site, seconds: float) -> list[int]:
    """Send requests for many objects at a steady rate; return their statuses."""
    calls = []
    for number in range(int(seconds / CALL_INTERVAL_S)):
        path = ("/safe/1", "/once/1", "/load/1")[number % 3]
        calls.append(Deferred.fromCoroutine(site.call(path, key=str(number))))
        await deferLater(reactor, CALL_INTERVAL_S, lambda: None)
    return [answer.status for answer in await gatherResults(calls)]


# A worker that shed a request for want of room got the next ones all the same.
@pytest.mark.parametrize("pause_s", [0.8, 3.0, 60.0])
def test_worker_that_asked_for_a_pause_gets_no_requests(run_on_site, pause_s) -> None:
    async def scenario(site) -> None:
        paused, other = site.workers
        paused.mode, paused.retry_after = "shed", str(pause_s)
        await call_for(site, 0.5)
        paused.mode = "run"
        begun_at = paused.arrivals[0]
        watched_s = min(pause_s, 3.0) - (reactor.seconds() - begun_at) - 0.1
        assert set(await call_for(site, watched_s)) <= {200}
        stray = [at for at in paused.arrivals if at >= begun_at + SETTLING_S]
        assert len(stray) <= MAX_STRAY_REQUESTS
        assert other.ran
        event = site.events("worker.paused")[0]
        assert (event.worker, event.pause_s) == (paused.name, pause_s)
        if pause_s <= 3.0:
            await call_for(site, 1.5)
            assert paused.ran
            assert site.events("worker.resumed")

    run_on_site(scenario)


# Callers that cannot be served before the end of the first pause were kept waiting, or
# told to return at once.
def test_request_is_refused_at_once_while_all_workers_pause(run_on_site) -> None:
    async def scenario(site) -> None:
        for worker in site.workers:
            worker.mode, worker.retry_after = "shed", "3"
        await site.call()
        await site.call(key="8")
        sent = [len(worker.requests) for worker in site.workers]
        started_at = reactor.seconds()
        answers = [await site.call() for _ in range(5)]
        assert reactor.seconds() - started_at < 5 * AT_ONCE_S
        assert {answer.status for answer in answers} == {503}
        waits = [float(get_header(a.headers, "retry-after")) for a in answers]
        # Spread, so that they do not return together.
        assert 2.0 < waits[0] == min(waits)
        assert len(set(waits)) == len(waits)
        assert [len(worker.requests) for worker in site.workers] == sent

    run_on_site(scenario)


def test_worker_that_started_again_does_not_pause(run_on_site) -> None:
    async def scenario(site) -> None:
        (worker,) = site.workers
        worker.mode, worker.retry_after = "shed", "60"
        await site.call()
        worker.mode, worker.born = "run", worker.born + 1
        site.store.put("servers", worker.name, worker.entry)
        await site.wait_until(lambda: len(site.events("worker.changed")) == 2)
        await site.call()
        assert worker.ran

    run_on_site(scenario, count=1)


def test_pause_and_departure_hold_together(run_on_site) -> None:
    async def scenario(site) -> None:
        first, _ = site.workers
        first.mode, first.retry_after, first.leaving = "shed", "0.3", True
        await call_for(site, 0.5)
        first.mode = "run"
        await call_for(site, 0.5)
        assert first.ran == []

    run_on_site(scenario)
