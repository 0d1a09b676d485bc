"""Lets instances that the store refuses read its topics from their peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import ClassVar
from typing import final

from expression import Error
from expression import Ok
from expression import Result
from pydantic import TypeAdapter
from pydantic import ValidationError
from pydantic.dataclasses import dataclass
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError

from sycamorenotch_gateway._events import RequestRejected
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_kernel import gateway_components
from sycamorenotch_transport import ExchangeError
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import Http1Server
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse

TOPICS_PATH = "/v1/topics/"
ACCEPT_BACKLOG = 64
# A peer in another region answers within a few round trips.
CONNECT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 1.0


@final
@dataclass(frozen=True, slots=True)
class _ConfigurationsPayload:
    revision: int
    items: dict[str, ForwardingConfiguration]


@final
@dataclass(frozen=True, slots=True)
class _WorkersPayload:
    revision: int
    items: dict[str, WorkerEntry]


@final
@dataclass(frozen=True, slots=True)
class _EvacuationsPayload:
    revision: int
    items: dict[str, str]


_ADAPTERS: dict[Topic, TypeAdapter[Any]] = {
    Topic.CONFIGURATION: TypeAdapter(_ConfigurationsPayload),
    Topic.WORKERS: TypeAdapter(_WorkersPayload),
    Topic.EVACUATIONS: TypeAdapter(_EvacuationsPayload),
}
_PAYLOADS: dict[Topic, Callable[..., Any]] = {
    Topic.CONFIGURATION: _ConfigurationsPayload,
    Topic.WORKERS: _WorkersPayload,
    Topic.EVACUATIONS: _EvacuationsPayload,
}

# Returns a snapshot of a topic, or ``None`` while the store does not keep it current.
SnapshotSource = Callable[[], Batch | None]


@gateway_components.register("relay")
@final
class Relay:
    """Serves topics to peers, and reads them from peers."""

    after: ClassVar[tuple[str, ...]] = ()

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._snapshots: dict[Topic, SnapshotSource] = {}
        self._server = Http1Server(
            node.reactor,
            self._serve,
            lambda status, detail: HttpResponse(status),
            lambda detail: node.sink.emit(RequestRejected("relay", detail)),
        )
        self.peers: Callable[[], tuple[PeerEntry, ...]] = tuple
        node.provide(Relay, self)

    def start(self) -> None:
        """Listen for requests of peers."""
        self._server.listen(self._node.settings.gossip, ACCEPT_BACKLOG)

    async def stop(self) -> None:
        """Close the listener and its connections."""
        await self._server.stop(0)

    @property
    def address(self) -> str:
        """``IP:port`` on which peers are served."""
        return self._server.address

    def publish(self, topic: Topic, snapshot: SnapshotSource) -> None:
        """Register the snapshots of a topic that peers may read."""
        self._snapshots[topic] = snapshot

    async def read(self, topic: Topic, after: int) -> Batch | None:
        """Read a topic from a random peer.

        :param after: newest revision that this instance has.
        :return: a snapshot with a newer revision, or ``None``.
        """
        peers = self.peers()
        if not peers or topic not in _ADAPTERS:
            return None
        peer = self._node.random.choice(peers)
        found = await self._fetch(peer, topic)
        if found.is_error() or found.ok.revision <= after:
            return None
        return found.ok

    async def _fetch(self, peer: PeerEntry, topic: Topic) -> Result[Batch, str]:
        node = self._node
        pool = Http1Pool(node.reactor, peer.gossip, node.clock, node.response_buffers)
        request = HttpRequest(
            "GET", TOPICS_PATH + topic.value, (("Host", peer.gossip),)
        )
        exchange: Deferred[HttpResponse] = Deferred.fromCoroutine(
            pool.exchange(request, CONNECT_TIMEOUT_S)
        )
        exchange.addTimeout(REQUEST_TIMEOUT_S, self._node.reactor)
        try:
            response = await exchange
        except (ExchangeError, DeferredTimeoutError) as exc:
            return Error(str(exc))
        finally:
            pool.close()
        if response.status != 200:
            return Error(f"status {response.status}")
        try:
            return Ok(_decode(topic, response.body))
        except ValidationError as exc:
            return Error(f"the peer's answer is invalid: {exc.error_count()} errors")

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        name = request.target.removeprefix(TOPICS_PATH)
        found = next((t for t in self._snapshots if t.value == name), None)
        batch = None if found is None else self._snapshots[found]()
        if found is None or batch is None:
            return HttpResponse(404)
        return HttpResponse(200, body=_encode(found, batch))


def _encode(topic: Topic, batch: Batch) -> bytes:
    items = {item.name: item.value for item in batch.items}
    return _ADAPTERS[topic].dump_json(_PAYLOADS[topic](batch.revision, items))


def _decode(topic: Topic, body: bytes) -> Batch:
    found = _ADAPTERS[topic].validate_json(body)
    items = tuple(
        Item(name, _revision(value, found.revision), value)
        for name, value in found.items.items()
    )
    return Batch(items, found.revision)


def _revision(value: Any, revision: int) -> int:
    own: int = getattr(value, "revision", revision)
    return own
