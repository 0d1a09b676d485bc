"""When refused callers are to come back, so that each finds room at a worker."""

from __future__ import annotations

from typing import final

# An instance that holds no share of any worker may hold one after this time, and
# other instances may have room before.
DEFAULT_RETURN_S = 1.0
# A later return is past the patience of most callers; those beyond it share it.
MAX_RETURN_S = 5.0


@final
class ReturnSchedule:
    """Returns of refused callers, spread at the rate at which room comes free.

    A caller of a higher rank returns before those of lower ranks that were refused
    earlier: its place moves theirs, and theirs do not move its.
    """

    def __init__(self) -> None:
        self._taken_until: dict[int, float] = {}

    def next_s(self, rank: int, wait_s: float, rate: float, now: float) -> float:
        """Return the time after which a refused caller is to return, in seconds.

        :param rank: rank of its route; 0 is the highest.
        :param wait_s: time until there is room for one request, in seconds.
        :param rate: requests per second for which room comes free.
        :param now: monotonic time in seconds.
        """
        if rate <= 0:
            return DEFAULT_RETURN_S
        taken = self._taken_until
        at = max(now + wait_s, taken.get(rank, 0.0))
        for lower in {rank, *(other for other in taken if other > rank)}:
            taken[lower] = max(at, taken.get(lower, 0.0)) + 1.0 / rate
        latest = now + MAX_RETURN_S
        self._taken_until = {name: min(t, latest) for name, t in taken.items()}
        return min(at - now, MAX_RETURN_S)
