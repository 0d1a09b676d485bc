"""Tests of requests whose worker takes long, is dark or is at work while stopping."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_transport import get_header


def total_ran(site) -> int:
    return sum(len(worker.ran) for worker in site.workers)


def test_answer_of_slow_work_is_used_when_the_second_worker_is_slow_too(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        answer = await site.call(patience="2700")
        assert answer.status == 200
        assert total_ran(site) == 2
        (answered,) = site.events("request.answered")
        assert answered.attempts == 2
        assert not site.events("request.attempt-failed")

    # The second worker is tried after half of the time, and then both are at work.
    run_on_site(scenario, mode="slow", delay_s=1.6)


def test_worker_is_not_given_up_when_no_other_can_be_tried(run_on_site) -> None:
    async def scenario(site) -> None:
        assert (await site.call(patience="3000")).status == 200
        assert [len(worker.ran) for worker in site.workers] == [1]

    run_on_site(scenario, count=1, mode="slow", delay_s=1.7)


def test_dark_worker_is_overtaken_by_another_and_paused(run_on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [w for w in site.workers if w.ran]
        first.mode = "silent"
        assert (await site.call(patience="3000")).status == 200
        assert first.cancelled == 1
        (failed,) = site.events("worker.failed")
        assert failed.worker == first.name
        assert not failed.unreachable

    run_on_site(scenario)


def test_work_is_not_given_up_while_the_gateway_stops(run_on_site) -> None:
    # The worker needs longer than the minimum wait, most of it after the stop.
    async def scenario(site) -> None:
        call = Deferred.fromCoroutine(site.call(patience="3000"))
        await site.wait_until(lambda: total_ran(site))
        await deferLater(reactor, 1.0, lambda: None)
        await site.gateway.stop()
        assert (await call).status == 200

    run_on_site(scenario, count=1, mode="slow", delay_s=1.4)


def test_failure_of_a_worker_is_not_replaced_by_the_loss_of_another(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [w for w in site.workers if w.ran]
        (second,) = [w for w in site.workers if w is not first]
        first.mode, second.mode = "fail", "cut"
        answer = await site.call()
        assert answer.status == 500
        assert get_header(answer.headers, "x-response-signature") == f"{first.name}.1"

    run_on_site(scenario)
