"""Listeners for callers, look-ups, readiness and metrics."""

from __future__ import annotations

import re
from dataclasses import replace
from typing import ClassVar
from typing import final

from twisted.internet.task import deferLater

from sycamorenotch_gateway._clients import Clients
from sycamorenotch_gateway._events import GatewayStopped
from sycamorenotch_gateway._events import GatewayStopping
from sycamorenotch_gateway._events import RequestRejected
from sycamorenotch_gateway._forwarder import Forwarder
from sycamorenotch_gateway._metrics import GatewayMetrics
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._peers import Peers
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_gateway._turns import Turns
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import front_ends
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import choose_instances
from sycamorenotch_policies.client_memory import ClientAccount
from sycamorenotch_transport import Handler
from sycamorenotch_transport import Http1Server
from sycamorenotch_transport import HttpLimits
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse

# Connections that may wait to be accepted while the event loop is busy.
ACCEPT_BACKLOG = 512
# Bounds the size of a look-up answer.
MAX_LOOKUP_INSTANCES = 64
# Time to live of a look-up answer, as a fraction of the grace period. Some callers
# use an answer for three times as long, and all of them must have left before the
# listener closes.
LOOKUP_TTL_FRACTION = 0.2
# Fractions of the grace period: new connections are accepted until the first, and
# requests in flight may finish until the second. The rest covers late timers and
# the closing of connections.
ACCEPT_FRACTION = 0.5
FINISH_FRACTION = 0.86
# Retry-After of a refusal for want of memory; requests in progress end in about 1 s.
RETRY_AFTER_S = 0.5

# Refusals after which other requests of the client will hardly be served either.
WANT_OF_ROOM = frozenset({ErrorKind.OVERLOADED, ErrorKind.UPSTREAM_SHED})

# What a parser quotes from a malformed request, which may contain a key.
QUOTED = re.compile(r"""(?:bytearray\()?b?['"].*""", re.DOTALL)

ERROR_KINDS_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    408: ErrorKind.SLOW_SENDER,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
    503: ErrorKind.OVERLOADED,
}


@gateway_components.register("front-end")
@front_ends.register("gateway")
@final
class GatewayFrontEnd:
    """Serves callers, readiness probes, look-ups and metrics over HTTP."""

    after: ClassVar[tuple[str, ...]] = ("forwarder", "peers", "clients", "turns")

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._forwarder = node.require(Forwarder)
        self._peers = node.require(Peers)
        self._metrics = node.require(GatewayMetrics)
        self._clients = node.require(Clients)
        account, own = self._clients.account, self._clients.own_account
        self._caller_server = self._create_server("callers", self._serve_call, account)
        self._internal_servers = {
            "readiness": self._create_server("readiness", self._serve_readiness, own),
            "lookups": self._create_server("lookups", self._serve_lookup, account),
            "metrics": self._create_server("metrics", self._serve_metrics, own),
        }
        node.require(Routes).subscribe(self._apply_limits)
        node.provide(GatewayFrontEnd, self)

    @property
    def addresses(self) -> dict[str, str]:
        """``IP:port`` of each listener by its name."""
        servers = {"callers": self._caller_server, **self._internal_servers}
        return {name: server.address for name, server in servers.items()}

    def start(self) -> None:
        """Open the listeners."""
        settings = self._node.settings
        self._caller_server.listen(settings.callers, ACCEPT_BACKLOG)
        for name, server in self._internal_servers.items():
            server.listen(getattr(settings, name), ACCEPT_BACKLOG)

    async def stop(self) -> None:
        """Drain: serve until callers have left, finish requests, and close."""
        node = self._node
        connections = len(self._caller_server.connections)
        node.sink.emit(GatewayStopping(node.settings.instance, connections))
        self._caller_server.draining = True
        self._peers.broadcast_heartbeat()
        grace_s = node.settings.bounds.grace.total_seconds()
        await deferLater(node.reactor, grace_s * ACCEPT_FRACTION, lambda: None)
        remaining_s = grace_s * (FINISH_FRACTION - ACCEPT_FRACTION)
        unfinished = await self._caller_server.stop(remaining_s)
        for server in self._internal_servers.values():
            await server.stop(0)
        node.sink.emit(GatewayStopped(node.settings.instance, unfinished))

    def _create_server(
        self, name: str, handler: Handler, account: ClientAccount
    ) -> Http1Server:
        turns = self._node.require(Turns)
        return Http1Server(
            self._node.reactor,
            handler,
            self._encode_error,
            lambda detail: self._node.sink.emit(
                RequestRejected(name, QUOTED.sub("(left out)", detail))
            ),
            account=account,
            on_eviction=self._clients.record_eviction,
            schedule=turns.schedule,
            build_window=turns.shares.build_window,
        )

    def _apply_limits(self, configuration: ForwardingConfiguration) -> None:
        limits = configuration.limits
        clients = self._node.settings.clients
        self._caller_server.http_limits = HttpLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            self._clients.account.limits.total_bytes,
            clients.pipelined_requests,
            clients.unread_timeout.total_seconds(),
            max(clients.body_pause.total_seconds(), 2 * limits.idle_timeout_s),
        )

    def _encode_error(self, status: int, detail: str) -> HttpResponse:
        kind = ERROR_KINDS_BY_STATUS.get(status, ErrorKind.BAD_REQUEST)
        if status == 500:
            refusal = Refusal(ErrorKind.INTERNAL, Ran.UNKNOWN, detail)
        else:
            retry_after_s = RETRY_AFTER_S if status == 503 else None
            refusal = Refusal(kind, Ran.NO, detail, retry_after_s)
        return self._encode_refusal("", refusal)

    def _encode_refusal(self, request: str, refusal: Refusal) -> HttpResponse:
        response = self._node.dialect.encode_refusal(request, refusal)
        if refusal.kind not in WANT_OF_ROOM:
            return response
        return replace(response, retry_after_s=refusal.retry_after_s)

    async def _serve_call(self, request: HttpRequest) -> HttpResponse:
        dialect = self._node.dialect
        call = dialect.decode_call(request)
        if call.is_error():
            return self._encode_refusal("", call.error)
        started_at = self._node.clock()
        result = await self._forwarder.forward(call.ok)
        self._metrics.count(result, self._node.clock() - started_at)
        if result.is_error():
            return self._encode_refusal(call.ok.id, result.error)
        response = dialect.encode_reply(result.ok)
        self._peers.usage.record_transfer(len(request.body) + len(response.body))
        return response

    async def _serve_readiness(self, request: HttpRequest) -> HttpResponse:
        if not self._node.dialect.is_readiness_probe(request):
            return HttpResponse(404)
        return HttpResponse(200 if self._peers.ready else 503)

    async def _serve_lookup(self, request: HttpRequest) -> HttpResponse:
        query = self._node.dialect.decode_lookup(request)
        if query is None:
            return HttpResponse(404)
        bounds = self._node.settings.bounds
        found = choose_instances(
            self._peers.serving(),
            query.region,
            query.data_centre,
            MAX_LOOKUP_INSTANCES,
        )
        if not found:
            return HttpResponse(503)
        lifetime_s = bounds.answer_lifetime.total_seconds()
        ttl_s = min(lifetime_s, bounds.grace.total_seconds() * LOOKUP_TTL_FRACTION)
        addresses = tuple(entry.callers for entry in found)
        return self._node.dialect.encode_lookup(addresses, ttl_s)

    async def _serve_metrics(self, request: HttpRequest) -> HttpResponse:
        body, content_type = self._metrics.render()
        return HttpResponse(200, (("Content-Type", content_type),), body)
