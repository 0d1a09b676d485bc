"""Tests of the choice of instances that look-ups name."""

from __future__ import annotations

import pytest

from sycamorenotch_kernel import PeerEntry
from sycamorenotch_kernel import Resources
from sycamorenotch_policies import Heartbeat
from sycamorenotch_policies import choose_instances

REGIONS = {"a": "west", "b": "west", "c": "east"}
STRONG = Resources(2.0, 200.0)
WEAK = Resources(0.4, 10.0)


def heartbeat(name: str, place: str = "a", capacity=STRONG, usage=None) -> Heartbeat:
    entry = PeerEntry(name, REGIONS[place], place, f"{name}:1", f"{name}:2", 1)
    return Heartbeat(entry, 1, True, capacity, usage or Resources(0.0, 0.0))


def named(*heartbeats: Heartbeat, place: str = "a", most: int = 64) -> list[str]:
    found = choose_instances(heartbeats, REGIONS[place], place, most)
    return [entry.id for entry in found]


def test_instances_of_data_centre_are_named_when_it_has_two() -> None:
    assert named(heartbeat("x"), heartbeat("y"), heartbeat("z", "b")) == ["x", "y"]


def test_instances_of_region_are_named_when_data_centre_has_one() -> None:
    assert named(heartbeat("x"), heartbeat("z", "b"), heartbeat("q", "c")) == ["x", "z"]


def test_instances_of_other_regions_are_named_when_none_is_near() -> None:
    assert named(heartbeat("q", "c")) == ["q"]


def test_answer_is_empty_when_no_instance_serves() -> None:
    assert named() == []


def test_weak_instances_are_left_out_when_strong_ones_have_capacity() -> None:
    weak = [
        heartbeat(f"w{n}", capacity=WEAK, usage=Resources(0.1, 2.0)) for n in range(9)
    ]
    strong = [heartbeat("s1", usage=Resources(0.1, 10.0)), heartbeat("s2")]
    assert named(*weak, *strong) == ["s1", "s2"]


@pytest.mark.parametrize("usage", [Resources(1.2, 1.0), Resources(0.1, 120.0)])
def test_weak_instances_are_named_when_processors_or_links_are_short(usage) -> None:
    weak = [heartbeat(f"w{n}", capacity=WEAK) for n in range(9)]
    strong = [heartbeat("s1", usage=usage), heartbeat("s2", usage=usage)]
    assert len(named(*weak, *strong)) == 11


def test_weak_instances_are_named_when_one_strong_one_is_left() -> None:
    weak = [heartbeat(f"w{n}", capacity=WEAK) for n in range(3)]
    assert named(*weak, heartbeat("s1")) == ["s1", "w0", "w1", "w2"]


def test_all_instances_are_named_when_strengths_are_similar() -> None:
    strengths = (Resources(1.0, 100.0), Resources(0.9, 100.0), Resources(1.0, 85.0))
    heartbeats = [
        heartbeat(f"x{n}", capacity=capacity) for n, capacity in enumerate(strengths)
    ]
    assert named(*heartbeats) == ["x0", "x1", "x2"]


def test_answer_is_bounded() -> None:
    assert len(named(*(heartbeat(f"x{n:03}") for n in range(100)), most=64)) == 64
