"""Which HTTP headers are passed on."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorenotch_kernel import Headers

# Hop-by-hop headers of RFC 9110 section 7.6.1, and those that the HTTP
# libraries on both sides set for their own hop.
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


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers without those that concern one connection only."""
    pairs = tuple(headers)
    named = frozenset(
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    )
    dropped = HOP_BY_HOP | named
    return tuple((n, v) for n, v in pairs if n.lower() not in dropped)
