"""Tests of calls to the store that are made in the last moments of a silent outage."""

from __future__ import annotations

import pytest
from testing.platform.conftest import configuration
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._workers import Workers

STABILITY_WINDOW_S = 4.0
# Of the changes, after the store has been stable for the window.
KNOWN_S = 1.5


# Such a call is never answered, also not after the outage. If it is waited for too
# long, it hides what the store acknowledges next; see deploy/days/darkened.toml.
@pytest.mark.parametrize("kind", ["servers", "config"])
def test_last_read_of_an_outage_hides_no_later_change(run_on_site, kind) -> None:
    async def scenario(site) -> None:
        node = site.gateway.node
        directory, routes = node.require(Workers).directory, node.require(Routes)
        worker = site.workers[0]
        site.store.silent = True
        site.store.cut_watches(503)
        calls = site.store.calls
        before = calls.count(f"GET {kind}")
        await site.wait_until(lambda: calls.count(f"GET {kind}") > before)
        site.store.silent = False
        await deferLater(reactor, STABILITY_WINDOW_S, lambda: None)
        worker.state = "draining"
        site.store.put("servers", worker.name, worker.entry)
        site.store.put("config", "main", configuration(2))
        await deferLater(reactor, KNOWN_S, lambda: None)
        assert directory.get(worker.name).entry.draining
        assert routes.version == 2

    run_on_site(scenario)
