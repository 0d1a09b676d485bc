"""Tests of the compression of what instances send to each other."""

from __future__ import annotations

import gzip

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_gateway._compression import ACCEPT_HEADER
from sycamorenotch_gateway._compression import ENCODING_HEADER
from sycamorenotch_gateway._compression import MAX_BODY_BYTES
from sycamorenotch_gateway._compression import compress_response
from sycamorenotch_gateway._compression import read_body
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse

REPETITIVE = b"a configuration repeats its words " * 100


def request(*headers: tuple[str, str]) -> HttpRequest:
    return HttpRequest("GET", "/", (("Host", "h"), *headers))


@given(st.binary(max_size=5_000))
def test_body_is_the_same_after_compression(body) -> None:
    response = compress_response(request(ACCEPT_HEADER), body)
    assert read_body(response).ok == body


def test_repetitive_body_is_sent_in_a_tenth_of_its_size() -> None:
    response = compress_response(request(ACCEPT_HEADER), REPETITIVE)
    assert len(response.body) < len(REPETITIVE) / 10
    assert read_body(response).ok == REPETITIVE


def test_instance_of_an_earlier_release_gets_the_body_in_clear() -> None:
    response = compress_response(request(), REPETITIVE)
    assert (response.headers, response.body) == ((), REPETITIVE)


@pytest.mark.parametrize(
    ("headers", "body", "problem"),
    [
        ((ENCODING_HEADER,), b"no gzip", "cannot be decompressed"),
        ((ENCODING_HEADER,), gzip.compress(REPETITIVE)[:-1], "incomplete"),
        ((ENCODING_HEADER,), gzip.compress(bytes(MAX_BODY_BYTES + 1)), "too large"),
        ((("Content-Encoding", "br"),), b"", "unknown content encoding"),
    ],
    ids=["damaged", "cut off", "expands beyond the bound", "other encoding"],
)
def test_damaged_body_is_an_error(headers, body, problem) -> None:
    assert problem in read_body(HttpResponse(200, headers, body)).error
