"""Clock interface and a manual implementation for deterministic runs."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from datetime import timedelta
from typing import Protocol
from typing import final


class Clock(Protocol):
    """Source of time for every decision."""

    def now(self) -> datetime:
        """Return the wall clock time in UTC."""
        ...

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""
        ...


@final
class ManualClock:
    """Clock that moves only when it is told to.

    :param start: wall clock time at the origin, in UTC.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start time plus the time advanced so far."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forward.

        :param step: time to add; must not be negative.
        :raises ValueError: if the step is negative.
        """
        if step < timedelta():
            raise ValueError("a clock cannot move backwards")
        self._elapsed += step
