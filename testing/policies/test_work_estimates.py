"""Tests of estimates of cost and work, and of second attempts by them."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from math import inf
from random import Random

import pytest

from sycamorenotch_kernel import LoadReport
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies import overdue_after_s
from sycamorenotch_policies._overdue import MIN_WAIT_S
from sycamorenotch_policies._overdue import overdue_run_s
from sycamorenotch_policies.work._costs import MAX_ROUTES
from sycamorenotch_policies.work._costs import CostTable
from sycamorenotch_policies.work._costs import Warmth
from sycamorenotch_policies.work._object_copies import MAX_COPIES
from sycamorenotch_policies.work._object_copies import ObjectCopies
from sycamorenotch_policies.work._region_spill import INTERVAL_S
from sycamorenotch_policies.work._region_spill import RegionSpill
from sycamorenotch_policies.work._worker_work import MAX_OBJECTS
from sycamorenotch_policies.work._worker_work import ExpectedRun

RUN = ExpectedRun("r", "7", Warmth.SEEN, 0.2, 0.0, 0.0, 1.0, inf)


def make_view():
    directory = WorkerDirectory(str)
    directory.put(WorkerEntry("w", "s", "", "a", 4, False), 0.0)
    return directory.known("s")[0]


def learn(table: CostTable, costs, warmth=Warmth.SEEN, start: float = 0.0) -> None:
    for number, cost_s in enumerate(costs):
        table.observe("r", warmth, cost_s, 1.0, start + 0.1 * number)


# Three runs in a hundred that take seven times the mean made all others look slow.
def test_unusually_long_runs_hardly_raise_the_mean() -> None:
    random, table = Random(1), CostTable()
    learn(table, (1.4 if random.random() < 0.03 else 0.2 for _ in range(300)))
    estimate = table.estimate("r", Warmth.SEEN)
    assert estimate.mean_s == pytest.approx(0.2, rel=0.15)
    assert estimate.tail_s < 0.7


def test_mean_follows_a_lasting_change() -> None:
    table = CostTable()
    learn(table, [0.2] * 100)
    learn(table, [0.5] * 100, start=60.0)
    assert table.estimate("r", Warmth.SEEN).mean_s == pytest.approx(0.5, rel=0.1)


def test_cost_without_observations_follows_from_the_other_warmth() -> None:
    table = CostTable()
    learn(table, [0.3] * 20, Warmth.UNSEEN)
    assert table.estimate("r", Warmth.SEEN).mean_s < 0.2
    assert table.estimate("new", Warmth.SEEN).mean_s > 0


def test_remembered_routes_and_objects_are_bounded() -> None:
    table, view = CostTable(), make_view()
    for number in range(MAX_ROUTES + 10):
        table.observe(str(number), Warmth.SEEN, 0.1, 1.0, 0.0)
        view.work.record_answer(replace(RUN, object_key=str(number)), 0.2, 0.0)
    assert len(table) == MAX_ROUTES
    seen = sum(view.work.has_seen("r", str(n), 0.0) for n in range(MAX_ROUTES))
    assert seen < MAX_OBJECTS


# A worker that answers at once made the cost zero, and comparing with it failed.
def test_cost_is_never_zero() -> None:
    view = make_view()
    for _ in range(20):
        view.work.record_answer(replace(RUN, round_trip_s=0.07), 0.001, 0.0)
    assert view.work.service.costs.estimate("r", Warmth.SEEN).mean_s > 0


# A slow machine or a queue made a route look expensive at every worker.
def test_cost_is_learned_without_waiting_way_and_slowdown() -> None:
    view = make_view()
    run = replace(RUN, wait_s=0.1, round_trip_s=0.07, slowdown=2.0)
    for number in range(40):
        now = 0.1 * number
        view.work.observe_slowdown(2.0, now)
        view.work.record_answer(run, 0.07 + 0.1 + 2.0 * 0.3, now)
    cost = view.work.service.costs.estimate("r", Warmth.SEEN)
    assert cost.mean_s == pytest.approx(0.3, rel=0.1)


def test_stated_slowdown_fades_to_the_usual_one() -> None:
    view = make_view()
    for number in range(100):
        view.observe_load(LoadReport(1, 0, 4, 1.0), 0.1 * number)
    view.observe_load(LoadReport(1, 0, 4, 2.5), 10.0)
    assert view.work.slowdown(10.0) == pytest.approx(2.5)
    assert view.work.slowdown(11.0) < 1.2


# Equal numbers of requests hid that one worker is busy for ten times as long.
def test_wait_follows_the_work_of_the_requests_not_their_number() -> None:
    short, long = make_view(), make_view()
    for view, cost_s in ((short, 0.05), (long, 0.5)):
        for _ in range(5):
            view.record_start(1.0, replace(RUN, cost_s=cost_s))
    waits = [view.work.wait_s(5.0, 4, 1.0) for view in (short, long)]
    assert waits[1] == pytest.approx(10 * waits[0])
    assert short.work.wait_s(3.0, 4, 1.0) == 0.0


def test_second_worker_is_tried_early_only_if_it_can_be_in_time() -> None:
    args = {"target_s": 1.0, "time_left_s": 3.0}
    assert overdue_run_s(RUN, 0.4, 0.5, **args) == pytest.approx(0.4)
    # It would be late too: the first one has until the request would fail.
    assert overdue_run_s(RUN, 0.4, 1.0, **args) == pytest.approx(1.5)
    assert overdue_run_s(RUN, 0.4, 2.5, **args) == inf


@pytest.mark.parametrize("suspect", [False, True])
def test_estimates_only_bring_a_second_attempt_forward(suspect) -> None:
    estimate = make_view().estimate
    before = overdue_after_s(estimate, 4.0, suspect=suspect)
    assert overdue_after_s(estimate, 4.0, suspect=suspect, run=RUN) == before
    early = replace(RUN, overdue_s=0.4)
    assert before >= MIN_WAIT_S
    assert overdue_after_s(estimate, 4.0, suspect=suspect, run=early) == 0.4


# All requests for an object in demand moved, and warmed up every worker at once.
def test_owners_of_an_object_follow_its_demand_one_by_one() -> None:
    copies = ObjectCopies()
    for number in range(10):
        copies.record_busy("s", "7", 0.01 * number)
    assert copies.count("s", "7", 0.2) == 2
    for number in range(100):
        copies.record_busy("s", "7", 1.0 + number)
    assert copies.count("s", "7", 101.0) == MAX_COPIES
    assert copies.count("s", "7", 1000.0) == 1


# At most 0.15 of a region's requests may change the region from one 2 s to the next.
def test_share_that_leaves_a_region_changes_gradually() -> None:
    spill, shares = RegionSpill(Random(1)), []
    for interval in range(16):
        away = 0
        for number in range(100):
            now = (interval + number / 100) * INTERVAL_S
            advantage = 1.0 if 2 <= interval < 9 else -1.0
            leaves = spill.leaves("s", advantage, now)
            spill.record("s", away=leaves, now=now)
            away += leaves
        shares.append(away / 100)
    steps = [abs(b - a) for a, b in pairwise(shares)]
    assert max(steps) <= 0.15
    assert max(shares) >= 0.5
    assert shares[-1] <= 0.05
