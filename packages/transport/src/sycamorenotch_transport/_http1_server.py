"""HTTP/1.1 server that preserves headers and cancels work for lost clients."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import final

import h11
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from sycamorenotch_transport._http1_messages import HttpLimits
from sycamorenotch_transport._http1_messages import HttpRequest
from sycamorenotch_transport._http1_messages import HttpResponse
from sycamorenotch_transport._http1_messages import decode_headers
from sycamorenotch_transport._http1_messages import encode_headers
from sycamorenotch_transport._sockets import configure_socket

BODILESS_STATUS = frozenset({204, 304})
CLOSE_HEADER = ("Connection", "close")

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
BuildErrorResponse = Callable[[int, str], HttpResponse]
Report = Callable[[str], None]


@final
class ServerConnection(Protocol):
    """Connection of a client; its requests are handled one at a time."""

    def __init__(self, server: Http1Server) -> None:
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.http_limits.header_bytes
        )
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._handler_fut: Deferred[Any] | None = None
        self._timer: Any = None
        self._closing = False
        self.idle = True

    def connectionMade(self) -> None:
        """Register the connection and start its idle timeout."""
        self._server.connections.add(self)
        configure_socket(self.transport)
        self._start_timer(self._server.http_limits.idle_timeout_s, self.close)

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser and handle the next request if none is in progress."""
        if self._closing:
            return
        if self.idle:
            self.idle = False
            self._start_timer(
                self._server.http_limits.header_timeout_s, self._on_head_timeout
            )
        try:
            self._http.receive_data(data)
        except RuntimeError:
            # h11 raises if data follows the end of the client's stream.
            self.close()
            return
        if self._handler_fut is None:
            self._parse()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Cancel the handler of a request in progress."""
        self._server.connections.discard(self)
        self._release_body()
        self._cancel_timer()
        self._closing = True
        handler_fut, self._handler_fut = self._handler_fut, None
        if handler_fut is not None:
            handler_fut.cancel()
        self._server.on_connection_lost()

    def close(self) -> None:
        """Close after buffered output has been sent."""
        self._closing = True
        self._cancel_timer()
        self.transport.loseConnection()

    def _parse(self) -> None:
        try:
            while not self._closing and self._handler_fut is None:
                if not self._handle_event(self._http.next_event()):
                    return
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint, str(exc))

    def _handle_event(self, event: Any) -> bool:
        """Handle a parser event.

        :return: whether to ask the parser for another event.
        """
        if event is h11.NEED_DATA:
            if self._http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self.transport.write(self._http.send(interim))
            return False
        if event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            # No timeout applies to the body: a caller may send it slowly.
            self._cancel_timer()
            self._head = event
            return True
        if isinstance(event, h11.Data):
            return self._receive_body(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._handle()
            return True
        self.close()
        return False

    def _receive_body(self, data: bytes) -> bool:
        self._body.append(data)
        self._size += len(data)
        self._server.total_body_bytes += len(data)
        if self._size > self._server.http_limits.body_bytes:
            self._reject(413, "the request body is too large")
            return False
        if self._server.total_body_bytes > self._server.http_limits.buffered_bytes:
            self._reject(503, "the buffers for request bodies are full")
            return False
        return True

    def _handle(self) -> None:
        self._cancel_timer()
        head = self._head
        assert head is not None
        request = HttpRequest(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            decode_headers(head.headers.raw_items()),
            b"".join(self._body),
        )
        deferred = Deferred.fromCoroutine(
            _await_response(self._server.handler(request))
        )
        self._handler_fut = deferred
        deferred.addCallbacks(self._respond, self._failed)

    def _failed(self, failure: Failure) -> None:
        if failure.check(CancelledError) is None:
            self._server.report(failure.getErrorMessage())
            self._respond(self._server.build_error(500, "internal error"))

    def _respond(self, response: HttpResponse) -> None:
        self._handler_fut = None
        if self._closing:
            return
        self._release_body()
        last = response.close or self._server.draining
        self._write(response, last)
        if last or self._http.our_state is not h11.DONE:
            self.close()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            # The client or the protocol version rules out another request.
            self.close()
            return
        self._head = None
        self.idle = not self._http.trailing_data[0]
        if self.idle:
            self._start_timer(self._server.http_limits.idle_timeout_s, self.close)
        else:
            self._server.call_soon(self._parse_next)

    def _parse_next(self) -> None:
        if self._handler_fut is None and not self._closing:
            self._start_timer(
                self._server.http_limits.header_timeout_s, self._on_head_timeout
            )
            self._parse()

    def _write(self, response: HttpResponse, last: bool) -> None:
        headers = list(response.headers)
        if not any(k.lower() == "content-length" for k, _ in headers) and (
            response.status not in BODILESS_STATUS
        ):
            headers.append(("Content-Length", str(len(response.body))))
        if last:
            headers.append(CLOSE_HEADER)
        head = h11.Response(
            status_code=response.status,
            headers=encode_headers(tuple(headers)),
            reason=response.reason.encode("latin-1"),
        )
        out = [self._http.send(head)]
        head_request = self._head is not None and self._head.method == b"HEAD"
        if response.body and not head_request:
            out.append(self._http.send(h11.Data(data=response.body)))
        out.append(self._http.send(h11.EndOfMessage()))
        self.transport.write(b"".join(filter(None, out)))

    def _reject(self, status: int, detail: str) -> None:
        self._release_body()
        self._server.report(f"{status}: {detail}")
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = self._server.build_error(status, detail)
            try:
                self._write(response, last=True)
            except h11.LocalProtocolError as exc:
                self._server.report(f"the error response could not be written: {exc}")
        self.close()

    def _on_head_timeout(self) -> None:
        self._reject(408, "the request headers were not received in time")

    def _release_body(self) -> None:
        self._server.total_body_bytes -= self._size
        self._size = 0
        self._body = []

    def _start_timer(self, delay_s: float, function: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._server.call_later(delay_s, function)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


async def _await_response(work: Awaitable[HttpResponse]) -> HttpResponse:
    return await work


@final
class Http1Server(Factory):
    """Server that passes the requests on one address to a handler.

    :param handler: returns the response to a request; cancelled when the client
        disconnects.
    :param build_error: builds the response to a request that is malformed, exceeds
        a limit, or whose handler raised.
    :param report: receives a message for each of these requests.
    :param http_limits: limits on the clients; by default those of ``HttpLimits``.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        handler: Handler,
        build_error: BuildErrorResponse,
        report: Report,
        http_limits: HttpLimits | None = None,
    ) -> None:
        self._reactor = reactor
        self.handler = handler
        self.build_error = build_error
        self.report = report
        self.http_limits = HttpLimits() if http_limits is None else http_limits
        self.connections: set[ServerConnection] = set()
        self.total_body_bytes = 0
        self.draining = False
        self._port: Any = None
        self._drained: Deferred[None] | None = None

    def listen(self, address: str, backlog: int) -> None:
        """Accept connections on ``IP:port``.

        :param backlog: length of the queue of connections that are not yet accepted.
        :raises twisted.internet.error.CannotListenError: if the port is in use.
        """
        host, _, port = address.rpartition(":")
        self._port = self._reactor.listenTCP(int(port), self, backlog, host)

    @property
    def address(self) -> str:
        """``IP:port`` that the server listens on."""
        host_address = self._port.getHost()
        return f"{host_address.host}:{host_address.port}"

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Build the protocol of one connection."""
        return ServerConnection(self)

    async def stop(self, timeout_s: float) -> int:
        """Stop listening, close idle connections and wait for the others.

        :param timeout_s: maximum time to wait for requests in progress.
        :return: number of connections that were still open after the timeout.
        """
        self.draining = True
        if self._port is not None:
            await self._port.stopListening()
        for connection in tuple(self.connections):
            if connection.idle:
                connection.close()
        if self.connections and timeout_s > 0:
            self._drained = Deferred()
            self._drained.addTimeout(timeout_s, self._reactor, lambda result, _: None)
            await self._drained
        unfinished = len(self.connections)
        for connection in tuple(self.connections):
            connection.close()
        return unfinished

    def on_connection_lost(self) -> None:
        """Complete ``stop`` if this was the last connection."""
        if not self.connections and self._drained is not None:
            drained, self._drained = self._drained, None
            if not drained.called:
                drained.callback(None)

    def call_later(self, delay_s: float, function: Callable[[], None]) -> Any:
        """Schedule a function after a delay and return its timer."""
        return self._reactor.callLater(delay_s, function)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Schedule a function for the next iteration of the reactor."""
        self._reactor.callLater(0, function)
