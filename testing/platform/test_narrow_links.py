"""Tests of answers that take longer on a narrow link than they may take to begin."""

from __future__ import annotations

import time
from random import Random

from testing.platform.conftest import Site
from testing.platform.conftest import configuration
from testing.platform.conftest import route
from testing.platform.proxies import Proxy
from twisted.internet import reactor

from sycamorenotch_gateway._relay import REQUEST_TIMEOUT_S
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_kernel import WATCH_ANSWER_S
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Topic
from sycamorenotch_platform._feed import PlatformFeed

# Longer than a check of the store or a read of a peer may take to begin.
TRANSFER_S = 2.0
ADDED_ROUTES = 1_400


def put_large_configuration(site: Site) -> None:
    large = configuration(2)
    large["resources"] += [
        route(f"/{Random(number).getrandbits(32):x}/", "safe")
        for number in range(ADDED_ROUTES)
    ]
    site.store.put("config", "main", large)


async def wait_for_version(site: Site) -> None:
    await site.wait_until(lambda: site.events("configuration.applied")[-1].version == 2)


def narrow(link: Proxy) -> None:
    """Let what has passed the link so far take ``TRANSFER_S`` from now on."""
    link.link_bytes_per_s = link.sent_bytes / TRANSFER_S


# A check of the store was given up while the large answer was arriving.
def test_answer_of_the_store_that_makes_progress_is_waited_for(run_on_site) -> None:
    async def scenario(site: Site) -> None:
        revision = site.store.revision
        put_large_configuration(site)
        link = Proxy(site.store.server.address)
        feed = PlatformFeed(link.address, reactor, time.monotonic)

        async def check():
            return await feed.watch(Topic.CONFIGURATION, revision, WATCH_ANSWER_S)

        assert (await check()).is_ok()
        narrow(link)
        asked_at = time.monotonic()
        found = await check()
        assert time.monotonic() - asked_at > WATCH_ANSWER_S
        assert [item.value.version for item in found.ok.items] == [2]
        await link.stop()

    run_on_site(scenario)


# A read of a peer was given up while the large answer was arriving.
def test_answer_of_a_peer_that_makes_progress_is_waited_for(run_on_site) -> None:
    async def scenario(site: Site) -> None:
        put_large_configuration(site)
        await wait_for_version(site)
        relay = site.gateway.node.require(Relay)
        link = Proxy(relay.address)
        peer = PeerEntry("p", "west", "a", "127.0.0.1:1", link.address, 1, False)
        relay.peers = lambda: (peer,)
        assert await relay.read(Topic.CONFIGURATION) is not None
        narrow(link)
        asked_at = time.monotonic()
        found = await relay.read(Topic.CONFIGURATION)
        assert time.monotonic() - asked_at > REQUEST_TIMEOUT_S
        assert found is not None
        assert [item.value.version for item in found[0].items] == [2]
        await link.stop()

    run_on_site(scenario)
