"""Tests of when a follower asks the store and when the watchers, without a network."""

from __future__ import annotations

from math import inf
from random import Random

import pytest
from expression import Error
from expression import Ok
from testing.platform.conftest import SETTINGS
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock

from sycamorenotch_gateway import GatewayNode
from sycamorenotch_gateway import parse_gateway_settings
from sycamorenotch_gateway._follower import Follower
from sycamorenotch_gateway._relay import PollFailure
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._sources import Sources
from sycamorenotch_gateway._turns import Turns
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import FeedError
from sycamorenotch_kernel import FeedFault
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Position
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import dialects
from sycamorenotch_policies import choose_watchers

MEMBERS = [f"g-{number}" for number in range(8)]
REVISION = 10
STEP_S = 0.02
OUTAGE_S = 3.0
# The store has recovered and a watcher is current; followers are to know soon.
RECOVERY_S = 1.0
# A poll without a change is answered after this time.
POLL_S = 1.0


class Store:
    """A feed and the watchers of a region, all of them down or up."""

    def __init__(self) -> None:
        self.down = False
        self.calls = 0
        self.polls = 0
        # Age that the watchers state.
        self.age_s: float | None = None
        # Version that the watchers have in force, and state.
        self.version = 0
        self.era = 1

    async def read(self, topic: Topic, *, fresh: bool):
        return self._answer()

    async def watch(self, topic: Topic, after: int, timeout_s: float):
        return self._answer()

    async def poll(self, peer: PeerEntry, topic: Topic, after: int):
        self.polls += 1
        if self.down:
            return Error(PollFailure("status 503", refused=True))
        asks_all = after == Position()
        items = (Item("main", REVISION, self.version),) if asks_all else ()
        batch = Batch(items, REVISION, self.era, self.age_s, self.version)
        return Ok((batch, asks_all))

    def _answer(self):
        self.calls += 1
        if self.down:
            return Error(FeedError(FeedFault.UNAVAILABLE, "status 503"))
        return Ok(Batch((), REVISION, self.era))


class Newest:
    """Order of items whose values are their versions; holds the newest one."""

    def __init__(self) -> None:
        self.version = 0

    def keep_newest(self, batch: Batch, is_snapshot: bool) -> Batch:
        return batch

    def handle_batch(self, batch: Batch, is_snapshot: bool) -> None:
        self.version = max([self.version, *(item.value for item in batch.items)])


class Harness:
    """A follower of a topic in a region of eight instances on a simulated clock."""

    def __init__(self, order: Newest | None = None) -> None:
        self.reactor = MemoryReactorClock()
        self.store = Store()
        name = min(set(MEMBERS) - choose_watchers(MEMBERS))
        text = SETTINGS.format(store="127.0.0.1:9").replace("id = me", f"id = {name}")
        node = GatewayNode(
            settings=parse_gateway_settings(text),
            reactor=self.reactor,
            clock=self.reactor.seconds,
            started=1,
            random=Random(1),
            sink=EventList(),
            feed=self.store,
            dialect=dialects.get("platform")(),
            processor_clock=lambda: 0.0,
            boot_clock=self.reactor.seconds,
        )
        Turns(node)
        relay = Relay(node)
        relay.live = lambda: tuple(
            PeerEntry(member, "west", "a", "", f"{member}:1", 1, False)
            for member in MEMBERS
            if member != name
        )
        relay.poll = self.poll
        Sources(node)
        self.follower = Follower(
            node,
            Topic.WORKERS,
            (lambda *_: None) if order is None else order.handle_batch,
            order,
        )
        self.follower.start()

    async def poll(self, peer: PeerEntry, topic: Topic, after: int):
        await self.sleep(0.0 if self.store.down else POLL_S)
        return await self.store.poll(peer, topic, after)

    async def sleep(self, seconds: float) -> None:
        await deferLater(self.reactor, seconds, lambda: None)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)


@pytest.fixture
def harness() -> Harness:
    harness = Harness()
    harness.advance(5.0)
    assert harness.follower.complete
    return harness


def test_follower_does_not_call_the_store_while_its_watcher_is_current(harness) -> None:
    calls = harness.store.calls
    harness.advance(60.0)
    assert harness.store.calls == calls
    assert harness.store.polls >= 50


def test_follower_checks_the_store_at_once_when_its_watcher_refuses(harness) -> None:
    calls = harness.store.calls
    harness.store.down = True
    harness.advance(1.2)
    assert harness.store.calls > calls
    assert harness.follower.lost


def test_follower_leaves_the_store_alone_in_an_outage(harness) -> None:
    calls = harness.store.calls
    harness.store.down = True
    harness.advance(OUTAGE_S)
    # A try at once and a few more.
    assert harness.store.calls - calls <= 4


def test_follower_learns_of_the_recovery_from_a_watcher(harness) -> None:
    harness.store.down = True
    harness.advance(20.0)
    assert harness.follower.lost
    harness.store.down = False
    harness.advance(RECOVERY_S + POLL_S)
    assert not harness.follower.lost


def test_age_counts_from_when_the_poll_was_sent(harness) -> None:
    """Guards against an age that starts anew when a late answer arrives."""
    polls, harness.store.age_s = harness.store.polls, 0.25
    while harness.store.polls < polls + 2:
        harness.advance(STEP_S)
    assert harness.follower.age_s == pytest.approx(POLL_S + 0.25, abs=2 * STEP_S)
    harness.advance(POLL_S / 2)
    assert harness.follower.age_s == pytest.approx(1.5 * POLL_S + 0.25, abs=2 * STEP_S)


def test_watcher_that_states_no_age_gives_none() -> None:
    """Guards against trust in watchers of an earlier release."""
    harness = Harness()
    harness.advance(5.0)
    assert harness.follower.complete
    assert harness.store.calls == 0
    assert harness.follower.age_s == inf


@pytest.mark.parametrize(
    ("asks_store", "era", "proven"),
    [(True, 1, True), (False, 1, False), (True, 2, False)],
)
def test_lost_store_is_asked_for_the_age_when_allowed(
    harness, asks_store, era, proven
) -> None:
    """Guards against keys that stay refused until a silent call of the follower ends.

    What a store in another era answers proves nothing of the items at hand.
    """
    harness.store.down = True
    harness.advance(20.0)
    assert harness.follower.lost
    calls, harness.store.down, harness.store.era = harness.store.calls, False, era
    Deferred.fromCoroutine(harness.follower.refresh(asks_store=asks_store))
    assert harness.store.calls - calls == asks_store
    assert (harness.follower.age_s < STEP_S) is proven


# A follower that had read an older version from a restored store took the age that its
# watcher stated for a newer one.
def test_age_of_a_newer_version_counts_once_it_is_in_force() -> None:
    order = Newest()
    harness = Harness(order)
    harness.store.age_s = 0.25
    harness.advance(5.0)
    polls, harness.store.version = harness.store.polls, 2
    while harness.store.polls == polls:
        harness.advance(STEP_S)
    # The poll that states the newer version, at the same position, proves nothing.
    assert order.version == 0
    assert harness.follower.age_s > POLL_S + 0.25
    harness.advance(POLL_S + STEP_S)
    assert order.version == 2
    assert harness.follower.age_s == pytest.approx(POLL_S + 0.25, abs=3 * STEP_S)
    # All items are asked for once, not with each poll.
    assert harness.store.polls <= polls + 3
