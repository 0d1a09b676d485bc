"""Retry budget: one instance's share of the retries to a service."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

# The unused part of the share covers instances that detect new peers late.
USED_SHARE = 0.8


@final
@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limit on the retries of all instances together.

    :param ratio: retries per first attempt in the window.
    :param window_s: length of the sliding window, in seconds.
    :param extra: retries per window that all instances together may add to the
        ratio.
    """

    ratio: float
    window_s: float
    extra: float


@final
@dataclass(slots=True)
class _Window:
    first_attempts: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@final
class RetryBudget:
    """Limits the retries of each service in a sliding window.

    One instance may retry the ratio of its own first attempts and an equal part
    of the extra retries.

    :param limits: returns the limit in force.
    """

    def __init__(self, limits: Callable[[], RetryLimits]) -> None:
        self._limits = limits
        self._services: dict[str, _Window] = {}

    def record_first_attempt(self, service: str, now: float) -> None:
        """Count a first attempt.

        :param now: monotonic time in seconds.
        """
        window = self._window(service, now)
        window.first_attempts.append(now)

    def try_acquire(self, service: str, now: float, instances: int) -> bool:
        """Count a retry if the budget allows one.

        :param now: monotonic time in seconds.
        :param instances: number of instances that share the extra retries.
        :return: whether the request may be retried.
        """
        window = self._window(service, now)
        limits = self._limits()
        share = limits.extra / max(1, instances)
        allowed = USED_SHARE * (limits.ratio * len(window.first_attempts) + share)
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._services.setdefault(service, _Window())
        since = now - self._limits().window_s
        for send_times in (window.first_attempts, window.retries):
            while send_times and send_times[0] <= since:
                send_times.popleft()
        return window
