"""Tracks the workers in the store and pools their connections."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from datetime import timedelta
from typing import ClassVar
from typing import final

from sycamorenotch_gateway._evacuations import Evacuations
from sycamorenotch_gateway._follower import Follower
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._suspicion import CrashSuspicion
from sycamorenotch_gateway._work_log import WorkLog
from sycamorenotch_gateway._worker_events import RateLimitChanged
from sycamorenotch_gateway._worker_events import WorkerChanged
from sycamorenotch_gateway._worker_events import WorkerEntryIgnored
from sycamorenotch_gateway._worker_events import WorkerLeaving
from sycamorenotch_gateway._worker_events import WorkerLoadIgnored
from sycamorenotch_gateway._worker_events import WorkerPaused
from sycamorenotch_gateway._worker_events import WorkerRemoved
from sycamorenotch_gateway._worker_events import WorkerResumed
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import AdaptiveIdleTimeout
from sycamorenotch_policies import DemandMeter
from sycamorenotch_policies import RateLimitReport
from sycamorenotch_policies import RateShares
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies import WorkerView
from sycamorenotch_transport import Http1Pool

MAINTENANCE_INTERVAL = timedelta(seconds=0.25)
# Fraction of a worker's connections that may be idle; the rest serves requests.
IDLE_CONNECTION_FRACTION = 0.5
# Per worker, for each instance.
MAX_IDLE_CONNECTIONS = 16

PeerDemands = Callable[[], Iterable[tuple[str, Mapping[str, float] | None]]]


@gateway_components.register("workers")
@final
class Workers:
    """Workers from the store, evacuated data centres, and connection pools."""

    after: ClassVar[tuple[str, ...]] = ("relay", "sources", "routes", "suspicion")

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.directory = WorkerDirectory(
            lambda data_centre: node.settings.placement.region_of(data_centre)
        )
        self.demand = DemandMeter()
        # Peers sets both; until then this instance is the only one.
        self.reported_demand: dict[str, float] = {}
        self.peer_demands: PeerDemands = tuple
        self.shares = RateShares(
            node.settings.instance,
            lambda: self.reported_demand,
            lambda: self.peer_demands(),
        )
        self._paused: dict[str, WorkerView] = {}
        self._work_log = WorkLog(self.directory, node.sink)
        self._pools: dict[str, Http1Pool] = {}
        self._idle_timeouts: dict[str, AdaptiveIdleTimeout] = {}
        self._follower = Follower(node, Topic.WORKERS, self._apply_batch)
        self._evacuations = Evacuations(node, self.directory)
        self._maintenance = node.background(self._turn)
        node.require(Routes).subscribe(self._apply_configuration)
        self._suspicion = node.require(CrashSuspicion)
        self._relay = node.require(Relay)
        node.provide(Workers, self)

    def start(self) -> None:
        """Follow workers and evacuations."""
        self._follower.start()
        self._evacuations.start()
        self._maintenance.start(MAINTENANCE_INTERVAL)

    async def stop(self) -> None:
        """Stop following the topics, and close the pools."""
        self._follower.stop()
        self._evacuations.stop()
        self._maintenance.stop()
        for pool in self._pools.values():
            pool.close()

    @property
    def complete(self) -> bool:
        """Whether workers and evacuations have been read once."""
        return self._follower.complete and self._evacuations.complete

    @property
    def paused_count(self) -> int:
        """Number of workers that asked this instance for a pause."""
        return self.directory.paused_count(self._node.clock())

    def pool(self, view: WorkerView) -> Http1Pool:
        """Return the connection pool of a worker; it is created on first use."""
        name = view.entry.id
        if name not in self._pools:
            self._pools[name] = Http1Pool(
                self._node.reactor,
                view.entry.address,
                self._node.clock,
                self._node.response_buffers,
            )
        return self._pools[name]

    def idle_timeout(self, service: str) -> AdaptiveIdleTimeout:
        """Return the learned idle timeout of a service's workers."""
        return self._idle_timeouts.setdefault(service, AdaptiveIdleTimeout())

    def remove_reassigned(self, view: WorkerView) -> None:
        """Remove a worker whose address now belongs to another one."""
        if not view.leaving:
            self._suspicion.record_restarted(view.entry.id)
        self._remove(view.entry.id, "another worker has its address", 0)

    def record_leaving(self, view: WorkerView) -> None:
        """Record that an answer of a worker says that it is about to stop."""
        if not self.directory.record_departure(view):
            return
        self._node.sink.emit(
            WorkerLeaving(
                view.entry.id,
                view.entry.service,
                round(self._node.clock() - view.seen_at, 3),
            )
        )

    def record_pause(self, view: WorkerView, pause_s: float, request: str) -> None:
        """Record that a worker wants no requests of this instance for a while.

        :param pause_s: length of the pause, in seconds.
        :param request: identifier of the request that it turned away.
        """
        now = self._node.clock()
        if view.record_pause(now, pause_s):
            self._paused[view.entry.id] = view
            self._node.sink.emit(
                WorkerPaused(
                    view.entry.id,
                    view.entry.service,
                    round(pause_s, 3),
                    request,
                    view.sent_last_second(now),
                )
            )

    def report_ignored_load(self, view: WorkerView, load: str) -> None:
        """Log once that a worker states a load that is ignored in part or whole."""
        if view.load_ignored:
            return
        view.load_ignored = True
        self._node.sink.emit(WorkerLoadIgnored(view.entry.id, view.entry.service, load))

    def _report_resumed(self, now: float) -> None:
        ended = [name for name, v in self._paused.items() if now >= v.paused_until]
        for name in ended:
            view = self._paused.pop(name)
            self._node.sink.emit(WorkerResumed(name, view.entry.service))

    def learn_rate_limits(self, reports: tuple[RateLimitReport, ...]) -> None:
        """Record the limits that another instance observed."""
        now = self._node.clock()
        for report in reports:
            view = self.directory.get(report.worker)
            if view is None:
                continue
            previous = view.rate.limit
            if view.rate.learn(report.limit, now - report.age_s):
                self.report_rate_limit(view, previous, "peer")

    def report_rate_limit(
        self, view: WorkerView, previous: float | None, source: str
    ) -> None:
        """Log that a worker's limit has changed.

        :param previous: the limit before.
        :param source: from where this instance knows it.
        """
        now = self._node.clock()
        rate = view.rate
        self.shares.update(view.entry.id, view.entry.service, rate, now)
        share = 0.0 if rate.limit is None else round(rate.allowance.rate, 3)
        self._node.sink.emit(
            RateLimitChanged(
                view.entry.id,
                view.entry.service,
                rate.limit,
                previous,
                source,
                share,
                view.sent_last_second(now),
            )
        )

    def _apply_configuration(self, configuration: ForwardingConfiguration) -> None:
        self.directory.limits.clear()
        self.directory.limits.update(configuration.services)

    def _apply_batch(self, batch: Batch, is_snapshot: bool) -> None:
        now = self._node.clock()
        if is_snapshot:
            present = {item.name for item in batch.items}
            for name in self.directory.names() - present:
                self._handle_missing_entry(name, batch.revision, now)
        for item in batch.items:
            self._apply_item(item, now)

    def _apply_item(self, item: Item, now: float) -> None:
        if item.removed:
            self._handle_missing_entry(item.name, item.revision, now)
        elif item.problem:
            self._node.sink.emit(
                WorkerEntryIgnored(item.name, item.problem, item.revision)
            )
            self._remove(item.name, "its entry cannot be read", item.revision)
        else:
            self._update_entry(item.value, item.revision, now)

    def _update_entry(self, entry: WorkerEntry, revision: int, now: float) -> None:
        existing = self.directory.get(entry.id)
        if existing is not None and existing.entry.address != entry.address:
            self._close_pool(entry.id)
        if existing is not None and _is_known(existing, entry, revision):
            existing.revision = revision
            return
        if existing is not None and existing.entry.incarnation != entry.incarnation:
            self._suspicion.record_restarted(entry.id)
        if entry.draining:
            self._suspicion.forget(entry.id)
        self._suspicion.record_replaced(entry)
        self.directory.put(entry, now, revision)
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

    def _handle_missing_entry(self, name: str, revision: int, now: float) -> None:
        view = self.directory.get(name)
        if view is None:
            return
        until = self._follower.entries_return_by
        if now < until and not view.leaving and not view.unreachable:
            self.directory.mark_missing(name, until)
            return
        if not view.leaving:
            self._suspicion.record_removed(name)
        self._remove(name, "its entry was removed", revision, gone=True)

    def _remove(
        self, name: str, reason: str, revision: int, *, gone: bool = False
    ) -> None:
        if self.directory.get(name) is None:
            return
        self.directory.remove(name, gone=gone)
        self._close_pool(name)
        self._node.sink.emit(WorkerRemoved(name, reason, revision))

    def _close_pool(self, name: str) -> None:
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.close()

    async def _turn(self) -> timedelta:
        now = self._node.clock()
        self._evacuations.expire(now)
        self._report_resumed(now)
        self._work_log.turn(now)
        for name in self.directory.expire(now):
            self._close_pool(name)
            reason = "its entry did not come back after an outage of the store"
            self._node.sink.emit(WorkerRemoved(name, reason, 0))
        for name, pool in self._pools.items():
            pool.max_idle_connections = self._idle_share(name)
            pool.prune()
        return MAINTENANCE_INTERVAL

    def _idle_share(self, worker: str) -> int:
        """Return this instance's share of the idle connections to a worker."""
        view = self.directory.get(worker)
        limits = None if view is None else self.directory.limits.get(view.entry.service)
        if limits is None or limits.connections <= 0:
            return MAX_IDLE_CONNECTIONS
        instances = 1 + len(self._relay.peers())
        share = int(limits.connections * IDLE_CONNECTION_FRACTION / instances)
        return max(1, min(MAX_IDLE_CONNECTIONS, share))


def _is_known(view: WorkerView, entry: WorkerEntry, revision: int) -> bool:
    """Return whether an entry says nothing new of a worker."""
    if view.entry != entry or view.missing_until is not None:
        return False
    # Written again, it may bring back a worker that was gone.
    return not view.leaving or view.revision == revision
