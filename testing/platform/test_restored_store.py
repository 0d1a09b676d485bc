"""Tests of a store that comes back from an older copy and gives out revisions again."""

from __future__ import annotations

import time

import pytest
from testing.platform.conftest import build_gateway
from testing.platform.conftest import configuration
from testing.platform.conftest import route
from testing.platform.standins import StandInStore
from testing.platform.standins import StandInWorker
from testing.platform.test_customers import CLOSED
from testing.platform.test_customers import KEY
from testing.platform.test_customers import MAIN
from testing.platform.test_customers import OTHER_KEY
from testing.platform.test_customers import REVOCATION_S
from testing.platform.test_customers import call
from testing.platform.test_customers import tenant
from testing.platform.test_customers import with_tenants
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sycamorenotch_gateway._peers import Peers
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_kernel import Position
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import object_feeds

# The users' bound on a configuration that the store has acknowledged, and how long
# after the store's return it counts.
CONFIGURATION_APPLY_S = 2.5
STABILITY_WINDOW_S = 4.0
# What was lost is written again within two seconds of the store's return.
REWRITE_S = 0.5
# The latest moment at which it is written again, after the store's return.
LATEST_REWRITE_S = 2.0
REVOKED = with_tenants(tenant("acme"), tenant("bolt", OTHER_KEY), version=2)


async def pause(seconds: float) -> None:
    await deferLater(reactor, seconds, lambda: None)


async def serve_one(site) -> StandInWorker:
    """Send a request; return the worker that served it."""
    await site.call()
    (first,) = [worker for worker in site.workers if worker.ran]
    return first


def put_configuration(site, version: int, *prefixes: str) -> None:
    changed = configuration(version)
    changed["resources"] += [route(prefix, "safe") for prefix in prefixes]
    site.store.put("config", "main", changed)


async def wait_for_era(site, topic: str) -> None:
    """Wait until the gateway has read a topic from the restored store."""
    await site.wait_until(
        lambda: topic in [event.topic for event in site.events("store.era-changed")]
    )


async def wait_for_version(site, version: int) -> None:
    await site.wait_until(
        lambda: site.events("configuration.applied")[-1].version == version
    )


# A configuration got a revision that a lost one had before, and was taken for old.
def test_configuration_with_a_revision_given_out_again_is_in_force(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        copy = site.store.copy()
        for version in (2, 3):
            put_configuration(site, version)
            await wait_for_version(site, version)
        site.store.restore(copy)
        put_configuration(site, 3)
        await pause(STABILITY_WINDOW_S)
        put_configuration(site, 4, "/added/")
        await pause(CONFIGURATION_APPLY_S)
        assert (await site.call("/added/1")).status == 200

    run_on_site(scenario)


def test_older_configuration_does_not_come_back_in_force(run_on_site) -> None:
    async def scenario(site) -> None:
        copy = site.store.copy()
        put_configuration(site, 2, "/added/")
        await wait_for_version(site, 2)
        site.store.restore(copy)
        # Written again at a higher revision than the lost one had.
        for number in range(5):
            site.store.put("evacuations", f"other-{number}", {})
        put_configuration(site, 1)
        await pause(STABILITY_WINDOW_S)
        assert (await site.call("/added/1")).status == 200

    run_on_site(scenario)


# A watch that waited on at a revision of the lost history missed the first changes of
# the new one.
def test_change_is_known_when_no_call_fails_while_the_store_goes_back(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        first = await serve_one(site)
        copy = site.store.copy()
        first.slots += 1
        site.store.put("servers", first.name, first.entry)
        await site.wait_until(lambda: len(site.events("worker.changed")) == 3)
        # The next watch waits from here on.
        await pause(1.2)
        site.store.restore(copy, cut_watches=False)
        first.state = "draining"
        site.store.put("servers", first.name, first.entry)
        await pause(STABILITY_WINDOW_S)
        await site.call()
        assert first.ran == ["t1"]

    run_on_site(scenario)


# The entry of a worker that has left came back with the copy and made it usable.
def test_worker_that_was_gone_before_the_store_went_back_gets_no_requests(
    run_on_site,
) -> None:
    async def scenario(site) -> None:
        first = await serve_one(site)
        copy = site.store.copy()
        site.store.remove("servers", first.name)
        await site.wait_until(lambda: site.events("worker.removed"))
        site.store.restore(copy)
        await wait_for_era(site, "workers")
        await site.call()
        assert first.ran == ["t1"]
        # Written again, the entry is that of a worker that serves after all.
        changes = len(site.events("worker.changed"))
        site.store.put("servers", first.name, first.entry)
        await site.wait_until(lambda: len(site.events("worker.changed")) > changes)
        await site.call()
        assert first.ran == ["t1", "t3"]

    run_on_site(scenario)


# A worker whose entry was lost with the writes of the last seconds was removed, though
# it writes its entry again within two seconds.
def test_worker_whose_entry_was_lost_keeps_its_requests(run_on_site) -> None:
    async def scenario(site) -> None:
        copy = site.store.copy()
        worker = StandInWorker("i-9")
        site.workers.append(worker)
        site.store.put("servers", worker.name, worker.entry)
        await site.wait_until(lambda: len(site.events("worker.changed")) == 3)
        await pause(1.2)
        site.store.restore(copy, cut_watches=False)
        # Ends the watch that waits, in place of its own timeout.
        site.store.cut_watches()
        await wait_for_era(site, "workers")
        await pause(REWRITE_S)
        site.store.put("servers", worker.name, worker.entry)
        await pause(STABILITY_WINDOW_S)
        assert site.events("worker.removed") == []

    run_on_site(scenario)


# An evacuation that was lost was taken for one that had ended.
def test_evacuation_that_was_lost_stays_until_it_is_written_again(run_on_site) -> None:
    async def scenario(site) -> None:
        copy = site.store.copy()
        site.store.put("evacuations", "a", {})
        await site.wait_until(lambda: site.events("evacuation.changed"))
        site.store.restore(copy)
        await site.wait_until(
            lambda: (
                "evacuations"
                in [event.topic for event in site.events("store.era-changed")]
            )
        )
        assert (await site.call()).status == 503
        site.store.put("evacuations", "a", {})
        await pause(STABILITY_WINDOW_S)
        assert len(site.events("evacuation.changed")) == 1
        site.store.remove("evacuations", "a")
        await site.wait_until(lambda: len(site.events("evacuation.changed")) == 2)

    run_on_site(scenario)


def test_evacuation_that_is_not_written_again_ends(run_on_site) -> None:
    async def scenario(site) -> None:
        copy = site.store.copy()
        site.store.put("evacuations", "a", {})
        await site.wait_until(lambda: site.events("evacuation.changed"))
        site.store.restore(copy)
        await pause(STABILITY_WINDOW_S)
        assert (await site.call()).status == 200

    run_on_site(scenario)


# An instance whose own entry was lost could not be found by those that start later.
def test_own_entry_is_written_again_when_the_store_lost_it(run_on_site) -> None:
    async def scenario(site) -> None:
        key = ("sycamorenotch-instances", "me")
        await site.wait_until(lambda: key in site.store.objects)
        copy = site.store.copy()
        del copy.objects[key]
        site.store.restore(copy)
        site.gateway.node.require(Peers)._entries.wake()
        await site.wait_until(lambda: key in site.store.objects)

    run_on_site(scenario)


# Pages of two histories made a list that the store never had.
def test_list_is_read_again_when_the_store_goes_back_between_two_pages(
    run_in_reactor,
) -> None:
    async def scenario() -> None:
        store = StandInStore()
        for name in ("a", "b"):
            store.put("evacuations", name, {})
        copy = store.copy()
        store.put("evacuations", "c", {})
        store.remove("evacuations", "a")
        store.put("evacuations", "d", {})
        listed = store._list

        def go_back_once(kind: str, after: str):
            answer = listed(kind, after)
            if store.era == 1:
                reactor.callLater(0, store.restore, copy)
            return answer

        store._list = go_back_once
        feed = object_feeds.get("platform")(
            store.server.address, reactor, time.monotonic
        )
        batch = (await feed.read(Topic.EVACUATIONS, fresh=True)).ok
        assert [item.name for item in batch.items] == ["a", "b"]
        assert (batch.era, batch.revision) == (2, copy.revision)
        await store.server.stop(0)

    run_in_reactor(scenario())


@pytest.mark.parametrize("era", ["", "many", "-1"])
def test_era_that_cannot_be_read_counts_as_none(run_in_reactor, era) -> None:
    async def scenario() -> None:
        store = StandInStore()
        store.era = era
        feed = object_feeds.get("platform")(
            store.server.address, reactor, time.monotonic
        )
        assert (await feed.read(Topic.EVACUATIONS, fresh=True)).ok.era == 0
        await store.server.stop(0)

    run_in_reactor(scenario())


async def statuses(site, key: str, seconds: float) -> set[int]:
    """Return how requests with a key are answered for some time."""
    seen = set()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        seen.add((await call(site, key)).status)
        await pause(0.05)
    return seen


# An instance that started as the store came back from an older copy took what it read
# for current, and ran requests with a key that had been taken away (review case 8).
@pytest.mark.parametrize("with_peer", [True, False])
def test_instance_that_starts_on_a_restored_store_accepts_no_revoked_key(
    run_on_site, with_peer
) -> None:
    async def scenario(site) -> None:
        copy = site.store.copy()
        site.store.put("config", "main", REVOKED)
        await wait_for_version(site, 2)
        await pause(REVOCATION_S)
        if not with_peer:
            await site.gateway.stop()
        site.store.restore(copy)
        first, site.gateway = site.gateway, build_gateway(site.store, "new", CLOSED)
        site.gateway.start()
        try:
            assert not {200} & await statuses(site, KEY, LATEST_REWRITE_S)
            site.store.put("config", "main", REVOKED)
            assert not {200} & await statuses(site, KEY, STABILITY_WINDOW_S)
            assert await statuses(site, OTHER_KEY, 0.5) == {200}
        finally:
            await first.stop()

    run_on_site(scenario, main=MAIN, options={"bounds": CLOSED})


# A watcher passed on what the restored store held, and the age of what it had in force.
def test_watcher_passes_on_the_configuration_in_force(run_on_site) -> None:
    async def scenario(site) -> None:
        copy = site.store.copy()
        site.store.put("config", "main", REVOKED)
        await wait_for_version(site, 2)
        site.store.restore(copy)
        await wait_for_era(site, "configuration")
        follower = site.gateway.node.require(Routes)._follower
        (item,) = follower.snapshot().items
        assert item.value.version == 2
        (batch, is_snapshot) = follower.changes(Position())
        assert is_snapshot
        assert [item.value.version for item in batch.items] == [2]

    run_on_site(scenario, main=MAIN, options={"bounds": CLOSED})


# An instance that had not learned of a version before the store lost it took the copy
# for current, and went on to run requests with a key that was taken away.
def test_key_stops_when_the_store_lost_its_revocation_unseen(run_on_site) -> None:
    async def scenario(site) -> None:
        copy = site.store.copy()
        site.store.down = True
        site.store.cut_watches(503)
        site.store.put("config", "main", REVOKED)
        site.store.restore(copy)
        await pause(REVOCATION_S - REWRITE_S)
        site.store.down = False
        await pause(REWRITE_S)
        # Sent later than the bound after the acknowledgement.
        assert not {200} & await statuses(site, KEY, LATEST_REWRITE_S - REWRITE_S)
        site.store.put("config", "main", REVOKED)
        assert not {200} & await statuses(site, KEY, STABILITY_WINDOW_S)
        assert await statuses(site, OTHER_KEY, 0.5) == {200}

    run_on_site(scenario, main=MAIN, options={"bounds": CLOSED})
