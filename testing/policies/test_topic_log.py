"""Tests of a topic's items and recent changes."""

from __future__ import annotations

from sycamorenotch_kernel import Batch
from sycamorenotch_kernel import Item
from sycamorenotch_kernel import Position
from sycamorenotch_policies import TopicLog
from sycamorenotch_policies import _topic_log


def put(name: str, revision: int, value: str = "v") -> Item:
    return Item(name, revision, value)


def build_log() -> TopicLog:
    log = TopicLog()
    log.apply(Batch((put("a", 3), put("b", 5)), 10), is_snapshot=True)
    log.apply(Batch((put("b", 11, "w"),), 11), is_snapshot=False)
    log.apply(Batch((Item("a", 12, removed=True),), 12), is_snapshot=False)
    return log


def names(batch: Batch) -> set[tuple[str, bool]]:
    return {(item.name, item.removed) for item in batch.items}


def test_reader_of_the_snapshot_gets_only_the_changes() -> None:
    batch, is_snapshot = build_log().since(Position(revision=10))
    assert (names(batch), batch.revision) == ({("b", False), ("a", True)}, 12)
    assert not is_snapshot


def test_reader_that_is_current_gets_nothing() -> None:
    assert build_log().since(Position(revision=12)) == (Batch((), 12), False)


def test_reader_from_before_the_snapshot_gets_all_items() -> None:
    batch, is_snapshot = build_log().since(Position(revision=9))
    assert (names(batch), is_snapshot) == ({("b", False)}, True)


def test_item_that_changed_twice_is_passed_once_as_it_is_now() -> None:
    log = build_log()
    log.apply(Batch((put("a", 13, "back"),), 13), is_snapshot=False)
    batch, _ = log.since(Position(revision=11))
    assert batch.items == (put("a", 13, "back"),)


def test_reader_that_is_too_far_behind_gets_all_items(monkeypatch) -> None:
    monkeypatch.setattr(_topic_log, "MAX_CHANGES", 4)
    log = build_log()
    for revision in range(13, 20):
        log.apply(Batch((put("b", revision),), revision), is_snapshot=False)
    assert log.since(Position(revision=14))[1]
    assert not log.since(Position(revision=15))[1]
    assert len(log.since(Position(revision=15))[0].items) == 1


def test_readers_of_a_log_end_with_its_items_whatever_they_missed() -> None:
    log = build_log()
    for known in range(8, 13):
        reader = TopicLog()
        reader.apply(build_log().snapshot(), is_snapshot=True)
        batch, is_snapshot = log.since(Position(revision=known))
        reader.apply(batch, is_snapshot=is_snapshot)
        assert reader.snapshot() == log.snapshot()


# Revisions of a lost history were taken for those of the new one.
def test_reader_of_another_era_gets_all_items() -> None:
    log = build_log()
    for era, revision in ((1, 4), (3, 12)):
        after = Position(era, revision)
        log.apply(Batch((put("c", 6),), 6, era=2), is_snapshot=True)
        batch, is_snapshot = log.since(after)
        assert (names(batch), batch.position, is_snapshot) == (
            {("c", False)},
            Position(2, 6),
            True,
        )
