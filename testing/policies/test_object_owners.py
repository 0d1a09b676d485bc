"""Tests of the remembered order of an object's owners."""

from __future__ import annotations

from random import Random

from sycamorenotch_kernel import WorkerEntry
from sycamorenotch_policies import WorkerDirectory
from sycamorenotch_policies._object_owners import MAX_ORDERS
from sycamorenotch_policies._object_owners import ObjectOwners


def make_directory(count: int = 6) -> WorkerDirectory:
    directory = WorkerDirectory(lambda data_centre: "west")
    for number in range(count):
        directory.put(WorkerEntry(f"w{number}", "s", "", "a", 4, False), 0.0)
    return directory


def names(owners: ObjectOwners, directory: WorkerDirectory, key: str) -> list[str]:
    views = directory.known("s")
    return [view.entry.id for view in owners.ordered("s", key, views)]


# A remembered order would send requests to a worker that is gone, or miss a new one.
def test_order_follows_the_set_of_workers() -> None:
    directory, owners = make_directory(), ObjectOwners(Random(1))
    before = names(owners, directory, "7")
    directory.remove(before[0])
    assert names(owners, directory, "7") == before[1:]
    directory.put(WorkerEntry(before[0], "s", "", "a", 4, False), 1.0)
    assert names(owners, directory, "7") == before


# A restarted worker has a new view, although the set of workers is the same.
def test_order_has_the_current_views() -> None:
    directory, owners = make_directory(), ObjectOwners(Random(1))
    first = names(owners, directory, "7")[0]
    directory.put(WorkerEntry(first, "s", "", "a", 4, False, incarnation=5), 1.0)
    views = owners.ordered("s", "7", directory.known("s"))
    assert next(views) is directory.get(first)


def test_remembered_orders_are_bounded() -> None:
    directory, owners = make_directory(), ObjectOwners(Random(1))
    for key in range(MAX_ORDERS + 100):
        owners.ordered("s", str(key), directory.known("s"))
    assert len(owners) == MAX_ORDERS


def test_workers_of_requests_without_object_are_all_drawn_by_their_slots() -> None:
    directory, owners = make_directory(), ObjectOwners(Random(1))
    directory.put(WorkerEntry("w0", "s", "", "a", 12, False), 0.0)
    orders = [names(owners, directory, "") for _ in range(400)]
    assert all(sorted(order) == sorted(directory.names()) for order in orders)
    # It has 12 of 32 slots.
    assert 110 < sum(order[0] == "w0" for order in orders) < 190
