"""Tests of how a gateway follows the topics of the store and of its peers."""

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

from sycamorenotch_gateway._follower import ENTRY_RETURN_GRACE_S
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._workers import Workers

START_TIMEOUT_S = 5.0


def test_new_configuration_is_applied(run_on_site) -> None:
    async def scenario(site) -> None:
        changed = configuration(2)
        changed["resources"].append(route("/new/", "safe"))
        site.store.put("config", "main", changed)
        await site.wait_until(lambda: len(site.events("configuration.applied")) == 2)
        assert (await site.call("/new/1")).status == 200

    run_on_site(scenario)


def test_log_tells_which_configuration_decided_on_a_request(run_on_site) -> None:
    async def scenario(site) -> None:
        site.store.put("config", "main", configuration(2))
        await site.wait_until(lambda: len(site.events("configuration.applied")) == 2)
        await site.call("/safe/1")
        await site.call("/unknown/1")
        applied = site.events("configuration.applied")[-1]
        assert (applied.era, applied.source) == (1, "store")
        (answered,) = site.events("request.answered")
        (refused,) = site.events("request.refused")
        for event in (answered, refused):
            assert event.configuration == 2
            assert 0 <= event.configuration_age_s < START_TIMEOUT_S

    run_on_site(scenario)


def test_topic_is_read_again_when_the_store_has_discarded_its_history(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        worker = StandInWorker("i-9")
        site.workers.append(worker)
        site.store.objects["servers", "i-9"] = {
            "metadata": {"name": "i-9", "revision": site.store.revision + 1},
            "specification": worker.entry,
        }
        site.store.discard_history()
        await site.wait_until(lambda: len(site.events("worker.changed")) == 3)

    run_on_site(scenario)


def test_topic_is_read_again_after_a_failed_watch_that_missed_a_change(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        # Watches do not report the change and then fail.
        site.store.drops_watch_events = True
        pending, site.store._pending_watches = site.store._pending_watches, []
        site.store.put("evacuations", "a", {})
        site.store._pending_watches = pending
        site.store.cut_watches(503)
        await site.wait_until(lambda: site.events("evacuation.changed"))

    run_on_site(scenario)


def test_draining_worker_receives_no_more_requests(run_on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [w for w in site.workers if w.ran]
        first.state = "draining"
        site.store.put("servers", first.name, first.entry)
        await site.wait_until(lambda: len(site.events("worker.changed")) == 3)
        await site.call()
        assert first.ran == ["t1"]

    run_on_site(scenario)


def test_removed_worker_receives_no_more_requests(run_on_site) -> None:
    async def scenario(site) -> None:
        await site.call()
        (first,) = [w for w in site.workers if w.ran]
        site.store.remove("servers", first.name)
        await site.wait_until(lambda: site.events("worker.removed"))
        await site.call()
        assert first.ran == ["t1"]

    run_on_site(scenario)


def test_evacuated_data_centre_receives_no_requests_until_it_is_restored(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        site.store.put("evacuations", "a", {})
        await site.wait_until(lambda: site.events("evacuation.changed"))
        assert (await site.call()).status == 503
        site.store.remove("evacuations", "a")
        await site.wait_until(lambda: len(site.events("evacuation.changed")) == 2)
        assert (await site.call()).status == 200

    run_on_site(scenario)


def test_requests_are_served_when_the_store_is_down(run_on_site) -> None:
    async def scenario(site) -> None:
        site.store.down = True
        site.store.cut_watches()
        await site.wait_until(lambda: site.events("store.lost"))
        assert (await site.call()).status == 200
        site.store.down = False
        await site.wait_until(lambda: site.events("store.regained"))

    run_on_site(scenario)


def test_removed_entry_is_kept_for_the_grace_period_after_a_store_outage(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        workers = site.gateway.node.require(Workers)
        workers._follower.regained_at = (
            site.gateway.node.clock() - ENTRY_RETURN_GRACE_S + 0.3
        )
        grace_ends_at = workers._follower.regained_at + ENTRY_RETURN_GRACE_S
        view = workers.directory.get("i-0")
        site.store.remove("servers", "i-0")
        await site.wait_until(lambda: view.missing_until is not None)
        assert view.missing_until == grace_ends_at
        await site.wait_until(lambda: site.events("worker.removed"))
        (event,) = site.events("worker.removed")
        assert "did not come back" in event.reason

    run_on_site(scenario)


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
        assert (await site.fetch("readiness", "/api/readiness")).status == 503
        await gateway.stop()
        await store.server.stop(0)

    run_in_reactor(scenario())


def test_malformed_entry_is_ignored_and_others_are_kept(run_on_site) -> None:
    async def scenario(site) -> None:
        site.store.put("servers", "i-bad", {"service": 5})
        await site.wait_until(lambda: site.events("worker.entry-ignored"))
        assert (await site.call()).status == 200

    run_on_site(scenario)


def test_instance_is_announced_in_the_store(run_on_site) -> None:
    async def scenario(site) -> None:
        await site.wait_until(
            lambda: ("sycamorenotch-instances", "me") in site.store.objects
        )
        await deferLater(reactor, 0, lambda: None)

    run_on_site(scenario)


def test_instance_that_the_store_refuses_reads_from_its_peer(run_in_reactor) -> None:
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
        await site.wait_until_ready()
        assert (await site.call()).status == 200
        store.put("evacuations", "a", {})
        await site.wait_until(lambda: site.events("evacuation.changed"))
        assert (await site.call()).status == 503
        for gateway in (refused, peer):
            await gateway.stop()
        for server in (refusing.server, store.server, worker.server):
            await server.stop(0)

    run_in_reactor(scenario())
