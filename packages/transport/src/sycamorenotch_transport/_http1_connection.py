"""Connection of a client of the HTTP/1.1 server."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable
from functools import partial
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any
from typing import final

import h11
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from sycamorenotch_transport._client_account import FRAMING
from sycamorenotch_transport._client_account import HELD_BACK
from sycamorenotch_transport._client_account import PAUSED
from sycamorenotch_transport._client_account import REFUSED
from sycamorenotch_transport._client_account import UNREAD
from sycamorenotch_transport._http1_exchange import Exchange
from sycamorenotch_transport._http1_exchange import held_body_bytes
from sycamorenotch_transport._http1_hold import AheadHold
from sycamorenotch_transport._http1_messages import HttpResponse
from sycamorenotch_transport._http1_output import PIECE_BYTES
from sycamorenotch_transport._http1_output import ConnectionOutput
from sycamorenotch_transport._http1_reader import FramingTooLongError
from sycamorenotch_transport._http1_reader import RequestReader
from sycamorenotch_transport._http1_timeout import ConnectionTimeout
from sycamorenotch_transport._sockets import configure_socket
from sycamorenotch_transport._sockets import limit_unsent_bytes

if TYPE_CHECKING:
    from sycamorenotch_transport._http1_server import Http1Server

# Reading pauses while this many received bytes wait for the requests before them.
READ_AHEAD_BYTES = 16_384
# Parser steps that passing a request to the handler counts as.
START_STEPS = 16


@final
class ServerConnection(Protocol):
    """Connection of a client, which may send requests ahead.

    Requests with safe methods are handled concurrently; any other request waits until
    those before it are answered, and those behind it wait for its response. Responses
    are sent in the order of the requests.
    """

    def __init__(self, server: Http1Server) -> None:
        self._server = server
        self._account = server.account
        self._use: Any = None
        self._reader = RequestReader(
            lambda: server.http_limits.header_bytes, self._receive_body
        )
        # Requests that were passed to the handler, in their order.
        self._started: deque[Exchange] = deque()
        self._rejection: tuple[int, str] | None = None
        self._timeout = ConnectionTimeout(server.call_later)
        # Bytes that the account has of received data that is not a body.
        self._received_bytes = 0
        # Whether the body made progress since its timeout began.
        self._body_progress = False
        window = server.build_window(server.http_limits.pipelined_requests)
        self._hold = AheadHold(window, server.call_later, self._go_on)
        # Whether the input waits for a later turn of the loop.
        self._waiting = False
        self._paused = False
        self._closing = False

    @property
    def idle(self) -> bool:
        """Whether no request is in progress, and no part of one was received."""
        return not self._started and not self._reader.pending

    def connectionMade(self) -> None:
        """Register the connection and start its idle timeout."""
        self._server.connections.add(self)
        # The kernel closes a client that reads nothing without saying why, so it waits
        # until the server has done so.
        unread_s = self._server.http_limits.unread_timeout_s
        configure_socket(self.transport, int(unread_s * 1000) * 2)
        limit_unsent_bytes(self.transport)
        self._output = ConnectionOutput(self.transport, self._on_sent)
        self._use = self._account.open(self)
        self._update_timer()

    def dataReceived(self, data: bytes) -> None:
        """Parse the data, and pass on the next request if it may start."""
        if self._closing or self._reader.ended:
            return
        if self.idle:
            self._hold.reset()
        self._reader.add(data)
        if self._waiting:
            self._update_input()
        else:
            self._parse(self._server.schedule.client_steps)

    def parse_turn(self, steps: int) -> int:
        """Parse what waits for this turn of the loop.

        :param steps: events of the parser that are handled at most.
        :return: how many steps it took.
        """
        self._waiting = False
        return 0 if self._closing else self._parse(steps)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Cancel the handlers of the requests in progress."""
        self._server.connections.discard(self)
        self._release()
        self._server.on_connection_lost()

    def close(self) -> None:
        """Close after buffered output has been sent."""
        self._closing = True
        self._timeout.cancel()
        self._output.close()

    def evict(self, reason: str) -> None:
        """Refuse the request that is being received, or close the connection."""
        self._server.on_eviction(reason)
        if self._closing or self._started or self._output.size:
            self._abort()
        elif not self._reader.receiving_body:
            self._abort()
        else:
            # No part of the request was passed on, so the refusal is true.
            self._reject(503, "the memory for clients is used up")

    @property
    def read_progress(self) -> object:
        """Value that changes whenever the client reads."""
        return self._output.progress

    def set_stalled(self, stalled: bool) -> None:
        """Tell the account whether the client has stopped to read."""
        self._account.set_stalled(self._use, stalled)

    def close_unread(self) -> None:
        """Close the connection, as its client does not read."""
        self._server.on_eviction(UNREAD)
        self._abort()

    def _abort(self) -> None:
        self._release()
        self.transport.abortConnection()

    def _release(self) -> None:
        """Release what the connection holds, and cancel its requests."""
        self._closing = True
        self._timeout.cancel()
        self._reader.end()
        self._output.discard()
        self._server.unread.discard(self)
        self._server.schedule.discard(self)
        self._account.close(self._use)
        if self._reader.receiving is not None:
            self._release_body(self._reader.receiving)
        # Connections are reference cycles, which would keep this until a collection.
        self._reader.release()
        started, self._started = self._started, deque()
        for exchange in started:
            self._release_body(exchange)
            if exchange.fut is not None:
                exchange.fut.cancel()

    def _parse(self, steps: int) -> int:
        """Parse until a request has started, must wait, or needs more data.

        :return: how many of the steps it took.
        """
        reader, started = self._reader, len(self._started)
        if reader.receiving is None and not self._may_read_next():
            self._update_input()
            return 0
        try:
            self._handle(reader.read(steps))
        except h11.RemoteProtocolError as exc:
            if isinstance(exc, FramingTooLongError):
                self._server.on_eviction(FRAMING)
            self._reject(exc.error_status_hint, str(exc))
        if reader.interrupted and not reader.ended:
            self._parse_soon()
        self._update_input()
        taken = steps - reader.steps_left
        return taken + START_STEPS if len(self._started) > started else taken

    def _update_input(self) -> None:
        """Count the input, and pause or resume reading and the timeouts for it."""
        self._charge_received()
        self._update_timer()
        self._update_reading()

    def _handle(self, exchange: Exchange | None) -> None:
        """Start the next request if it is complete and may start."""
        if exchange is not None:
            if self._may_start(exchange):
                self._admit(exchange)
            return
        receiving = self._reader.receiving
        if self._closing or receiving is None or self._started:
            return
        if receiving.http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write([receiving.http.send(interim) or b""])

    def _receive_body(self, exchange: Exchange, data: bytes | bytearray) -> bool:
        server, size = self._server, len(data)
        if exchange.body_bytes + size > server.http_limits.body_bytes:
            self._reject(413, "the request body is too large")
            return False
        if server.total_body_bytes + size > server.http_limits.buffered_bytes:
            self._reject(503, "the buffers for request bodies are full")
            return False
        self._body_progress = True
        exchange.body.write(data)
        server.total_body_bytes += size
        held = held_body_bytes(exchange.body_bytes)
        exchange.body_bytes += size
        held = held_body_bytes(exchange.body_bytes) - held
        self._account.charge_body(self._use, held)
        return not self._closing

    def _may_read_next(self) -> bool:
        """Whether a request behind the started ones may be read."""
        started, server = self._started, self._server
        if self._output.full or not self._hold.allows(len(started)):
            return False
        return not started or (
            len(started) < server.http_limits.pipelined_requests
            and started[-1].concurrent
            and not server.draining
            and sum(e.waiting_bytes for e in started) < PIECE_BYTES
        )

    def _may_start(self, exchange: Exchange) -> bool:
        return self._may_read_next() and (not self._started or exchange.concurrent)

    def _admit(self, exchange: Exchange) -> None:
        """Start a request, or refuse it if there is no memory for it."""
        running = any(started.fut is not None for started in self._started)
        if self._account.start(self._use, exchange.fields):
            self._start(exchange)
        elif not self._closing and not running:
            self._server.on_eviction(REFUSED)
            self._reader.take()
            self._started.append(exchange)
            detail = "the memory for requests in progress is used up"
            self._respond(exchange, self._server.build_error(503, detail))
        # Otherwise it waits for the end of the requests before it.

    def _start(self, exchange: Exchange) -> None:
        """Pass a request to the handler."""
        self._timeout.cancel()
        self._reader.take()
        self._started.append(exchange)
        if exchange.ends_input:
            self._reader.end()
        elif self._reader.input:
            # The requests of other connections take their turn first.
            self._parse_soon()
        fut = Deferred.fromCoroutine(
            _await_response(self._server.handler(exchange.take_request()))
        )
        exchange.fut = fut
        fut.addBoth(self._end, exchange)
        fut.addCallbacks(
            partial(self._respond, exchange), partial(self._fail, exchange)
        )

    def _end(self, result: Any, exchange: Exchange) -> Any:
        """Count the end of a request that was passed on."""
        exchange.fut = None
        self._account.end(self._use, exchange.fields)
        return result

    def _fail(self, exchange: Exchange, failure: Failure) -> None:
        if failure.check(CancelledError) is None or not self._closing:
            self._server.report(failure.getErrorMessage())
            self._respond(exchange, self._server.build_error(500, "internal error"))

    def _respond(self, exchange: Exchange, response: HttpResponse) -> None:
        self._release_body(exchange)
        if self._closing:
            return
        if self._hold.record(response, self._paused):
            self._server.on_eviction(HELD_BACK)
        exchange.response = response
        if self._started[0] is exchange and not self._output.full:
            self._send_responses()
        else:
            exchange.waiting_bytes = len(response.body)
            self._account.charge_response(self._use, exchange.waiting_bytes)
        self._go_on()

    def _send_responses(self) -> None:
        """Send the responses whose turn it is, as far as the client reads."""
        while self._started and not self._closing and not self._output.full:
            if self._started[0].response is None:
                return
            self._send_first()

    def _go_on(self) -> None:
        """Parse what was received, after a response or after output was sent."""
        if self._closing:
            return
        if self._reader.pending:
            self._parse_soon()
        self._update_timer()

    def _on_sent(self, size: int) -> None:
        """Go on after the transport has sent all that it had."""
        self._account.charge_response(self._use, -size)
        if not self._output.size:
            self._server.unread.discard(self)
        self._send_responses()
        self._go_on()

    def _write(self, parts: list[bytes], waiting_bytes: int = 0) -> None:
        """Write output and count it.

        :param waiting_bytes: part of it that has been counted.
        """
        size = sum(map(len, parts))
        self._output.write(parts)
        self._server.unread.add(self)
        self._account.charge_response(self._use, size - waiting_bytes)

    def _send_first(self) -> None:
        """Send the first response, and close if no other request may follow."""
        exchange = self._started.popleft()
        response = exchange.response
        assert response is not None
        if response.close:
            self._reader.end()
        last = not self._started and self._rejection is None
        last = last and (self._reader.ended or self._server.draining)
        try:
            self._write(exchange.encode(response, last), exchange.waiting_bytes)
        except h11.LocalProtocolError as exc:
            self._server.report(f"the response could not be written: {exc}")
            self.close()
        if self._started or self._closing:
            return
        if self._rejection is not None:
            self._send_rejection(*self._rejection)
        elif last or exchange.http.our_state is not h11.DONE:
            self.close()
        else:
            self._reader.reuse(exchange)

    def _parse_soon(self) -> None:
        if not self._waiting:
            self._waiting = True
            self._server.schedule.add(self)

    def _reject(self, status: int, detail: str) -> None:
        """Answer a malformed request in its turn, and close the connection."""
        self._server.report(f"{status}: {detail}")
        if self._reader.receiving is not None:
            self._release_body(self._reader.receiving)
        self._reader.end()
        if self._started:
            self._rejection = status, detail
        else:
            self._send_rejection(status, detail)

    def _send_rejection(self, status: int, detail: str) -> None:
        exchange = self._reader.receiving or self._reader.build_exchange()
        if exchange.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = self._server.build_error(status, detail)
            try:
                self._write(exchange.encode(response, last=True))
            except h11.LocalProtocolError as exc:
                self._server.report(f"the error response could not be written: {exc}")
        self.close()

    def _on_head_timeout(self) -> None:
        self._reject(408, "the request headers were not received in time")

    def _on_body_timeout(self) -> None:
        """Refuse the request if nothing of its body came since the timeout began."""
        self._timeout.cancel()
        if self._body_progress:
            self._body_progress = False
            self._update_timer()
        else:
            self._server.on_eviction(PAUSED)
            self._reject(408, "the request body paused for too long")

    def _release_body(self, exchange: Exchange) -> None:
        if not exchange.body_bytes:
            return
        self._server.total_body_bytes -= exchange.body_bytes
        self._account.charge_body(self._use, -held_body_bytes(exchange.body_bytes))
        exchange.body_bytes = 0
        exchange.body = BytesIO()

    def _charge_received(self) -> None:
        """Count the input that no request has taken yet."""
        size = 0 if self._closing else self._reader.pending_bytes
        added, self._received_bytes = size - self._received_bytes, size
        if added:
            self._account.charge_received(self._use, added)

    def _update_reading(self) -> None:
        """Pause reading while much input waits for the requests before it."""
        paused = len(self._reader.input) >= READ_AHEAD_BYTES
        if paused != self._paused and not self._closing:
            self._paused = paused
            if paused:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()

    def _update_timer(self) -> None:
        """Run the timeout of the headers, of an idle connection, or none.

        While much output is unread, no request is read and its timeout is another one.
        Neither is input read that waits for its turn.
        """
        limits = self._server.http_limits
        busy = self._started or self._hold.active or self._waiting or self._output.full
        if self._closing or busy:
            self._timeout.cancel()
        elif self.idle:
            self._timeout.start(limits.idle_timeout_s, self.close)
        elif self._reader.receiving_body:
            # A caller may send the body slowly, but not pause for ever.
            self._timeout.start(limits.body_pause_s, self._on_body_timeout)
        else:
            self._timeout.start(limits.header_timeout_s, self._on_head_timeout)


async def _await_response(work: Awaitable[HttpResponse]) -> HttpResponse:
    return await work
