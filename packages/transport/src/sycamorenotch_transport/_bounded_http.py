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

    def dataReceived(self, data: bytes) -> Any:
        """Start the receive timer at the first byte of a request."""
        if self._rejected:
            return None
        if self._receive_timer is None and not self._handlingRequest:
            limit_s = self.limits.receive.total_seconds()
            self._receive_timer = self._reactor.callLater(
                limit_s, self._on_receive_timeout
            )
        return super().dataReceived(data)

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
        """Cancel the receive timer."""
        self._stop_timer()
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
