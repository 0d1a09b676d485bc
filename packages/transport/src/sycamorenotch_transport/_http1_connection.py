"""Connection of a client of the HTTP/1.1 server."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import final

import h11
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from sycamorenotch_transport._http1_exchange import Exchange
from sycamorenotch_transport._http1_messages import HttpResponse
from sycamorenotch_transport._sockets import configure_socket

if TYPE_CHECKING:
    from sycamorenotch_transport._http1_server import Http1Server

# Bytes that a parser of request headers gets at once; each parser of a request in
# progress keeps the part of them that belongs to the requests behind it.
HEAD_PIECE_BYTES = 4_096
# Reading pauses while this many received bytes wait for the requests before them.
READ_AHEAD_BYTES = 16_384


@final
class ServerConnection(Protocol):
    """Connection of a client, which may send requests ahead.

    Requests with safe methods are handled concurrently; any other request waits until
    those before it are answered, and those behind it wait for its response. Responses
    are sent in the order of the requests.
    """

    def __init__(self, server: Http1Server) -> None:
        self._server = server
        # Input that no parser has got yet.
        self._input = b""
        self._receiving: Exchange | None = None
        # Requests that were passed to the handler, in their order.
        self._started: deque[Exchange] = deque()
        self._parser: h11.Connection | None = None
        self._rejection: tuple[int, str] | None = None
        self._timer: Any = None
        self._on_timeout: Callable[[], None] | None = None
        # No further request is read.
        self._input_ended = False
        self._parse_scheduled = False
        self._paused = False
        self._closing = False

    @property
    def idle(self) -> bool:
        """Whether no request is in progress, and no part of one was received."""
        return self._receiving is None and not self._started and not self._input

    def connectionMade(self) -> None:
        """Register the connection and start its idle timeout."""
        self._server.connections.add(self)
        configure_socket(self.transport)
        self._update_timer()

    def dataReceived(self, data: bytes) -> None:
        """Parse the data, and pass on the next request if it may start."""
        if self._closing or self._input_ended:
            return
        self._input = self._input + data if self._input else data
        self._parse()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Cancel the handlers of the requests in progress."""
        self._server.connections.discard(self)
        self._closing = True
        self._cancel_timer()
        self._input = b""
        receiving, self._receiving = self._receiving, None
        if receiving is not None:
            self._release_body(receiving)
        started, self._started = self._started, deque()
        for exchange in started:
            self._release_body(exchange)
            if exchange.fut is not None:
                exchange.fut.cancel()
        self._server.on_connection_lost()

    def close(self) -> None:
        """Close after buffered output has been sent."""
        self._closing = True
        self._cancel_timer()
        self.transport.loseConnection()

    def _parse(self) -> None:
        """Parse until a request has started, must wait, or needs more data."""
        try:
            while self._parse_event():
                pass
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint, str(exc))
        self._update_timer()
        self._update_reading()

    def _parse_event(self) -> bool:
        """Handle one event of the parser.

        :return: whether to go on.
        """
        if self._closing or self._input_ended:
            return False
        exchange = self._receiving
        if exchange is None:
            if not self._input or not self._may_read_next():
                return False
            exchange = self._receiving = Exchange(self._take_parser())
        if exchange.complete:
            if self._may_start(exchange):
                self._start(exchange)
            return False
        event = exchange.http.next_event()
        if event is h11.NEED_DATA:
            return self._feed(exchange)
        if isinstance(event, h11.Request):
            exchange.head = event
        elif isinstance(event, h11.Data):
            return self._receive_body(exchange, event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._complete(exchange)
        else:
            self.close()
        return True

    def _take_parser(self) -> h11.Connection:
        parser, self._parser = self._parser, None
        if parser is None:
            limit = self._server.http_limits.header_bytes
            parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        return parser

    def _feed(self, exchange: Exchange) -> bool:
        """Give the parser input.

        :return: whether there was any.
        """
        if not self._input:
            if exchange.http.they_are_waiting_for_100_continue and not self._started:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                self.transport.write(exchange.http.send(interim))
            return False
        size = HEAD_PIECE_BYTES if exchange.head is None else len(self._input)
        piece, self._input = self._input[:size], self._input[size:]
        exchange.http.receive_data(piece)
        return True

    def _receive_body(self, exchange: Exchange, data: bytes | bytearray) -> bool:
        server = self._server
        exchange.body += data
        server.total_body_bytes += len(data)
        exchange.body_bytes += len(data)
        if exchange.body_bytes > server.http_limits.body_bytes:
            self._reject(413, "the request body is too large")
            return False
        if server.total_body_bytes > server.http_limits.buffered_bytes:
            self._reject(503, "the buffers for request bodies are full")
            return False
        return True

    def _complete(self, exchange: Exchange) -> None:
        exchange.complete = True
        behind, _ = exchange.http.trailing_data
        if behind:
            exchange.followed = True
            self._input = behind + self._input

    def _may_read_next(self) -> bool:
        """Whether a request behind the started ones may be read."""
        started, server = self._started, self._server
        return not started or (
            len(started) < server.http_limits.pipelined_requests
            and started[-1].concurrent
            and not server.draining
        )

    def _may_start(self, exchange: Exchange) -> bool:
        return not self._started or (exchange.concurrent and self._may_read_next())

    def _start(self, exchange: Exchange) -> None:
        """Pass a request to the handler."""
        self._cancel_timer()
        self._receiving = None
        self._started.append(exchange)
        if exchange.ends_input:
            self._end_input()
        elif self._input:
            # The requests of other connections take their turn first.
            self._parse_soon()
        fut = Deferred.fromCoroutine(
            _await_response(self._server.handler(exchange.take_request()))
        )
        exchange.fut = fut
        fut.addCallbacks(
            partial(self._respond, exchange), partial(self._fail, exchange)
        )

    def _fail(self, exchange: Exchange, failure: Failure) -> None:
        if failure.check(CancelledError) is None:
            self._server.report(failure.getErrorMessage())
            self._respond(exchange, self._server.build_error(500, "internal error"))

    def _respond(self, exchange: Exchange, response: HttpResponse) -> None:
        exchange.fut = None
        self._release_body(exchange)
        exchange.response = response
        if self._closing or self._started[0] is not exchange:
            return
        while not self._closing and self._started and self._started[0].response:
            self._send_first()
        if self._closing:
            return
        if self._receiving is not None or self._input:
            self._parse_soon()
        self._update_timer()

    def _send_first(self) -> None:
        """Send the first response, and close if no other request may follow."""
        exchange = self._started.popleft()
        response = exchange.response
        assert response is not None
        if response.close:
            self._end_input()
        last = not self._started and self._rejection is None
        last = last and (self._input_ended or self._server.draining)
        try:
            self.transport.write(exchange.encode(response, last))
        except h11.LocalProtocolError as exc:
            self._server.report(f"the response could not be written: {exc}")
            self.close()
            return
        if self._started:
            return
        if self._rejection is not None:
            self._send_rejection(*self._rejection)
        elif last or exchange.http.our_state is not h11.DONE:
            self.close()
        elif self._receiving is None and not exchange.followed:
            exchange.http.start_next_cycle()
            self._parser = exchange.http

    def _end_input(self) -> None:
        """Read no further request; what was received counts as not read."""
        self._input_ended = True
        self._input = b""

    def _parse_soon(self) -> None:
        if not self._parse_scheduled:
            self._parse_scheduled = True
            self._server.call_soon(self._parse_scheduled_input)

    def _parse_scheduled_input(self) -> None:
        self._parse_scheduled = False
        if not self._closing:
            self._parse()

    def _reject(self, status: int, detail: str) -> None:
        """Answer a malformed request in its turn, and close the connection."""
        self._server.report(f"{status}: {detail}")
        if self._receiving is not None:
            self._release_body(self._receiving)
        self._end_input()
        if self._started:
            self._rejection = status, detail
        else:
            self._send_rejection(status, detail)

    def _send_rejection(self, status: int, detail: str) -> None:
        exchange = self._receiving or Exchange(self._take_parser())
        if exchange.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = self._server.build_error(status, detail)
            try:
                self.transport.write(exchange.encode(response, last=True))
            except h11.LocalProtocolError as exc:
                self._server.report(f"the error response could not be written: {exc}")
        self.close()

    def _on_head_timeout(self) -> None:
        self._reject(408, "the request headers were not received in time")

    def _release_body(self, exchange: Exchange) -> None:
        self._server.total_body_bytes -= exchange.body_bytes
        exchange.body_bytes = 0
        exchange.body = bytearray()

    def _update_reading(self) -> None:
        """Pause reading while much input waits for the requests before it."""
        paused = len(self._input) >= READ_AHEAD_BYTES
        if paused != self._paused and not self._closing:
            self._paused = paused
            if paused:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()

    def _update_timer(self) -> None:
        """Run the timeout of the headers, of an idle connection, or none."""
        limits = self._server.http_limits
        receiving = self._receiving
        if self._closing or self._started:
            self._cancel_timer()
        elif self.idle:
            self._start_timer(limits.idle_timeout_s, self.close)
        elif receiving is not None and receiving.head is not None:
            # No timeout applies to the body: a caller may send it slowly.
            self._cancel_timer()
        else:
            self._start_timer(limits.header_timeout_s, self._on_head_timeout)

    def _start_timer(self, delay_s: float, function: Callable[[], None]) -> None:
        """Start a timer, unless the timer of this function is running."""
        if self._on_timeout != function:
            self._cancel_timer()
            self._on_timeout = function
            self._timer = self._server.call_later(delay_s, function)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self._on_timeout = None


async def _await_response(work: Awaitable[HttpResponse]) -> HttpResponse:
    return await work
