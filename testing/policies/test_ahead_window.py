"""Tests of how many requests run of a client that sends far ahead."""

from __future__ import annotations

from sycamorenotch_policies.client_turns import AheadShares

MOST = 32


def test_window_shrinks_to_one_request_while_requests_are_refused() -> None:
    window = AheadShares().build_window(MOST)
    assert window.allows(MOST - 1)
    holds = [window.record_refusal(0.2, far_ahead=True) for _ in range(6)]
    assert holds == [0.2] * 6
    assert window.allows(0)
    assert not window.allows(1)


def test_hold_is_bounded() -> None:
    # A refusal of one request may name minutes.
    window = AheadShares().build_window(MOST)
    assert window.record_refusal(600.0, far_ahead=True) <= 1.0


def test_client_that_sends_far_ahead_gives_way_to_others_that_are_refused() -> None:
    # Requests sent ahead took each place at the workers as it became free.
    shares = AheadShares()
    greedy, ordinary = shares.build_window(MOST), shares.build_window(MOST)
    held = []
    for _ in range(7):
        ordinary.record_refusal(0.2, far_ahead=False)
        held.append(greedy.record_answer(far_ahead=True) > 0)
    assert not greedy.allows(1)
    assert held == [False] * 5 + [True] * 2


def test_wait_grows_while_others_are_refused_and_ends_when_none_is() -> None:
    # Many such clients fill the workers with one request each.
    shares = AheadShares()
    greedy, ordinary = shares.build_window(1), shares.build_window(1)
    waits = []
    for _ in range(6):
        ordinary.record_refusal(0.2, far_ahead=False)
        waits.append(greedy.record_answer(far_ahead=True))
    assert waits == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    assert [greedy.record_answer(far_ahead=True) for _ in range(4)][-1] == 0


def test_client_with_few_requests_is_never_held_back() -> None:
    shares = AheadShares()
    first, second = shares.build_window(MOST), shares.build_window(MOST)
    for _ in range(10):
        assert first.record_refusal(0.2, far_ahead=False) == 0
        assert second.record_answer(far_ahead=False) == 0
    assert first.allows(MOST - 1)


def test_window_grows_while_nobody_is_refused() -> None:
    window = AheadShares().build_window(MOST)
    for _ in range(5):
        window.record_refusal(0.2, far_ahead=True)
    for _ in range(1_000):
        assert window.record_answer(far_ahead=True) == 0
    assert window.allows(1)
