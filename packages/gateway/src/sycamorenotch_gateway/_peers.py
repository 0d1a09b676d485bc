"""Membership of the instances, from entries in the store and from heartbeats."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import Any
from typing import ClassVar
from typing import final

from twisted.internet.protocol import DatagramProtocol

from sycamorenotch_gateway._customer_quotas import CustomerQuotaGate
from sycamorenotch_gateway._events import AnnouncementFailed
from sycamorenotch_gateway._events import DatagramRejected
from sycamorenotch_gateway._events import PeerJoined
from sycamorenotch_gateway._events import PeerLost
from sycamorenotch_gateway._heartbeats import HeartbeatCodec
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._suspicion import CrashSuspicion
from sycamorenotch_gateway._workers import Workers
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Resources
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import Heartbeat
from sycamorenotch_policies import Liveness
from sycamorenotch_policies import UsageMeter
from sycamorenotch_policies import doubled_s

# Largest datagram that is read: more than a heartbeat with all that it may carry.
MAX_DATAGRAM_BYTES = 4_096
# New instances are found by their heartbeats. The entries are read again to find
# those whose first heartbeats were all lost.
ENTRIES_REREAD_INTERVAL = timedelta(seconds=15)
# Keeps a datagram small; the reports take turns.
MAX_LIMITS_PER_HEARTBEAT = 16
NO_DELAY = timedelta()
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0


@gateway_components.register("peers")
@final
class Peers(DatagramProtocol):
    """Announces this instance and exchanges heartbeats with the others."""

    after: ClassVar[tuple[str, ...]] = (
        *("relay", "routes", "workers", "suspicion"),
        "customer-quotas",
    )
    noisy = False

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        settings = node.settings
        self.failure_detector = Liveness(settings.instance, settings.placement.region)
        self._sequence = 0
        self._codec = HeartbeatCodec()
        self._heartbeats = node.background(self._heartbeat_turn)
        self._entries = node.background(self._read_entries)
        self._failures = 0
        self._announced = False
        self._entries_read = False
        self._port: Any = None
        self._routes = node.require(Routes)
        self._workers = node.require(Workers)
        self._suspicion = node.require(CrashSuspicion)
        self._quotas = node.require(CustomerQuotaGate)
        self._relay = node.require(Relay)
        self._relay.peers = lambda: tuple(
            heartbeat.entry for heartbeat in self.failure_detector.serving(node.clock())
        )
        self._relay.live = lambda: self.failure_detector.live(node.clock())
        self._relay.capacities = self.failure_detector.capacities
        self._relay.is_alone = lambda: (
            self._entries_read and not self.failure_detector.recipients()
        )
        self._workers.peer_demands = lambda: (
            (heartbeat.entry.id, heartbeat.demand)
            for heartbeat in self.failure_detector.serving(node.clock())
        )
        self.usage = UsageMeter(node.clock(), node.processor_clock())
        node.provide(Peers, self)

    def start(self) -> None:
        """Announce this instance, and start sending and receiving heartbeats."""
        host, _, port = self._relay.address.rpartition(":")
        self._port = self._node.reactor.listenUDP(
            int(port), self, host, MAX_DATAGRAM_BYTES
        )
        self._heartbeats.start()
        self._entries.start()

    async def stop(self) -> None:
        """Stop the heartbeats and close the socket."""
        self._heartbeats.stop()
        self._entries.stop()
        if self._port is not None:
            await self._port.stopListening()

    @property
    def entry(self) -> PeerEntry:
        """This instance's own entry."""
        settings = self._node.settings
        return PeerEntry(
            settings.instance,
            settings.placement.region,
            settings.placement.data_centre,
            settings.callers,
            self._relay.address,
            self._node.started,
            self._node.stopping,
        )

    @property
    def ready(self) -> bool:
        """Whether this instance takes requests."""
        initialized = self._routes.table is not None and self._workers.complete
        return initialized and not self._node.stopping

    @property
    def live_count(self) -> int:
        """Number of live instances, this one included."""
        return 1 + len(self.failure_detector.live(self._node.clock()))

    def serving(self) -> tuple[Heartbeat, ...]:
        """Return the heartbeats of instances that take requests, this one included."""
        others = self.failure_detector.serving(self._node.clock())
        return (*others, self._own_heartbeat()) if self.ready else others

    @property
    def used_resources(self) -> Resources:
        """Moving averages of the processors and the bandwidth in use."""
        return self.usage.read(self._node.clock(), self._node.processor_clock())

    def _own_heartbeat(self) -> Heartbeat:
        capacity = self._node.settings.resources
        return Heartbeat(
            self.entry,
            self._sequence,
            self.ready,
            capacity,
            self.used_resources,
            self._workers.reported_demand,
        )

    def broadcast_heartbeat(self) -> None:
        """Send every peer a full heartbeat now, after a change of this instance."""
        message = self._message(full=True)
        for entry in self.failure_detector.recipients():
            self._send(message, entry)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Record a peer's heartbeat and merge its strikes."""
        try:
            heartbeat, strikes = self._codec.decode(datagram)
        except ValueError as exc:
            problem = type(exc).__name__
            self._node.sink.emit(DatagramRejected(str(addr[0]), problem))
            return
        self._suspicion.merge(strikes)
        if heartbeat is None:
            return
        self._suspicion.merge_answered(heartbeat.answered)
        self._workers.learn_rate_limits(heartbeat.limits)
        if self.failure_detector.observe(heartbeat, self._node.clock()):
            self._node.sink.emit(PeerJoined(heartbeat.entry.id, self.live_count))
            self._send(self._message(full=True), heartbeat.entry)
        self._learn_quotas(heartbeat)

    def _learn_quotas(self, heartbeat: Heartbeat) -> None:
        # A heartbeat that arrives late would replace newer demand.
        if not self.failure_detector.is_newest(heartbeat):
            return
        try:
            self._quotas.learn(heartbeat, self._node.clock())
        except ValueError as exc:
            self._node.sink.emit(DatagramRejected(heartbeat.entry.id, str(exc)))

    async def _heartbeat_turn(self) -> timedelta:
        self._send_heartbeats()
        for name in self.failure_detector.remove_silent(self._node.clock()):
            self._node.sink.emit(PeerLost(name, self.live_count))
        return timedelta(seconds=self.failure_detector.interval_s)

    def _send_heartbeats(self) -> None:
        now = self._node.clock()
        self._workers.reported_demand = self._workers.demand.read(now)
        peers = self.failure_detector
        listed = len(peers.recipients())
        self._quotas.update_report(listed, peers.longest_interval_s, now)
        message = self._message()
        for entry in peers.next_recipients():
            self._send(message, entry)

    def _message(self, *, full: bool = False) -> bytes:
        self._sequence += 1
        strikes = self._suspicion.strikes()
        directory = self._workers.directory
        now = self._node.clock()
        limits = directory.rate_limit_reports(now, MAX_LIMITS_PER_HEARTBEAT)
        heartbeat = replace(
            self._own_heartbeat(),
            limits=limits,
            quotas=self._quotas.report,
            answered=self._suspicion.answered(),
        )
        return self._codec.encode(
            heartbeat,
            strikes,
            full=full,
            demand=directory.limited_count() > 0,
        )

    def _send(self, message: bytes, entry: PeerEntry) -> None:
        host, _, port = entry.gossip.rpartition(":")
        try:
            self._port.write(message, (host, int(port)))
        # Entries and heartbeats may state addresses of any form.
        except (OSError, ValueError, OverflowError) as exc:
            self._node.sink.emit(DatagramRejected(entry.id, f"not sent: {exc}"))

    async def _read_entries(self) -> timedelta:
        if not self._announced:
            written = await self._node.feed.announce(self.entry)
            if written.is_error():
                return self._back_off(written.error.detail)
            self._announced = True
        # Of two instances that start together, at least one must see the other's entry.
        # A stale read could hide both.
        found = await self._node.feed.read(
            Topic.INSTANCES, fresh=not self._entries_read
        )
        if found.is_error():
            return self._back_off(found.error.detail)
        names = {item.name for item in found.ok.items}
        # A store that came back from an older copy may have lost the own entry.
        lost = self._entries_read and self.entry.id not in names
        self._announced = self._entries_read = not lost
        self._failures = 0
        self.failure_detector.set_entries(
            item.value for item in found.ok.items if item.value is not None
        )
        if lost:
            return NO_DELAY
        self.broadcast_heartbeat()
        return ENTRIES_REREAD_INTERVAL

    def _back_off(self, detail: str) -> timedelta:
        self._node.sink.emit(AnnouncementFailed(detail))
        backoff_s = doubled_s(INITIAL_BACKOFF_S, self._failures, MAX_BACKOFF_S)
        self._failures += 1
        return timedelta(seconds=backoff_s * self._node.random.uniform(0.5, 1.0))
