"""Tests of rate limits of workers that many instances keep together."""

from __future__ import annotations

from itertools import count
from math import inf

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sycamorenotch_policies import DemandMeter
from sycamorenotch_policies import RateAllowance
from sycamorenotch_policies import RateLimitReport
from sycamorenotch_policies import RateShares
from sycamorenotch_policies import ReturnSchedule
from sycamorenotch_policies import WorkerRateLimit
from sycamorenotch_policies._rate_shares import EXTRA_HOLDERS
from sycamorenotch_policies._rate_shares import MIN_LIMIT

STEP_S = 0.05
# The users' rule: one and a half times the limit and five requests in four seconds.
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
SERVICE = "s"
WORKER = "i-1"


class Instance:
    """An instance that sends the worker as much as its share allows."""

    def __init__(self, name: str, demand: float, fleet: Fleet) -> None:
        self.name = name
        self.demand = {SERVICE: demand}
        self.rate = WorkerRateLimit()
        self.sent = 0
        self._credit = 0.0
        self._shares = RateShares(
            name, lambda: self.demand, lambda: fleet.peers_of(self)
        )

    def step(self, limit: float | None, now: float) -> int:
        """Send for one step; return the number of requests."""
        self.rate.observe(limit, now)
        self._credit = min(3.0, self._credit + self.demand[SERVICE] * STEP_S)
        sent = 0
        while self._credit >= 1.0:
            self._shares.update(WORKER, SERVICE, self.rate, now)
            if not self.rate.allowance.is_available(now):
                break
            self.rate.allowance.take(now)
            self._credit -= 1.0
            sent += 1
        self.sent += sent
        return sent


class Fleet:
    """Instances that know each other's demand, or that of some only."""

    def __init__(self, demands: list[float]) -> None:
        self.now = 0.0
        self.sends: list[tuple[float, int]] = []
        self._names = count()
        self.instances: list[Instance] = []
        for demand in demands:
            self.add(demand)

    def add(self, demand: float) -> Instance:
        instance = Instance(f"n-{next(self._names)}", demand, self)
        self.instances.append(instance)
        return instance

    def peers_of(self, instance: Instance):
        return [(o.name, o.demand) for o in self.instances if o is not instance]

    def run(self, seconds: float, limit: float | None) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            sent = sum(instance.step(limit, self.now) for instance in self.instances)
            self.sends.append((self.now, sent))

    def most_in_window(self, start: float = 0.0) -> int:
        steps = round(WINDOW_S / STEP_S)
        counts = [sent for at, sent in self.sends if at > start]
        return max(sum(counts[i : i + steps]) for i in range(len(counts)))

    def rate(self, start: float) -> float:
        return sum(n for at, n in self.sends if at > start) / (self.now - start)


def allowed(limit: float) -> float:
    return TOLERANCE * limit * WINDOW_S + SLACK


@pytest.mark.parametrize("limit", [0.0, 0.25, 1.0, 8.0, 40.0])
@pytest.mark.parametrize("size", [1, 2, 10, 195])
def test_sum_of_all_instances_stays_within_the_limit(size: int, limit: float) -> None:
    fleet = Fleet([3.0] * size)
    fleet.run(30.0, limit)
    assert fleet.most_in_window() <= allowed(limit)
    # Holders may have saved one request each before.
    rate = max(limit, MIN_LIMIT)
    assert fleet.rate(10.0) <= rate + (rate + EXTRA_HOLDERS) / (fleet.now - 10.0)


# Divided evenly among instances of which most get no callers, a small limit would
# serve nobody.
@pytest.mark.parametrize("limit", [1.0, 8.0])
def test_limit_is_used_when_few_of_many_instances_have_callers(limit: float) -> None:
    fleet = Fleet([0.0] * 185 + [20.0] * 10)
    fleet.run(30.0, limit)
    assert fleet.most_in_window() <= allowed(limit)
    assert fleet.rate(10.0) >= 0.8 * limit


def test_instance_with_more_callers_gets_a_larger_share() -> None:
    fleet = Fleet([16.0, 4.0, 4.0, 4.0])
    fleet.run(20.0, 8.0)
    most, *others = (instance.sent for instance in fleet.instances)
    assert most >= 2 * max(others)


@settings(max_examples=30, deadline=None)
@given(
    demands=st.lists(st.floats(0, 50), min_size=1, max_size=40),
    limits=st.lists(st.floats(0.2, 30), min_size=2, max_size=4),
)
def test_windows_stay_within_the_largest_limit_when_limits_change(
    demands: list[float], limits: list[float]
) -> None:
    fleet = Fleet(demands)
    for limit in limits:
        fleet.run(6.0, limit)
    assert fleet.most_in_window() <= allowed(max(limits))


def test_limit_that_falls_holds_in_the_next_window() -> None:
    fleet = Fleet([10.0] * 10)
    fleet.run(10.0, 20.0)
    changed_at = fleet.now
    fleet.run(10.0, 1.0)
    assert fleet.most_in_window(changed_at) <= allowed(1.0)


# Instances that come and go move the shares; a new holder must not send on top of
# what the former one has sent.
@pytest.mark.parametrize("limit", [1.0, 8.0])
def test_limit_holds_while_instances_are_replaced(limit: float) -> None:
    fleet = Fleet([5.0] * 10)
    for _ in range(10):
        fleet.run(1.0, limit)
        fleet.instances.pop(0)
        fleet.run(1.0, limit)
        fleet.add(5.0)
    assert fleet.most_in_window() <= allowed(limit)


def test_shares_are_even_when_no_demand_is_known() -> None:
    peers = [(f"n-{number}", None) for number in range(3)]
    rate = WorkerRateLimit()
    rate.observe(8.0, 0.0)
    RateShares("me", dict, lambda: peers).update(WORKER, SERVICE, rate, 0.0)
    assert rate.allowance.rate == pytest.approx(2.0)


def test_limit_that_ends_and_returns_starts_with_no_saved_requests() -> None:
    rate = WorkerRateLimit()
    rate.observe(1.0, 0.0)
    rate.allowance.set_rate(1.0, 0.0)
    assert rate.allowance.is_available(1.0)
    rate.observe(None, 2.0)
    rate.observe(1.0, 3.0)
    rate.allowance.set_rate(1.0, 3.0)
    assert not rate.allowance.is_available(3.5)


def test_newest_observation_counts_whoever_made_it() -> None:
    rate = WorkerRateLimit()
    assert rate.observe(5.0, 10.0)
    assert not rate.learn(None, 9.0)
    assert rate.limit == 5.0
    assert rate.learn(None, 11.0)
    assert not rate.learn(5.0, 10.5)
    assert rate.limit is None


def test_only_own_observations_are_passed_on() -> None:
    rate = WorkerRateLimit()
    rate.learn(5.0, 10.0)
    assert not rate.is_recent(10.0)
    rate.observe(5.0, 11.0)
    assert rate.report(WORKER, 12.0) == RateLimitReport(WORKER, 5.0, 1.0)
    rate.observe(None, 13.0)
    assert rate.report(WORKER, 14.0) == RateLimitReport(WORKER, None, 1.0)
    assert not rate.is_recent(30.0)


# An instance kept to itself the end of a limit that it knew from others only.
def test_end_of_a_limit_that_others_observed_is_passed_on() -> None:
    rate = WorkerRateLimit()
    rate.learn(5.0, 10.0)
    assert rate.observe(None, 11.0)
    assert rate.is_recent(12.0)
    assert rate.report(WORKER, 12.0) == RateLimitReport(WORKER, None, 1.0)


def test_allowance_waits_forever_at_rate_zero() -> None:
    allowance = RateAllowance()
    assert allowance.wait_s(5.0) == inf
    allowance.set_rate(0.5, 5.0)
    assert allowance.wait_s(5.0) == pytest.approx(2.0)
    assert allowance.wait_s(6.0) == pytest.approx(1.0)


def test_demand_follows_the_requests_of_each_service() -> None:
    meter = DemandMeter()
    for step in range(1, 101):
        now = step * 0.1
        meter.record_request("a", now)
        if step % 10 == 0:
            meter.record_request("b", now)
            demand = meter.read(now)
    assert demand["a"] == pytest.approx(10.0, rel=0.2)
    assert demand["b"] == pytest.approx(1.0, rel=0.3)
    assert meter.read(30.0) == {}


def test_demand_names_the_busiest_services_only() -> None:
    meter = DemandMeter()
    for number in range(100):
        for _ in range(number):
            meter.record_request(f"s-{number}", 0.0)
    assert set(meter.read(1.0)) == {f"s-{number}" for number in range(84, 100)}


def test_callers_return_one_by_one_and_higher_ranks_first() -> None:
    schedule = ReturnSchedule()
    low = [schedule.next_s(1, 0.5, 2.0, 0.0) for _ in range(3)]
    assert low == [0.5, 1.0, 1.5]
    assert schedule.next_s(0, 0.5, 2.0, 0.0) == 0.5
    assert schedule.next_s(1, 0.5, 2.0, 0.0) == 2.5
    assert schedule.next_s(1, 0.5, 2.0, 9.0) == 0.5
