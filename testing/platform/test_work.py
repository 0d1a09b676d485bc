"""Tests of requests to workers that state how long work takes on their machines."""

from __future__ import annotations

from twisted.internet import reactor

from sycamorenotch_policies._overdue import MIN_WAIT_S


# An unusually long run got a second worker only after a second, and then came late.
def test_unusually_long_run_gets_a_second_worker_early(run_on_site) -> None:
    async def scenario(site) -> None:
        for _ in range(12):
            await site.call(key="3")
        (first,) = [worker for worker in site.workers if worker.ran]
        first.mode = "silent"
        begun = reactor.seconds()
        answer = await site.call(key="3")
        assert answer.status == 200
        assert reactor.seconds() - begun < MIN_WAIT_S / 2
        (failed,) = site.events("request.attempt-failed")
        assert failed.worker == first.name and "cost" in failed.choice
        # It is only slow, as far as this shows.
        assert not site.events("worker.failed")

    run_on_site(scenario, slowdown="100")


def test_absurd_load_is_logged_once_for_each_worker(run_on_site) -> None:
    async def scenario(site) -> None:
        for _ in range(5):
            assert (await site.call(key="3")).status == 200
        (ignored,) = site.events("worker.load-ignored")
        assert ignored.load == "1,0,4,-3"

    run_on_site(scenario, slowdown="-3")


def test_metrics_count_answers_by_their_estimates(run_on_site) -> None:
    async def scenario(site) -> None:
        for _ in range(5):
            await site.call(key="3")
        page = (await site.fetch("metrics", "/metrics")).body.decode()
        lines = [n for n in page.splitlines() if "_estimated_answers{" in n]
        # The first answer shows that the workers state a slowdown.
        assert sum(float(line.split()[-1]) for line in lines) == 4

    run_on_site(scenario, slowdown="100")
