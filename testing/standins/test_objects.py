"""Tests of the stand-in object table."""

from __future__ import annotations

from collections.abc import Callable

from sycamorenotch_standins import ObjectTable


def test_every_waiter_is_called_when_each_withdraws_itself() -> None:
    table = ObjectTable()
    called: list[int] = []
    withdrawals: dict[int, Callable[[], None]] = {}

    def waiter(number: int) -> Callable[[], None]:
        def wake() -> None:
            called.append(number)
            withdrawals[number]()

        return wake

    for number in range(3):
        withdrawals[number] = table.on_change("environments", waiter(number))
    table.create("environments", "trial", b"")
    assert called == [0, 1, 2]
