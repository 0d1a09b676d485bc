"""When a store that came back from an older copy has its lost writes again."""

from __future__ import annotations

from math import inf
from typing import final

# What the store has lost is written again within two seconds of its return; the rest
# covers the delay of the watch.
REWRITE_S = 2.2
# Era of a store that never came back from an older copy. One that does not state its
# era, which counts as 0, is trusted from the start too.
FIRST_ERA = 1


@final
class LostWrites:
    """Tells from when the answers of a store include all that it has acknowledged.

    Answers a store that loses acknowledged writes when it comes back from an older
    copy. An instance that has just started cannot tell an era that has begun a moment
    ago from one that has lasted, and so waits too. All times are seconds on one clock.
    """

    def __init__(self) -> None:
        # None before the first answer.
        self._era: int | None = None
        self._complete_from = -inf

    def observe(self, era: int, now: float) -> bool:
        """Record the era of an answer.

        :return: whether the store may have lost writes since the last one.
        """
        known, newest = self._era, era if self._era is None else max(self._era, era)
        self._era = newest
        if newest == known or (known is None and newest <= FIRST_ERA):
            return False
        self._complete_from = now + REWRITE_S
        return True

    def includes_all(self, era: int, produced_at: float) -> bool:
        """Whether an answer includes every write acknowledged before it.

        :param era: era of the answer, which was recorded.
        :param produced_at: when the store produced the answer.
        """
        return era == self._era and produced_at >= self._complete_from
