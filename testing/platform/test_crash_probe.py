"""Tests that a request that crashes its workers is stopped without other traffic."""

from __future__ import annotations

import pytest
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater


def let_poison_crash(worker: StandInWorker, *, exits: bool) -> None:
    """Make a worker end its connections when it runs a request.

    :param exits: whether it ends; otherwise it lives on with its listener.
    """

    async def handle(request):
        worker.ran.append(request.target)
        if exits:
            port, worker.server._port = worker.server._port, None
            port.stopListening()
        for connection in tuple(worker.server.connections):
            connection.transport.abortConnection()
        return await Deferred()

    worker.server.handler = handle


def reached(site) -> int:
    return sum(len(worker.ran) for worker in site.workers)


# Only another request to the same worker showed that it had crashed; see review/4.
@pytest.mark.parametrize("exits", [True, False])
def test_crashes_are_found_in_a_quiet_hour(run_on_site, exits) -> None:
    async def scenario(site) -> None:
        for worker in site.workers:
            let_poison_crash(worker, exits=exits)
        for _ in range(2):
            await site.call("/safe/1")
            await deferLater(reactor, 0.8, lambda: None)
            for worker in site.workers:
                if worker.ran and ("servers", worker.name) in site.store.objects:
                    site.store.remove("servers", worker.name)
            await deferLater(reactor, 1.2, lambda: None)
        assert reached(site) == 4
        status = (await site.call("/safe/1")).status
        assert bool(site.events("request.quarantined")) == exits
        assert (reached(site) == 4) == exits
        assert (status == 503) == exits
        results = [event.result for event in site.events("worker.probed")]
        assert results == ["refused" if exits else "connected"] * 4

    run_on_site(scenario, count=8)


# A worker comes back under another name, and no connection was refused.
@pytest.mark.parametrize("how", ["removed", "replaced"])
def test_crashes_show_in_the_store(run_on_site, how, monkeypatch) -> None:
    monkeypatch.setattr("sycamorenotch_gateway._suspicion.MAX_PROBES", 0, raising=False)

    async def scenario(site) -> None:
        for worker in site.workers:
            let_poison_crash(worker, exits=False)
        for number in range(2):
            await site.call("/safe/1")
            for worker in site.workers:
                if not worker.ran:
                    continue
                worker.ran.clear()
                if how == "removed":
                    site.store.remove("servers", worker.name)
                worker.name = f"{number}-{worker.name}"
                if how == "replaced":
                    site.store.put("servers", worker.name, worker.entry)
            await deferLater(reactor, 1.5, lambda: None)
        assert site.events("request.quarantined")

    run_on_site(scenario, count=8)


# The end of a worker that drains is planned.
def test_end_of_a_draining_worker_is_no_crash(run_on_site) -> None:
    async def scenario(site) -> None:
        for worker in site.workers:
            let_poison_crash(worker, exits=False)
        for _ in range(2):
            await site.call("/safe/1")
            for worker in site.workers:
                worker.state = "draining" if worker.ran else "ready"
                site.store.put("servers", worker.name, worker.entry)
            await deferLater(reactor, 1.2, lambda: None)
            for worker in site.workers:
                if worker.ran and ("servers", worker.name) in site.store.objects:
                    site.store.remove("servers", worker.name)
            await deferLater(reactor, 1.2, lambda: None)
        assert not site.events("request.quarantined")

    run_on_site(scenario, count=8)
