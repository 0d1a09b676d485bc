"""HTTP/1.1 client connection that reports whether a failed request was sent."""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum
from enum import unique
from itertools import count
from typing import Any
from typing import final

import h11
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from sycamorenotch_transport._body_sender import BodySender
from sycamorenotch_transport._http1_messages import HttpRequest
from sycamorenotch_transport._http1_messages import HttpResponse
from sycamorenotch_transport._http1_messages import decode_headers
from sycamorenotch_transport._http1_messages import encode_headers
from sycamorenotch_transport._http1_messages import get_header
from sycamorenotch_transport._response_buffers import ResponseBuffers
from sycamorenotch_transport._sockets import configure_socket

MAX_HEAD_BYTES = 65_536
# Parser events that are handled before other work of the loop gets its turn.
MAX_EVENTS_PER_TURN = 128
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=(\d+)")
# The server may close the connection at the moment its idle timeout ends, while a
# request is in flight to it.
KEEP_ALIVE_MARGIN_S = 1.0
# Idle time after which a connection is not reused, for servers that send no
# ``Keep-Alive: timeout``.
DEFAULT_MAX_IDLE_S = 4.0


@final
@unique
class ResponseMatch(Enum):
    """Whether a response belongs to the request in flight.

    ``OTHER`` responses are discarded. After an ``UNIDENTIFIED`` one the connection is
    closed, because a late second copy could not be told from a later response.
    """

    OTHER = "of another request"
    OWN = "of this request"
    UNIDENTIFIED = "of this request, without an identifier"


ResponseMatcher = Callable[[HttpResponse], ResponseMatch]


@final
class ExchangeError(Exception):
    """An exchange ended without a complete response.

    :param sent: whether any byte of the request may have reached the server.
    :param connected: whether the connection was established.
    :param refused: whether the server refused the connection.
    :param idle_s: seconds for which the connection was idle before the request,
        or None if this was its first request.
    :param response_started: whether any byte of a response arrived.
    :param invalid: whether the request cannot be encoded, which says nothing of the
        server.
    """

    def __init__(
        self,
        detail: str,
        *,
        sent: bool,
        connected: bool,
        refused: bool = False,
        idle_s: float | None = None,
        response_started: bool = False,
        invalid: bool = False,
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.connected = connected
        self.refused = refused
        self.idle_s = idle_s
        self.response_started = response_started
        self.invalid = invalid


def match_any(response: HttpResponse) -> ResponseMatch:
    """Accept every response."""
    return ResponseMatch.OWN


def do_nothing() -> None:
    """Ignore that bytes of a response arrive."""


@final
class ClientConnection(Protocol):
    """Connection to a server with at most one request in flight.

    :param on_done: called when an exchange is complete and when the connection is
        lost.
    :param buffers: memory for response bodies, shared with other connections.
    :param call_soon: schedules a function for the next iteration of the loop.
    """

    def __init__(
        self,
        on_done: Callable[[ClientConnection], None],
        buffers: ResponseBuffers,
        call_soon: Callable[[Callable[[], None]], object],
    ) -> None:
        self._on_done = on_done
        self._buffers = buffers
        self._call_soon = call_soon
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._pending: Deferred[HttpResponse] | None = None
        self._matches: ResponseMatcher = match_any
        self._on_received: Callable[[], None] = do_nothing
        self._sent_head: h11.Request | None = None
        self._sender: BodySender | None = None
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._pieces = 0
        self._informational = 0
        self._discarded = 0
        self._paused = False
        self.max_idle_s = DEFAULT_MAX_IDLE_S
        self.idle_since = 0.0
        self.idle_s: float | None = None
        self.reusable = True
        self._response_started = False

    def connectionMade(self) -> None:
        """Configure the socket."""
        configure_socket(self.transport)

    def exchange(
        self,
        request: HttpRequest,
        matches: ResponseMatcher,
        on_received: Callable[[], None],
    ) -> Deferred[HttpResponse]:
        """Send a request.

        Cancelling the result aborts the connection.

        :param matches: whether a response is the one to this request.
        :param on_received: called whenever bytes of a response arrive.
        :return: fires with the response, or fails with ``ExchangeError``.
        """
        self._matches = matches
        self._on_received = on_received
        self._response_started = False
        self._informational = self._discarded = 0
        pending: Deferred[HttpResponse] = Deferred(lambda _: self._cancel())
        self._pending = pending
        try:
            self._sent_head = _encode_head(request)
            head = self._http.send(self._sent_head)
            assert head is not None
            self._sender = BodySender(self._http, self.transport, request.body)
            self._sender.start(head)
        except h11.LocalProtocolError as exc:
            detail = f"the request cannot be encoded: {exc}"
            self._fail(detail, sent=False, invalid=True)
            self.abort()
        return pending

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser, or abort if no request is in flight."""
        if self._pending is None:
            # Unsolicited data would be taken for the response to the next request.
            self.abort()
            return
        self._response_started = True
        self._on_received()
        self._http.receive_data(data)
        if not self._paused:
            self._parse_turn()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Complete a response that ends with the connection, or fail the exchange."""
        self.reusable = False
        self._paused = False
        if self._pending is not None and reason.check(ConnectionDone) is not None:
            self._http.receive_data(b"")
            self._parse()
        self._fail(reason.getErrorMessage(), sent=True)
        self._release_body()
        self._release_request()
        self._on_done(self)

    def abort(self) -> None:
        """Close without sending buffered data; the connection is not reused."""
        self.reusable = False
        self._release_body()
        self._release_request()
        self.transport.abortConnection()

    def reject_response(self, detail: str) -> None:
        """Fail the exchange and close the connection."""
        self._fail(detail, sent=True)
        self.abort()

    def _release_request(self) -> None:
        """Stop sending, and forget the request and its response.

        A connection is a reference cycle, which would keep them until a collection.
        """
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.stopProducing()
        # The matcher refers to the request.
        self._matches, self._on_received = match_any, do_nothing
        self._sent_head = self._head = None

    def _cancel(self) -> None:
        self._pending = None
        self.abort()

    def _parse_turn(self) -> None:
        """Handle some events, and read on in a later turn if there are more."""
        if self._parse(MAX_EVENTS_PER_TURN):
            return
        self._paused = True
        self.transport.pauseProducing()
        self._call_soon(self._continue_parsing)

    def _continue_parsing(self) -> None:
        # The connection may have been lost in the meantime.
        if not self._paused:
            return
        self._paused = False
        self.transport.resumeProducing()
        if self._pending is not None:
            self._parse_turn()

    def _parse(self, max_events: int | None = None) -> bool:
        """Handle events of the parser.

        :param max_events: maximum number of events, or ``None`` for all.
        :return: whether the received data is used up.
        """
        handled = count() if max_events is None else range(max_events)
        try:
            for _ in handled:
                if self._pending is None:
                    return True
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return True
                if isinstance(event, h11.ConnectionClosed):
                    return True
                self._handle_event(event)
        except h11.RemoteProtocolError as exc:
            self.reject_response(f"malformed response: {exc}")
            return True
        return False

    def _handle_event(self, event: Any) -> None:
        limits = self._buffers.limits
        if isinstance(event, h11.InformationalResponse):
            self._informational += 1
            if self._informational > limits.informational:
                self.reject_response("too many informational responses")
        elif isinstance(event, h11.Response):
            self._head = event
            self._release_body()
        elif isinstance(event, h11.Data):
            self._receive_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._finish()

    def _receive_body(self, data: bytes | bytearray) -> None:
        limits = self._buffers.limits
        self._pieces += 1
        size = self._buffers.add(self, len(data))
        if self._pending is None:
            return
        self._body += data
        if self._pieces > limits.free_pieces + size / limits.piece_bytes:
            self.reject_response("the response body comes in too many small pieces")

    def _release_body(self) -> None:
        self._buffers.release(self)
        self._body = bytearray()
        self._pieces = 0

    def _finish(self) -> None:
        head = self._head
        assert head is not None
        response = HttpResponse(
            head.status_code,
            decode_headers(head.headers.raw_items()),
            bytes(self._body),
            bytes(head.reason).decode("latin-1"),
        )
        match = self._matches(response)
        if match is ResponseMatch.OTHER:
            self._discard_response()
            return
        if match is ResponseMatch.UNIDENTIFIED:
            self.reusable = False
        pending, self._pending = self._pending, None
        self._release_body()
        self._prepare_reuse(response)
        self._on_done(self)
        if pending is not None:
            pending.callback(response)

    def _prepare_reuse(self, response: HttpResponse) -> None:
        """Prepare the connection for another request, or close it."""
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(
            get_header(response.headers, "keep-alive")
        )
        if match is not None:
            self.max_idle_s = float(match.group(1)) - KEEP_ALIVE_MARGIN_S
        trailing, _ = self._http.trailing_data
        # A server that has responded may read the rest of the body later, and take
        # what is sent after it for a part of it.
        sent = self._sender is None or self._sender.done
        if trailing or not sent or not self.reusable:
            self.abort()
            return
        self._release_request()
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self.reusable = False
            self.transport.loseConnection()

    def _discard_response(self) -> None:
        """Discard a response to another request and wait for the matching one."""
        self.reusable = False
        self._release_body()
        self._discarded += 1
        if self._discarded > self._buffers.limits.discarded:
            self.reject_response("too many responses to other requests")
            return
        trailing, closed = self._http.trailing_data
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        assert self._sent_head is not None
        # The parser accepts a response only after a request; the output of this
        # substitute is not written, because the real request has been sent.
        parser.send(
            h11.Request(
                method=self._sent_head.method, target="/", headers=[("Host", "h")]
            )
        )
        parser.send(h11.EndOfMessage())
        self._http = parser
        if trailing:
            parser.receive_data(trailing)
        if closed:
            parser.receive_data(b"")

    def _fail(self, detail: str, *, sent: bool, invalid: bool = False) -> None:
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.errback(
                ExchangeError(
                    detail,
                    sent=sent,
                    connected=True,
                    idle_s=self.idle_s,
                    response_started=self._response_started,
                    invalid=invalid,
                )
            )


def _encode_head(request: HttpRequest) -> h11.Request:
    headers = request.headers
    has_framing = any(
        k.lower() in ("content-length", "transfer-encoding") for k, _ in headers
    )
    if request.body and not has_framing:
        headers = (*headers, ("Content-Length", str(len(request.body))))
    return h11.Request(
        method=request.method.encode("latin-1"),
        target=request.target.encode("latin-1"),
        headers=encode_headers(headers),
    )
