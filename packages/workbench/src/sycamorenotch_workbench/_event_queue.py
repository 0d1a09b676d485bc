"""Queue of scheduled calls under a virtual clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final


@final
@dataclass(order=True, slots=True)
class Timer:
    """Scheduled call; calls due at the same time run in the order of their number.

    :param time: virtual time in seconds.
    :param number: position in the order of scheduling.
    :param function: function to call, or None once run or cancelled.
    """

    time: float
    number: int
    function: Callable[[], object] | None = field(compare=False)

    def active(self) -> bool:
        """Return whether the call is pending."""
        return self.function is not None

    def cancel(self) -> None:
        """Cancel the call."""
        self.function = None


@final
class EventQueue:
    """Runs scheduled calls in order and advances the virtual clock to each."""

    def __init__(self) -> None:
        self._now = 0.0
        self._count = 0
        self._timers: list[Timer] = []

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def call_later(self, delay: float, function: Callable[[], object]) -> Timer:
        """Schedule a function after a delay in seconds; negative delays count as 0."""
        self._count += 1
        timer = Timer(self._now + max(0.0, delay), self._count, function)
        heapq.heappush(self._timers, timer)
        return timer

    def step(self, limit: float | None = None) -> bool:
        """Run the next call.

        :param limit: virtual time in seconds; calls due later are not run.
        :return: whether a call was run.
        """
        self._drop_cancelled()
        if not self._timers or (limit is not None and self._timers[0].time > limit):
            return False
        timer = heapq.heappop(self._timers)
        self._now = timer.time
        function, timer.function = timer.function, None
        assert function is not None
        function()
        return True

    def run_until(self, limit: float) -> None:
        """Run every call due up to a virtual time in seconds."""
        while self.step(limit):
            pass
        self._now = max(self._now, limit)

    def _drop_cancelled(self) -> None:
        while self._timers and not self._timers[0].active():
            heapq.heappop(self._timers)
