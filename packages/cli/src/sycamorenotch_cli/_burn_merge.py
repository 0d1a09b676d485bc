"""Merges the counts that instances recorded for service-level objectives."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from functools import reduce
from itertools import chain
from operator import add
from typing import final

from hdrh.histogram import HdrHistogram

from sycamorenotch_cli._messages import BurnModel
from sycamorenotch_cli._messages import ObjectiveModel
from sycamorenotch_kernel import BurnAlarm
from sycamorenotch_kernel import BurnCounts
from sycamorenotch_kernel import BurnTarget
from sycamorenotch_kernel import BurnWindow
from sycamorenotch_kernel import raised_alarms

DECISIONS_SHOWN = 3
PERCENTILES = (50.0, 95.0, 99.0)


@final
@dataclass(frozen=True, slots=True)
class MergedBurnCause:
    """Failed or slow requests of one kind, over all instances.

    :param kind: an error kind, ``slow``, or the class of an upstream's status.
    :param count: number of requests; each of them spent error budget.
    :param decisions: identifiers of the newest of their decisions.
    """

    kind: str
    count: int
    decisions: tuple[str, ...]


@final
@dataclass(frozen=True, slots=True)
class MergedObjective:
    """An objective over all instances that responded.

    :param latency_s: latency objective, in seconds.
    :param percentiles: latencies since the instances started, in milliseconds.
    """

    service: str
    rank: str
    target: BurnTarget
    latency_s: float
    counts: dict[BurnWindow, BurnCounts]
    percentiles: dict[float, float]
    burn_causes: tuple[MergedBurnCause, ...]

    @property
    def name(self) -> str:
        """Display name of the objective."""
        return f"{self.service} {self.rank}"

    @property
    def rates(self) -> dict[BurnWindow, float]:
        """Burn rate in each window."""
        return {w: self.target.rate(c) for w, c in self.counts.items()}

    @property
    def budget_left(self) -> float:
        """Unspent share of the error budget in the longest window."""
        return self.target.budget_left(self.counts[BurnWindow.THREE_DAYS])

    @property
    def alarms(self) -> tuple[BurnAlarm, ...]:
        """Alarms that are raised by the merged counts."""
        return raised_alarms(self.target, self.counts)


def merge(responses: Iterable[BurnModel]) -> tuple[MergedObjective, ...]:
    """Return each objective with the summed counts of all instances."""
    grouped: dict[tuple[str, str], list[ObjectiveModel]] = {}
    for item in chain.from_iterable(response.objectives for response in responses):
        grouped.setdefault((item.service, item.rank), []).append(item)
    return tuple(_merge_objective(parts) for parts in grouped.values())


def _merge_objective(parts: list[ObjectiveModel]) -> MergedObjective:
    first = parts[0]
    return MergedObjective(
        service=first.service,
        rank=first.rank,
        target=BurnTarget(first.availability, first.latency_share),
        latency_s=first.latency_s,
        counts={window: _sum_counts(parts, window) for window in BurnWindow},
        percentiles=_merge_percentiles([part.histogram for part in parts]),
        burn_causes=_merge_burn_causes(parts),
    )


def _sum_counts(parts: list[ObjectiveModel], window: BurnWindow) -> BurnCounts:
    found = (part.windows[window] for part in parts)
    return reduce(add, (BurnCounts(**c.model_dump()) for c in found), BurnCounts())


def _merge_percentiles(encoded: list[str]) -> dict[float, float]:
    merged = HdrHistogram.decode(encoded[0])
    for other in encoded[1:]:
        merged.decode_and_add(other)
    return {p: float(merged.get_value_at_percentile(p)) for p in PERCENTILES}


def _merge_burn_causes(parts: list[ObjectiveModel]) -> tuple[MergedBurnCause, ...]:
    found = [burn_cause for part in parts for burn_cause in part.spent]
    counts: Counter[str] = Counter()
    for burn_cause in found:
        counts[burn_cause.kind] += burn_cause.count
    return tuple(
        MergedBurnCause(
            kind,
            count,
            tuple(d for s in found if s.kind == kind for d in s.decisions)[
                -DECISIONS_SHOWN:
            ],
        )
        for kind, count in counts.most_common()
        if count
    )
