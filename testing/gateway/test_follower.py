"""Tests of when a follower asks the store and when the watchers, without a network."""

from __future__ import annotations

from random import Random

import pytest
from expression import Error
from expression import Ok
from testing.platform.conftest import SETTINGS
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock

from sycamorenotch_gateway import GatewayNode
from sycamorenotch_gateway import parse_gateway_settings
from sycamorenotch_gateway._follower import Follower
from sycamorenotch_gateway._relay import PollFailure
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._sources import Sources
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import FeedError
from sycamorenotch_kernel import FeedFault
from sycamorenotch_kernel import PeerEntry
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

    async def read(self, topic: Topic, *, fresh: bool):
        return self._answer()

    async def watch(self, topic: Topic, after: int, timeout_s: float):
        return self._answer()

    async def poll(self, peer: PeerEntry, topic: Topic, after: int):
        self.polls += 1
        if self.down:
            return Error(PollFailure("status 503", refused=True))
        return Ok((Batch((), REVISION), False))

    def _answer(self):
        self.calls += 1
        if self.down:
            return Error(FeedError(FeedFault.UNAVAILABLE, "status 503"))
        return Ok(Batch((), REVISION))


class Harness:
    """A follower of a topic in a region of eight instances on a simulated clock."""

    def __init__(self) -> None:
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
        )
        relay = Relay(node)
        relay.live = lambda: tuple(
            PeerEntry(member, "west", "a", "", f"{member}:1", 1, False)
            for member in MEMBERS
            if member != name
        )
        relay.poll = self.poll
        Sources(node)
        self.follower = Follower(node, Topic.WORKERS, lambda batch, is_snapshot: None)
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
