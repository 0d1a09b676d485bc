"""Compression of what instances send to each other."""

from __future__ import annotations

import zlib

from expression import Error
from expression import Ok
from expression import Result

from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import get_header

ENCODING = "gzip"
ACCEPT_HEADER = ("Accept-Encoding", ENCODING)
ENCODING_HEADER = ("Content-Encoding", ENCODING)
# Window of zlib with the header and trailer of gzip.
GZIP_WINDOW_BITS = zlib.MAX_WBITS | 16
# Higher levels save a tenth of the bytes and take twice the time.
LEVEL = 1
# Below this size, a body fits into one packet as it is.
MIN_BODY_BYTES = 1_200
# Bound on what a damaged answer may expand to. A topic in the store is smaller.
MAX_BODY_BYTES = 33_554_432


def compress_response(request: HttpRequest, body: bytes) -> HttpResponse:
    """Return a response with the body, compressed if the requester accepts that."""
    accepted = get_header(request.headers, ACCEPT_HEADER[0].lower())
    if ENCODING not in accepted or len(body) < MIN_BODY_BYTES:
        return HttpResponse(200, body=body)
    packer = zlib.compressobj(LEVEL, wbits=GZIP_WINDOW_BITS)
    return HttpResponse(200, (ENCODING_HEADER,), packer.compress(body) + packer.flush())


def read_body(response: HttpResponse) -> Result[bytes, str]:
    """Return the body of a response in clear, or what is wrong with it."""
    encoding = get_header(response.headers, ENCODING_HEADER[0].lower())
    if not encoding:
        return Ok(response.body)
    if encoding != ENCODING:
        return Error(f"unknown content encoding {encoding!r}")
    unpacker = zlib.decompressobj(GZIP_WINDOW_BITS)
    try:
        body = unpacker.decompress(response.body, MAX_BODY_BYTES)
    except zlib.error as exc:
        return Error(f"the body cannot be decompressed: {exc}")
    if not unpacker.eof:
        return Error("the compressed body is incomplete or too large")
    return Ok(body)
