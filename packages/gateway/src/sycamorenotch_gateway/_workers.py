"""Keeps the table of workers and their connections."""

from __future__ import annotations

from datetime import timedelta
from math import inf
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._events import EvacuationChanged
from sycamorenotch_gateway._events import WorkerChanged
from sycamorenotch_gateway._events import WorkerEntryIgnored
from sycamorenotch_gateway._events import WorkerRemoved
from sycamorenotch_gateway._follower import Follower
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._suspicion import Suspicion
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import AdaptiveIdleTimeout
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies import WorkerView
from sycamorenotch_transport import Http1Pool

# Entries that lapsed during an outage of the store are back within two seconds
# of its return; the rest covers the way of the news.
RETURN_S = 2.2
TICK = timedelta(seconds=0.25)
# Part of a worker's connections that may be idle; the rest is for requests.
IDLE_PART = 0.5
# Idle connections of one instance to one worker at most.
IDLE_CONNECTIONS = 16


@gateway_components.register("workers")
@final
class Workers:
    """Workers of the store, data centres under evacuation, connection pools."""

    after: ClassVar[tuple[str, ...]] = ("relay", "routes", "suspicion")

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.book = WorkerDirectory(
            lambda place: node.settings.placement.region_of(place)
        )
        self._pools: dict[str, Http1Pool] = {}
        self._trust: dict[str, AdaptiveIdleTimeout] = {}
        self._follower = Follower(node, Topic.WORKERS, self._receive)
        self._evacuations = Follower(node, Topic.EVACUATIONS, self._evacuate)
        self._empty: set[str] = set()
        self._tick = node.background(self._turn)
        node.require(Routes).subscribe(self._configured)
        self._suspicion = node.require(Suspicion)
        self._relay = node.require(Relay)
        node.provide(Workers, self)

    def start(self) -> None:
        """Follow workers and evacuations."""
        self._follower.start()
        self._evacuations.start()
        self._tick.start(TICK)

    async def stop(self) -> None:
        """Stop to follow and close idle connections."""
        self._follower.stop()
        self._evacuations.stop()
        self._tick.stop()
        for pool in self._pools.values():
            pool.close()

    @property
    def complete(self) -> bool:
        """Whether workers and evacuations have been read once."""
        return self._follower.complete and self._evacuations.complete

    def pool(self, view: WorkerView) -> Http1Pool:
        """Return the connections to a worker."""
        name = view.entry.id
        if name not in self._pools:
            self._pools[name] = Http1Pool(
                self._node.reactor, view.entry.address, self._node.clock
            )
        return self._pools[name]

    def trust(self, service: str) -> AdaptiveIdleTimeout:
        """Return what is known of idle connections to the workers of a service."""
        return self._trust.setdefault(service, AdaptiveIdleTimeout())

    def moved(self, view: WorkerView) -> None:
        """Drop a worker whose address belongs to another one."""
        self._remove(view.entry.id, "another worker has its address", 0)

    def _configured(self, configuration: ForwardingConfiguration) -> None:
        self.book.limits.clear()
        self.book.limits.update(configuration.services)

    def _receive(self, batch: Batch, whole: bool) -> None:
        now = self._node.clock()
        if whole:
            present = {item.name for item in batch.items}
            for name in self.book.names() - present:
                self._missing(name, batch.revision, now)
        for item in batch.items:
            self._take(item, now)

    def _take(self, item: Item, now: float) -> None:
        if item.removed:
            self._missing(item.name, item.revision, now)
        elif item.problem:
            self._node.sink.emit(
                WorkerEntryIgnored(item.name, item.problem, item.revision)
            )
            self._remove(item.name, "its entry cannot be read", item.revision)
        else:
            self._put(item.value, item.revision, now)

    def _put(self, entry: WorkerEntry, revision: int, now: float) -> None:
        known = self.book.get(entry.id)
        if known is not None and known.entry.address != entry.address:
            self._close(entry.id)
        if known is not None and known.entry == entry and known.missing_until is None:
            return
        if known is not None and known.entry.incarnation != entry.incarnation:
            self._suspicion.crashed(entry.id)
        self.book.put(entry, now)
        self._node.sink.emit(
            WorkerChanged(
                entry.id,
                entry.service,
                entry.data_centre,
                entry.draining,
                entry.cold_s,
                revision,
            )
        )

    def _missing(self, name: str, revision: int, now: float) -> None:
        view = self.book.get(name)
        if view is None:
            return
        regained = self._follower.regained_at
        until = -inf if regained is None else regained + RETURN_S
        if now < until and not view.entry.draining and not view.unreachable:
            self.book.mark_missing(name, until)
            return
        self._remove(name, "its entry was removed", revision)

    def _remove(self, name: str, reason: str, revision: int) -> None:
        if self.book.get(name) is None:
            return
        self.book.remove(name)
        self._close(name)
        self._node.sink.emit(WorkerRemoved(name, reason, revision))

    def _close(self, name: str) -> None:
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.close()

    def _evacuate(self, batch: Batch, whole: bool) -> None:
        if whole:
            self._empty.clear()
        for item in batch.items:
            if item.removed:
                self._empty.discard(item.name)
            else:
                self._empty.add(item.name)
        empty = frozenset(self._empty)
        if empty != self.book.evacuated:
            self.book.evacuate(empty, self._node.clock())
            self._node.sink.emit(
                EvacuationChanged(",".join(sorted(empty)), batch.revision)
            )

    async def _turn(self) -> timedelta:
        for name in self.book.expire(self._node.clock()):
            self._close(name)
            reason = "its entry did not come back after an outage of the store"
            self._node.sink.emit(WorkerRemoved(name, reason, 0))
        for name, pool in self._pools.items():
            pool.idle_limit = self._idle_share(name)
            pool.prune()
        return TICK

    def _idle_share(self, worker: str) -> int:
        """Idle connections of this instance to a worker that all share."""
        view = self.book.get(worker)
        limits = None if view is None else self.book.limits.get(view.entry.service)
        if limits is None or limits.connections <= 0:
            return IDLE_CONNECTIONS
        instances = 1 + len(self._relay.peers())
        share = int(limits.connections * IDLE_PART / instances)
        return max(1, min(IDLE_CONNECTIONS, share))
