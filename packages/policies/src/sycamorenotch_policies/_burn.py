"""Counts of good and bad requests in sliding windows, in bounded memory."""

from __future__ import annotations

from array import array
from datetime import timedelta
from typing import final

from sycamorenotch_kernel import BurnCounts
from sycamorenotch_kernel import BurnWindow

FINE_STEP = timedelta(minutes=1)
COARSE_STEP = timedelta(minutes=15)
FINE_WINDOW = timedelta(hours=1)
COARSE_WINDOW = timedelta(days=3)

EMPTY_SLOT = -1


@final
class CountRing:
    """Ring buffer of counts, one slot for each step of time.

    :param step: length of a step; a window ends with the current step.
    :param limit: longest window that can be queried.
    """

    def __init__(self, step: timedelta, limit: timedelta) -> None:
        self._step = step
        self._size = limit // step
        self._epochs = array("q", [EMPTY_SLOT]) * self._size
        self._total = array("L", [0]) * self._size
        self._failed = array("L", [0]) * self._size
        self._slow = array("L", [0]) * self._size

    def add(self, now: timedelta, counts: BurnCounts) -> None:
        """Add the counts of requests that ended now.

        :param now: monotonic time.
        """
        epoch = now // self._step
        slot = epoch % self._size
        if self._epochs[slot] != epoch:
            self._epochs[slot] = epoch
            self._total[slot] = self._failed[slot] = self._slow[slot] = 0
        self._total[slot] += counts.total
        self._failed[slot] += counts.failed
        self._slow[slot] += counts.slow

    def counts(self, now: timedelta, length: timedelta) -> BurnCounts:
        """Return the counts of the window that ends now.

        :param length: length of the window, at most the limit of the ring.
        """
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
    """Counts of one service level objective over every burn rate window."""

    def __init__(self) -> None:
        self._fine = CountRing(FINE_STEP, FINE_WINDOW)
        self._coarse = CountRing(COARSE_STEP, COARSE_WINDOW)

    def add(self, now: timedelta, counts: BurnCounts) -> None:
        """Add the counts of requests that ended now.

        :param now: monotonic time.
        """
        self._fine.add(now, counts)
        self._coarse.add(now, counts)

    def counts(self, now: timedelta) -> dict[BurnWindow, BurnCounts]:
        """Return the counts of every window that ends now."""
        return {
            window: self._ring(window.length).counts(now, window.length)
            for window in BurnWindow
        }

    def _ring(self, length: timedelta) -> CountRing:
        return self._fine if length <= FINE_WINDOW else self._coarse
