"""Tests of the owners of an object and of bounded load."""

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
from sycamorenotch_policies import Chosen
from sycamorenotch_policies import NoRoom
from sycamorenotch_policies import Wanted
from sycamorenotch_policies import WorkerBook

REGIONS = {"a": "west", "b": "east"}
SLOTS = 4
COLD_RATE = 3.0


def build_route(**changes) -> ForwardingRoute:
    parts = (WeightedService("s", 1.0),)
    kind = changes.pop("kind", RequestKind.SAFE)
    values = {"sticky": True, "attempts": 2, **changes}
    return ForwardingRoute("r", "h", "/", kind, parts, **values)


def entry(name: str, place: str = "a", **changes) -> WorkerEntry:
    return WorkerEntry(name, "s", "10.0.0.1:80", place, SLOTS, False, **changes)


@pytest.fixture
def book() -> WorkerBook:
    book = WorkerBook(REGIONS.__getitem__)
    book.limits["s"] = ServiceLimits("s", cold_s=3.0, cold_rate=COLD_RATE)
    for place in "ab":
        for number in range(6):
            book.put(entry(f"{place}{number}", place), 0.0)
    return book


def build_choice(book: WorkerBook, region: str = "west", owner: bool = True):
    return worker_choices.get("affinity")(
        region, book.limits, lambda worker: owner, Random(1)
    )


def choose(book: WorkerBook, key: str = "7", now: float = 10.0, **kwargs):
    region = kwargs.pop("region", "west")
    owner = kwargs.pop("owner", True)
    tried = kwargs.pop("tried", frozenset())
    wanted = Wanted(build_route(**kwargs), "s", key, tried)
    choice = build_choice(book, region, owner)
    return choice.choose(wanted, book.usable("s", now), now)


def test_same_object_has_same_worker_when_choices_are_apart(book) -> None:
    first, second = choose(book), choose(book)
    assert first.view is second.view


def test_objects_are_spread_over_all_workers(book) -> None:
    names = {choose(book, str(key)).view.entry.id for key in range(200)}
    assert names == set(book.names())


def test_same_object_has_same_worker_when_instances_are_in_other_regions(book) -> None:
    for key in range(20):
        west, east = (choose(book, str(key), region=r) for r in ("west", "east"))
        assert west.view is east.view


def test_large_answers_come_from_the_region(book) -> None:
    kind = RequestKind.DOWNLOAD
    names = {choose(book, str(key), kind=kind).view.entry.id for key in range(50)}
    assert all(name.startswith("a") for name in names)


def test_first_owner_is_kept_when_its_slots_are_full(book) -> None:
    first = choose(book)
    first.view.open_since = [9.9] * SLOTS
    assert choose(book).view is first.view


def test_second_owner_is_the_same_for_all_when_the_first_has_a_long_queue(book) -> None:
    first = choose(book)
    first.view.open_since = [9.9] * 2 * SLOTS
    west, east = (choose(book, region=region) for region in ("west", "east"))
    assert west.view is east.view
    assert west.view is not first.view


def test_no_room_when_every_owner_has_a_long_queue(book) -> None:
    for view in book.known("s"):
        view.open_since = [9.9] * 10 * SLOTS
    refused = choose(book)
    assert isinstance(refused, NoRoom)
    assert refused.retry_after_s > 0


def test_only_homes_when_route_has_homes(book) -> None:
    names = {
        choose(book, str(key), homes=frozenset({"east"})).view.entry.id
        for key in range(50)
    }
    assert all(name.startswith("b") for name in names)


def test_worker_that_was_tried_is_not_chosen_again(book) -> None:
    first = choose(book).view.entry.id
    assert choose(book, tried=frozenset({first})).view.entry.id != first


def test_cold_worker_gets_no_more_than_its_rate(book) -> None:
    only = WorkerBook(REGIONS.__getitem__)
    only.limits.update(book.limits)
    only.put(entry("a0", cold_s=5.0), 0.0)
    sent = 0
    while isinstance(found := choose(only, now=1.0), Chosen):
        found.view.started(1.0)
        found.view.ended(1.0)
        sent += 1
    assert sent == COLD_RATE


def test_cold_worker_gets_nothing_when_another_instance_owns_it(book) -> None:
    only = WorkerBook(REGIONS.__getitem__)
    only.put(entry("a0", cold_s=5.0), 0.0)
    assert isinstance(choose(only, now=1.0, owner=False), NoRoom)


def test_report_of_load_counts_other_instances_until_it_is_old(book) -> None:
    view = book.known("s")[0]
    view.observe_load(LoadReport(SLOTS, 3, SLOTS), 10.0)
    assert view.load(10.0) == SLOTS + 3 - 1
    assert view.load(20.0) == 0


def test_worker_of_evacuated_data_centre_is_not_usable(book) -> None:
    book.evacuate(frozenset({"a"}), 5.0)
    assert all(v.entry.data_centre == "b" for v in book.usable("s", 5.0))


def test_worker_is_cold_when_its_data_centre_is_taken_back(book) -> None:
    book.evacuate(frozenset({"a"}), 5.0)
    book.evacuate(frozenset(), 6.0)
    assert all(
        (view.cold_until > 6.0) == (view.entry.data_centre == "a")
        for view in book.known("s")
    )


def test_census_tells_why_workers_get_nothing(book) -> None:
    book.evacuate(frozenset({"a"}), 0.0)
    book.known("s")[0].failed(1.0, 0.0, unreachable=False)
    told = book.census("s", 1.1)
    assert "1 pause after failures" in told
    assert "are in data centres under evacuation" in told
    assert book.census("none", 1.1) == "0 workers known"


def test_worker_is_paused_when_it_failed_and_back_after_the_pause(book) -> None:
    view = book.known("s")[0]
    view.failed(10.0, 3.0, unreachable=True)
    assert view not in book.usable("s", 10.1)
    assert view in book.usable("s", view.paused_until)
    assert view.cold_until > view.paused_until


def test_worker_is_cold_when_its_incarnation_changes(book) -> None:
    book.put(entry("a0", incarnation=5), 10.0)
    view = book.get("a0")
    assert view is not None and view.cold_until == 13.0


def test_missing_worker_is_kept_until_its_entry_must_be_back(book) -> None:
    book.miss("a0", 12.0)
    assert book.expire(11.9) == ()
    assert book.expire(12.0) == ("a0",)


def test_missing_worker_stays_when_its_entry_comes_back(book) -> None:
    book.miss("a0", 12.0)
    book.put(entry("a0"), 11.0)
    assert book.expire(20.0) == ()
    assert book.get("a0") is not None


def test_silent_worker_is_not_chosen_while_others_answer(book) -> None:
    first = choose(book, now=10.0)
    first.view.started(10.0)
    assert choose(book, now=10.0 + first.view.silence_s() + 0.1).view is not first.view


def test_worker_is_not_silent_while_it_answers(book) -> None:
    first = choose(book, now=10.0)
    first.view.started(10.0)
    first.view.heard_at = 12.0
    assert choose(book, now=12.5).view is first.view


def test_idle_worker_is_not_silent(book) -> None:
    first = choose(book, now=10.0)
    first.view.started(10.0)
    first.view.ended(10.0)
    assert choose(book, now=100.0).view is first.view
