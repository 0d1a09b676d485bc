"""Virtual time for measurements: a queue of events and a clock."""

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
    """Runs actions in the order of their times; nothing waits.

    :ivar now_s: virtual time since the start, in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._order = count()
        self._queue: list[tuple[float, int, Action]] = []

    def after(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay in seconds."""
        heappush(self._queue, (self.now_s + delay_s, next(self._order), action))

    def every(self, period_s: float, action: Action, until_s: float) -> None:
        """Run an action now and then in a fixed period."""
        action()
        if self.now_s + period_s < until_s:
            self.after(period_s, lambda: self.every(period_s, action, until_s))

    def run(self) -> None:
        """Run every action that is left."""
        while self._queue:
            self.now_s, _, action = heappop(self._queue)
            action()

    def now(self) -> datetime:
        """Return the virtual wall clock time."""
        return START + timedelta(seconds=self.now_s)

    def monotonic(self) -> timedelta:
        """Return the virtual time since the start."""
        return timedelta(seconds=self.now_s)
