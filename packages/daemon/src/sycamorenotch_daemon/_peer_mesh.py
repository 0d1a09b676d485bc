"""Streams to peers: dials, accepts, sends and dispatches received messages."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from datetime import timedelta
from typing import Any
from typing import ClassVar
from typing import TypeVar
from typing import cast
from typing import final

from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.endpoints import serverFromString
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory

from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._peer_events import PeerConnected
from sycamorenotch_daemon._peer_events import PeerKeyMissing
from sycamorenotch_daemon._peer_events import PeerLost
from sycamorenotch_daemon._peer_greeting import NONCE_BYTES
from sycamorenotch_daemon._peer_greeting import PeerIdentity
from sycamorenotch_daemon._peer_stream import PeerStream
from sycamorenotch_daemon._peer_stream import StreamContext
from sycamorenotch_daemon._peer_stream import Traffic
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import Message
from sycamorenotch_kernel import components

CONNECT_TIMEOUT = timedelta(seconds=2)
INITIAL_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=8)
MAX_STREAMS = 512

M = TypeVar("M", bound=Message)
Handler = Callable[[PeerIdentity, M], None]
Observer = Callable[[PeerIdentity], None]


@final
class DialBackoff:
    """Exponential backoff with full jitter between attempts to dial one peer."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._attempts = 0
        self._not_before = timedelta()

    def is_elapsed(self) -> bool:
        """Return whether the delay before the next attempt has elapsed."""
        return self._node.clock.monotonic() >= self._not_before

    def record_attempt(self) -> None:
        """Record an attempt and increase the delay before the next one.

        The peer's entry is discarded once a stream opens.
        """
        max_delay = min(MAX_BACKOFF, INITIAL_BACKOFF * 2**self._attempts)
        # Bounds the exponent; the delay reaches its maximum before that.
        self._attempts = min(self._attempts + 1, 8)
        delay = self._node.random.random() * max_delay
        self._not_before = self._node.clock.monotonic() + delay


@components.register("peers")
@final
class PeerMesh:
    """Accepts streams from peers and dials the peers that components select.

    :ivar incarnation: wall clock time of the start in milliseconds, which is
        higher at each start of an instance.
    """

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: Node) -> None:
        self._node = node
        self.traffic = Traffic()
        self.incarnation = int(node.clock.now().timestamp() * 1000)
        self._streams: dict[InstanceId, list[PeerStream]] = {}
        self._pending: set[PeerStream] = set()
        self._dialling: set[InstanceId] = set()
        self._backoffs: dict[InstanceId, DialBackoff] = {}
        self._targets: dict[InstanceId, str] = {}
        self._handlers: dict[type[Message], list[Handler[Any]]] = {}
        self._observers: list[Observer] = []
        self._port: IListeningPort | None = None
        self._stopped = False
        self._context = self._build_context()
        node.provide(PeerMesh, self)
        node.provide(Traffic, self.traffic)

    async def start(self) -> None:
        """Listen for peers, unless there is no key to authenticate them."""
        if not self._node.peer_key:
            self._node.sink.emit(PeerKeyMissing())
            return
        settings = self._node.settings
        text = settings.peers_endpoint or tcp_endpoint(settings.peers)
        endpoint = serverFromString(self._node.reactor, text)
        self._port = await endpoint.listen(Factory.forProtocol(self._accept))

    async def stop(self) -> None:
        """Close the listener and every stream."""
        self._stopped = True
        if self._port is not None:
            await self._port.stopListening()
        for stream in [*self._all_streams(), *self._pending]:
            stream.close()

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Register a function that is called for each message of a type."""
        self._handlers.setdefault(message_type, []).append(handler)

    def observe(self, observer: Observer) -> None:
        """Register a function that is called for each newly connected peer."""
        self._observers.append(observer)

    def connected(self) -> tuple[PeerIdentity, ...]:
        """Return the peers that have an open stream."""
        return tuple(cast(PeerIdentity, s[-1].peer) for s in self._streams.values())

    def is_connected(self, instance: InstanceId) -> bool:
        """Return whether a peer has an open stream."""
        return instance in self._streams

    def send(self, instance: InstanceId, message: Message) -> bool:
        """Send a message to a peer.

        :return: whether the message was sent; false without an open stream or
            while the peer reads too slowly.
        """
        streams = self._streams.get(instance)
        return bool(streams) and streams[-1].send(message)  # type: ignore[index]

    def set_targets(self, targets: Mapping[InstanceId, str]) -> None:
        """Dial targets without a stream; close dialled streams to other peers.

        :param targets: addresses of the peers' listeners, by instance.
        """
        self._targets = dict(targets)
        self._backoffs = {k: v for k, v in self._backoffs.items() if k in targets}
        for stream in tuple(self._all_streams()):
            peer = cast(PeerIdentity, stream.peer)
            if stream.dialled and peer.instance not in targets:
                stream.close()
        if self._node.peer_key and not self._stopped:
            for instance, address in targets.items():
                self._dial(instance, address)

    def _dial(self, instance: InstanceId, address: str) -> None:
        backoff = self._backoffs.setdefault(instance, DialBackoff(self._node))
        busy = instance in self._dialling or self.is_connected(instance)
        if busy or not backoff.is_elapsed():
            return
        backoff.record_attempt()
        self._dialling.add(instance)
        host, _, port = address.rpartition(":")
        endpoint = HostnameEndpoint(
            self._node.reactor,
            host.strip("[]"),
            int(port),
            timeout=CONNECT_TIMEOUT.total_seconds(),
        )
        connecting = connectProtocol(endpoint, PeerStream(self._context, instance))
        connecting.addBoth(lambda result: self._on_dialled(instance, result))

    def _on_dialled(self, instance: InstanceId, result: object) -> None:
        if not isinstance(result, PeerStream):
            self._dialling.discard(instance)
            return
        self._pending.add(result)
        if self._stopped:
            result.close()

    def _accept(self) -> PeerStream:
        stream = PeerStream(self._context, None)
        self._pending.add(stream)
        return stream

    def _build_context(self) -> StreamContext:
        node = self._node
        return StreamContext(
            reactor=node.reactor,
            key=node.peer_key,
            identity=self._identity,
            nonce=lambda: node.random.randbytes(NONCE_BYTES),
            rejection_reason=self._rejection_reason,
            opened=self._on_opened,
            received=self._on_message,
            lost=self._on_lost,
            sink=node.sink,
            traffic=self.traffic,
        )

    def _identity(self) -> PeerIdentity:
        settings = self._node.settings
        return PeerIdentity(
            settings.environment,
            InstanceId(settings.instance),
            settings.region,
            settings.data_centre,
            self.incarnation,
        )

    def _rejection_reason(self, peer: PeerIdentity) -> str:
        settings = self._node.settings
        if peer.environment != settings.environment:
            return "the peer belongs to another environment"
        if peer.instance == settings.instance:
            return "the peer has the identifier of this instance"
        count = len(self._pending) + sum(map(len, self._streams.values()))
        return "too many streams" if count > MAX_STREAMS else ""

    def _on_opened(self, stream: PeerStream) -> None:
        peer = cast(PeerIdentity, stream.peer)
        self._discard_pending(stream)
        known = peer.instance in self._streams
        self._streams.setdefault(peer.instance, []).append(stream)
        self._backoffs.pop(peer.instance, None)
        if known:
            return
        self._node.sink.emit(PeerConnected(peer.instance, stream.dialled))
        for observer in self._observers:
            observer(peer)

    def _on_message(self, stream: PeerStream, message: Message) -> None:
        peer = cast(PeerIdentity, stream.peer)
        for handler in self._handlers.get(type(message), ()):
            handler(peer, message)

    def _on_lost(self, stream: PeerStream) -> None:
        self._discard_pending(stream)
        instance = stream.peer.instance if stream.peer else InstanceId("")
        streams = self._streams.get(instance, [])
        if stream not in streams:
            return
        streams.remove(stream)
        if not streams:
            del self._streams[instance]
            self._node.sink.emit(PeerLost(instance))

    def _discard_pending(self, stream: PeerStream) -> None:
        self._pending.discard(stream)
        if stream.target is not None:
            self._dialling.discard(stream.target)

    def _all_streams(self) -> list[PeerStream]:
        return [stream for streams in self._streams.values() for stream in streams]


def tcp_endpoint(address: str) -> str:
    """Return the Twisted endpoint string for plain TCP on an ``IP:port``."""
    host, _, port = address.rpartition(":")
    interface = host.strip("[]").replace(":", r"\:")
    return f"tcp:{port}:interface={interface}"
