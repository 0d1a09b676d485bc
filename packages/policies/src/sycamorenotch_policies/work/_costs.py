"""Likely cost of a request, by its route and by whether the worker has its object warm.

Decides nothing itself; the choice of a worker and the second attempt rely on it. A cost
is the time in seconds that a worker's slot is in use at the usual speed of its machine.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import final

# An answer may come sooner than the assumed way takes. No cost is zero, as others are
# compared with it.
MIN_COST_S = 0.001
# Applies until the service has answered a request.
DEFAULT_COST_S = 0.5
# A sample weighs at least this much, so that the mean follows a change within some
# tens of answers.
MIN_SAMPLE_WEIGHT = 1 / 50
# The number of samples that a mean stands for halves in this time without new ones.
HALF_LIFE_S = 30.0
MAX_AGE_S = 3600.0
# An estimate without a new answer for longer is no ground for a refusal.
CERTAIN_S = 10.0
# Three requests in a hundred take seven times the mean. Beyond this multiple a sample
# would raise the mean for tens of ordinary requests.
MAX_SAMPLE_MEANS = 3.0
MIN_SAMPLES_TO_CUT = 5.0
TAIL_DEVIATIONS = 4.0
# Deviation as a fraction of the mean before the second answer.
DEFAULT_DEVIATION = 0.5
MAX_ROUTES = 256


@final
@unique
class Warmth(Enum):
    """How likely a worker has an object warm, as far as this instance knows."""

    SEEN = "this instance had an answer for it lately"
    OWNED = "the first owner, which other instances use too"
    UNSEEN = "any other worker"


# Cost relative to that for a cold object, while no answer has shown it.
DEFAULT_RATIOS = {Warmth.SEEN: 0.4, Warmth.OWNED: 0.6, Warmth.UNSEEN: 1.0}


@final
@dataclass(slots=True)
class CostEstimate:
    """Mean and mean absolute deviation of a cost, in seconds.

    :param samples: number of answers that the mean stands for; decays.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: float = 0.0
    updated_at: float = -1e9

    @property
    def tail_s(self) -> float:
        """Cost that few ordinary requests exceed, in seconds."""
        return self.mean_s + TAIL_DEVIATIONS * self.deviation_s

    def optimistic_s(self, now: float) -> float:
        """Return a cost that few requests fall short of, in seconds.

        Nothing is certain without recent answers, which a service that refuses all
        requests would never get.
        """
        if now - self.updated_at > CERTAIN_S:
            return 0.0
        return max(0.3 * self.mean_s, self.mean_s - 2.0 * self.deviation_s)

    def scaled(self, ratio: float) -> CostEstimate:
        """Return the estimate for requests that cost a multiple."""
        return CostEstimate(self.mean_s * ratio, self.deviation_s * ratio)

    def observe(self, cost_s: float, weight: float, now: float) -> None:
        """Add the cost of an answered request.

        :param weight: confidence in the sample, from 0 to 1.
        :param now: monotonic time in seconds.
        """
        age_s = min(MAX_AGE_S, now - self.updated_at)
        self.samples *= 0.5 ** (age_s / HALF_LIFE_S)
        self.updated_at = now
        if self.samples > MIN_SAMPLES_TO_CUT:
            cost_s = min(cost_s, MAX_SAMPLE_MEANS * self.mean_s)
        self.samples += weight
        if self.samples <= weight:
            self.mean_s, self.deviation_s = cost_s, DEFAULT_DEVIATION * cost_s
            return
        gain = weight * max(MIN_SAMPLE_WEIGHT, 1.0 / self.samples)
        error = cost_s - self.mean_s
        self.mean_s += gain * error
        self.deviation_s += gain * (abs(error) - self.deviation_s)


@final
class CostTable:
    """Costs of the requests to one service, by route and warmth."""

    def __init__(self) -> None:
        self._routes: OrderedDict[str, dict[Warmth, CostEstimate]] = OrderedDict()
        self.overall = CostEstimate(DEFAULT_COST_S, DEFAULT_DEVIATION * DEFAULT_COST_S)

    def __len__(self) -> int:
        return len(self._routes)

    def estimate(self, route: str, warmth: Warmth) -> CostEstimate:
        """Return the likely cost of a request of a route."""
        known = self._routes.get(route, {})
        found = known.get(warmth)
        if found is not None:
            return found
        if not known:
            return self.overall
        # The other warmth tells more than the mean of the service.
        other, estimate = max(known.items(), key=lambda item: item[1].samples)
        return estimate.scaled(DEFAULT_RATIOS[warmth] / DEFAULT_RATIOS[other])

    def observe(
        self, route: str, warmth: Warmth, cost_s: float, weight: float, now: float
    ) -> None:
        """Add the cost of a request that was answered in full and without an error.

        :param weight: confidence in the sample, from 0 to 1.
        :param now: monotonic time in seconds.
        """
        cost_s = max(MIN_COST_S, cost_s)
        known = self._routes.setdefault(route, {})
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        known.setdefault(warmth, CostEstimate()).observe(cost_s, weight, now)
        self.overall.observe(cost_s, weight, now)
