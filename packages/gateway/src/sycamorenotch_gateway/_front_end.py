"""Listeners for callers, look-ups, readiness and metrics."""

from __future__ import annotations

from typing import ClassVar
from typing import final

from twisted.internet.task import deferLater

from sycamorenotch_gateway._events import GatewayStopped
from sycamorenotch_gateway._events import GatewayStopping
from sycamorenotch_gateway._events import RequestRejected
from sycamorenotch_gateway._forwarder import Forwarder
from sycamorenotch_gateway._metrics import GatewayMetrics
from sycamorenotch_gateway._node import GatewayNode
from sycamorenotch_gateway._peers import Peers
from sycamorenotch_gateway._routes import Routes
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import Ran
from sycamorenotch_kernel import Refusal
from sycamorenotch_kernel import front_ends
from sycamorenotch_kernel import gateway_components
from sycamorenotch_policies import lookup_answer
from sycamorenotch_transport import Handler
from sycamorenotch_transport import Http1Server
from sycamorenotch_transport import HttpBounds
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse

# Connections that wait to be accepted while the loop is busy.
BACKLOG = 512
# Longest list of instances in one look-up answer.
LOOKUP_INSTANCES = 64
# Part of the grace for which callers may use an answer; some use it for three
# times as long, and all of them must be gone before the listener closes.
ANSWER_PART = 0.2
# Parts of the grace: new connections until the first, answers until the second.
# The rest covers timers that fire late and what is still to be closed.
ACCEPT_PART = 0.5
FINISH_PART = 0.86

KINDS = {
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
    """Serves callers and the platform over HTTP."""

    after: ClassVar[tuple[str, ...]] = ("forwarder", "peers", "metrics")

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._forwarder = node.require(Forwarder)
        self._peers = node.require(Peers)
        self._metrics = node.require(GatewayMetrics)
        self._callers = self._server("callers", self._call)
        self._others = {
            "readiness": self._server("readiness", self._readiness),
            "lookups": self._server("lookups", self._lookup),
            "metrics": self._server("metrics", self._page),
        }
        node.require(Routes).subscribe(self._configured)
        node.provide(GatewayFrontEnd, self)

    @property
    def addresses(self) -> dict[str, str]:
        """``IP:port`` of each listener by its name."""
        servers = {"callers": self._callers, **self._others}
        return {name: server.address for name, server in servers.items()}

    def start(self) -> None:
        """Listen."""
        settings = self._node.settings
        self._callers.listen(settings.callers, BACKLOG)
        for name, server in self._others.items():
            server.listen(getattr(settings, name), BACKLOG)

    async def stop(self) -> None:
        """Serve until callers have gone elsewhere, then finish and close."""
        node = self._node
        connections = len(self._callers.connections)
        node.sink.emit(GatewayStopping(node.settings.instance, connections))
        self._callers.draining = True
        self._peers.tell_now()
        grace = node.settings.bounds.grace.total_seconds()
        await deferLater(node.reactor, grace * ACCEPT_PART, lambda: None)
        left = grace * (FINISH_PART - ACCEPT_PART)
        unfinished = await self._callers.stop(left)
        for server in self._others.values():
            await server.stop(0)
        node.sink.emit(GatewayStopped(node.settings.instance, unfinished))

    def _server(self, name: str, handler: Handler) -> Http1Server:
        return Http1Server(
            self._node.reactor,
            handler,
            self._complain,
            lambda detail: self._node.sink.emit(RequestRejected(name, detail)),
        )

    def _configured(self, configuration: ForwardingConfiguration) -> None:
        limits = configuration.limits
        self._callers.bounds = HttpBounds(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )

    def _complain(self, status: int, detail: str) -> HttpResponse:
        kind = KINDS.get(status, ErrorKind.BAD_REQUEST)
        if status == 500:
            refusal = Refusal(ErrorKind.INTERNAL, Ran.UNKNOWN, detail)
        else:
            refusal = Refusal(kind, Ran.NO, detail)
        return self._node.dialect.encode_refusal("", refusal)

    async def _call(self, request: HttpRequest) -> HttpResponse:
        dialect = self._node.dialect
        call = dialect.decode_call(request)
        if call.is_error():
            return dialect.encode_refusal("", call.error)
        begun = self._node.clock()
        result = await self._forwarder.forward(call.ok)
        self._metrics.count(result, self._node.clock() - begun)
        if result.is_error():
            return dialect.encode_refusal(call.ok.id, result.error)
        response = dialect.encode_reply(result.ok)
        self._peers.usage.record_transfer(len(request.body) + len(response.body))
        return response

    async def _readiness(self, request: HttpRequest) -> HttpResponse:
        if not self._node.dialect.is_readiness(request):
            return HttpResponse(404)
        return HttpResponse(200 if self._peers.ready else 503)

    async def _lookup(self, request: HttpRequest) -> HttpResponse:
        question = self._node.dialect.decode_lookup(request)
        if question is None:
            return HttpResponse(404)
        bounds = self._node.settings.bounds
        found = lookup_answer(
            self._peers.serving(),
            question.region,
            question.data_centre,
            LOOKUP_INSTANCES,
        )
        if not found:
            return HttpResponse(503)
        lifetime = bounds.answer_lifetime.total_seconds()
        ttl_s = min(lifetime, bounds.grace.total_seconds() * ANSWER_PART)
        addresses = tuple(entry.callers for entry in found)
        return self._node.dialect.encode_lookup(addresses, ttl_s)

    async def _page(self, request: HttpRequest) -> HttpResponse:
        body, content_type = self._metrics.render()
        return HttpResponse(200, (("Content-Type", content_type),), body)
