"""Follows one topic of the platform's store, directly or through a peer."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from math import inf
from typing import Protocol
from typing import final

from sycamorenotch_gateway._events import StoreCallFailed
from sycamorenotch_gateway._events import StoreEraChanged
from sycamorenotch_gateway._events import StoreHistoryGone
from sycamorenotch_gateway._events import StoreLost
from sycamorenotch_gateway._events import StoreRegained
from sycamorenotch_gateway._events import TopicRelayed
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._sources import Sources
from sycamorenotch_gateway._topic_age import TopicAge
from sycamorenotch_kernel import WATCH_ANSWER_S
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import FeedError
from sycamorenotch_kernel import FeedFault
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Position
from sycamorenotch_kernel import Topic
from sycamorenotch_policies import TopicLog
from sycamorenotch_policies import doubled_s

# First and longest delay of the exponential backoff with jitter after failed calls. The
# longest is such that a change is applied within a second of the store's recovery.
BACKOFF_S = (0.1, 0.8)
# A follower learns of the store's recovery from a watcher, so that in an outage only
# the few watchers try the store often. It asks the watchers at this interval.
FOLLOWER_BACKOFF_S = (0.6, 2.4)
OUTAGE_POLL_INTERVAL = timedelta(seconds=0.3)
NO_DELAY = timedelta()
# Delay of the next watch after a change. Changes come in groups and each call is
# charged. The delays are far below the bounds on drains and configuration changes.
WATCH_DELAYS = {
    Topic.WORKERS: timedelta(milliseconds=1_000),
    Topic.CONFIGURATION: timedelta(milliseconds=200),
}

# Asks for the changes that a followed instance may not have passed on, without a wait.
CHECK_TIMEOUT_S = WATCH_ANSWER_S
# After a watch that got no answer: the idle time of its connection, the delay of the
# next call, and the time that the store needs for its answer.
READ_AGAIN_S = 0.3
# A single question whether the items are current; the next one follows a second later.
REFRESH_TIMEOUT_S = 0.9
# Shorter watches would be calls in quick succession.
MIN_WATCH_TIMEOUT_S = 2.5
STARTUP_POLL_INTERVAL = timedelta(seconds=0.05)
# Delay before a peer that gave all its items is asked for all of them again.
ASK_ALL_DELAY = timedelta(seconds=0.1)
# Delay before an instance that has nothing yet asks again.
STARTUP_RETRY_DELAY = timedelta(seconds=0.1)

# Entries that expired during an outage of the store, or were lost when it went back,
# are written again within two seconds of its return; the rest covers the delay of the
# watch.
ENTRY_RETURN_GRACE_S = 2.2

# Name of the store as a source, beside the identifiers of instances.
STORE_SOURCE = "store"

# Receives a batch, and whether it is a snapshot of the whole topic.
BatchHandler = Callable[[Batch, bool], None]


class ItemOrder(Protocol):
    """Order of a topic's items that holds whatever the era of the store."""

    @property
    def version(self) -> int:
        """Version of the newest item, which is in force."""
        ...

    def keep_newest(self, batch: Batch, is_snapshot: bool) -> Batch:
        """Return a batch for peers, with the newest item in place of an older one."""
        ...


@final
class Follower:
    """Follows a topic in the store, or at an instance that watches it there.

    When the followed instance fails, the store is asked at once for the changes that
    it may not have passed on.

    :param handle_batch: called with each batch.
    :param order: order of the items, for topics that have one.
    """

    def __init__(
        self,
        node: GatewayNode,
        topic: Topic,
        handle_batch: BatchHandler,
        order: ItemOrder | None = None,
    ) -> None:
        self._node = node
        self._topic = topic
        self._handle_batch = handle_batch
        self._order = order
        # Whether the next poll asks for all items, as a peer has a newer one.
        self._asks_all = False
        self._loop = node.background(self._turn)
        self._revision: int | None = None
        # From where the last batch came.
        self.source = STORE_SOURCE
        # Whether the store, not a peer, keeps the items current.
        self._watching = False
        self._checks_store = False
        self._log = TopicLog()
        self._age = TopicAge(node.boot_clock)
        self._relay = node.require(Relay)
        self._relay.publish(topic, self)
        self._sources = node.require(Sources)
        self._failures = 0
        self._lost_since: float | None = None
        # In an outage, a follower does not try the store before this time.
        self._next_try_at = 0.0
        # When the store was back after an outage, and when it had gone back.
        self.regained_at: float | None = None
        self.rewound_at: float | None = None
        self.complete = False

    @property
    def lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._lost_since is not None

    @property
    def entries_return_by(self) -> float:
        """When entries that lapsed or were lost in the store are written again."""
        if self.regained_at is None:
            return self.lost_writes_return_by
        lapsed_by = self.regained_at + ENTRY_RETURN_GRACE_S
        return max(lapsed_by, self.lost_writes_return_by)

    @property
    def lost_writes_return_by(self) -> float:
        """When writes that a restored store has lost are written again."""
        rewound_at = self.rewound_at
        return -inf if rewound_at is None else rewound_at + ENTRY_RETURN_GRACE_S

    @property
    def age_s(self) -> float:
        """Time since the moment up to which the items are current, in seconds.

        It is infinite if no such moment is known.
        """
        return self._age.seconds

    def start(self) -> None:
        """Start following the topic."""
        self._loop.start()

    def stop(self) -> None:
        """Stop following the topic; the last items are kept."""
        self._loop.stop()

    def snapshot(self) -> Batch | None:
        """Return all items, or ``None`` while the store does not keep them current."""
        if not self.complete or self.lost:
            return None
        return self._newest(self._log.snapshot(), is_snapshot=True)

    def changes(self, after: Position) -> tuple[Batch, bool] | None:
        """Return the changes after a moment, and whether they are a snapshot.

        :return: ``None`` while this instance does not watch the topic in the store, or
            has not seen the era of that moment.
        """
        current = self.complete and self._watching and not self.lost
        seen = after.era <= self._log.position.era
        if not current or not seen:
            return None
        batch, is_snapshot = self._log.since(after)
        return self._newest(batch, is_snapshot=is_snapshot), is_snapshot

    def _newest(self, batch: Batch, *, is_snapshot: bool) -> Batch:
        if self._order is None:
            return batch
        return self._order.keep_newest(batch, is_snapshot)

    def _handle_known(self, batch: Batch) -> None:
        """Handle items of a peer that are not later in the history of the store.

        They may be newer by their own order, if the store has lost them.
        """
        if self._order is not None and batch.items:
            self._handle_batch(batch, False)

    def _record_statement(self, batch: Batch, sent_at: float) -> bool:
        """Record the age that a peer states of what it has in force.

        :return: whether this instance has that too.
        """
        if self._order is not None and batch.version > self._order.version:
            return False
        self._age.record_statement(batch, sent_at, self._log.position.era)
        return True

    async def _turn(self) -> timedelta:
        if self._sources.waits_for_members:
            return STARTUP_POLL_INTERVAL
        source = None if self._checks_store else self._sources.choose()
        if source is not None:
            return await self._follow_peer(source)
        waits = self.lost and self._node.clock() < self._next_try_at
        if waits and not self._sources.watches:
            return OUTAGE_POLL_INTERVAL
        return await self._follow_store()

    async def _follow_peer(self, source: PeerEntry) -> timedelta:
        self._watching = False
        sent_at = self._node.boot_clock()
        asked_all, self._asks_all = self._asks_all, False
        after = Position() if asked_all else self._log.position
        found = await self._relay.poll(source, self._topic, after)
        if found.is_error():
            self._sources.record_failure(self._topic, source, found.error)
            if not self.complete:
                return STARTUP_RETRY_DELAY
            self._checks_store = not self.lost
            return OUTAGE_POLL_INTERVAL if self.lost else NO_DELAY
        self._record_success()
        batch, is_snapshot = found.ok
        if batch.position > self._log.position or not self.complete:
            self._apply(batch, is_snapshot, source.id)
        else:
            self.source = source.id
            self._handle_known(batch)
        self._asks_all = not self._record_statement(batch, sent_at)
        self._revision = self._log.position.revision
        return ASK_ALL_DELAY if asked_all and self._asks_all else NO_DELAY

    async def _follow_store(self) -> timedelta:
        checks_store, self._checks_store = self._checks_store, False
        known, sent_at, wait_s = self._log.position, self._node.boot_clock(), 0.0
        if self._revision is None:
            result = await self._node.feed.read(self._topic, fresh=True)
            is_snapshot = True
        else:
            timeout_s = CHECK_TIMEOUT_S if checks_store else self._watch_timeout_s
            wait_s = max(0.0, timeout_s - WATCH_ANSWER_S)
            self._watching = not checks_store
            result = await self._node.feed.watch(self._topic, self._revision, timeout_s)
            is_snapshot = False
        if result.is_error():
            backoff = self._record_failure(result.error)
            if self._lost_since is not None:
                await self._read_from_peer()
            return backoff
        self._record_success()
        if not is_snapshot and result.ok.era != self._log.position.era:
            # The watch began in a history whose end is lost.
            self._revision = None
            return NO_DELAY
        if known != self._log.position > result.ok.position:
            # :meth:`refresh` has found more meanwhile.
            self._revision = self._log.position.revision
            return NO_DELAY
        self._revision = result.ok.revision
        self._apply(result.ok, is_snapshot)
        self._age.record_store_answer(result.ok, sent_at, wait_s)
        unchanged = is_snapshot or not result.ok.items
        return NO_DELAY if unchanged else WATCH_DELAYS.get(self._topic, NO_DELAY)

    @property
    def _watch_timeout_s(self) -> float:
        """Longest time for which silence is taken for no change, in seconds.

        A store or connection that was silent when it was asked never answers. What the
        store acknowledges has to be known in time once it has been stable for
        ``stability_window``.
        """
        window = self._node.settings.bounds.stability_window
        timeout_s = max(MIN_WATCH_TIMEOUT_S, window.total_seconds() - READ_AGAIN_S)
        limits = self._node.settings.key_age_limits
        if self._topic is not Topic.CONFIGURATION or limits is None:
            return timeout_s
        return min(timeout_s, WATCH_ANSWER_S + limits.watch_wait_s(self.age_s))

    async def refresh(self, *, asks_store: bool) -> None:
        """Ask the store once, or else a peer, whether the items are still current.

        :param asks_store: whether the store may be asked.
        """
        known, sent_at = self._log.position, self._node.boot_clock()
        # A store that does not state its era may have lost writes unnoticed while no
        # call to it succeeded.
        if asks_store and (self._revision is not None or known.era > 0):
            result = await self._node.feed.watch(
                self._topic, known.revision, REFRESH_TIMEOUT_S
            )
            # Meanwhile the topic may have been read again, in another era too.
            if result.is_ok() and known.era == self._log.position.era == result.ok.era:
                if result.ok.position < self._log.position:
                    return
                self._apply(result.ok, is_snapshot=False)
                if self._age.record_store_answer(result.ok, sent_at, 0.0):
                    return
        await self._read_from_peer()

    async def _read_from_peer(self) -> None:
        sent_at = self._node.boot_clock()
        found = await self._relay.read(self._topic)
        if found is None:
            return
        batch, peer = found
        if batch.position > self._log.position:
            self._node.sink.emit(TopicRelayed(self._topic.value, batch.revision))
            self._apply(batch, is_snapshot=True, source=peer.id)
        else:
            self.source = peer.id
            self._handle_known(batch)
        self._record_statement(batch, sent_at)

    def _apply(
        self, batch: Batch, is_snapshot: bool, source: str = STORE_SOURCE
    ) -> None:
        self.source = source
        if self.complete:
            self._note_era(batch)
        self._log.apply(batch, is_snapshot=is_snapshot)
        if is_snapshot or batch.items:
            self._handle_batch(batch, is_snapshot)
        self.complete = True
        self._relay.answer_polls(self._topic)

    def _note_era(self, batch: Batch) -> None:
        """Record whether the store has lost writes since the last batch."""
        known = self._log.position
        if batch.era != known.era:
            self.rewound_at = self._node.clock()
            self._node.sink.emit(
                StoreEraChanged(
                    self._topic.value,
                    batch.era,
                    known.era,
                    batch.revision,
                    known.revision,
                )
            )

    def _record_success(self) -> None:
        self._failures = 0
        self._sources.record_confirmation(self._topic)
        if self._lost_since is not None:
            now = self._node.clock()
            outage_s, self._lost_since = now - self._lost_since, None
            self.regained_at = now
            self._node.sink.emit(StoreRegained(self._topic.value, round(outage_s, 3)))

    def _record_failure(self, error: FeedError) -> timedelta:
        if error.fault is FeedFault.HISTORY_GONE:
            revision, self._revision = self._revision, None
            self._node.sink.emit(StoreHistoryGone(self._topic.value, revision or 0))
            return NO_DELAY
        self._watching = False
        self._relay.answer_polls(self._topic)
        # If the store has lost its history, a watch from the old revision may never
        # return, so the topic is read again.
        self._revision = None
        if self._lost_since is None:
            self._lost_since = self._node.clock()
            age_s = round(self._sources.ages_s()[self._topic], 3)
            self._node.sink.emit(
                StoreLost(self._topic.value, error.fault.value, error.detail, age_s)
            )
        else:
            self._node.sink.emit(
                StoreCallFailed(
                    self._topic.value, error.fault.value, error.detail, self._failures
                )
            )
        follows = not self._sources.watches
        initial_s, max_s = FOLLOWER_BACKOFF_S if follows else BACKOFF_S
        backoff_s = doubled_s(initial_s, self._failures, max_s)
        backoff_s *= self._node.random.uniform(0.5, 1.0)
        self._failures += 1
        if follows and self.complete:
            self._next_try_at = self._node.clock() + backoff_s
            return OUTAGE_POLL_INTERVAL
        return timedelta(seconds=backoff_s)
