"""What an instance knows of the work of one service, from all of its workers.

Shared by the views of the service's workers.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from dataclasses import field
from typing import final

from sycamorenotch_policies.work._costs import CostTable

# Weight of a new figure in the average slowdown of the service's workers.
SLOWDOWN_WEIGHT = 0.05
# Workers state the figure with every answer. A service without it for longer is no
# longer known to do so.
STATED_LIFETIME_S = 30.0
# Upper bounds of the ratio of the time taken to the time expected.
ERROR_BOUNDS = (0.5, 0.8, 1.25, 2.0, 4.0)
# Ranks that sent no request within this time take no part in the order of ranks.
RANK_LIFETIME_S = 10.0
# Part of the longest queue that the lowest rank may fill.
LOWEST_RANK_SHARE = 0.5


@final
@dataclass(slots=True)
class ServiceWork:
    """Costs, usual slowdown and ranks of a service.

    :param usual_slowdown: average of the slowdowns that workers state.
    :param stated_at: time of the last stated slowdown; monotonic, in seconds.
    :param errors: number of answers by the ratio of time taken to time expected.
    """

    costs: CostTable = field(default_factory=CostTable)
    usual_slowdown: float = 1.0
    stated_at: float = -1e9
    errors: list[int] = field(default_factory=lambda: [0] * (len(ERROR_BOUNDS) + 1))
    _ranks: dict[int, float] = field(default_factory=dict)

    def states_slowdown(self, now: float) -> bool:
        """Return whether workers of the service stated a slowdown lately."""
        return now - self.stated_at <= STATED_LIFETIME_S

    def observe_slowdown(self, slowdown: float, now: float) -> None:
        """Record a slowdown that a worker states."""
        self.usual_slowdown += SLOWDOWN_WEIGHT * (slowdown - self.usual_slowdown)
        self.stated_at = now

    def record_error(self, taken_s: float, expected_s: float) -> None:
        """Count how far an answer was from its expectation."""
        ratio = taken_s / max(expected_s, 1e-3)
        self.errors[bisect_left(ERROR_BOUNDS, ratio)] += 1

    def queue_share(self, rank: int, now: float) -> float:
        """Return which part of the longest queue requests of a rank may fill.

        The highest rank of those in use may fill all of it.
        """
        if now - self._ranks.get(rank, -1e9) > 1.0:
            self._ranks[rank] = now
            since = now - RANK_LIFETIME_S
            self._ranks = {r: at for r, at in self._ranks.items() if at >= since}
        highest, lowest = min(self._ranks), max(self._ranks)
        if highest == lowest:
            return 1.0
        place = (rank - highest) / (lowest - highest)
        return 1.0 - (1.0 - LOWEST_RANK_SHARE) * place
