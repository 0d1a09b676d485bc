"""Discrete-event scheduler and clock of the benchmarks."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC
from datetime import datetime
from datetime import timedelta
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import final

Action = Callable[[], None]

START = datetime(2026, 1, 1, tzinfo=UTC)


@final
class VirtualTime:
    """Runs scheduled actions in time order without waiting.

    :ivar now_s: virtual time since the start, in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._order = count()
        self._queue: list[tuple[float, int, Action]] = []

    def after(self, delay_s: float, action: Action) -> None:
        """Schedule an action after a delay in seconds."""
        heappush(self._queue, (self.now_s + delay_s, next(self._order), action))

    def every(self, period_s: float, action: Action, until_s: float) -> None:
        """Run an action now and then periodically.

        :param period_s: period in seconds.
        :param until_s: virtual time in seconds before which the last run starts.
        """
        action()
        if self.now_s + period_s < until_s:
            self.after(period_s, lambda: self.every(period_s, action, until_s))

    def run(self) -> None:
        """Run all scheduled actions."""
        while self._queue:
            self.now_s, _, action = heappop(self._queue)
            action()

    def now(self) -> datetime:
        """Return the virtual wall-clock time."""
        return START + timedelta(seconds=self.now_s)

    def monotonic(self) -> timedelta:
        """Return the virtual time since the start."""
        return timedelta(seconds=self.now_s)
