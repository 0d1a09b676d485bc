"""Sliding window of traffic shifts that count against the shift cap."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from datetime import datetime
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import Plan
from sycamorenotch_kernel import Shift

# Largest skew between the wall clocks of two lease holders.
CLOCK_MARGIN = timedelta(seconds=2)


@final
@dataclass(frozen=True, slots=True)
class ShiftLedger:
    """Shifts that still count against the cap.

    A shift counts for the window plus the lifetime of look-up answers, because
    callers follow it only when the answers given before it expire.

    :param cap: share of a service's traffic that may move in a window, 0 to 1.
    :param horizon: time for which a shift counts.
    """

    cap: float
    horizon: timedelta
    shifts: tuple[Shift, ...] = ()

    @classmethod
    def of(
        cls, environment: Environment, previous: Plan | None, now: datetime
    ) -> ShiftLedger:
        """Return the ledger that continues a plan of any lease holder.

        :param now: wall clock time of the lease holder.
        """
        shift = environment.shift
        lifetime = environment.bounds.answer_lifetime
        horizon = shift.window + lifetime + CLOCK_MARGIN
        entries = () if previous is None else previous.shifts
        # A shift stamped by a clock that is ahead has a negative age and is kept.
        kept = tuple(entry for entry in entries if now - entry.at <= horizon)
        return cls(shift.cap, horizon, kept)

    def moved(self, service: str) -> float:
        """Return the share of a service's traffic that counts as moved, from 0 to 1."""
        return sum(entry.share for entry in self.shifts if entry.service == service)

    def available(self, service: str) -> float:
        """Return the share of a service's traffic that may still move, from 0 to 1."""
        return max(0.0, self.cap - self.moved(service))

    def add(self, shift: Shift) -> ShiftLedger:
        """Return the ledger with one more shift.

        :raises ValueError: if the shift exceeds the cap.
        """
        if shift.share > self.available(shift.service):
            raise ValueError(
                f"a shift of {shift.share} exceeds what is left of the shift cap"
            )
        return replace(self, shifts=(*self.shifts, shift))
