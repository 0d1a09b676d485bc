"""Load of a service's workers, as far as the answers to one instance tell it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

# Weight of a new report in the moving average.
REPORT_WEIGHT = 0.2
# The average counts less the older its last report is, and not at all after this.
LIFETIME_S = 3.0


@final
@dataclass(slots=True)
class ServiceLoad:
    """Moving average of the load that the workers of a service report.

    Where an instance seldom hears from each worker, it stands for the load of those
    from which it has not heard lately. Newer reports count more than an even mean of
    all workers would let them: workers that are refused requests report nothing.
    """

    _average: float = 0.0
    _reported_at: float = -1e9

    def observe(self, load_per_slot: float, now: float) -> None:
        """Add the load that a worker reports.

        :param load_per_slot: requests for each slot, running and waiting.
        :param now: monotonic time in seconds.
        """
        average = self.per_slot(now)
        self._average = average + REPORT_WEIGHT * (load_per_slot - average)
        self._reported_at = now

    def per_slot(self, now: float) -> float:
        """Return the expected load of a worker per slot; 0 without recent reports."""
        age_s = now - self._reported_at
        return self._average * max(0.0, 1.0 - age_s / LIFETIME_S)
