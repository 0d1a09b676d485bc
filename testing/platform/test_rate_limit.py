"""Tests of workers that name a limit on the requests of all instances together."""

from __future__ import annotations


def test_changes_of_a_rate_limit_are_logged_once_each(run_on_site) -> None:
    async def scenario(site) -> None:
        (worker,) = site.workers
        for limit in ("80", "80", "40", "", ""):
            worker.rate_limit = limit
            assert (await site.call()).status == 200
        changes = site.events("worker.rate-limit-changed")
        assert [(change.previous, change.limit) for change in changes] == [
            (None, 80.0),
            (80.0, 40.0),
            (40.0, None),
        ]

    run_on_site(scenario, count=1)
