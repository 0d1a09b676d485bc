"""Topics of the store between instances: whole for some, changes for followers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from math import isfinite
from typing import ClassVar
from typing import Protocol
from typing import final
from urllib.parse import parse_qs
from urllib.parse import urlencode

from expression import Error
from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError

from sycamorenotch_gateway._compression import ACCEPT_HEADER
from sycamorenotch_gateway._compression import compress_response
from sycamorenotch_gateway._compression import read_body
from sycamorenotch_gateway._events import RequestRejected
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._topic_payloads import RELAYED_TOPICS
from sycamorenotch_gateway._topic_payloads import decode_topic
from sycamorenotch_gateway._topic_payloads import encode_topic
from sycamorenotch_gateway._turns import Turns
from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Position
from sycamorenotch_kernel import Resources
from sycamorenotch_kernel import Topic
from sycamorenotch_kernel import gateway_components
from sycamorenotch_transport import ExchangeError
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import Http1Server
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import ResponseTimeout

TOPICS_PATH = "/v1/topics/"
ACCEPT_BACKLOG = 64
# A peer in another region answers within a few round trips.
CONNECT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 1.0
# A poll is answered after this time also without a change, so that a peer that is
# gone or frozen is noticed soon after.
POLL_WAIT_S = 1.0
POLL_TIMEOUT_S = 1.4
# An answer that has begun may take longer, as a large one does on a narrow link: up to
# these limits on a pause between its pieces, and on the whole exchange.
MAX_PAUSE_S = 0.8
TRANSFER_TIMEOUT_S = 4.0
OK_STATUS = 200
# Of an instance that is not current with the store.
REFUSED_STATUS = 503


class TopicProvider(Protocol):
    """What an instance has of one topic."""

    @property
    def age_s(self) -> float:
        """Time since the moment up to which the items are current, in seconds.

        It is infinite if no such moment is known.
        """
        ...

    def snapshot(self) -> Batch | None:
        """Return all items, or ``None`` while the store does not keep them current."""
        ...

    def changes(self, after: Position) -> tuple[Batch, bool] | None:
        """Return the changes after a moment, and whether they are a snapshot.

        :return: ``None`` while this instance does not watch the topic in the store, or
            has not seen the era of that moment.
        """
        ...


@final
@dataclass(frozen=True, slots=True)
class PollFailure:
    """Why a peer gave no topic.

    :param refused: whether the peer answered that it is not current.
    """

    detail: str
    refused: bool = False


@gateway_components.register("relay")
@final
class Relay:
    """Serves topics to peers, and reads them from peers."""

    after: ClassVar[tuple[str, ...]] = ("turns",)

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._providers: dict[Topic, TopicProvider] = {}
        self._pools: dict[str, Http1Pool] = {}
        self._polls: dict[Topic, list[Deferred[None]]] = {}
        self._server = Http1Server(
            node.reactor,
            self._serve,
            lambda status, detail: HttpResponse(status),
            lambda detail: node.sink.emit(RequestRejected("relay", detail)),
            schedule=node.require(Turns).schedule,
        )
        # Set by the components that know: peers that take requests, peers that live,
        # capacities of peers, whether there are none, whether this instance is current
        # with the store, and whether it has just started.
        self.peers: Callable[[], tuple[PeerEntry, ...]] = tuple
        self.live: Callable[[], tuple[PeerEntry, ...]] = tuple
        self.capacities: Callable[[], Mapping[str, Resources]] = dict
        self.is_alone: Callable[[], bool] = lambda: False
        self.is_current: Callable[[], bool] = lambda: False
        self.is_starting: Callable[[], bool] = lambda: False
        node.provide(Relay, self)

    def start(self) -> None:
        """Listen for requests of peers."""
        self._server.listen(self._node.settings.gossip, ACCEPT_BACKLOG)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        for pool in self._pools.values():
            pool.close()
        await self._server.stop(0)

    @property
    def address(self) -> str:
        """``IP:port`` on which peers are served."""
        return self._server.address

    def publish(self, topic: Topic, provider: TopicProvider) -> None:
        """Register what peers may read of a topic."""
        self._providers[topic] = provider

    def answer_polls(self, topic: Topic) -> None:
        """Answer the polls that wait for a change of a topic."""
        polls, self._polls[topic] = self._polls.get(topic, []), []
        for poll in polls:
            if not poll.called:
                poll.callback(None)

    def answer_all_polls(self) -> None:
        """Answer the waiting polls, as this instance became current or lost that."""
        for topic in tuple(self._polls):
            self.answer_polls(topic)

    async def poll(
        self, peer: PeerEntry, topic: Topic, after: Position
    ) -> Result[tuple[Batch, bool], PollFailure]:
        """Wait at a peer for changes of a topic.

        :param after: newest moment that this instance knows of.
        :return: the changes, possibly none, and whether they are a snapshot.
        """
        query = urlencode(
            {
                "after": after.revision,
                "era": after.era,
                "wait_ms": int(self._poll_wait_s(topic) * 1000),
            }
        )
        pool = self._pools.get(peer.gossip)
        if pool is None:
            self._drop_pools()
            pool = self._pools[peer.gossip] = self._create_pool(peer)
        target = f"{TOPICS_PATH}{topic.value}?{query}"
        return await self._fetch(pool, peer, topic, target, POLL_TIMEOUT_S)

    async def read(self, topic: Topic) -> tuple[Batch, PeerEntry] | None:
        """Read a topic from a random peer.

        :return: a snapshot, and the peer, or ``None``.
        """
        peers = self.peers()
        if not peers or topic not in RELAYED_TOPICS:
            return None
        peer = self._node.random.choice(peers)
        pool = self._create_pool(peer)
        target = TOPICS_PATH + topic.value
        try:
            found = await self._fetch(pool, peer, topic, target, REQUEST_TIMEOUT_S)
        finally:
            pool.close()
        return None if found.is_error() else (found.ok[0], peer)

    def _poll_wait_s(self, topic: Topic) -> float:
        """Return how long a poll waits; its wait adds to the age that is known."""
        limits = self._node.settings.key_age_limits
        if topic is not Topic.CONFIGURATION or limits is None:
            return POLL_WAIT_S
        return min(POLL_WAIT_S, limits.poll_wait_s)

    def _create_pool(self, peer: PeerEntry) -> Http1Pool:
        node = self._node
        return Http1Pool(node.reactor, peer.gossip, node.clock, node.response_buffers)

    def _drop_pools(self) -> None:
        """Close the connections to peers that no longer live."""
        live = {entry.gossip for entry in self.live()}
        for address in self._pools.keys() - live:
            self._pools.pop(address).close()

    async def _fetch(
        self,
        pool: Http1Pool,
        peer: PeerEntry,
        topic: Topic,
        target: str,
        timeout_s: float,
    ) -> Result[tuple[Batch, bool], PollFailure]:
        headers = (("Host", peer.gossip), ACCEPT_HEADER)
        request = HttpRequest("GET", target, headers)
        timeout = ResponseTimeout(
            self._node.reactor, timeout_s, MAX_PAUSE_S, TRANSFER_TIMEOUT_S
        )
        exchange: Deferred[HttpResponse] = Deferred.fromCoroutine(
            pool.exchange(
                request, CONNECT_TIMEOUT_S, on_received=timeout.record_progress
            )
        )
        try:
            response = await timeout.watch(exchange)
        except ExchangeError as exc:
            return Error(PollFailure(str(exc)))
        except DeferredTimeoutError:
            detail = f"no answer within {timeout_s} s, or it paused"
            return Error(PollFailure(detail))
        if response.status != OK_STATUS:
            detail = f"status {response.status}"
            return Error(PollFailure(detail, response.status == REFUSED_STATUS))
        found = read_body(response).bind(lambda body: decode_topic(topic, body))
        return found.map_error(PollFailure)

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        path, _, query = request.target.partition("?")
        name = path.removeprefix(TOPICS_PATH)
        topic = next((t for t in self._providers if t.value == name), None)
        if topic is None:
            return HttpResponse(404)
        if query:
            return await self._serve_poll(request, topic, parse_qs(query))
        batch = self._providers[topic].snapshot()
        if batch is None:
            return HttpResponse(404)
        now = self._node.boot_clock()
        return self._encode_topic(request, topic, batch, now, is_snapshot=True)

    async def _serve_poll(
        self, request: HttpRequest, topic: Topic, query: dict[str, list[str]]
    ) -> HttpResponse:
        arrived_at = self._node.boot_clock()
        try:
            revision, wait_ms = (int(query[name][0]) for name in ("after", "wait_ms"))
            after = Position(int(query.get("era", ["0"])[0]), revision)
        except (KeyError, ValueError):
            return HttpResponse(400)
        found = self._current_changes(topic, after)
        waits = self.is_starting() if found is None else _is_empty(found)
        if waits:
            wait_s = min(max(0.0, wait_ms / 1000), POLL_WAIT_S)
            await self._wait_for_change(topic, wait_s)
            found = self._current_changes(topic, after)
        if found is None:
            return HttpResponse(REFUSED_STATUS)
        batch, is_snapshot = found
        return self._encode_topic(
            request, topic, batch, arrived_at, is_snapshot=is_snapshot
        )

    def _encode_topic(
        self,
        request: HttpRequest,
        topic: Topic,
        batch: Batch,
        arrived_at: float,
        *,
        is_snapshot: bool,
    ) -> HttpResponse:
        """Encode items of a topic with their age when the request arrived.

        The requester only knows that the answer is no older than its request.
        """
        held_s = self._node.boot_clock() - arrived_at
        age_s = self._providers[topic].age_s - held_s
        stated = replace(batch, age_s=age_s if isfinite(age_s) else None)
        body = encode_topic(topic, stated, is_snapshot=is_snapshot)
        return compress_response(request, body)

    def _current_changes(
        self, topic: Topic, after: Position
    ) -> tuple[Batch, bool] | None:
        return self._providers[topic].changes(after) if self.is_current() else None

    async def _wait_for_change(self, topic: Topic, wait_s: float) -> None:
        poll: Deferred[None] = Deferred()
        polls = self._polls.setdefault(topic, [])
        polls.append(poll)
        poll.addTimeout(wait_s, self._node.reactor, lambda result, _: None)
        try:
            await poll
        finally:
            waiting = self._polls[topic]
            if poll in waiting:
                waiting.remove(poll)


def _is_empty(changes: tuple[Batch, bool]) -> bool:
    batch, is_snapshot = changes
    return not batch.items and not is_snapshot
