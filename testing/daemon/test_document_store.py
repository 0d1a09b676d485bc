"""Tests of conditional writes of environment documents."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import reactor

from sycamorenotch_daemon import Node
from sycamorenotch_daemon._document_codec import HISTORY_LIMIT
from sycamorenotch_daemon._document_codec import InvalidEnvelopeError
from sycamorenotch_daemon._document_codec import StoredDocument
from sycamorenotch_daemon._document_codec import decode_document
from sycamorenotch_daemon._document_codec import encode_document
from sycamorenotch_daemon._document_store import DocumentStore
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import InvariantMonitor
from sycamorenotch_kernel import ManualClock
from sycamorenotch_kernel import RecentDecisions
from sycamorenotch_standins import MemoryStore
from sycamorenotch_standins import ObjectTable

Run = Callable[..., Any]


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore(ObjectTable(), reactor)


@pytest.fixture
def documents(store: MemoryStore) -> DocumentStore:
    sink = EventList()
    node = Node(
        settings=None,  # type: ignore[arg-type]
        reactor=reactor,
        clock=ManualClock(),
        random=Random(7),
        sink=sink,
        decisions=RecentDecisions(),
        invariants=InvariantMonitor(sink, strict=True),
        store=store,
        directory=store,
        token="t",
    )
    return DocumentStore(node)


def test_plain_document_is_accepted_when_decoded() -> None:
    assert decode_document(b"[environment]\n") == StoredDocument("[environment]\n")


@pytest.mark.parametrize("value", [b"{", b'{"format": "other"}', b"\xff"])
def test_decode_raises_invalid_envelope_error_when_value_is_malformed(
    value: bytes,
) -> None:
    with pytest.raises(InvalidEnvelopeError):
        decode_document(value)


def test_conflict_names_the_winner_when_two_operators_race(
    documents: DocumentStore, run_in_reactor: Run
) -> None:
    async def scenario() -> None:
        first = await documents.write("production", StoredDocument("a", "ana"), None)
        await documents.write("production", StoredDocument("b", "ben"), first.ok)
        late = await documents.write("production", StoredDocument("c", "eva"), first.ok)
        assert late.error.kind is ErrorKind.CONFLICT
        assert "written by ben at 2026-01-01" in late.error.detail
        found = await documents.read("production")
        assert found.ok.document.text == "b"
        assert [item.author for item in found.ok.history] == ["ben", "ana"]

    run_in_reactor(scenario())


@pytest.mark.parametrize("first", [True, False], ids=["create", "update"])
def test_write_succeeds_when_answer_is_lost(
    documents: DocumentStore, store: MemoryStore, run_in_reactor: Run, first: bool
) -> None:
    async def scenario() -> None:
        seen = None
        if not first:
            seen = (await documents.write("trial", StoredDocument("a"), None)).ok
        store.fault.set("lose_answers", 0.0, 1)
        written = await documents.write("trial", StoredDocument("b", "ana"), seen)
        assert written.ok.document.text == "b"
        assert written.ok.generation == (1 if first else 2)

    run_in_reactor(scenario())


def test_write_is_refused_when_store_is_down(
    documents: DocumentStore, store: MemoryStore, run_in_reactor: Run
) -> None:
    async def scenario() -> None:
        store.fault.set("down", 0.0, None)
        written = await documents.write("trial", StoredDocument("a"), None)
        assert written.error.kind is ErrorKind.STORE_UNAVAILABLE

    run_in_reactor(scenario())


def test_history_is_bounded_when_many_generations_are_written(
    documents: DocumentStore, run_in_reactor: Run
) -> None:
    async def scenario() -> None:
        seen = (await documents.write("trial", StoredDocument("0"), None)).ok
        for number in range(HISTORY_LIMIT + 5):
            changed = StoredDocument(str(number))
            seen = (await documents.write("trial", changed, seen)).ok
        assert len(seen.history) == HISTORY_LIMIT
        value = encode_document(seen.document)
        assert decode_document(value) == seen.document

    run_in_reactor(scenario())


@given(st.one_of(st.binary(), st.text().map(lambda text: ("{" + text).encode())))
def test_decode_raises_only_invalid_envelope_error_when_value_is_random(
    value: bytes,
) -> None:
    try:
        found = decode_document(value)
    except InvalidEnvelopeError:
        return
    assert found.text.encode() == value


@given(st.integers(0, 400), st.binary(max_size=3))
def test_decode_raises_only_invalid_envelope_error_when_envelope_is_damaged(
    at: int, noise: bytes
) -> None:
    value = encode_document(StoredDocument("[environment]\n", "ana"))
    damaged = value[:at] + noise + value[at + len(noise) :]
    try:
        decode_document(damaged)
    except InvalidEnvelopeError as exc:
        assert str(exc)
