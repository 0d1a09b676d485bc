"""Twisted Web requests with limits on size and receive time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from enum import unique
from io import BytesIO
from typing import Any
from typing import final

from twisted.internet.interfaces import IDelayedCall
from twisted.web.http import HTTPChannel
from twisted.web.server import Request

# Time to read and discard input after a rejection; see ``LimitedChannel.reject``.
LINGERING_CLOSE_S = 2.0
# Input that is parsed in one turn of the loop, so that a client that sends many
# requests ahead, or a body in tiny chunks, does not keep others from being served.
TURN_BYTES = 4_096
# Reading pauses while this much input waits for its turn.
WAITING_BYTES = 16_384


@final
@unique
class RejectionReason(Enum):
    """Why a request was rejected before it was completely received."""

    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers too large"
    BODY_TOO_LARGE = "body too large"
    SLOW_SENDER = "slow sender"


@final
@dataclass(frozen=True, slots=True)
class RejectionResponse:
    """Response to a request that was rejected while it was being received.

    :param status: status code and reason phrase.
    """

    status: str
    content_type: str
    body: bytes

    def encode(self) -> bytes:
        """Return the serialised response, with a ``Connection: close`` header."""
        lines = (
            f"HTTP/1.1 {self.status}",
            f"Content-Type: {self.content_type}",
            f"Content-Length: {len(self.body)}",
            "Connection: close",
        )
        return "\r\n".join((*lines, "", "")).encode("latin-1") + self.body


@final
@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on one request.

    :param header_bytes: maximum size of the request line and headers together.
    :param body_bytes: maximum size of the body after transfer decoding.
    :param receive: maximum time from the first byte to the last.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    receive: timedelta = timedelta(seconds=15)


BuildRejection = Callable[[RejectionReason], RejectionResponse]


def plain_text_rejection(rejection_reason: RejectionReason) -> RejectionResponse:
    """Return a 400 response with a plain text body."""
    return RejectionResponse(
        "400 Bad Request", "text/plain", rejection_reason.value.encode()
    )


@final
class LimitedRequest(Request):
    """Request whose body is kept in memory, up to the channel's limit."""

    def gotLength(self, length: int | None) -> None:
        """Reject a ``Content-Length`` beyond the limit."""
        self.content = BytesIO()
        if length is not None and length > self.channel.limits.body_bytes:
            self.channel.reject(RejectionReason.BODY_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:
        """Append a chunk, or reject the request if its body exceeds the limit."""
        if self.content.tell() + len(data) > self.channel.limits.body_bytes:
            self.channel.reject(RejectionReason.BODY_TOO_LARGE)
            return
        self.content.write(data)


@final
class LimitedChannel(HTTPChannel):
    """Server connection that answers and closes when a request exceeds a limit.

    :param limits: limits on one request.
    :param build_rejection: builds the response to a rejected request.
    :param on_lost: called once when the connection is lost.
    """

    def __init__(
        self,
        reactor: Any,
        limits: RequestLimits,
        build_rejection: BuildRejection,
        on_lost: Callable[[LimitedChannel], None],
    ) -> None:
        super().__init__()
        self.limits = limits
        self._on_lost = on_lost
        self.totalHeadersSize = limits.header_bytes
        self._reactor = reactor
        self._build_rejection = build_rejection
        self._rejected = False
        self._receive_timer: IDelayedCall | None = None
        self._waiting_input = b""
        self._turn: IDelayedCall | None = None
        self._reading_paused = False

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of the input, and the rest in later turns of the loop."""
        if self._rejected:
            return
        self._waiting_input += data
        if self._turn is None:
            self._parse_turn()
        self._update_reading()

    def requestDone(self, request: Request) -> None:
        """Read on behind a request that was answered, in a later turn."""
        # Ends the loop of the line receiver, which would read on in this turn.
        self.paused = True
        behind, self._dataBuffer = b"".join(self._dataBuffer), []
        self._waiting_input = behind + self._waiting_input
        super().requestDone(request)
        self._schedule_turn()
        self._update_reading()

    def resumeProducing(self) -> None:
        """Read on when the client has read what was sent."""
        super().resumeProducing()
        self._schedule_turn()
        self._update_reading()

    def _parse_turn(self) -> None:
        self._turn = None
        # Nothing is read behind a request in progress, nor from a client that does not
        # read itself.
        busy = self._handlingRequest or self._waitingForTransport
        if busy or self._rejected or not self._has_input:
            return
        if self._receive_timer is None:
            limit_s = self.limits.receive.total_seconds()
            self._receive_timer = self._reactor.callLater(
                limit_s, self._on_receive_timeout
            )
        size = 0 if self._has_unread_lines else TURN_BYTES
        self.paused = False
        piece, self._waiting_input = (
            self._waiting_input[:size],
            self._waiting_input[size:],
        )
        super().dataReceived(piece)
        self._schedule_turn()
        self._update_reading()

    @property
    def _has_unread_lines(self) -> bool:
        """Whether the line receiver stopped with input that it may go on with."""
        return self.paused and bool(self._buffer)

    @property
    def _has_input(self) -> bool:
        return self._has_unread_lines or bool(self._waiting_input)

    def _schedule_turn(self) -> None:
        if self._has_input and self._turn is None and not self._rejected:
            self._turn = self._reactor.callLater(0, self._parse_turn)

    def _update_reading(self) -> None:
        """Pause reading while much input waits for its turn.

        The base class resumes reading behind each request.
        """
        if self._rejected:
            return
        if len(self._waiting_input) >= WAITING_BYTES:
            self._reading_paused = True
            self.transport.pauseProducing()
        elif self._reading_paused and not self._waitingForTransport:
            self._reading_paused = False
            self.transport.resumeProducing()

    def lineReceived(self, line: bytes) -> Any:
        """Ignore lines after a rejection."""
        return None if self._rejected else super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Ignore data after a rejection."""
        if not self._rejected:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Dispatch the request unless it was rejected."""
        self._stop_timer()
        if not self._rejected:
            super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> Any:
        """Reject a line that exceeds the limit of all headers together."""
        self.reject(RejectionReason.HEADERS_TOO_LARGE)
        return None

    def connectionLost(self, reason: Any) -> None:
        """Cancel the timers."""
        self._stop_timer()
        if self._turn is not None and self._turn.active():
            self._turn.cancel()
        self._on_lost(self)
        super().connectionLost(reason)

    def close_when_idle(self) -> None:
        """Close the connection, after the answer if a request is in progress."""
        if self.requests:
            self.persistent = False
        else:
            self.loseConnection()

    def reject(self, rejection_reason: RejectionReason) -> None:
        """Answer the request that is being received and close the connection."""
        if self._rejected:
            return
        self._rejected = True
        self._stop_timer()
        self.setTimeout(None)
        self.transport.write(self._build_rejection(rejection_reason).encode())
        # Closing a socket with unread input sends a reset, on which the peer may
        # discard the response. Therefore close the write side only, and discard
        # input for a while.
        half_close = getattr(self.transport, "loseWriteConnection", None)
        if half_close is None:
            self.loseConnection()
            return
        half_close()
        self._receive_timer = self._reactor.callLater(LINGERING_CLOSE_S, self._abort)

    def _respondToBadRequestAndDisconnect(self) -> None:
        headers_too_long = self._receivedHeaderSize > self.totalHeadersSize
        too_many_headers = self._receivedHeaderCount > self.maxHeaders
        too_large = headers_too_long or too_many_headers
        self.reject(
            RejectionReason.HEADERS_TOO_LARGE
            if too_large
            else RejectionReason.MALFORMED
        )

    def _send100Continue(self) -> None:
        if not self._rejected:
            super()._send100Continue()

    def _on_receive_timeout(self) -> None:
        self._receive_timer = None
        self.reject(RejectionReason.SLOW_SENDER)

    def _abort(self) -> None:
        self._receive_timer = None
        self.transport.abortConnection()

    def _stop_timer(self) -> None:
        if self._receive_timer is not None and self._receive_timer.active():
            self._receive_timer.cancel()
        self._receive_timer = None
