"""HTTP/1.1 messages and limits, used by the server and the client."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

HeaderPairs = tuple[tuple[str, str], ...]

# Hop-by-hop headers, which concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@final
@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    :param target: request target, percent-encoded as received.
    :param headers: names and values in their original order and spelling.
    """

    method: str
    target: str
    headers: HeaderPairs
    body: bytes = b""


@final
@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    :param close: whether to close the connection after it.
    :param retry_after_s: when the client may send the request again, in seconds, if it
        was refused for want of room.
    """

    status: int
    headers: HeaderPairs = ()
    body: bytes = b""
    reason: str = ""
    close: bool = False
    retry_after_s: float | None = None


@final
@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the clients of a server.

    :param header_bytes: maximum size of a request line and headers.
    :param body_bytes: maximum size of a request body.
    :param header_timeout_s: maximum time to receive a request line and headers.
    :param idle_timeout_s: time after which an idle connection is closed.
    :param buffered_bytes: maximum size of all request bodies in memory together.
    :param pipelined_requests: maximum number of requests of one connection that are
        handled at the same time.
    :param unread_timeout_s: time after which a client is closed that leaves responses
        unread and reads nothing.
    :param body_pause_s: time after which a request is refused whose body makes no
        progress; it may take twice as long.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    buffered_bytes: int = 67_108_864
    pipelined_requests: int = 32
    unread_timeout_s: float = 10.0
    body_pause_s: float = 30.0


def get_header(headers: HeaderPairs, name: str) -> str:
    """Return the first value of a header, or an empty string.

    :param name: header name in lower case.
    """
    return next((value for key, value in headers if key.lower() == name), "")


def strip_hop_by_hop_headers(
    headers: HeaderPairs, end_to_end: frozenset[str] = frozenset()
) -> HeaderPairs:
    """Remove hop-by-hop headers, including those that ``Connection`` lists.

    :param end_to_end: names, in lower case, of headers that are kept though
        ``Connection`` lists them, which it must not (RFC 9110, section 7.6.1).
    """
    nominated = {
        item.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for item in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | (nominated - end_to_end)
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def decode_headers(raw: list[tuple[bytes, bytes]]) -> HeaderPairs:
    """Decode raw headers as ISO 8859-1, which maps every byte to a character."""
    return tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in raw)


def encode_headers(headers: HeaderPairs) -> list[tuple[bytes, bytes]]:
    """Encode headers as ISO 8859-1."""
    return [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers]
