"""Tests of failure detection by heartbeats."""

from __future__ import annotations

import pytest

from sycamorenotch_kernel import PeerEntry
from sycamorenotch_policies import Heartbeat
from sycamorenotch_policies import Liveness


def peer(name: str, place: str = "a", started: int = 1, leaving: bool = False):
    region = {"a": "west", "b": "west", "c": "east"}[place]
    return PeerEntry(name, region, place, f"{name}:1", f"{name}:2", started, leaving)


def heartbeat(name: str, sequence: int = 1, **changes) -> Heartbeat:
    ready = changes.pop("ready", True)
    return Heartbeat(peer(name, **changes), sequence, ready)


@pytest.fixture
def liveness() -> Liveness:
    return Liveness("me")


def test_instance_is_not_live_when_only_its_store_entry_is_known(liveness) -> None:
    liveness.set_entries([peer("x")])
    assert liveness.live(0.0) == ()
    assert [entry.id for entry in liveness.recipients()] == ["x"]


def test_instance_is_live_until_its_heartbeats_stop(liveness) -> None:
    liveness.observe(heartbeat("x"), 0.0)
    assert [entry.id for entry in liveness.live(1.0)] == ["x"]
    assert liveness.live(10.0) == ()
    assert liveness.remove_silent(10.0) == ("x",)


def test_instance_is_not_serving_when_leaving(liveness) -> None:
    liveness.observe(heartbeat("x"), 0.0)
    liveness.observe(heartbeat("x", 2, leaving=True), 0.1)
    assert liveness.serving(0.1) == ()


def test_leaving_instance_stays_excluded_when_older_heartbeat_arrives(liveness) -> None:
    liveness.observe(heartbeat("x", 2, leaving=True), 0.0)
    liveness.observe(heartbeat("x", 1), 0.1)
    assert liveness.live(0.1) == ()


def test_restarted_instance_is_live_when_its_sequence_is_lower(liveness) -> None:
    liveness.observe(heartbeat("x", 50, leaving=True), 0.0)
    liveness.observe(heartbeat("x", 1, started=2), 0.1)
    assert [entry.id for entry in liveness.live(0.1)] == ["x"]


def test_restarted_instance_is_live_when_its_clock_was_set_back() -> None:
    liveness = Liveness("me")
    liveness.observe(heartbeat("x", 50, started=9_000), 0.0)
    for step in range(1, 21):
        liveness.observe(heartbeat("x", step, started=4_000), step * 0.25)
        liveness.remove_silent(step * 0.25)
    assert [entry.started for entry in liveness.live(5.0)] == [4_000]


def test_exactly_one_instance_owns_a_key_when_all_are_live() -> None:
    names = ["i1", "i2", "i3", "i4"]
    views = {name: Liveness(name) for name in names}
    for name, view in views.items():
        for other in names:
            if other != name:
                view.observe(heartbeat(other), 0.0)
    for key in range(50):
        assert sum(view.owns(str(key), 0.1) for view in views.values()) == 1


@pytest.mark.parametrize("instances", [2, 10, 62, 84, 150])
def test_dead_instance_is_detected_within_lookup_bound(instances) -> None:
    # Look-ups must stop naming an instance within seven seconds of its end.
    liveness = Liveness("me")
    for number in range(instances - 1):
        liveness.observe(heartbeat(f"i{number}"), 0.0)
    assert liveness.live(7.0) == ()
