"""Tests of object affinity, bounded load and the known workers."""

from __future__ import annotations

from random import Random

import pytest

from sycamorenotch_kernel import ForwardingRoute
from sycamorenotch_kernel import LoadReport
from sycamorenotch_kernel import RequestKind
from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import WeightedService
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_kernel import worker_choices
from sycamorenotch_policies import ChosenWorker
from sycamorenotch_policies import NoCapacity
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies import WorkerRequest

REGIONS = {"a": "west", "b": "east"}
SLOTS = 4
COLD_RATE = 3.0


def make_route(**changes) -> ForwardingRoute:
    parts = (WeightedService("s", 1.0),)
    kind = changes.pop("kind", RequestKind.SAFE)
    values = {"sticky": True, "attempts": 2, **changes}
    return ForwardingRoute("r", "h", "/", kind, parts, **values)


def entry(name: str, data_centre: str = "a", **changes) -> WorkerEntry:
    return WorkerEntry(name, "s", "10.0.0.1:80", data_centre, SLOTS, False, **changes)


@pytest.fixture
def directory() -> WorkerDirectory:
    directory = WorkerDirectory(REGIONS.__getitem__)
    directory.limits["s"] = ServiceLimits("s", cold_s=3.0, cold_rate=COLD_RATE)
    for data_centre in "ab":
        for number in range(6):
            directory.put(entry(f"{data_centre}{number}", data_centre), 0.0)
    return directory


def make_choice(
    directory: WorkerDirectory, region: str = "west", may_warm_up: bool = True
):
    return worker_choices.get("affinity")(
        region, directory.limits, lambda worker: may_warm_up, Random(1)
    )


def choose(directory: WorkerDirectory, key: str = "7", now: float = 10.0, **kwargs):
    region = kwargs.pop("region", "west")
    may_warm_up = kwargs.pop("may_warm_up", True)
    tried = kwargs.pop("tried", frozenset())
    request = WorkerRequest(make_route(**kwargs), "s", key, tried)
    choice = make_choice(directory, region, may_warm_up)
    return choice.choose(request, directory.known("s"), now)


def test_same_object_gets_same_worker_when_choices_are_independent(directory) -> None:
    first, second = choose(directory), choose(directory)
    assert first.view is second.view


def test_objects_are_distributed_over_all_workers(directory) -> None:
    names = {choose(directory, str(key)).view.entry.id for key in range(200)}
    assert names == set(directory.names())


def test_same_object_gets_same_worker_when_instances_are_in_other_regions(
    directory,
) -> None:
    for key in range(20):
        west, east = (choose(directory, str(key), region=r) for r in ("west", "east"))
        assert west.view is east.view


def test_large_answers_come_from_the_local_region(directory) -> None:
    kind = RequestKind.DOWNLOAD
    names = {choose(directory, str(key), kind=kind).view.entry.id for key in range(50)}
    assert all(name.startswith("a") for name in names)


def test_first_owner_is_chosen_when_its_slots_are_full(directory) -> None:
    first = choose(directory)
    first.view.in_flight_since = [9.9] * SLOTS
    assert choose(directory).view is first.view


def test_second_owner_is_the_same_for_all_when_the_first_has_a_long_queue(
    directory,
) -> None:
    first = choose(directory)
    first.view.in_flight_since = [9.9] * 2 * SLOTS
    west, east = (choose(directory, region=region) for region in ("west", "east"))
    assert west.view is east.view
    assert west.view is not first.view


def test_request_is_refused_when_every_owner_has_a_long_queue(directory) -> None:
    for view in directory.known("s"):
        view.in_flight_since = [9.9] * 10 * SLOTS
    refused = choose(directory)
    assert isinstance(refused, NoCapacity)
    assert refused.retry_after_s > 0


def test_only_home_regions_are_used_when_route_has_homes(directory) -> None:
    names = {
        choose(directory, str(key), homes=frozenset({"east"})).view.entry.id
        for key in range(50)
    }
    assert all(name.startswith("b") for name in names)


def test_worker_that_was_tried_is_not_chosen_again(directory) -> None:
    first = choose(directory).view.entry.id
    assert choose(directory, tried=frozenset({first})).view.entry.id != first


def test_cold_worker_gets_no_more_than_its_rate(directory) -> None:
    only = WorkerDirectory(REGIONS.__getitem__)
    only.limits.update(directory.limits)
    only.put(entry("a0", cold_s=5.0), 0.0)
    sent = 0
    while isinstance(found := choose(only, now=1.0), ChosenWorker):
        found.view.record_start(1.0)
        found.view.record_end(1.0)
        sent += 1
    assert sent == COLD_RATE


def test_cold_worker_gets_no_requests_when_another_instance_warms_it_up(
    directory,
) -> None:
    only = WorkerDirectory(REGIONS.__getitem__)
    only.put(entry("a0", cold_s=5.0), 0.0)
    assert isinstance(choose(only, now=1.0, may_warm_up=False), NoCapacity)


def test_load_report_counts_other_instances_until_it_is_stale(directory) -> None:
    view = directory.known("s")[0]
    view.observe_load(LoadReport(SLOTS, 3, SLOTS), 10.0)
    assert view.load(10.0) == SLOTS + 3 - 1
    assert view.load(20.0) == 0


def test_worker_of_evacuated_data_centre_is_not_usable(directory) -> None:
    directory.evacuate(frozenset({"a"}), 5.0)
    assert all(v.entry.data_centre == "b" for v in directory.known("s"))


def test_worker_is_cold_when_evacuation_of_its_data_centre_ends(directory) -> None:
    directory.evacuate(frozenset({"a"}), 5.0)
    directory.evacuate(frozenset(), 6.0)
    assert all(
        (view.cold_until > 6.0) == (view.entry.data_centre == "a")
        for view in directory.known("s")
    )


def test_description_says_why_workers_get_no_requests(directory) -> None:
    directory.evacuate(frozenset({"a"}), 0.0)
    directory.known("s")[0].record_failure(1.0, 0.0, unreachable=False)
    text = directory.describe("s", 1.1)
    assert "1 pause after failures" in text
    assert "are in data centres under evacuation" in text
    assert directory.describe("none", 1.1) == "0 workers known"


def test_failed_worker_is_not_usable_until_backoff_ends(directory) -> None:
    view = choose(directory).view
    view.record_failure(10.0, 3.0, unreachable=True)
    assert choose(directory, now=10.1).view is not view
    assert choose(directory, now=view.backoff_until).view is view
    assert view.cold_until > view.backoff_until


def test_worker_is_cold_when_its_incarnation_changes(directory) -> None:
    directory.put(entry("a0", incarnation=5), 10.0)
    view = directory.get("a0")
    assert view is not None and view.cold_until == 13.0


def test_missing_worker_is_kept_until_its_deadline(directory) -> None:
    directory.mark_missing("a0", 12.0)
    assert directory.expire(11.9) == ()
    assert directory.expire(12.0) == ("a0",)


def test_missing_worker_is_kept_when_its_entry_comes_back(directory) -> None:
    directory.mark_missing("a0", 12.0)
    directory.put(entry("a0"), 11.0)
    assert directory.expire(20.0) == ()
    assert directory.get("a0") is not None


def test_unresponsive_worker_is_not_chosen_while_others_answer(directory) -> None:
    first = choose(directory, now=10.0)
    first.view.record_start(10.0)
    assert (
        choose(directory, now=10.0 + first.view.silence_timeout_s() + 0.1).view
        is not first.view
    )


def test_worker_is_not_unresponsive_while_it_answers(directory) -> None:
    first = choose(directory, now=10.0)
    first.view.record_start(10.0)
    first.view.last_answer_at = 12.0
    assert choose(directory, now=12.5).view is first.view


def test_idle_worker_is_not_unresponsive(directory) -> None:
    first = choose(directory, now=10.0)
    first.view.record_start(10.0)
    first.view.record_end(10.0)
    assert choose(directory, now=100.0).view is first.view


def limit_rate(directory, name: str, limit: float, at: float = 10.0) -> None:
    """Let a worker name a limit; there is room for a request once it has accrued."""
    rate = directory.get(name).rate
    rate.observe(limit, at)
    rate.allowance.set_rate(limit, at)


# Instances that ignored the limit went on sending as before.
def test_worker_that_had_its_share_is_left_to_others(directory) -> None:
    owner = choose(directory).view
    limit_rate(directory, owner.entry.id, 1.0)
    assert choose(directory, now=10.5).view is not owner
    assert choose(directory, now=11.0).view is owner


def test_sent_requests_use_up_the_share_of_a_worker(directory) -> None:
    owner = choose(directory).view
    limit_rate(directory, owner.entry.id, 1.0)
    owner.record_start(11.0)
    assert choose(directory, now=11.5).view is not owner
    assert choose(directory, now=12.0).view is owner


def test_request_is_refused_at_once_when_every_worker_had_its_share(directory) -> None:
    for name in directory.names():
        limit_rate(directory, name, 0.5)
    refusals = [choose(directory) for _ in range(2)]
    assert all(isinstance(refusal, NoCapacity) for refusal in refusals)
    assert "share" in refusals[0].reason
    assert refusals[0].retry_after_s == pytest.approx(2.0)


def test_load_of_an_unheard_worker_is_bounded_by_its_limit(directory) -> None:
    view = directory.get("a0")
    limit_rate(directory, "a0", 2.0)
    view.record_success(0.5)
    busy = LoadReport(SLOTS, SLOTS * 2, SLOTS)
    directory.get("a1").observe_load(busy, 10.0)
    assert view.load(10.0) == pytest.approx(1.0)
    assert directory.get("a2").load(10.0) > SLOTS / 2


# A cold worker whose rate is below one request a second got none, and stayed cold.
def test_cold_worker_gets_requests_at_a_rate_below_one_a_second(directory) -> None:
    directory.limits["s"] = ServiceLimits("s", cold_s=30.0, cold_rate=0.5)
    for name in directory.names():
        directory.put(entry(name, name[0], cold_s=30.0), 10.0)
    first = choose(directory).view
    first.record_start(10.0)
    first.record_end(10.0)
    assert choose(directory, now=11.9).view is not first
    assert choose(directory, now=12.1).view is first
