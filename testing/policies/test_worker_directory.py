"""Tests of what an instance knows of the workers."""

from __future__ import annotations

from dataclasses import replace

from sycamorenotch_kernel import ServiceLimits
from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies._worker_directory import MAX_DEPARTURES


def usable(directory, now: float) -> tuple:
    """Return the workers that the directory offers and that are not in backoff."""
    return tuple(v for v in directory.known("s") if now >= v.backoff_until)


def build_directory(*entries: WorkerEntry) -> WorkerDirectory:
    directory = WorkerDirectory(lambda data_centre: "west")
    directory.limits["s"] = ServiceLimits("s", cold_rate=4.0, cold_s=3.0)
    for entry in entries:
        directory.put(entry, 0.0)
    return directory


def entry(name: str, cold_s: float = 0.0, data_centre: str = "a") -> WorkerEntry:
    return WorkerEntry(name, "s", "10.0.0.1:80", data_centre, 4, False, cold_s)


def test_description_tells_a_cold_start_from_one_that_is_assumed() -> None:
    directory = build_directory(entry("reported", cold_s=3.0), entry("lost"))
    directory.get("lost").record_failure(0.0, 3.0, unreachable=True)
    assert directory.describe("s", 1.0) == (
        "2 workers known, 1 are in cold start, "
        "1 may be cold after they could not be reached"
    )


def test_reported_cold_start_replaces_one_that_was_assumed() -> None:
    directory = build_directory(entry("w"))
    directory.get("w").record_failure(0.0, 3.0, unreachable=True)
    directory.put(entry("w", cold_s=3.0), 1.0)
    assert directory.describe("s", 1.0) == "1 workers known, 1 are in cold start"


def test_lost_connection_does_not_hide_a_reported_cold_start() -> None:
    directory = build_directory(entry("w", cold_s=3.0))
    directory.get("w").record_failure(2.0, 3.0, unreachable=True)
    assert "1 are in cold start" in directory.describe("s", 2.5)


def test_description_names_the_evacuation_before_an_assumed_cold_start() -> None:
    directory = build_directory(entry("w"))
    directory.evacuate(frozenset({"a"}), 0.0)
    directory.evacuate(frozenset(), 1.0)
    assert directory.describe("s", 2.0) == (
        "1 workers known, 1 may be cold after an evacuation"
    )


def test_data_centre_is_suspect_while_two_of_its_workers_cannot_be_reached() -> None:
    directory = build_directory(
        entry("a1"), entry("a2"), entry("b1", data_centre="b"), entry("a3")
    )
    directory.get("a1").record_failure(1.0, 3.0, unreachable=True)
    directory.get("b1").record_failure(1.0, 3.0, unreachable=True)
    assert not directory.is_suspect("a", 1.5)
    directory.get("a2").record_failure(1.2, 3.0, unreachable=True)
    assert directory.is_suspect("a", 1.5)
    assert not directory.is_suspect("b", 1.5)
    assert not directory.is_suspect("a", 7.0)


def test_data_centre_is_not_suspect_when_its_workers_only_fail_requests() -> None:
    directory = build_directory(entry("a1"), entry("a2"))
    for name in ("a1", "a2"):
        directory.get(name).record_failure(1.0, 3.0, unreachable=False)
    assert not directory.is_suspect("a", 1.5)


# A late answer of the former start must not take the new one out of use.
def test_departure_of_a_former_start_does_not_concern_the_new_one() -> None:
    directory = build_directory(entry("w"))
    former = directory.get("w")
    directory.put(replace(entry("w"), incarnation=2), 1.0)
    assert directory.record_departure(former)
    assert [view.entry.id for view in usable(directory, 1.0)] == ["w"]


def test_draining_holds_when_the_entry_goes_back_to_ready() -> None:
    directory = build_directory(entry("w"))
    directory.put(replace(entry("w"), draining=True), 1.0)
    directory.remove("w")
    directory.put(entry("w"), 2.0)
    assert usable(directory, 2.0) == ()
    assert "1 are draining" in directory.describe("s", 2.0)


def test_departures_are_bounded() -> None:
    directory = build_directory()
    for number in range(MAX_DEPARTURES + 1):
        directory.put(replace(entry(f"w-{number}"), draining=True), 0.0)
        directory.remove(f"w-{number}")
    directory.put(entry("w-0"), 1.0)
    directory.put(entry("w-1"), 1.0)
    assert [view.entry.id for view in usable(directory, 1.0)] == ["w-0"]


# A restored store shows the entries of workers that are gone as they were.
def test_former_entry_of_a_worker_that_is_gone_does_not_bring_it_back() -> None:
    directory = build_directory()
    directory.put(entry("w"), 0.0, revision=7)
    directory.remove("w", gone=True)
    directory.put(entry("w"), 1.0, revision=7)
    assert usable(directory, 1.0) == ()
    directory.put(entry("w"), 2.0, revision=9)
    assert [view.entry.id for view in usable(directory, 2.0)] == ["w"]


def test_worker_that_started_again_is_back_whatever_its_revision() -> None:
    directory = build_directory()
    directory.put(entry("w"), 0.0, revision=7)
    directory.remove("w", gone=True)
    directory.put(replace(entry("w"), incarnation=2), 1.0, revision=7)
    assert [view.entry.id for view in usable(directory, 1.0)] == ["w"]
