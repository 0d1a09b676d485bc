"""Tests of which instances watch the store and whom the others follow."""

from __future__ import annotations

from collections import Counter

import pytest

from sycamorenotch_policies import TopicSources
from sycamorenotch_policies import choose_watchers
from sycamorenotch_policies._topic_sources import FOLLOWERS_PER_WATCHER
from sycamorenotch_policies._topic_sources import REFUSAL_SUSPICION_S
from sycamorenotch_policies._topic_sources import SUSPICION_S


def members_of(count: int) -> frozenset[str]:
    return frozenset(f"gateway-{number}" for number in range(count))


def source_of(own_id: str, members: frozenset[str]) -> TopicSources:
    sources = TopicSources(own_id)
    sources.set_members(members - {own_id})
    return sources


@pytest.mark.parametrize(("count", "watchers"), [(1, 1), (5, 5), (6, 2), (65, 2)])
def test_few_members_of_a_large_region_watch_the_store(count, watchers) -> None:
    assert len(choose_watchers(members_of(count))) == watchers


def test_watchers_at_300_machines_are_at_most_twice_those_at_30() -> None:
    # Three regions in both fleets.
    small, large = (3 * len(choose_watchers(members_of(n))) for n in (10, 100))
    assert large <= 2 * small


def test_watcher_has_a_bounded_number_of_followers_at_the_target_size() -> None:
    members = members_of(467)
    chosen = Counter(source_of(name, members).choose(0.0) for name in members)
    del chosen[None]
    assert len(chosen) == len(choose_watchers(members))
    assert max(chosen.values()) <= 2 * FOLLOWERS_PER_WATCHER


def test_member_that_leaves_replaces_at_most_one_watcher() -> None:
    members = members_of(40)
    before = choose_watchers(members)
    for name in members:
        assert len(choose_watchers(members - {name}) & before) >= len(before) - 1


def test_follower_goes_to_the_other_watcher_and_then_to_the_store() -> None:
    members = members_of(20)
    own_id = min(members - choose_watchers(members))
    sources = source_of(own_id, members)
    first = sources.choose(10.0)
    sources.record_failure(first, 10.0, refused=False)
    second = sources.choose(10.1)
    assert {first, second} == choose_watchers(members)
    sources.record_failure(second, 10.1, refused=False)
    assert sources.choose(10.2) is None
    assert sources.choose(10.0 + SUSPICION_S) == first


def test_watcher_that_refused_is_asked_again_soon() -> None:
    members = members_of(20)
    sources = source_of(min(members - choose_watchers(members)), members)
    first = sources.choose(10.0)
    sources.record_failure(first, 10.0, refused=True)
    assert sources.choose(10.0 + REFUSAL_SUSPICION_S / 2) != first
    assert sources.choose(10.0 + REFUSAL_SUSPICION_S) == first


def test_watcher_that_leaves_is_replaced_without_suspicion() -> None:
    members = members_of(20)
    own_id = min(members - choose_watchers(members))
    sources = source_of(own_id, members)
    first = sources.choose(0.0)
    sources.set_members(members - {first, own_id})
    assert sources.choose(0.0) not in (None, first) or sources.watches


def test_only_a_watcher_with_followers_serves_others() -> None:
    members = members_of(20)
    serving = {n for n in members if source_of(n, members).serves_others}
    assert serving == choose_watchers(members)
    small = members_of(4)
    assert not any(source_of(name, small).serves_others for name in small)


def test_members_with_wide_links_watch() -> None:
    """Guards against watchers whose links a large configuration fills for seconds."""
    members = members_of(20)
    wide = frozenset(sorted(members)[:4])
    links_mbps = {name: 100.0 if name in wide else 5.0 for name in members}
    watchers = choose_watchers(members, links_mbps)
    assert len(watchers) == 2
    assert watchers <= wide
    # Those of the others that are left watch when too few links are wide.
    left = members - (wide - {min(watchers)})
    assert min(watchers) in choose_watchers(left, links_mbps)
    assert len(choose_watchers(left, links_mbps)) == 2


def test_links_of_equal_width_leave_the_choice_as_it_was() -> None:
    members = members_of(20)
    assert choose_watchers(members, dict.fromkeys(members, 10.0)) == choose_watchers(
        members
    )
