"""Which other instances live: entries in the store and datagrams."""

from __future__ import annotations

from datetime import timedelta
from typing import Any
from typing import ClassVar
from typing import final

from twisted.internet.protocol import DatagramProtocol

from sycamorenotch_gateway._beats import BeatCodec
from sycamorenotch_gateway._events import AnnouncementFailed
from sycamorenotch_gateway._events import DatagramRejected
from sycamorenotch_gateway._events import PeerJoined
from sycamorenotch_gateway._events import PeerLost
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._relay import Relay
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._suspicion import Suspicion
from sycamorenotch_gateway._workers import Workers
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Resources
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import Heartbeat
from sycamorenotch_policies import Liveness
from sycamorenotch_policies import UsageMeter
from sycamorenotch_policies import heartbeat_interval_s

# Largest datagram that is read; a beat is far smaller.
DATAGRAM_BYTES = 2_048
# Instances that were added are known by their datagrams; entries are read again
# for those whose first datagrams were all lost.
READ_AGAIN = timedelta(seconds=15)
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 3.0


@gateway_components.register("peers")
@final
class Peers(DatagramProtocol):
    """Announces this instance and listens for the others."""

    after: ClassVar[tuple[str, ...]] = ("relay", "routes", "workers", "suspicion")
    noisy = False

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        settings = node.settings
        self.liveness = Liveness(settings.instance)
        self._sequence = 0
        self._codec = BeatCodec()
        self._beats = node.background(self._beat)
        self._entries = node.background(self._read_entries)
        self._failures = 0
        self._announced = False
        self._read_once = False
        self._port: Any = None
        self._routes = node.require(Routes)
        self._workers = node.require(Workers)
        self._suspicion = node.require(Suspicion)
        self._relay = node.require(Relay)
        self._relay.peers = lambda: tuple(
            beat.entry for beat in self.liveness.serving(node.clock())
        )
        self.usage = UsageMeter(node.clock(), node.processor_clock())
        node.provide(Peers, self)

    def start(self) -> None:
        """Announce this instance, then tell peers and listen to them."""
        host, _, port = self._relay.address.rpartition(":")
        self._port = self._node.reactor.listenUDP(int(port), self, host, DATAGRAM_BYTES)
        self._beats.start()
        self._entries.start()

    async def stop(self) -> None:
        """Stop to tell peers."""
        self._beats.stop()
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
        known = self._routes.table is not None and self._workers.complete
        return known and not self._node.stopping

    @property
    def live_count(self) -> int:
        """Live instances, this one included."""
        return 1 + len(self.liveness.live(self._node.clock()))

    def serving(self) -> tuple[Heartbeat, ...]:
        """Return the beats of instances that take requests, this one included."""
        others = self.liveness.serving(self._node.clock())
        return (*others, self._own_beat()) if self.ready else others

    @property
    def uses(self) -> Resources:
        """What this instance used of its machine lately."""
        return self.usage.read(self._node.clock(), self._node.processor_clock())

    def _own_beat(self) -> Heartbeat:
        has = self._node.settings.resources
        return Heartbeat(self.entry, self._sequence, self.ready, has, self.uses)

    def tell_now(self) -> None:
        """Tell every peer at once, after a change of this instance's state."""
        self._send_beats(whole=True)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Take a peer's beat."""
        try:
            beat, strikes = self._codec.decode(datagram)
        except ValueError as exc:
            problem = type(exc).__name__
            self._node.sink.emit(DatagramRejected(str(addr[0]), problem))
            return
        self._suspicion.merge(strikes)
        if beat is None:
            return
        if self.liveness.observe(beat, self._node.clock()):
            self._node.sink.emit(PeerJoined(beat.entry.id, self.live_count))
            self._send(self._message(whole=True), beat.entry)

    async def _beat(self) -> timedelta:
        self._send_beats()
        for name in self.liveness.remove_silent(self._node.clock()):
            self._node.sink.emit(PeerLost(name, self.live_count))
        return timedelta(seconds=heartbeat_interval_s(len(self.liveness.recipients())))

    def _send_beats(self, *, whole: bool = False) -> None:
        message = self._message(whole=whole)
        for entry in self.liveness.recipients():
            self._send(message, entry)

    def _message(self, *, whole: bool = False) -> bytes:
        self._sequence += 1
        strikes = self._suspicion.strikes()
        return self._codec.encode(self._own_beat(), strikes, whole=whole)

    def _send(self, message: bytes, entry: PeerEntry) -> None:
        host, _, port = entry.gossip.rpartition(":")
        try:
            self._port.write(message, (host, int(port)))
        except OSError as exc:
            self._node.sink.emit(DatagramRejected(entry.id, f"not sent: {exc}"))

    async def _read_entries(self) -> timedelta:
        if not self._announced:
            written = await self._node.feed.announce(self.entry)
            if written.is_error():
                return self._pause(written.error.detail)
            self._announced = True
        # Two instances that start together must see at least one of each other.
        fresh, self._read_once = not self._read_once, True
        found = await self._node.feed.read(Topic.INSTANCES, fresh=fresh)
        if found.is_error():
            return self._pause(found.error.detail)
        self._failures = 0
        self.liveness.set_entries(
            item.value for item in found.ok.items if item.value is not None
        )
        self._send_beats(whole=True)
        return READ_AGAIN

    def _pause(self, detail: str) -> timedelta:
        self._node.sink.emit(AnnouncementFailed(detail))
        pause = min(FIRST_PAUSE_S * 2.0**self._failures, LONGEST_PAUSE_S)
        self._failures += 1
        return timedelta(seconds=pause * self._node.random.uniform(0.5, 1.0))
