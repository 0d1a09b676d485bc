"""Decides from where this instance follows the store, and whether it is current."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar
from typing import final

from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError

from sycamorenotch_gateway._events import StorePulseLost
from sycamorenotch_gateway._events import TopicSourceFailed
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._relay import PollFailure
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._topic_payloads import RELAYED_TOPICS
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import FeedError
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import TopicSources

# A watcher that the store no longer reaches has to know within about a second, as its
# followers depend on it for changes that are in force two seconds after their write.
PULSE_INTERVAL = timedelta(seconds=0.4)
PULSE_TIMEOUT_S = 0.8
# An instance that has just started waits so long to hear of others that it can follow.
STARTUP_WAIT_S = 0.5
# A watcher that has just started reads its topics in this time; polls wait for it.
STARTUP_GRACE_S = 2.0


@gateway_components.register("sources")
@final
class Sources:
    """Watchers of the store in this region, and the contact of this one with it.

    Few instances watch the store; the others follow them. A watcher answers polls
    only while small reads at short intervals show that it reaches the store.
    """

    after: ClassVar[tuple[str, ...]] = ("relay",)

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._relay = node.require(Relay)
        self._sources = TopicSources(node.settings.instance)
        self._members: dict[str, PeerEntry] = {}
        self._started_at = node.clock()
        self._pulse = node.background(self._pulse_turn)
        self._proven_at: float | None = None
        self._confirmed_at: dict[Topic, float] = {}
        self._relay.is_current = lambda: self.current
        self._relay.is_starting = lambda: (
            node.clock() - self._started_at < STARTUP_GRACE_S and not node.stopping
        )
        node.provide(Sources, self)

    def start(self) -> None:
        """Start to prove the contact with the store when others depend on it."""
        self._started_at = self._node.clock()
        self._pulse.start()

    async def stop(self) -> None:
        """Stop the reads; polls of others are refused."""
        self._pulse.stop()
        self._proven_at = None
        self._relay.answer_all_polls()

    @property
    def current(self) -> bool:
        """Whether this instance knows that what it has of the store is current."""
        if self._proven_at is None or self._node.stopping:
            return False
        age_s = self._node.clock() - self._proven_at
        return age_s <= PULSE_INTERVAL.total_seconds() + PULSE_TIMEOUT_S

    def record_confirmation(self, topic: Topic) -> None:
        """Record that the store, or a watcher of it, answered for a topic just now."""
        self._confirmed_at[topic] = self._node.clock()

    def ages_s(self) -> dict[Topic, float]:
        """Return the time since each topic was last confirmed, in seconds.

        A topic that was never read counts from the start.
        """
        now = self._node.clock()
        return {
            topic: now - self._confirmed_at.get(topic, self._started_at)
            for topic in RELAYED_TOPICS
        }

    @property
    def waits_for_members(self) -> bool:
        """Whether other instances may be heard of soon, just after the start."""
        self._update_members()
        recent = self._node.clock() - self._started_at < STARTUP_WAIT_S
        return recent and not self._members and not self._relay.is_alone()

    @property
    def watches(self) -> bool:
        """Whether this instance is one of its region's watchers."""
        self._update_members()
        return self._sources.watches

    def choose(self) -> PeerEntry | None:
        """Return the instance to follow, or ``None`` to watch the store."""
        self._update_members()
        name = self._sources.choose(self._node.clock())
        return None if name is None else self._members[name]

    def record_failure(
        self, topic: Topic, source: PeerEntry, failure: PollFailure
    ) -> None:
        """Record that a followed instance did not answer or is not current."""
        now = self._node.clock()
        self._sources.record_failure(source.id, now, refused=failure.refused)
        self._node.sink.emit(TopicSourceFailed(topic.value, source.id, failure.detail))

    def _update_members(self) -> None:
        region = self._node.settings.placement.region
        live = self._relay.live()
        self._members = {entry.id: entry for entry in live if entry.region == region}
        capacities = self._relay.capacities()
        links_mbps = {
            name: capacities[name].link_mbps
            for name in self._members.keys() & capacities.keys()
        }
        own = self._node.settings
        links_mbps[own.instance] = own.resources.link_mbps
        self._sources.set_members(self._members.keys(), links_mbps)

    async def _pulse_turn(self) -> timedelta:
        self._update_members()
        if not self._sources.serves_others:
            self._proven_at = None
            return PULSE_INTERVAL
        sent_at = self._node.clock()
        problem = await self._read_from_store()
        was_current = self.current
        self._proven_at = None if problem else sent_at
        if self.current != was_current:
            if problem:
                self._node.sink.emit(StorePulseLost(problem))
            self._relay.answer_all_polls()
        return PULSE_INTERVAL

    async def _read_from_store(self) -> str:
        """Read a small topic, at the lowest price.

        :return: why it could not be read in time, or an empty string.
        """

        async def read() -> Result[Batch, FeedError]:
            return await self._node.feed.read(Topic.EVACUATIONS, fresh=False)

        reading: Deferred[Result[Batch, FeedError]] = Deferred.fromCoroutine(read())
        reading.addTimeout(PULSE_TIMEOUT_S, self._node.reactor)
        try:
            result = await reading
        except DeferredTimeoutError:
            return f"no answer within {PULSE_TIMEOUT_S} s"
        return (result.error.detail or "no answer") if result.is_error() else ""
