"""Tests of the quarantine of poison requests."""

from __future__ import annotations

from datetime import timedelta

from sycamorenotch_policies import Quarantine
from sycamorenotch_policies import sign_request

NOW = timedelta(seconds=100)
POISON = sign_request("balance", "GET", "/balances/1", b"")
OTHER = sign_request("balance", "GET", "/balances/2", b"")


def record_strikes(
    quarantine: Quarantine, number: int, now: timedelta = NOW
) -> list[bool]:
    return [quarantine.record_strike(POISON, f"w{n}", now) for n in range(number)]


def test_signature_depends_on_every_part() -> None:
    parts = [("s", "m", "p", b"b"), ("sm", "", "p", b"b"), ("s", "m", "pb", b"")]
    assert len({sign_request(*item) for item in parts}) == 3


def test_request_is_quarantined_when_three_workers_were_lost() -> None:
    quarantine = Quarantine("a")
    assert record_strikes(quarantine, 3) == [False, False, True]
    assert quarantine.remaining(POISON, NOW) == timedelta(minutes=10)
    assert quarantine.remaining(OTHER, NOW) is None
    assert quarantine.remaining(POISON, NOW + timedelta(minutes=10)) is None


def test_request_is_cleared_when_it_is_answered() -> None:
    quarantine = Quarantine("a")
    record_strikes(quarantine, 2)
    quarantine.record_answer(POISON)
    assert record_strikes(quarantine, 2) == [False, False]


def test_old_strikes_do_not_count() -> None:
    quarantine = Quarantine("a")
    record_strikes(quarantine, 2)
    assert record_strikes(quarantine, 1, NOW + timedelta(minutes=6)) == [False]


def test_request_is_quarantined_on_peer_when_strikes_are_exchanged() -> None:
    first, peer = Quarantine("a"), Quarantine("b")
    record_strikes(first, 2)
    record_strikes(peer, 1)
    assert peer.merge(first.strikes_since(0, NOW), NOW) == 1
    assert peer.merge(first.strikes_since(0, NOW), NOW) == 0
    assert peer.remaining(POISON, NOW) is not None
    assert [item.sequence for item in first.strikes_since(1, NOW)] == [2]


def test_repeated_exchange_counts_each_strike_once() -> None:
    first, peer = Quarantine("a"), Quarantine("b")
    record_strikes(first, 1)
    for _ in range(5):
        peer.merge(first.strikes_since(0, NOW), NOW)
    assert peer.remaining(POISON, NOW) is None


def test_memory_is_bounded_when_every_request_is_different() -> None:
    quarantine = Quarantine("a")
    for number in range(5000):
        signature = sign_request("s", "GET", f"/{number}", b"")
        quarantine.record_strike(signature, "w", NOW)
    assert len(quarantine) == 4096
