"""Tests of the choice of the worker that is likely to finish a request first."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import inf
from random import Random

import pytest
from testing.policies.load_pattern import make_route

from sycamorenotch_kernel import LoadReport
from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies import ChosenWorker
from sycamorenotch_policies import NoCapacity
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies import WorkerRequest
from sycamorenotch_policies.work._costs import Warmth
from sycamorenotch_policies.work._worker_work import ExpectedRun
from sycamorenotch_policies.work._worker_work import WorkerWork

SLOTS = 4
NOW = 10.0
ROUTE = make_route("r", aim_s=1.0)
SLOW = {"name": "slow"}
RUN = ExpectedRun("r", "0", Warmth.SEEN, 0.2, 0.0, 0.0, 1.0, inf)


def build(name: str = "earliest-finish", region: str = "a", seed: int = 1):
    """Build a directory of 6 workers in each of two regions, and a choice."""
    directory = WorkerDirectory(str)
    directory.limits["s"] = ServiceLimits("s", cold_s=3.0, cold_rate=3.0)
    for place in "ab":
        for number in range(6):
            worker = WorkerEntry(f"{place}{number}", "s", "", place, SLOTS, False)
            directory.put(worker, 0.0)
    views = directory.known("s")
    for warmth, cost_s in ((Warmth.SEEN, 0.2), (Warmth.UNSEEN, 0.6)):
        for _ in range(20):
            views[0].work.service.costs.observe("r", warmth, cost_s, 1.0, NOW)
            views[0].work.service.costs.observe("r", Warmth.OWNED, 0.2, 1.0, NOW)
    choice = worker_choices.get(name)(
        region, directory.limits, lambda worker: True, Random(seed)
    )
    return directory, choice


def choose(directory, choice, key="7", now=NOW, **changes):
    route = replace(ROUTE, **changes.pop("route", {}))
    request = WorkerRequest(route, "s", key, **changes)
    return choice.choose(request, directory.known("s"), now)


def owners(key: str = "7"):
    """Return a directory, a choice, and the first two owners of an object."""
    directory, choice = build()
    first = choose(directory, choice, key).view
    second = choose(directory, choice, key, tried=frozenset({first.entry.id})).view
    return directory, choice, first, second


def fill(view, cost_s: float, count: int = SLOTS + 1) -> None:
    for _ in range(count):
        view.record_start(NOW, replace(RUN, cost_s=cost_s))


# Short requests waited behind long ones although another owner had free slots.
@pytest.mark.parametrize(("cost_s", "moves"), [(0.05, False), (2.0, True)])
def test_object_moves_to_another_owner_only_if_it_finishes_earlier(
    cost_s, moves
) -> None:
    directory, choice, first, second = owners()
    second.work.record_answer(replace(RUN, object_key="7"), 0.2, NOW)
    fill(first, cost_s)
    assert (choose(directory, choice).view is second) == moves


# Requests went on to a machine whose work took several times as long.
def test_queue_of_a_slow_worker_is_avoided_while_it_is_slow() -> None:
    directory, choice, first, second = owners()
    second.work.record_answer(replace(RUN, object_key="7"), 0.2, NOW)
    fill(first, 0.2)
    assert choose(directory, choice).view is first
    first.observe_load(LoadReport(SLOTS, 1, SLOTS, 2.5), NOW)
    assert choose(directory, choice).view is second
    # The slowdown changes several times a second, so it is no longer known.
    first.in_flight_since.clear()
    first.work = WorkerWork(first.work.service)
    assert choose(directory, choice, now=NOW + 30.0).view is first


# Each worker ran a cold object once more while another one was just getting it.
def test_requests_for_one_cold_object_join_the_first_run() -> None:
    directory, choice, first, _ = owners()
    fill(first, 0.2, SLOTS)
    for _ in range(3):
        chosen = choose(directory, choice, "new")
        chosen.view.record_start(NOW, chosen.run)
    again = choose(directory, choice, "new")
    assert again.view is chosen.view
    assert again.run.joined and again.run.cost_s <= 0.6


def test_object_without_room_at_its_owners_goes_elsewhere() -> None:
    directory, choice, first, second = owners()
    for view in (first, second):
        fill(view, 2.0, 3 * SLOTS)
    chosen = choose(directory, choice)
    assert isinstance(chosen, ChosenWorker)
    assert chosen.view not in (first, second)


# Only two of the owners that share an object were asked before a refusal.
def test_request_for_a_shared_object_finds_the_owner_that_has_room() -> None:
    directory, choice = build()
    for step in range(4):
        choice._copies.record_busy("s", "7", NOW - 4.0 + step)
    views = directory.known("s")
    free = list(choice._owners.ordered("s", "7", views))[4]
    for view in views:
        if view is not free:
            fill(view, 0.6, 2 * SLOTS)
    free.observe_load(LoadReport(0, 0, SLOTS, 1.0), NOW)
    for _ in range(50):
        free.service_load.observe(2.0, NOW)
    assert all(choose(directory, choice).view is free for _ in range(10))


def test_request_that_cannot_be_in_time_is_refused_at_once() -> None:
    directory, choice = build()
    refused = choose(directory, choice, time_left_s=0.03)
    assert isinstance(refused, NoCapacity)
    assert "in time" in refused.reason and refused.retry_after_s > 0


# Refused requests taught nothing, so a route that once was slow stayed refused.
def test_request_is_not_refused_for_an_old_estimate() -> None:
    directory, choice = build()
    chosen = choose(directory, choice, now=NOW + 60.0, time_left_s=0.2, route=SLOW)
    assert isinstance(chosen, ChosenWorker)
    work = chosen.view.work
    for warmth in Warmth:
        run = replace(RUN, route="slow", warmth=warmth)
        work.record_answer(run, 2.0, NOW)
    refused = choose(directory, choice, time_left_s=0.2, route=SLOW)
    assert isinstance(refused, NoCapacity)
    later = choose(directory, choice, now=NOW + 60.0, time_left_s=0.2, route=SLOW)
    assert isinstance(later, ChosenWorker)


# A cold run that would be late was refused although a worker was idle.
def test_late_request_gets_an_idle_worker_if_its_owners_are_full() -> None:
    directory, choice, first, second = owners()
    for view in (first, second):
        fill(view, 2.0, 3 * SLOTS)
    chosen = choose(directory, choice, route={"target_latency_s": 0.1})
    assert isinstance(chosen, ChosenWorker)


# Urgent requests were refused first, because they came while queues were full.
def test_lower_rank_is_refused_before_the_highest() -> None:
    directory, choice = build()
    for priority in (0, 3):
        choose(directory, choice, route={"priority": priority})
    for view in directory.known("s"):
        fill(view, 1.1)
    ranks = [
        [
            isinstance(
                choose(directory, choice, str(n), route={"priority": p}), ChosenWorker
            )
            for n in range(10)
        ]
        for p in (0, 3)
    ]
    assert all(ranks[0]) and not any(ranks[1])


# A second run beside the first one delayed others while every slot was in use.
def test_second_attempt_beside_the_first_needs_a_free_slot() -> None:
    directory, choice, first, _ = owners()
    tried = frozenset({first.entry.id})
    assert isinstance(choose(directory, choice, tried=tried, beside=True), ChosenWorker)
    for view in directory.known("s"):
        fill(view, 0.2, SLOTS)
    assert isinstance(choose(directory, choice, tried=tried, beside=True), NoCapacity)


# Many instances that knew the same old load sent everything to one idle worker.
def test_instances_do_not_all_choose_the_worker_that_looks_idle() -> None:
    chosen: Counter[str] = Counter()
    for seed in range(20):
        directory, choice = build(seed=seed)
        for view in directory.known("s"):
            waiting = 0 if view.entry.id == "a0" else 2
            running = 0 if view.entry.id == "a0" else SLOTS
            view.observe_load(LoadReport(running, waiting, SLOTS, 1.0), NOW)
        for key in range(20):
            found = choose(directory, choice, str(key), now=NOW + 0.5)
            if isinstance(found, ChosenWorker):
                chosen[found.view.entry.id] += 1
    # Each worker is the first owner of a twelfth of the objects.
    assert chosen["a0"] <= 3 / 12 * 400


def test_requests_without_object_stay_in_their_region_while_it_has_capacity() -> None:
    directory, choice = build(region="b")
    names = {choose(directory, choice, "").view.entry.id[0] for _ in range(50)}
    assert names == {"b"}


def test_estimates_are_used_only_where_workers_state_a_slowdown() -> None:
    directory, choice = build("automatic")
    assert choose(directory, choice).run is None
    directory.known("s")[0].observe_load(LoadReport(1, 0, SLOTS, 1.0), NOW)
    assert choose(directory, choice).run is not None
    assert choose(directory, choice, now=NOW + 60.0).run is None


# The rules for workers hold whatever the choice.
def test_excluded_workers_get_no_request() -> None:
    directory, choice, first, second = owners()
    first.record_pause(NOW, 5.0)
    assert choose(directory, choice).view is second
    second.record_failure(NOW, 0.0, unreachable=False)
    assert choose(directory, choice).view not in (first, second)
    homes = {"homes": frozenset({"b"})}
    names = {
        choose(directory, choice, str(n), route=homes).view.region for n in range(9)
    }
    assert names == {"b"}
    for view in directory.known("s"):
        view.rate.observe(0.5, NOW)
        view.rate.allowance.set_rate(0.5, NOW)
    assert "share" in choose(directory, choice, "8").reason


def test_unresponsive_worker_is_avoided_while_others_answer() -> None:
    directory, choice, first, _ = owners()
    first.record_start(NOW)
    later = NOW + first.silence_timeout_s() + 0.1
    assert choose(directory, choice, now=later).view is not first


def test_large_answers_come_from_the_local_region() -> None:
    directory, choice = build()
    route = {"kind": RequestKind.DOWNLOAD}
    names = {
        choose(directory, choice, str(n), route=route).view.region for n in range(30)
    }
    assert names == {"a"}
