"""Tests of workers that are about to stop."""

from __future__ import annotations

import pytest


@pytest.mark.parametrize("mode", ["run", "fail", "shed"])
def test_answer_that_says_that_its_worker_leaves_is_logged_once(
    run_on_site, mode
) -> None:
    async def scenario(site) -> None:
        (worker,) = site.workers
        worker.leaving, worker.mode = True, mode
        await site.call()
        (event,) = site.events("worker.leaving")
        assert (event.worker, event.draining) == (worker.name, False)

    run_on_site(scenario, count=1)


def test_metrics_tell_the_age_of_each_topic(run_on_site) -> None:
    async def scenario(site) -> None:
        page = (await site.fetch("metrics", "/metrics")).body.decode()
        ages = [line for line in page.splitlines() if "topic_age_seconds{" in line]
        topics = {line.partition('topic="')[2].partition('"')[0] for line in ages}
        assert topics == {"configuration", "evacuations", "workers"}

    run_on_site(scenario)
