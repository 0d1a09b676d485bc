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
    return Liveness("me", "west")


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


def test_restarted_instance_counts_as_new(liveness) -> None:
    assert liveness.observe(heartbeat("x", 50), 0.0)
    assert not liveness.observe(heartbeat("x", 51), 0.1)
    assert liveness.observe(heartbeat("x", 1, started=2), 0.2)


def test_restarted_instance_is_live_when_its_clock_was_set_back() -> None:
    liveness = Liveness("me", "west")
    liveness.observe(heartbeat("x", 50, started=9_000), 0.0)
    for step in range(1, 21):
        liveness.observe(heartbeat("x", step, started=4_000), step * 0.25)
        liveness.remove_silent(step * 0.25)
    assert [entry.started for entry in liveness.live(5.0)] == [4_000]


def test_exactly_one_instance_owns_a_key_when_all_are_live() -> None:
    names = ["i1", "i2", "i3", "i4"]
    views = {name: Liveness(name, "west") for name in names}
    for name, view in views.items():
        for other in names:
            if other != name:
                view.observe(heartbeat(other), 0.0)
    for key in range(50):
        assert sum(view.owns(str(key), 0.1) for view in views.values()) == 1


@pytest.mark.parametrize("instances", [2, 10, 62, 84, 150])
def test_dead_instance_is_detected_within_lookup_bound(instances) -> None:
    # Look-ups must stop naming an instance within seven seconds of its end.
    liveness = Liveness("me", "west")
    for number in range(instances - 1):
        liveness.observe(heartbeat(f"i{number}"), 0.0)
    assert liveness.live(7.0) == ()


@pytest.mark.parametrize("machines", [30, 195, 300])
def test_dead_instance_of_the_own_region_is_detected_in_large_fleets(machines) -> None:
    # Three regions of the same size; the bound is that of the users' directory.
    liveness = Liveness("me", "west")
    for number in range(machines - 1):
        place = "ac"[number % 3 > 0]
        liveness.observe(heartbeat(f"i{number}", place=place), 0.0)
    assert not [entry for entry in liveness.live(7.0) if entry.region == "west"]


@pytest.mark.parametrize("machines", [30, 195, 300, 1400])
def test_heartbeats_a_second_are_bounded(machines) -> None:
    liveness = Liveness("me", "west")
    liveness.set_entries(
        peer(f"i{number}", "ac"[number % 3 > 0]) for number in range(machines)
    )
    turns = round(20 / liveness.interval_s)
    sent = sum(len(liveness.next_recipients()) for _ in range(turns))
    assert sent <= 20 * 125


@pytest.mark.parametrize("machines", [10, 60, 195, 300])
def test_live_instances_of_all_regions_hear_of_each_other_in_time(machines) -> None:
    names = [(f"i{number}", "ac"[number % 3 > 0]) for number in range(machines)]
    entries = [peer(name, place) for name, place in names]
    sender, receiver = Liveness("i1", "east"), Liveness("i0", "west")
    sender.set_entries(entries)
    for entry in entries:
        receiver.observe(Heartbeat(entry, 1, True), 0.0)
    now, heard = 0.0, 0
    while now < 60.0:
        now += sender.interval_s
        others = (entry for entry in entries if entry.id not in ("i0", "i1"))
        for entry in others:
            receiver.observe(Heartbeat(entry, int(now * 10) + 2, True), now)
        if any(entry.id == "i0" for entry in sender.next_recipients()):
            heard += 1
            receiver.observe(Heartbeat(entries[1], int(now * 10) + 2, True), now)
        assert "i1" in {entry.id for entry in receiver.live(now)}, now
    assert heard > 2


def test_each_far_instance_gets_its_turn() -> None:
    liveness = Liveness("me", "west")
    liveness.set_entries(peer(f"i{number}", "c") for number in range(130))
    far = [entry.id for _ in range(20) for entry in liveness.next_recipients()]
    assert len(set(far[:130])) == 130
