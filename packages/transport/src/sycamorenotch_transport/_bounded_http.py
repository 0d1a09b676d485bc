"""HTTP requests within bounds of size and time, held in memory only."""

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

LINGER_S = 2.0


@final
@unique
class WireProblem(Enum):
    """Why a request was refused before it was read to its end."""

    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers too large"
    BODY_TOO_LARGE = "body too large"
    SLOW_SENDER = "slow sender"


@final
@dataclass(frozen=True, slots=True)
class WireAnswer:
    """The answer to a request that was not read to its end.

    :param status: status code and phrase.
    """

    status: str
    content_type: str
    body: bytes

    def encode(self) -> bytes:
        """Return the bytes of the whole answer."""
        lines = (
            f"HTTP/1.1 {self.status}",
            f"Content-Type: {self.content_type}",
            f"Content-Length: {len(self.body)}",
            "Connection: close",
        )
        return "\r\n".join((*lines, "", "")).encode("latin-1") + self.body


@final
@dataclass(frozen=True, slots=True)
class RequestBounds:
    """What one request may cost.

    :param header_bytes: request line and headers together.
    :param body_bytes: the body, decoded.
    :param receive: time from the first byte to the last.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    receive: timedelta = timedelta(seconds=15)


Refuse = Callable[[WireProblem], WireAnswer]


def plain_answer(problem: WireProblem) -> WireAnswer:
    """Return an answer in plain text."""
    return WireAnswer("400 Bad Request", "text/plain", problem.value.encode())


@final
class BoundedRequest(Request):
    """Keeps its body in memory and stops at the bound."""

    def gotLength(self, length: int | None) -> None:
        """Refuse a stated length beyond the bound."""
        self.content = BytesIO()
        if length is not None and length > self.channel.bounds.body_bytes:
            self.channel.refuse(WireProblem.BODY_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a part of the body within the bound."""
        if self.content.tell() + len(data) > self.channel.bounds.body_bytes:
            self.channel.refuse(WireProblem.BODY_TOO_LARGE)
            return
        self.content.write(data)


@final
class BoundedChannel(HTTPChannel):
    """Connection that refuses requests beyond the bounds with an answer.

    :param bounds: what one request may cost.
    :param answer_for: builds the answer to a refused request.
    """

    def __init__(self, reactor: Any, bounds: RequestBounds, answer_for: Refuse) -> None:
        super().__init__()
        self.bounds = bounds
        self.totalHeadersSize = bounds.header_bytes
        self._reactor = reactor
        self._answer_for = answer_for
        self._refused = False
        self._receiving: IDelayedCall | None = None

    def dataReceived(self, data: bytes) -> Any:
        """Start the time limit of a request with its first byte."""
        if self._refused:
            return None
        if self._receiving is None and not self._handlingRequest:
            limit_s = self.bounds.receive.total_seconds()
            self._receiving = self._reactor.callLater(limit_s, self._on_late)
        return super().dataReceived(data)

    def lineReceived(self, line: bytes) -> Any:
        """Ignore what follows a refusal."""
        return None if self._refused else super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Ignore what follows a refusal."""
        if not self._refused:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Hand over the request unless it was refused."""
        self._stop_timer()
        if not self._refused:
            super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> Any:
        """Refuse a line that is longer than all headers may be."""
        self.refuse(WireProblem.HEADERS_TOO_LARGE)
        return None

    def connectionLost(self, reason: Any) -> None:
        """Forget the connection."""
        self._stop_timer()
        super().connectionLost(reason)

    def refuse(self, problem: WireProblem) -> None:
        """Answer the request that is being received and close."""
        if self._refused:
            return
        self._refused = True
        self._stop_timer()
        self.setTimeout(None)
        self.transport.write(self._answer_for(problem).encode())
        # Bytes that were not read when a connection closes make the peer drop
        # the answer, so that the rest is read and ignored for a while.
        half_close = getattr(self.transport, "loseWriteConnection", None)
        if half_close is None:
            self.loseConnection()
            return
        half_close()
        self._receiving = self._reactor.callLater(LINGER_S, self._abort)

    def _respondToBadRequestAndDisconnect(self) -> None:
        sized = self._receivedHeaderSize > self.totalHeadersSize
        counted = self._receivedHeaderCount > self.maxHeaders
        too_large = sized or counted
        self.refuse(
            WireProblem.HEADERS_TOO_LARGE if too_large else WireProblem.MALFORMED
        )

    def _send100Continue(self) -> None:
        if not self._refused:
            super()._send100Continue()

    def _on_late(self) -> None:
        self._receiving = None
        self.refuse(WireProblem.SLOW_SENDER)

    def _abort(self) -> None:
        self._receiving = None
        self.transport.abortConnection()

    def _stop_timer(self) -> None:
        if self._receiving is not None and self._receiving.active():
            self._receiving.cancel()
        self._receiving = None
