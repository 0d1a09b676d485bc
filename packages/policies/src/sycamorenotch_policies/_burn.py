"""Counts of good and bad requests in sliding windows of bounded memory."""

from __future__ import annotations

from array import array
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import BurnCounts
from sycamorenotch_kernel import BurnWindow

FINE_STEP = timedelta(minutes=1)
COARSE_STEP = timedelta(minutes=15)
FINE_LIMIT = timedelta(hours=1)
COARSE_LIMIT = timedelta(days=3)

EMPTY = -1


@final
class CountRing:
    """Counts for each step of time, in a ring of packed arrays.

    :param step: length of a step; a window ends at the present step.
    :param limit: longest window that can be asked for.
    """

    def __init__(self, step: timedelta, limit: timedelta) -> None:
        self._step = step
        self._size = limit // step
        self._epochs = array("q", [EMPTY]) * self._size
        self._total = array("L", [0]) * self._size
        self._failed = array("L", [0]) * self._size
        self._slow = array("L", [0]) * self._size

    def add(self, now: timedelta, counts: BurnCounts) -> None:
        """Count requests at a moment on the monotonic clock."""
        epoch = now // self._step
        slot = epoch % self._size
        if self._epochs[slot] != epoch:
            self._epochs[slot] = epoch
            self._total[slot] = self._failed[slot] = self._slow[slot] = 0
        self._total[slot] += counts.total
        self._failed[slot] += counts.failed
        self._slow[slot] += counts.slow

    def counts(self, now: timedelta, length: timedelta) -> BurnCounts:
        """Return the counts of the window that ends now."""
        last = now // self._step
        first = last - length // self._step
        slots = [
            slot for slot, epoch in enumerate(self._epochs) if first < epoch <= last
        ]
        return BurnCounts(
            sum(self._total[slot] for slot in slots),
            sum(self._failed[slot] for slot in slots),
            sum(self._slow[slot] for slot in slots),
        )


@final
class WindowedCounts:
    """Counts of one objective over every window."""

    def __init__(self) -> None:
        self._fine = CountRing(FINE_STEP, FINE_LIMIT)
        self._coarse = CountRing(COARSE_STEP, COARSE_LIMIT)

    def add(self, now: timedelta, counts: BurnCounts) -> None:
        """Count requests at a moment on the monotonic clock."""
        self._fine.add(now, counts)
        self._coarse.add(now, counts)

    def counts(self, now: timedelta) -> dict[BurnWindow, BurnCounts]:
        """Return the counts of every window that ends now."""
        return {
            window: self._ring(window.length).counts(now, window.length)
            for window in BurnWindow
        }

    def _ring(self, length: timedelta) -> CountRing:
        return self._fine if length <= FINE_LIMIT else self._coarse
