"""Selection of the HTTP headers that are forwarded."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorenotch_kernel import Headers

# Hop-by-hop headers of RFC 9110 section 7.6.1, and the headers that the HTTP
# libraries on both sides set themselves.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def strip_hop_by_hop_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers without those that apply to a single connection."""
    pairs = tuple(headers)
    connection_options = frozenset(
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    )
    excluded = HOP_BY_HOP | connection_options
    return tuple((n, v) for n, v in pairs if n.lower() not in excluded)
