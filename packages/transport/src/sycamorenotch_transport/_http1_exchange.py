"""One request of a client and its response."""

from __future__ import annotations

from io import BytesIO
from typing import Any
from typing import final

import h11
from twisted.internet.defer import Deferred

from sycamorenotch_transport._http1_messages import HttpRequest
from sycamorenotch_transport._http1_messages import HttpResponse
from sycamorenotch_transport._http1_messages import decode_headers
from sycamorenotch_transport._http1_messages import encode_headers

BODILESS_STATUS = frozenset({204, 304})
CLOSE_HEADER = ("Connection", "close")
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})
# A buffer that grows reserves an eighth more, of which large ones touch little.
MAX_RESERVED_BODY_BYTES = 131_072


def held_body_bytes(size: int) -> int:
    """Return the memory of the buffer of a body.

    :param size: bytes of the body that were received.
    """
    return size + min(size // 8, MAX_RESERVED_BODY_BYTES)


@final
class Exchange:
    """A request that is being received or handled, and its response.

    :param http: parser of the request and encoder of the response. A request that
        is read while another one is unanswered has its own.
    """

    __slots__ = (
        *("body", "body_bytes", "chunked", "chunked_bytes", "complete", "followed"),
        *("fields", "fut", "head", "http", "method", "response", "waiting_bytes"),
    )

    def __init__(self, http: h11.Connection) -> None:
        self.http = http
        # Released when the request is passed on.
        self.head: h11.Request | None = None
        self.method = b""
        # Number of its header fields, which are counted until the request ends.
        self.fields = 0
        # Unlike other buffers it hands over its bytes without a copy.
        self.body = BytesIO()
        # Size of the body while this connection or its handler holds it.
        self.body_bytes = 0
        # Whether the body comes in chunks, and how many bytes of them the parser got.
        self.chunked = False
        self.chunked_bytes = 0
        self.complete = False
        # Whether the parser holds bytes of the requests behind this one.
        self.followed = False
        self.fut: Deferred[Any] | None = None
        self.response: HttpResponse | None = None
        # Size of the response while it waits for those before it.
        self.waiting_bytes = 0

    @property
    def concurrent(self) -> bool:
        """Whether the request may run together with those before and behind it."""
        return self.method in SAFE_METHODS and self.http.their_state in (
            h11.DONE,
            h11.MUST_CLOSE,
        )

    @property
    def ends_input(self) -> bool:
        """Whether the client or the protocol version rules out another request."""
        return self.http.their_state in (h11.MUST_CLOSE, h11.CLOSED)

    def start_body(self, head: h11.Request) -> None:
        """Record the head, behind which the body follows."""
        self.head, self.method, self.fields = head, head.method, len(head.headers)
        self.chunked = any(name == b"transfer-encoding" for name, _ in head.headers)

    def take_request(self) -> HttpRequest:
        """Return the complete request and release its head and its body."""
        head, self.head = self.head, None
        assert head is not None
        body, self.body = self.body, BytesIO()
        return HttpRequest(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            decode_headers(head.headers.raw_items()),
            body.getvalue(),
        )

    def encode(self, response: HttpResponse, last: bool) -> list[bytes]:
        """Encode a response as its head and its body.

        :param last: whether the connection is closed after it.
        """
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
        out = [self.http.send(head)]
        if response.body and self.method != b"HEAD":
            out.append(self.http.send(h11.Data(data=response.body)))
        out.append(self.http.send(h11.EndOfMessage()))
        return [data for data in out if data]
