"""Tests of requests through a whole gateway on the stand-ins of the platform."""

from __future__ import annotations

import orjson
import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_policies import _idle_timeout
from sycamorenotch_transport import header


def ran(site) -> list[str]:
    return [attempt for worker in site.workers for attempt in worker.ran]


def test_answer_of_the_worker_arrives_unchanged(on_site) -> None:
    async def scenario(site) -> None:
        answer = await site.call("/safe/1?q=%20a")
        assert answer.status == 200
        assert header(answer.headers, "x-response-signature").startswith("i-")
        (request,) = [r for w in site.workers for r in w.requests]
        assert request.target == "/safe/1?q=%20a"
        assert header(request.headers, "x-attempt-id") == "t1"

    on_site(scenario)


def test_requests_for_one_object_go_to_one_worker(on_site) -> None:
    async def scenario(site) -> None:
        for _ in range(6):
            await site.call(key="3")
        assert sorted(len(worker.ran) for worker in site.workers) == [0, 0, 6]

    on_site(scenario, count=3)


def test_unknown_route_is_answered_with_404(on_site) -> None:
    async def scenario(site) -> None:
        assert (await site.call("/nowhere/")).status == 404

    on_site(scenario)


@pytest.mark.parametrize("mode", ["shed", "stranger"])
def test_another_worker_is_tried_when_one_did_not_run_it(on_site, mode) -> None:
    async def scenario(site) -> None:
        await site.call("/once/1")
        (first,) = [w for w in site.workers if w.ran]
        first.mode = mode
        assert (await site.call("/once/1")).status == 200
        assert sorted(ran(site)) == ["t1", "t2"]

    on_site(scenario)


def test_refusal_is_a_promise_when_every_worker_sheds(on_site) -> None:
    async def scenario(site) -> None:
        answer = await site.call("/once/1")
        assert answer.status == 503
        assert float(header(answer.headers, "retry-after")) > 0
        assert ran(site) == []

    on_site(scenario, mode="shed")


def test_unsafe_request_runs_once_and_is_no_promise_when_cut(on_site) -> None:
    async def scenario(site) -> None:
        assert (await site.call("/once/1")).status == 502
        assert ran(site) == ["t1"]

    on_site(scenario, mode="cut")


def test_safe_request_is_tried_again_when_cut(on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [w for w in site.workers if w.ran]
        first.mode = "cut"
        assert (await site.call()).status == 200

    on_site(scenario)


def test_attempts_are_bounded_when_every_worker_fails(on_site) -> None:
    async def scenario(site) -> None:
        assert (await site.call()).status == 500
        assert len(ran(site)) == 2

    on_site(scenario, count=4, mode="fail")


def test_failure_of_a_worker_is_handed_on_when_no_other_is_left(on_site) -> None:
    async def scenario(site) -> None:
        answer = await site.call()
        assert answer.status == 500
        assert header(answer.headers, "x-response-signature")

    on_site(scenario, count=1, mode="fail")


def test_unsafe_failure_of_a_worker_is_handed_on(on_site) -> None:
    async def scenario(site) -> None:
        answer = await site.call("/once/1")
        assert answer.status == 500
        assert header(answer.headers, "x-response-signature")
        assert len(ran(site)) == 1

    on_site(scenario, mode="fail")


def test_request_is_answered_with_504_at_its_time_limit(on_site) -> None:
    async def scenario(site) -> None:
        assert (await site.call(patience="400")).status == 504
        await site.until(lambda: sum(w.cancelled for w in site.workers) == 1)

    on_site(scenario, mode="silent")


def test_safe_request_is_tried_again_when_its_worker_is_silent(on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [w for w in site.workers if w.ran]
        first.mode = "silent"
        assert (await site.call()).status == 200
        assert first.cancelled == 1

    on_site(scenario)


def test_unsafe_request_stays_with_its_silent_worker(on_site) -> None:
    async def scenario(site) -> None:
        assert (await site.call("/once/1")).status == 504
        assert len(ran(site)) == 1

    on_site(scenario, mode="silent")


def test_forgotten_idle_connection_costs_no_second_request(
    on_site, monkeypatch
) -> None:
    # A busy machine must not make the reset look like a crash.
    monkeypatch.setattr(_idle_timeout, "MAX_RESET_DELAY_S", 60.0)
    monkeypatch.setattr(_idle_timeout, "DOUBLING_INTERVAL_S", 600.0)

    async def scenario(site) -> None:
        (worker,) = site.workers
        await site.call("/once/1")
        await deferLater(reactor, 0.4, lambda: None)
        worker.mode = "cut"
        assert (await site.call("/once/2")).status == 502
        worker.mode = "run"
        assert (await site.call("/once/3")).status == 200
        opened = worker.opened
        await deferLater(reactor, 0.4, lambda: None)
        # The connection of the last request would be used, were it trusted.
        assert (await site.call("/once/4")).status == 200
        assert worker.opened == opened + 1
        (told,) = site.events("worker.idle-connection-forgotten")
        assert told.trusted_s == 0.25

    on_site(scenario, count=1)


def test_work_is_cancelled_when_the_client_leaves(on_site) -> None:
    async def scenario(site) -> None:
        call = Deferred.fromCoroutine(site.call())
        call.addErrback(lambda _: None)
        await site.until(lambda: ran(site))
        call.cancel()
        await site.until(lambda: sum(w.cancelled for w in site.workers) == 1)
        assert site.events("request.abandoned")

    on_site(scenario, mode="silent")


def test_lookup_names_this_instance(on_site) -> None:
    async def scenario(site) -> None:
        target = "/api/resolution?name=h&region=west&zone=a"
        answer = await site.ask("lookups", target)
        found = orjson.loads(answer.body)
        assert found["addresses"] == [site.gateway.node.settings.callers]

    on_site(scenario)


def test_stopping_gateway_is_not_ready_and_still_serves(on_site) -> None:
    async def scenario(site) -> None:
        stopping = Deferred.fromCoroutine(site.gateway.stop())
        assert (await site.ask("readiness", "/api/readiness")).status == 503
        answer = await site.call()
        assert answer.status == 200
        assert header(answer.headers, "connection") == "close"
        await stopping

    on_site(scenario)


def test_request_in_flight_is_answered_when_the_gateway_stops(on_site) -> None:
    async def scenario(site) -> None:
        for worker in site.workers:
            worker.mode = "silent"
        call = Deferred.fromCoroutine(site.call(patience="300"))
        await site.until(lambda: ran(site))
        await site.gateway.stop()
        assert (await call).status == 504

    on_site(scenario)


def test_metrics_count_requests(on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        page = (await site.ask("metrics", "/metrics")).body.decode()
        assert "sycamorenotch_gateway_requests_total" in page

    on_site(scenario)


def test_metrics_tell_what_the_instance_uses(on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        page = (await site.ask("metrics", "/metrics")).body.decode()
        (used,) = [
            line
            for line in page.splitlines()
            if line.startswith('sycamorenotch_gateway_use{of="processors"}')
        ]
        assert float(used.split()[-1]) > 0

    on_site(scenario)


def test_request_that_crashes_workers_is_held_back(on_site) -> None:
    async def scenario(site) -> None:
        for worker in site.workers:
            worker.mode = "cut"
        for _ in range(6):
            await site.call("/once/1")
            for worker in site.workers:
                if worker.ran:
                    worker.ran.clear()
                    worker.born += 1
                    site.store.put("servers", worker.name, worker.entry)
            await deferLater(reactor, 0.35, lambda: None)
        assert site.events("request.quarantined")
        assert (await site.call("/once/1")).status == 503
        for worker in site.workers:
            worker.mode = "run"
        assert (await site.call("/once/2")).status in (200, 503)

    on_site(scenario, count=6)


def test_lost_answers_are_no_crash(on_site) -> None:
    async def scenario(site) -> None:
        for worker in site.workers:
            worker.mode = "cut"
        for _ in range(6):
            await site.call("/once/1")
            await deferLater(reactor, 0.35, lambda: None)
        assert not site.events("request.quarantined")

    on_site(scenario, count=6)
