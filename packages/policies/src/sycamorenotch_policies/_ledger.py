"""Sliding window of traffic moves, counted against the shift cap."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from datetime import datetime
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import Shift

# Holders' wall clocks may differ by this much.
CLOCK_MARGIN = timedelta(seconds=2)


@final
@dataclass(frozen=True, slots=True)
class ShiftLedger:
    """Moves that still count against the cap.

    A move counts for the window and for the life of look-up answers given
    before it, because their callers follow it only when the answers run out.

    :param cap: share of a service's traffic that may move in a window.
    :param horizon: time for which a move counts.
    """

    cap: float
    horizon: timedelta
    shifts: tuple[Shift, ...] = ()

    @classmethod
    def of(
        cls, environment: Environment, previous: Plan | None, now: datetime
    ) -> ShiftLedger:
        """Return the ledger that continues a plan, whoever made it."""
        shift = environment.shift
        lifetime = environment.bounds.answer_lifetime
        horizon = shift.window + lifetime + CLOCK_MARGIN
        entries = () if previous is None else previous.shifts
        # An entry of a clock that is ahead has a negative age and is kept.
        kept = tuple(entry for entry in entries if now - entry.at <= horizon)
        return cls(shift.cap, horizon, kept)

    def moved(self, service: str) -> float:
        """Return the share of a service's traffic that counts as moved."""
        return sum(entry.share for entry in self.shifts if entry.service == service)

    def room(self, service: str) -> float:
        """Return the share of a service's traffic that may still move."""
        return max(0.0, self.cap - self.moved(service))

    def add(self, shift: Shift) -> ShiftLedger:
        """Return the ledger with one more move.

        :raises ValueError: if the move does not fit under the cap.
        """
        if shift.share > self.room(shift.service):
            raise ValueError(f"{shift.share} does not fit under the cap")
        return replace(self, shifts=(*self.shifts, shift))
