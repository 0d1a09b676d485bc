"""Clock interface, and a manual clock for deterministic runs."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import Protocol
from typing import final


class Clock(Protocol):
    """Source of the current time for every decision."""

    def now(self) -> datetime:
        """Return the wall clock time in UTC."""
        ...

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; never decreases."""
        ...


@final
class ManualClock:
    """Clock that advances only on request.

    :param start: initial wall clock time, in UTC.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the initial time plus the time advanced so far, in UTC."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Advance the clock.

        :param step: time to add.
        :raises ValueError: if the step is negative.
        """
        if step < timedelta():
            raise ValueError("the step of a clock must not be negative")
        self._elapsed += step
