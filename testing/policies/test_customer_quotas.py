"""Tests of quotas that instances keep together by the demand of each."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testing.policies.quota_model import BOUNDS
from testing.policies.quota_model import NAME
from testing.policies.quota_model import USUAL
from testing.policies.quota_model import Fleet
from testing.policies.quota_model import unequal

from sycamorenotch_kernel import Customer
from sycamorenotch_policies.customer_quotas import CustomerQuotas
from sycamorenotch_policies.customer_quotas import DemandReport
from sycamorenotch_policies.customer_quotas import QuotaBounds
from sycamorenotch_policies.customer_quotas._knowledge import PeerKnowledge
from sycamorenotch_policies.customer_quotas._knowledge import PeerSums
from sycamorenotch_policies.customer_quotas._share import Fleet as KnownFleet
from sycamorenotch_policies.customer_quotas._share import compute_share

SURGE = 6 * USUAL
SIZES_AND_RATES = [(size, rate) for size in (12, 67) for rate in (3.0, 20.0, 100.0)]
SIZES_AND_RATES += [(12, 400.0), (67, 400.0)]
every_fleet = pytest.mark.parametrize(("size", "rate"), SIZES_AND_RATES)


def build(size: int, rate: float, seed: int = 1, loss: float = 0.1) -> Fleet:
    return Fleet(unequal(size, seed), rate, seed, loss)


def is_other_region(a: int, b: int) -> bool:
    return (a % 3 == 0) != (b % 3 == 0)


# A refusal at the demand that a customer was sold is a loss; the first seconds of a
# fleet whose instances all start at once are excepted.
@every_fleet
def test_usual_demand_is_not_refused(size: int, rate: float) -> None:
    fleet = build(size, rate, loss=0.05)
    fleet.run(60.0, USUAL * rate)
    assert [at for at in fleet.refused if at > 3.0] == []


# Instances that notice a rise late, or each admit by themselves, exceed the bound.
@every_fleet
def test_sudden_rise_stays_within_the_bound(size: int, rate: float) -> None:
    fleet = build(size, rate)
    fleet.run(10.0, USUAL * rate)
    fleet.run(20.0, SURGE * rate)
    assert fleet.most_in_window() <= fleet.bound()
    late = [at for at in fleet.admitted if at > fleet.now - 10.0]
    assert len(late) >= 0.7 * 10.0 * rate


# A region that is cut off must not take the shares of those it does not hear from.
@every_fleet
@pytest.mark.parametrize("groups", [2, 3])
def test_cut_groups_stay_within_the_bound(size: int, rate: float, groups: int) -> None:
    fleet = build(size, rate)
    fleet.run(10.0, USUAL * rate)
    fleet.is_cut = is_other_region if groups == 2 else lambda a, b: a % 3 != b % 3
    fleet.run(4.0, USUAL * rate)
    fleet.run(26.0, SURGE * rate)
    assert fleet.most_in_window() <= fleet.bound()


# A restarted instance must not use a share on top of its former one.
@pytest.mark.parametrize("rate", [20.0, 100.0])
def test_restarts_stay_within_the_bound(rate: float) -> None:
    fleet = build(67, rate)
    fleet.run(10.0, USUAL * rate)
    fleet.run(1.0, SURGE * rate)
    for index in range(12):
        fleet.restart(index)
        fleet.run(1.0, SURGE * rate)
    assert fleet.most_in_window() <= fleet.bound()


# Rises of a second each would use the free admission again and again.
@pytest.mark.parametrize("rate", [20.0, 100.0])
def test_repeated_rises_stay_within_the_bound(rate: float) -> None:
    fleet = build(67, rate)
    fleet.run(10.0, USUAL * rate)
    for _ in range(6):
        fleet.run(1.0, SURGE * rate)
        fleet.run(1.5, 0.1 * rate)
    assert fleet.most_in_window() <= fleet.bound()


# What was saved up under the former quota must not be used under a lower one.
@pytest.mark.parametrize("size", [12, 67])
def test_lowered_quota_binds_at_once(size: int) -> None:
    fleet = build(size, 400.0)
    fleet.run(8.0, USUAL * 400.0)
    fleet.configure(20.0)
    fleet.run(12.0, USUAL * 400.0)
    assert fleet.most_in_window(since=8.0) <= fleet.bound()


# An even division would leave such a customer a small part of its quota.
@every_fleet
def test_customer_at_one_instance_gets_its_quota(size: int, rate: float) -> None:
    fleet = Fleet([1.0] + [0.0] * (size - 1), rate, seed=1)
    fleet.run(4.0, 0.0)
    fleet.run(4.0, 1.5 * rate)
    admitted = len(fleet.admitted)
    fleet.run(20.0, 1.5 * rate)
    assert len(fleet.admitted) - admitted >= 0.85 * 20.0 * rate
    assert fleet.most_in_window() <= fleet.bound()


# Each instance divides by what it knows of the others, which may be out of date. Their
# shares must not add up to more than the quota.
@given(
    st.lists(
        st.tuples(st.floats(0.0, 1.0), st.floats(0.0, 1.0)), min_size=2, max_size=67
    ),
    st.randoms(use_true_random=False),
)
@settings(max_examples=200)
def test_shares_add_up_to_at_most_the_quota(parts, random) -> None:
    confirmed = [min(pair) for pair in parts]
    fleet = KnownFleet(len(parts) - 1, len(parts) - 1, 0, False)
    total = 0.0
    for index, (_, present) in enumerate(parts):
        known = [
            random.uniform(low, 1.0) for n, low in enumerate(confirmed) if n != index
        ]
        sums = PeerSums(1.0, sum(known), 1.0, sum(known))
        own = DemandReport(1.0, present)
        total += compute_share(own, confirmed[index], sums, fleet).own
    assert total <= 1.0 + 1e-9


def test_silent_instance_is_kept_for_two_windows_and_one_that_left_is_not() -> None:
    peers = PeerKnowledge(BOUNDS.window_s, 0.0)
    peers.set_fleet(4, 0.5)
    report = {NAME: DemandReport(5.0, 0.25)}
    for name in "abcd":
        peers.learn(name, report, 0.0, leaving=name == "d")
    for now in (4.0, 9.9, 10.1):
        for name in "ab":
            peers.learn(name, report, now)
        peers.update(now)
        sums = peers.sums(NAME)
        assert sums.all_part == pytest.approx(0.75 if now < 10.0 else 0.5)
        assert sums.fast == pytest.approx(10.0)


# Instances that forget those they do not hear from would each use the whole quota.
def test_instance_cut_off_from_most_keeps_their_values() -> None:
    peers = PeerKnowledge(BOUNDS.window_s, 0.0)
    for name in "abc":
        peers.learn(name, {NAME: DemandReport(5.0, 0.25)}, 0.0)
    for now in (4.0, 30.0, 60.0):
        peers.learn("a", {NAME: DemandReport(5.0, 0.25)}, now)
        peers.update(now)
    assert peers.in_minority
    assert peers.sums(NAME).all_part == pytest.approx(0.75)


def test_customer_without_a_limit_is_never_refused_nor_reported() -> None:
    quotas = CustomerQuotas(BOUNDS, lambda: 0.5, 0.0)
    quotas.configure([Customer(NAME, frozenset())], 0.0)
    assert all(quotas.admit(NAME, n / 1e4) is None for n in range(10_000))
    assert quotas.report(1.0) == {}


def test_refusal_states_when_the_share_allows_one_more() -> None:
    quotas = CustomerQuotas(BOUNDS, lambda: 0.5, 0.0)
    quotas.configure([Customer(NAME, frozenset(), rate=10.0, burst=0.0)], 0.0)
    refusals = [quotas.admit(NAME, 3.0 + n / 100) for n in range(300)]
    assert refusals[-1] is not None
    assert 0.1 <= refusals[-1].retry_after_s <= 2.0


# A burst that ends before the next regular update must not be admitted whole.
@pytest.mark.parametrize("peers", [0, 66])
@pytest.mark.parametrize("rate", [3.0, 100.0, 400.0])
def test_burst_between_two_updates_stays_within_the_bound(
    rate: float, peers: int
) -> None:
    quotas = CustomerQuotas(BOUNDS, lambda: 0.5, 0.0)
    quotas.configure([Customer(NAME, frozenset(), rate=rate, burst=rate)], 0.0)
    quotas.set_fleet(peers, 1.0)
    usual = DemandReport(0.6 * rate / (peers + 1), 1 / (peers + 1))
    for index in range(peers):
        quotas.peers.learn(f"p-{index}", {NAME: usual}, 30.0)
    quotas.admit(NAME, 30.0)
    admitted = [quotas.admit(NAME, 30.001) for _ in range(10_000)].count(None)
    assert admitted <= BOUNDS.allowed(rate, rate) - 0.6 * rate * BOUNDS.window_s


# A process that stood still would otherwise forget all others at once and take itself
# for the only instance.
def test_instance_that_was_suspended_keeps_the_values_of_the_others() -> None:
    peers = PeerKnowledge(BOUNDS.window_s, 0.0)
    for name in "abc":
        peers.learn(name, {NAME: DemandReport(5.0, 0.25)}, 0.0)
    peers.update(12.0)
    assert peers.in_minority
    assert peers.sums(NAME).all_part == pytest.approx(0.75)


# Settings may allow nothing beyond the rate, which leaves no debt to divide by.
def test_quota_without_any_headroom_is_kept() -> None:
    quotas = CustomerQuotas(QuotaBounds(5.0, 0.0, 0.0), lambda: 0.5, 0.0)
    quotas.configure([Customer(NAME, frozenset(), rate=10.0, burst=0.0)], 0.0)
    admitted = [quotas.admit(NAME, 5.0 + n / 100) for n in range(500)].count(None)
    assert 40 <= admitted <= 52
