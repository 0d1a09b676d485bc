"""One instance's share of the retries that a service bears."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

# Part of the share that is used; the rest covers instances that count
# their peers late.
USED_PART = 0.8


@final
@dataclass(frozen=True, slots=True)
class RetryTerms:
    """The bound on all instances together.

    :param ratio: retries for each request in the window.
    :param window_s: length of the sliding window.
    :param extra: retries in a window beyond the ratio, of all instances.
    """

    ratio: float
    window_s: float
    extra: float


@final
@dataclass(slots=True)
class _Counts:
    first: deque[float] = field(default_factory=deque)
    again: deque[float] = field(default_factory=deque)


@final
class RetryAllowance:
    """Counts the requests and retries of each service in a sliding window.

    The share of one instance is the ratio of its own requests and an equal part
    of the extra retries.

    :param terms: returns the bound in force.
    """

    def __init__(self, terms: Callable[[], RetryTerms]) -> None:
        self._terms = terms
        self._services: dict[str, _Counts] = {}

    def requested(self, service: str, now: float) -> None:
        """Count a request that is sent for the first time."""
        counts = self._counts(service, now)
        counts.first.append(now)

    def take(self, service: str, now: float, instances: int) -> bool:
        """Count a retry, if there is one left.

        :param instances: instances that share the extra retries.
        """
        counts = self._counts(service, now)
        terms = self._terms()
        share = terms.extra / max(1, instances)
        allowed = USED_PART * (terms.ratio * len(counts.first) + share)
        if len(counts.again) + 1 > allowed:
            return False
        counts.again.append(now)
        return True

    def _counts(self, service: str, now: float) -> _Counts:
        counts = self._services.setdefault(service, _Counts())
        since = now - self._terms().window_s
        for moments in (counts.first, counts.again):
            while moments and moments[0] <= since:
                moments.popleft()
        return counts
