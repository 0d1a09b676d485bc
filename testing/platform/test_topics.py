"""Tests of what a whole gateway learns from the store and from its peers."""

from __future__ import annotations

from testing.platform.conftest import Site
from testing.platform.conftest import build_gateway
from testing.platform.conftest import build_site
from testing.platform.conftest import configuration
from testing.platform.conftest import route
from testing.platform.standins import StandInStore
from testing.platform.standins import StandInWorker
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._workers import RETURN_S
from sycamorenotch_gateway._workers import Workers


def test_new_configuration_is_in_force_after_its_change(on_site) -> None:
    async def scenario(site) -> None:
        changed = configuration(2)
        changed["resources"].append(route("/new/", "safe"))
        site.store.put("config", "main", changed)
        await site.until(lambda: len(site.events("configuration.applied")) == 2)
        assert (await site.call("/new/1")).status == 200

    on_site(scenario)


def test_changes_are_read_when_the_store_forgot_its_history(on_site) -> None:
    async def scenario(site) -> None:
        worker = StandInWorker("i-9")
        site.workers.append(worker)
        site.store.objects["servers", "i-9"] = {
            "metadata": {"name": "i-9", "revision": site.store.revision + 1},
            "specification": worker.entry,
        }
        site.store.forget_history()
        await site.until(lambda: len(site.events("worker.changed")) == 3)

    on_site(scenario)


def test_changes_are_read_when_a_cut_watch_would_wait_in_vain(on_site) -> None:
    async def scenario(site) -> None:
        # Watches hear nothing of the change and are then cut.
        site.store.deaf = True
        waiting, site.store._waiting = site.store._waiting, []
        site.store.put("evacuations", "a", {})
        site.store._waiting = waiting
        site.store.cut_watches(503)
        await site.until(lambda: site.events("evacuation.changed"))

    on_site(scenario)


def test_draining_worker_gets_no_more_requests(on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [w for w in site.workers if w.ran]
        first.state = "draining"
        site.store.put("servers", first.name, first.entry)
        await site.until(lambda: len(site.events("worker.changed")) == 3)
        await site.call()
        assert first.ran == ["t1"]

    on_site(scenario)


def test_removed_worker_gets_no_more_requests(on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [w for w in site.workers if w.ran]
        site.store.remove("servers", first.name)
        await site.until(lambda: site.events("worker.removed"))
        await site.call()
        assert first.ran == ["t1"]

    on_site(scenario)


def test_evacuated_data_centre_gets_nothing_until_it_is_taken_back(on_site) -> None:
    async def scenario(site) -> None:
        site.store.put("evacuations", "a", {})
        await site.until(lambda: site.events("evacuation.changed"))
        assert (await site.call()).status == 503
        site.store.remove("evacuations", "a")
        await site.until(lambda: len(site.events("evacuation.changed")) == 2)
        assert (await site.call()).status == 200

    on_site(scenario)


def test_requests_are_served_when_the_store_is_down(on_site) -> None:
    async def scenario(site) -> None:
        site.store.down = True
        site.store.cut_watches()
        await site.until(lambda: site.events("store.lost"))
        assert (await site.call()).status == 200
        site.store.down = False
        await site.until(lambda: site.events("store.regained"))

    on_site(scenario)


def test_removed_entry_is_held_no_longer_than_entries_may_take_to_return(
    on_site,
) -> None:
    async def scenario(site) -> None:
        workers = site.gateway.node.require(Workers)
        workers._follower.regained_at = site.gateway.node.clock() - RETURN_S + 0.3
        until = workers._follower.regained_at + RETURN_S
        view = workers.book.get("i-0")
        site.store.remove("servers", "i-0")
        await site.until(lambda: view.missing_until is not None)
        assert view.missing_until == until
        await site.until(lambda: site.events("worker.removed"))
        (event,) = site.events("worker.removed")
        assert "did not come back" in event.reason

    on_site(scenario)


def test_request_waits_for_the_first_configuration(run_in_reactor) -> None:
    async def scenario() -> None:
        site = await build_site([StandInWorker("i-1")])
        assert (await site.call()).status == 200
        await site.gateway.stop()
        for server in (site.store.server, site.workers[0].server):
            await server.stop(0)

    run_in_reactor(scenario())


def test_request_is_refused_when_there_is_no_configuration(run_in_reactor) -> None:
    async def scenario() -> None:
        store = StandInStore()
        gateway = build_gateway(store)
        gateway.start()
        site = Site(store, [], gateway, gateway.node.sink)
        assert (await site.call()).status == 503
        assert (await site.ask("readiness", "/api/readiness")).status == 503
        await gateway.stop()
        await store.server.stop(0)

    run_in_reactor(scenario())


def test_malformed_entry_is_ignored_and_others_hold(on_site) -> None:
    async def scenario(site) -> None:
        site.store.put("servers", "i-bad", {"service": 5})
        await site.until(lambda: site.events("worker.entry-ignored"))
        assert (await site.call()).status == 200

    on_site(scenario)


def test_instance_is_announced_in_the_store(on_site) -> None:
    async def scenario(site) -> None:
        await site.until(
            lambda: ("sycamorenotch-instances", "me") in site.store.objects
        )
        await deferLater(reactor, 0, lambda: None)

    on_site(scenario)


def test_instance_that_the_store_turns_away_reads_from_its_peer(run_in_reactor) -> None:
    async def scenario() -> None:
        refusing = StandInStore()
        refusing.down = True
        refused = build_gateway(refusing, "refused")
        refused.start()
        worker = StandInWorker("i-1")
        store = StandInStore()
        store.put("config", "main", configuration())
        store.put("servers", worker.name, worker.entry)
        entry = {
            "region": "west",
            "zone": "a",
            "callers": refused.addresses["callers"],
            "gossip": refused.node.require(Relay).address,
            "started": 1,
        }
        store.put("sycamorenotch-instances", "refused", entry)
        peer = build_gateway(store)
        peer.start()
        site = Site(store, [worker], refused, refused.node.sink)
        await site.ready()
        assert (await site.call()).status == 200
        store.put("evacuations", "a", {})
        await site.until(lambda: site.events("evacuation.changed"))
        assert (await site.call()).status == 503
        for gateway in (refused, peer):
            await gateway.stop()
        for server in (refusing.server, store.server, worker.server):
            await server.stop(0)

    run_in_reactor(scenario())
