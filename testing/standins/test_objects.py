"""Tests of the stand-in object table."""

from __future__ import annotations

from collections.abc import Callable

from sycamorenotch_standins import ObjectTable


def test_every_callback_is_called_when_each_removes_itself() -> None:
    table = ObjectTable()
    called: list[int] = []
    unsubscribers: dict[int, Callable[[], None]] = {}

    def callback(number: int) -> Callable[[], None]:
        def wake() -> None:
            called.append(number)
            unsubscribers[number]()

        return wake

    for number in range(3):
        unsubscribers[number] = table.on_change("environments", callback(number))
    table.create("environments", "trial", b"")
    assert called == [0, 1, 2]
