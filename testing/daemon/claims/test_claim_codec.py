"""Tests of the encoding of stored claims."""

from __future__ import annotations

from dataclasses import replace
from datetime import UTC
from datetime import datetime
from datetime import timedelta

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_daemon._claim_codec import claim_location
from sycamorenotch_daemon._claim_codec import decode_claim
from sycamorenotch_daemon._claim_codec import encode_claim
from sycamorenotch_kernel import AttemptId
from sycamorenotch_kernel import CallAnswer
from sycamorenotch_policies import Claim
from sycamorenotch_policies import ClaimState

NOW = datetime(2026, 1, 1, tzinfo=UTC)
CLAIM = Claim(
    fingerprint="f",
    attempt=AttemptId("a-1"),
    instance="entry-1",
    state=ClaimState.HELD,
    created=NOW,
    due=NOW + timedelta(seconds=2),
    expires=NOW + timedelta(days=1),
)


@given(
    status=st.integers(100, 599),
    headers=st.lists(st.tuples(st.text(), st.text())).map(tuple),
    body=st.binary(),
)
def test_claim_is_the_same_when_encoded_and_decoded(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> None:
    claim = CLAIM.done(CallAnswer(status, headers, body))
    assert decode_claim(encode_claim(claim)).ok == claim


@given(st.binary())
def test_decoding_fails_as_a_value_when_bytes_are_arbitrary(value: bytes) -> None:
    assert decode_claim(value).is_error()


@pytest.mark.parametrize(
    "change", [{"format": 2}, {"state": "later"}, {"state": "done"}, {"more": 1}]
)
def test_decoding_fails_when_a_field_or_value_is_invalid(
    change: dict[str, object],
) -> None:
    fields = msgpack.unpackb(encode_claim(CLAIM)) | change
    assert decode_claim(msgpack.packb(fields)).is_error()


def test_location_differs_when_service_or_key_differs() -> None:
    locations = {claim_location(s, k) for s in ("a", "b") for k in ("x", "y", "..")}
    assert len(locations) == 6


def test_only_state_differs_when_a_claim_is_released_or_unknown() -> None:
    assert CLAIM.released() == replace(CLAIM, state=ClaimState.RELEASED)
    assert CLAIM.unknown() == replace(CLAIM, state=ClaimState.UNKNOWN)
