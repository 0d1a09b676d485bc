"""Tests of membership and of the choice of heartbeat peers."""

from __future__ import annotations

from datetime import timedelta

import pytest

from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import InstanceState
from sycamorenotch_kernel import ListedInstance
from sycamorenotch_kernel import MemberState
from sycamorenotch_kernel import Rumour
from sycamorenotch_policies import Membership
from sycamorenotch_policies import PeerState
from sycamorenotch_policies import neighbours
from sycamorenotch_policies import successor
from sycamorenotch_policies import watchers

A, B = InstanceId("a"), InstanceId("b")
SECOND = timedelta(seconds=1)


def entry(name: str) -> ListedInstance:
    return ListedInstance(
        InstanceId(name), "r", "r-0", "127.0.0.1:1", "127.0.0.1:2", InstanceState.LIVE
    )


def peer_state(
    incarnation: int, *, leaving: bool = False, generation: int = 1
) -> PeerState:
    return PeerState(B, "r", "r-0", incarnation, leaving, generation, "")


def listed(*others: str) -> Membership:
    members = Membership(A, 10)
    members.update_list([entry("a"), *map(entry, others)], timedelta())
    return members


def state(members: Membership, name: str = "b") -> MemberState | None:
    found = {m.instance: m.state for m in members.members(timedelta())}
    return found.get(InstanceId(name))


def test_member_is_suspected_then_gone_when_it_does_not_answer() -> None:
    members = listed("b", "c", "d", "e", "f", "g", "h")
    members.expect_answer(B, SECOND)
    assert members.tick(3 * SECOND) == ()
    assert members.tick(4 * SECOND)[0].state is MemberState.SUSPECT
    assert not members.usable(B)
    assert members.tick(10 * SECOND)[0].state is MemberState.GONE


def test_member_is_live_again_when_it_returns_under_the_same_name() -> None:
    members = listed("b")
    members.apply_peer_state(peer_state(5, generation=9), SECOND)
    members.expect_answer(B, SECOND)
    members.tick(4 * SECOND)
    members.tick(10 * SECOND)
    assert state(members) is MemberState.GONE
    assert members.apply_peer_state(peer_state(4), 11 * SECOND) == ()
    members.apply_peer_state(peer_state(6, generation=3), 11 * SECOND)
    (member,) = members.members(11 * SECOND)
    assert (member.state, member.generation) == (MemberState.LIVE, 3)


def test_suspicion_is_refuted_when_suspect_receives_rumour() -> None:
    members = Membership(A, 10)
    members.apply_rumour(Rumour(A, 10, MemberState.SUSPECT, 1), SECOND)
    assert members.incarnation == 11
    others = listed("b")
    others.apply_rumour(Rumour(B, 5, MemberState.SUSPECT, 1), SECOND)
    assert state(others) is MemberState.SUSPECT
    others.apply_rumour(Rumour(B, 5, MemberState.LIVE, 1), SECOND)
    assert state(others) is MemberState.SUSPECT
    others.apply_rumour(Rumour(B, 6, MemberState.LIVE, 1), SECOND)
    assert state(others) is MemberState.LIVE


def test_rumour_is_ignored_when_member_was_just_heard() -> None:
    members = listed("b")
    members.apply_peer_state(peer_state(5), SECOND)
    members.apply_rumour(Rumour(B, 5, MemberState.GONE, 1), 2 * SECOND)
    assert state(members) is MemberState.LIVE
    members.apply_rumour(Rumour(B, 5, MemberState.GONE, 1), 5 * SECOND)
    assert state(members) is MemberState.GONE


def test_member_is_kept_when_list_lags_and_forgotten_later() -> None:
    members = listed("b")
    members.apply_peer_state(peer_state(5), SECOND)
    members.update_list([entry("a")], 2 * SECOND)
    assert state(members) is MemberState.LIVE
    members.tick(62 * SECOND)
    assert state(members) is None


def test_every_member_stays_usable_when_this_instance_is_partitioned() -> None:
    names = ("b", "c", "d", "e")
    members = listed(*names)
    for name in names[:3]:
        members.expect_answer(InstanceId(name), SECOND)
    members.tick(5 * SECOND)
    assert members.is_partitioned()
    assert all(members.usable(InstanceId(name)) for name in names)


def test_member_is_not_usable_when_leaving() -> None:
    members = listed("b")
    members.apply_peer_state(peer_state(5, leaving=True), SECOND)
    assert members.is_leaving(B) and not members.usable(B)


@pytest.mark.parametrize("size", [3, 30, 1400])
def test_rumours_are_bounded_and_cover_every_member_whatever_the_size(
    size: int,
) -> None:
    members = listed(*(f"m{index}" for index in range(size)))
    sent = [members.rumours() for _ in range(size)]
    assert max(map(len, sent)) <= 6
    seen = {rumour.instance for rumours in sent for rumour in rumours}
    assert len(seen) == size


def test_each_instance_has_one_observer_on_the_ring() -> None:
    names = tuple(InstanceId(f"m{index}") for index in range(50))
    assert {successor(name, names) for name in names} == set(names)
    assert all(len(set(neighbours(n, names, 2)) - {n}) == 2 for n in names)


def test_few_watchers_change_when_one_instance_is_removed() -> None:
    names = tuple(InstanceId(f"m{index}") for index in range(50))
    first, second = watchers("r-0", names)
    left = watchers("r-0", (n for n in names if n != first))
    assert left[0] == second
    assert watchers("r-0", (n for n in names if n not in (first, second))) != left
