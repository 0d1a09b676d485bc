"""Tests of who a caller is, its effective route, and the age that allows keys."""

from __future__ import annotations

from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sycamorenotch_kernel import ClientLimits
from sycamorenotch_kernel import Customer
from sycamorenotch_kernel import ForwardingConfiguration
from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import WeightedService
from sycamorenotch_kernel import digest_key
from sycamorenotch_policies import RouteTable
from sycamorenotch_policies.customers import CustomerIndex
from sycamorenotch_policies.customers import KeyAgeLimits
from sycamorenotch_policies.customers import LostWrites
from sycamorenotch_policies.customers import ProvenAge
from sycamorenotch_policies.customers import Unidentified
from sycamorenotch_policies.customers import empty_watch_proof

REGIONS = ("east", "north", "west")
HOMES = st.frozensets(st.sampled_from(REGIONS))
LIMITS = KeyAgeLimits(5.0)


def route(homes=frozenset(), priority: int = 3, public: bool = False):
    return ForwardingRoute(
        "r",
        "h",
        "/r/",
        RequestKind.SAFE,
        (WeightedService("s", 1.0),),
        priority=priority,
        homes=homes,
        public=public,
    )


@st.composite
def customers(draw) -> tuple[Customer, ...]:
    keys = draw(st.lists(st.text(min_size=1), unique=True, max_size=12))
    return tuple(
        Customer(
            f"c-{number}",
            frozenset(map(digest_key, keys[number::4])),
            draw(st.none() | st.integers(0, 9)),
            homes=draw(HOMES),
        )
        for number in range(draw(st.integers(1, 4)))
    )


@given(customers(), HOMES, st.booleans(), st.text())
def test_callers_are_identified_by_their_keys_alone(found, homes, public, key) -> None:
    """Guards against a key that counts for another customer or on no route."""
    index = CustomerIndex(found)
    asked = route(homes, public=public)
    digests = [("", None), (digest_key(key), index.find(digest_key(key)))]
    digests += [(digest, owner) for owner in found for digest in owner.key_digests]
    for digest, owner in digests:
        result = index.identify(asked, digest)
        assert index.identify(asked, digest) is result
        if public:
            assert (result.customer, result.stated_name) == (None, "")
            assert result.route.homes == homes
        elif owner is None:
            missing = Unidentified.UNKNOWN_KEY if digest else Unidentified.NO_KEY
            assert result is missing
        elif homes and owner.homes and not homes & owner.homes:
            assert result is Unidentified.NO_REGION
        else:
            assert result.stated_name == owner.name
            allowed = {region for region in REGIONS if region in (homes or REGIONS)}
            allowed &= owner.homes or set(REGIONS)
            assert (result.route.homes or set(REGIONS)) == allowed
            expected = 3 if owner.priority is None else owner.priority
            assert result.route.priority == expected


def test_without_customers_nothing_is_asked_or_changed() -> None:
    """Guards against changes for deployments without customers."""
    asked = route()
    for digest in ("", digest_key("any")):
        result = CustomerIndex().identify(asked, digest)
        assert (result.customer, result.stated_name) == (None, None)
        assert result.route is asked


def test_equal_routes_keep_their_own_result() -> None:
    """Guards against results of one route that are returned for another one."""
    index = CustomerIndex([Customer("c", frozenset({"d"}))])
    for priority in range(50):
        assert index.identify(route(priority=priority), "d").route.priority == priority


def test_table_holds_the_customers_of_its_configuration() -> None:
    """Guards against keys of an earlier configuration."""
    customer = Customer("c", frozenset({"d"}))
    configuration = ForwardingConfiguration(1, 1, (), {}, ClientLimits(), (customer,))
    assert RouteTable(configuration).customers.find("d") is customer


def test_age_counts_from_the_newest_proof_and_never_from_the_future() -> None:
    """Guards against an age that falls because an old answer arrives late."""
    age = ProvenAge()
    assert age.age_s(10.0) == inf
    assert not LIMITS.allows_keys(age.age_s(10.0))
    age.record(8.0, 10.0)
    age.record(3.0, 10.5)
    assert age.age_s(11.0) == 3.0
    age.record(20.0, 12.0)
    assert age.age_s(13.0) == 1.0


@pytest.mark.parametrize(
    ("received_at", "proven_at"), [(102.0, 101.49), (101.4, 100.0), (100.0, 100.0)]
)
def test_early_empty_answer_proves_no_more_than_its_call(
    received_at, proven_at
) -> None:
    """Guards against the wait of a watch that the store ended early."""
    assert empty_watch_proof(100.0, 1.5, received_at) == pytest.approx(proven_at)


@given(st.floats(0.0, 1.0), st.floats(0.0, 0.1), st.floats(3.0, 30.0))
def test_calm_age_stays_far_below_the_bound(changed, transit_s, revocation_s) -> None:
    """Guards against refusals while the store answers, also after a change.

    :param changed: fraction of the first watch after which a change ends it.
    """
    limits = KeyAgeLimits(revocation_s)
    first_s = limits.watch_wait_s(transit_s)
    watcher_s = transit_s + first_s + transit_s
    assert watcher_s + limits.poll_wait_s + 2 * transit_s < 0.65 * revocation_s
    after_change_s = first_s * changed + transit_s + 0.2
    next_s = limits.watch_wait_s(after_change_s) + transit_s
    oldest_s = after_change_s + next_s + limits.poll_wait_s + 2 * transit_s
    assert oldest_s < limits.refuse_from_s < revocation_s


REWRITE_S = 2.2


@pytest.mark.parametrize("era", [0, 1])
def test_first_era_includes_all_writes_at_once(era) -> None:
    """Guards against keys that stay refused where the store states no era."""
    lost = LostWrites()
    assert not lost.observe(era, 10.0)
    assert lost.includes_all(era, 10.0)
    assert not lost.observe(era, 11.0)
    assert lost.includes_all(era, 11.0)


def test_store_whose_era_rises_from_none_is_not_trusted_at_once() -> None:
    lost = LostWrites()
    lost.observe(0, 10.0)
    assert lost.observe(1, 11.0)
    assert not lost.includes_all(1, 11.0)


@pytest.mark.parametrize("known_eras", [(), (1,), (1, 2)])
def test_later_era_includes_all_writes_after_they_are_written_again(known_eras) -> None:
    """Guards against trust in a store that has just come back from an older copy."""
    lost = LostWrites()
    for era in known_eras:
        lost.observe(era, 0.0)
    assert lost.observe(3, 10.0)
    assert not lost.observe(3, 11.0)
    assert not lost.includes_all(3, 10.0 + REWRITE_S - 0.01)
    assert lost.includes_all(3, 10.0 + REWRITE_S)


def test_late_answer_of_an_older_era_proves_nothing() -> None:
    lost = LostWrites()
    lost.observe(2, 0.0)
    assert not lost.observe(1, 100.0)
    assert not lost.includes_all(1, 100.0)
