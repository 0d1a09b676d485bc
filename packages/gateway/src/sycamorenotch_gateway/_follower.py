"""Follows one topic of the platform's store with reads and watches."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import final

from sycamorenotch_gateway._events import StoreCallFailed
from sycamorenotch_gateway._events import StoreHistoryGone
from sycamorenotch_gateway._events import StoreLost
from sycamorenotch_gateway._events import StoreRegained
from sycamorenotch_gateway._events import TopicRelayed
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import FeedError
from sycamorenotch_kernel import FeedFault
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import Topic

# Exponential backoff with jitter after failed calls. The maximum is such that a
# change is applied within a second of the store's recovery.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
NO_DELAY = timedelta()
# Delay of the next watch after a change. Changes come in groups and each call is
# charged. The delays are far below the bounds on drains and configuration changes.
WATCH_DELAYS = {
    Topic.WORKERS: timedelta(milliseconds=1_000),
    Topic.CONFIGURATION: timedelta(milliseconds=200),
}

# Receives a batch, and whether it is a snapshot of the whole topic.
BatchHandler = Callable[[Batch, bool], None]


@final
class Follower:
    """Reads a topic once, then watches its changes.

    :param handle_batch: called with each batch.
    """

    def __init__(
        self, node: GatewayNode, topic: Topic, handle_batch: BatchHandler
    ) -> None:
        self._node = node
        self._topic = topic
        self._handle_batch = handle_batch
        self._loop = node.background(self._turn)
        self._revision: int | None = None
        # Newest revision applied, from the store or from a peer.
        self._known_revision = 0
        self._items: dict[str, Item] = {}
        self._relay = node.require(Relay)
        self._relay.publish(topic, self._snapshot)
        self._failures = 0
        self._lost_since: float | None = None
        self.regained_at: float | None = None
        self.complete = False

    @property
    def lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._lost_since is not None

    def start(self) -> None:
        """Start following the topic."""
        self._loop.start()

    def stop(self) -> None:
        """Stop following the topic; the last items are kept."""
        self._loop.stop()

    async def _turn(self) -> timedelta:
        if self._revision is None:
            result = await self._node.feed.read(self._topic, fresh=True)
            is_snapshot = True
        else:
            result = await self._node.feed.watch(self._topic, self._revision)
            is_snapshot = False
        if result.is_error():
            backoff = self._record_failure(result.error)
            if self._lost_since is not None:
                await self._read_from_peer()
            return backoff
        self._record_success()
        self._revision = result.ok.revision
        self._apply(result.ok, is_snapshot)
        unchanged = is_snapshot or not result.ok.items
        return NO_DELAY if unchanged else WATCH_DELAYS.get(self._topic, NO_DELAY)

    async def _read_from_peer(self) -> None:
        batch = await self._relay.read(self._topic, self._known_revision)
        if batch is not None:
            self._node.sink.emit(TopicRelayed(self._topic.value, batch.revision))
            self._apply(batch, is_snapshot=True)

    def _apply(self, batch: Batch, is_snapshot: bool) -> None:
        if is_snapshot:
            self._items.clear()
        for item in batch.items:
            if item.removed or item.problem or item.value is None:
                self._items.pop(item.name, None)
            else:
                self._items[item.name] = item
        self._known_revision = batch.revision
        if is_snapshot or batch.items:
            self._handle_batch(batch, is_snapshot)
        self.complete = True

    def _snapshot(self) -> Batch | None:
        if not self.complete or self.lost:
            return None
        return Batch(tuple(self._items.values()), self._known_revision)

    def _record_success(self) -> None:
        self._failures = 0
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
        # If the store has lost its history, a watch from the old revision may never
        # return, so the topic is read again.
        self._revision = None
        if self._lost_since is None:
            self._lost_since = self._node.clock()
            self._node.sink.emit(
                StoreLost(self._topic.value, error.fault.value, error.detail)
            )
        else:
            self._node.sink.emit(
                StoreCallFailed(
                    self._topic.value, error.fault.value, error.detail, self._failures
                )
            )
        backoff = min(INITIAL_BACKOFF_S * 2.0**self._failures, MAX_BACKOFF_S)
        self._failures += 1
        return timedelta(seconds=backoff * self._node.random.uniform(0.5, 1.0))
