"""An HTTP/1.1 server that hands on exact headers and cancels with its client."""

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

from sycamorenotch_transport._http1_messages import HttpBounds
from sycamorenotch_transport._http1_messages import HttpRequest
from sycamorenotch_transport._http1_messages import HttpResponse
from sycamorenotch_transport._http1_messages import decode_headers
from sycamorenotch_transport._http1_messages import encode_headers
from sycamorenotch_transport._sockets import detect_silence

BODILESS_STATUS = frozenset({204, 304})
CLOSE = ("Connection", "close")

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
Complaint = Callable[[int, str], HttpResponse]
Report = Callable[[str], None]


@final
class ServerConnection(Protocol):
    """One connection of a client; requests are handled one at a time."""

    def __init__(self, server: Http1Server) -> None:
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.bounds.header_bytes
        )
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._running: Deferred[Any] | None = None
        self._timer: Any = None
        self._closing = False
        self.idle = True

    def connectionMade(self) -> None:
        """Wait for the first request."""
        self._server.connections.add(self)
        detect_silence(self.transport)
        self._arm(self._server.bounds.idle_timeout_s, self.close)

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser."""
        if self._closing:
            return
        if self.idle:
            self.idle = False
            self._arm(self._server.bounds.header_timeout_s, self._slow)
        try:
            self._http.receive_data(data)
        except RuntimeError:
            # The client had announced that it would send no more.
            self.close()
            return
        if self._running is None:
            self._parse()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Cancel the work for a client that is gone."""
        self._server.connections.discard(self)
        self._release()
        self._disarm()
        self._closing = True
        running, self._running = self._running, None
        if running is not None:
            running.cancel()
        self._server.connection_ended()

    def close(self) -> None:
        """Close after what was written has been sent."""
        self._closing = True
        self._disarm()
        self.transport.loseConnection()

    def _parse(self) -> None:
        try:
            while not self._closing and self._running is None:
                if not self._take(self._http.next_event()):
                    return
        except h11.RemoteProtocolError as exc:
            self._complain(exc.error_status_hint, str(exc))

    def _take(self, item: Any) -> bool:
        """Handle one parser event; return whether there may be another."""
        if item is h11.NEED_DATA:
            if self._http.they_are_waiting_for_100_continue:
                go = h11.InformationalResponse(status_code=100, headers=[])
                self.transport.write(self._http.send(go))
            return False
        if item is h11.PAUSED:
            return False
        if isinstance(item, h11.Request):
            # The rest of the body may take as long as the caller is patient.
            self._disarm()
            self._head = item
            return True
        if isinstance(item, h11.Data):
            return self._take_body(bytes(item.data))
        if isinstance(item, h11.EndOfMessage):
            self._handle()
            return True
        self.close()
        return False

    def _take_body(self, data: bytes) -> bool:
        self._body.append(data)
        self._size += len(data)
        self._server.buffered += len(data)
        if self._size > self._server.bounds.body_bytes:
            self._complain(413, "the body is too large")
            return False
        if self._server.buffered > self._server.bounds.buffered_bytes:
            self._complain(503, "no memory is left for the body")
            return False
        return True

    def _handle(self) -> None:
        self._disarm()
        head = self._head
        assert head is not None
        request = HttpRequest(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            decode_headers(head.headers.raw_items()),
            b"".join(self._body),
        )
        deferred = Deferred.fromCoroutine(_awaited(self._server.handler(request)))
        self._running = deferred
        deferred.addCallbacks(self._respond, self._failed)

    def _failed(self, failure: Failure) -> None:
        if failure.check(CancelledError) is None:
            self._server.report(failure.getErrorMessage())
            self._respond(self._server.complain(500, "internal error"))

    def _respond(self, response: HttpResponse) -> None:
        self._running = None
        if self._closing:
            return
        self._release()
        last = response.close or self._server.draining
        self._write(response, last)
        if last or self._http.our_state is not h11.DONE:
            self.close()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            # The client wants no further request on this connection.
            self.close()
            return
        self._head = None
        self.idle = not self._http.trailing_data[0]
        if self.idle:
            self._arm(self._server.bounds.idle_timeout_s, self.close)
        else:
            self._server.call_soon(self._parse_next)

    def _parse_next(self) -> None:
        if self._running is None and not self._closing:
            self._arm(self._server.bounds.header_timeout_s, self._slow)
            self._parse()

    def _write(self, response: HttpResponse, last: bool) -> None:
        headers = list(response.headers)
        if not any(k.lower() == "content-length" for k, _ in headers) and (
            response.status not in BODILESS_STATUS
        ):
            headers.append(("Content-Length", str(len(response.body))))
        if last:
            headers.append(CLOSE)
        head = h11.Response(
            status_code=response.status,
            headers=encode_headers(tuple(headers)),
            reason=response.reason.encode("latin-1"),
        )
        out = [self._http.send(head)]
        bodiless = self._head is not None and self._head.method == b"HEAD"
        if response.body and not bodiless:
            out.append(self._http.send(h11.Data(data=response.body)))
        out.append(self._http.send(h11.EndOfMessage()))
        self.transport.write(b"".join(filter(None, out)))

    def _complain(self, status: int, detail: str) -> None:
        self._release()
        self._server.report(f"{status}: {detail}")
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = self._server.complain(status, detail)
            try:
                self._write(response, last=True)
            except h11.LocalProtocolError as exc:
                self._server.report(f"no answer could be written: {exc}")
        self.close()

    def _slow(self) -> None:
        self._complain(408, "the head was not received in time")

    def _release(self) -> None:
        self._server.buffered -= self._size
        self._size = 0
        self._body = []

    def _arm(self, delay_s: float, function: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self._server.call_later(delay_s, function)

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


async def _awaited(work: Awaitable[HttpResponse]) -> HttpResponse:
    return await work


@final
class Http1Server(Factory):
    """Serves one handler on one address.

    :param handler: answers a request; cancelled when the client leaves.
    :param complain: builds the answer to a malformed or too large request.
    :param report: receives a line for each request that was not handled.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        handler: Handler,
        complain: Complaint,
        report: Report,
        bounds: HttpBounds | None = None,
    ) -> None:
        self._reactor = reactor
        self.handler = handler
        self.complain = complain
        self.report = report
        self.bounds = HttpBounds() if bounds is None else bounds
        self.connections: set[ServerConnection] = set()
        self.buffered = 0
        self.draining = False
        self._port: Any = None
        self._empty: Deferred[None] | None = None

    def listen(self, address: str, backlog: int) -> None:
        """Accept connections on ``IP:port``.

        :param backlog: connections that wait to be accepted.
        :raises twisted.internet.error.CannotListenError: if the port is taken.
        """
        host, _, port = address.rpartition(":")
        self._port = self._reactor.listenTCP(int(port), self, backlog, host)

    @property
    def address(self) -> str:
        """``IP:port`` that the server listens on."""
        place = self._port.getHost()
        return f"{place.host}:{place.port}"

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Build the protocol of one connection."""
        return ServerConnection(self)

    async def stop(self, bound_s: float) -> int:
        """Stop listening, close idle connections, wait for the others.

        :return: connections that still had a request after the bound.
        """
        self.draining = True
        if self._port is not None:
            await self._port.stopListening()
        for connection in tuple(self.connections):
            if connection.idle:
                connection.close()
        if self.connections and bound_s > 0:
            self._empty = Deferred()
            self._empty.addTimeout(bound_s, self._reactor, lambda result, _: None)
            await self._empty
        left = len(self.connections)
        for connection in tuple(self.connections):
            connection.close()
        return left

    def connection_ended(self) -> None:
        """Take note that a connection is closed."""
        if not self.connections and self._empty is not None:
            empty, self._empty = self._empty, None
            if not empty.called:
                empty.callback(None)

    def call_later(self, delay_s: float, function: Callable[[], None]) -> Any:
        """Run a function after a delay."""
        return self._reactor.callLater(delay_s, function)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Run a function in the next turn of the loop."""
        self._reactor.callLater(0, function)
