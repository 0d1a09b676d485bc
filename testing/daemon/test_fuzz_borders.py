"""Property-based tests of the decoders of a daemon."""

from __future__ import annotations

import json
from collections.abc import Callable
from collections.abc import Iterator
from datetime import timedelta

import msgpack
import pytest
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from pydantic import ValidationError

from sycamorenotch_daemon import _http_store
from sycamorenotch_daemon._claim_codec import decode_claim
from sycamorenotch_daemon._peer_codec import MalformedFrameError
from sycamorenotch_daemon._peer_codec import decode_message
from sycamorenotch_daemon._peer_greeting import decode_greeting
from sycamorenotch_daemon._plan_codec import decode_plan
from sycamorenotch_workbench._soak_document import soak_document
from sycamorenotch_workbench._virtual_system import VirtualSystem

START = timedelta(seconds=6)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**63 - 1),
    st.floats(allow_nan=False),
    st.text(max_size=20),
)
STRUCTURES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=5), st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=12,
)
NUMBERED = st.tuples(st.integers(0, 20), STRUCTURES).map(list)
FRAMES = st.one_of(
    st.binary(max_size=200),
    STRUCTURES.map(msgpack.packb),
    NUMBERED.map(msgpack.packb),
)
BODIES = st.one_of(
    st.binary(max_size=200), STRUCTURES.map(lambda value: json.dumps(value).encode())
)
HEADER_VALUES = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=60)


@pytest.mark.parametrize("decode", [decode_message, decode_greeting])
@given(frame=FRAMES)
def test_frame_is_malformed_or_decoded_when_random(
    decode: Callable[[bytes], object], frame: bytes
) -> None:
    try:
        decode(frame)
    except MalformedFrameError as exc:
        assert str(exc)


@pytest.mark.parametrize("decode", [decode_claim, decode_plan])
@given(value=st.one_of(FRAMES, BODIES))
def test_stored_object_is_refused_or_decoded_when_random(
    decode: Callable[[bytes], object], value: bytes
) -> None:
    assert decode(value) is not None


@pytest.mark.parametrize(
    "decode",
    [
        _http_store._decode_object,
        _http_store._decode_objects,
        _http_store._decode_changes,
        _http_store._decode_instances,
        lambda content: _http_store._decode_error(412, content),
    ],
    ids=["object", "objects", "changes", "instances", "error"],
)
@given(content=BODIES)
def test_store_answer_is_refused_or_decoded_when_random(
    decode: Callable[[bytes], object], content: bytes
) -> None:
    try:
        decode(content)
    except ValidationError as exc:
        assert exc.error_count() > 0


@pytest.fixture(scope="module")
def system() -> Iterator[VirtualSystem]:
    system = VirtualSystem(soak_document(), instances=1)
    system.advance(START)
    yield system
    system.close()


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture], max_examples=60)
@given(key=HEADER_VALUES, timeout=HEADER_VALUES, path=HEADER_VALUES)
def test_daemon_answers_and_keeps_serving_when_headers_are_random(
    system: VirtualSystem, key: str, timeout: str, path: str
) -> None:
    headers = {"Idempotency-Key": key, "Request-Timeout": timeout, "Other": path}
    instance = "entry-west-a"
    reply = system.call(
        instance, "POST", "/v1/call/action/redemptions/1", headers, b"{}"
    )
    assert reply.status in (200, 400, 409, 422, 503, 504)
    again = system.call(instance, "GET", "/v1/call/lookup/urgent/1")
    assert again.status == 200
    assert not [e for e in system.recorded_events if e.event.name == "front-end.failed"]
