"""HTTP/1.1 messages and limits that server and client share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

HeaderPairs = tuple[tuple[str, str], ...]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
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
    """A whole request.

    :param headers: in the order and spelling of the wire.
    """

    method: str
    target: str
    headers: HeaderPairs
    body: bytes = b""


@final
@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response.

    :param close: whether the connection ends with it.
    """

    status: int
    headers: HeaderPairs = ()
    body: bytes = b""
    reason: str = ""
    close: bool = False


@final
@dataclass(frozen=True, slots=True)
class HttpBounds:
    """What a client may send and how long it may take.

    :param buffered_bytes: request bodies that one listener holds at once.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    buffered_bytes: int = 67_108_864


def header(headers: HeaderPairs, name: str) -> str:
    """Return the first value of a header, or an empty string.

    :param name: in lower case.
    """
    return next((value for key, value in headers if key.lower() == name), "")


def without_connection_headers(headers: HeaderPairs) -> HeaderPairs:
    """Drop the headers that concern one connection only."""
    nominated = {
        item.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for item in value.split(",")
    }
    dropped = CONNECTION_HEADERS | nominated
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def decode_headers(raw: list[tuple[bytes, bytes]]) -> HeaderPairs:
    """Decode raw headers as ISO 8859-1, in which each byte is a character."""
    return tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in raw)


def encode_headers(headers: HeaderPairs) -> list[tuple[bytes, bytes]]:
    """Encode headers as ISO 8859-1."""
    return [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers]
