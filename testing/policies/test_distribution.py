"""Tests of the distribution and confirmation of configurations."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_policies import ConfigurationHistory
from sycamorenotch_policies import ConfigurationText
from sycamorenotch_policies import Confirmation
from sycamorenotch_policies._difference import apply_difference
from sycamorenotch_policies._difference import difference

PARTS = (b"", b"x", b"0123456789" * 7, b"abcdefghijkl" * 9, bytes(range(200)))


@given(st.lists(st.binary(max_size=40), min_size=2, max_size=8))
def test_text_is_unchanged_when_pushed_as_difference(texts: list[bytes]) -> None:
    sender, receiver = ConfigurationHistory(), ConfigurationHistory()
    for generation, text in enumerate(texts, start=1):
        before = 0 if receiver.newest is None else receiver.newest.generation
        sender.add(ConfigurationText.of(generation, text))
        push = sender.make_push(before)
        assert push is not None
        received = receiver.apply_push(push)
        assert received == sender.newest
        receiver.add(received)


@given(st.permutations(range(1, 6)), st.lists(st.integers(1, 5), max_size=5))
def test_push_is_rejected_or_correct_when_reordered_and_repeated(
    order: list[int], repeated: list[int]
) -> None:
    sender, receiver = ConfigurationHistory(), ConfigurationHistory()
    pushes = {}
    for generation in range(1, 6):
        before = sender.newest.generation if sender.newest else 0
        text = b"start %d end" % generation * generation
        sender.add(ConfigurationText.of(generation, text))
        pushes[generation] = sender.make_push(before)
    for generation in (*order, *repeated):
        in_force = receiver.newest.generation if receiver.newest else 0
        push = pushes[generation]
        text = receiver.apply_push(push) if generation > in_force else None
        if text is not None:
            assert text.text == b"start %d end" % generation * generation
            receiver.add(text)
    newest = receiver.newest
    assert newest is None or newest.generation == max(receiver._texts)


def test_push_is_small_when_distant_words_of_a_long_text_change() -> None:
    lines = [b"line %d" % index for index in range(3000)]
    history = ConfigurationHistory()
    history.add(ConfigurationText.of(1, b"\n".join(lines)))
    lines[10], lines[2900] = b"another line", b"one more"
    history.add(ConfigurationText.of(2, b"\n".join(lines)))
    push = history.make_push(1)
    assert push is not None
    assert sum(len(piece.new) for piece in push.pieces) < 40
    assert history.make_push(2) is None
    assert [piece.new for piece in history.make_push(0).pieces] == [history.newest.text]


@given(st.lists(st.sampled_from(PARTS), max_size=9), st.lists(st.sampled_from(PARTS)))
def test_difference_applied_to_old_text_gives_new_text(
    old: list[bytes], new: list[bytes]
) -> None:
    before, after = b"".join(old), b"".join(new)
    assert apply_difference(before, difference(before, after)) == after


def test_push_is_rejected_when_damaged() -> None:
    history = ConfigurationHistory()
    history.add(ConfigurationText.of(1, b"text"))
    push = history.make_push(0)
    other = ConfigurationText.of(1, b"else")
    damaged = type(push)(1, other.digest, 0, push.pieces)
    assert ConfigurationHistory().apply_push(damaged) is None


def test_configuration_from_peers_is_confirmed_when_none_is_newer() -> None:
    confirmation = Confirmation()
    assert not confirmation.try_confirm(0, 2)
    confirmation.record_peer_generation("a", 3)
    assert not confirmation.try_confirm(3, 2)
    confirmation.record_peer_generation("b", 4)
    assert not confirmation.try_confirm(3, 2)
    assert confirmation.try_confirm(4, 2)
    confirmation.record_peer_generation("c", 9)
    assert confirmation.try_confirm(4, 2)


def test_configuration_from_store_is_confirmed_without_peers() -> None:
    confirmation = Confirmation()
    confirmation.record_store_read()
    assert confirmation.try_confirm(1, 0)
