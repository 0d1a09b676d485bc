"""Merges what the instances recorded for each service-level objective."""

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
class MergedSpender:
    """A cause that spent error budget, over all instances."""

    kind: str
    count: int
    decisions: tuple[str, ...]


@final
@dataclass(frozen=True, slots=True)
class MergedObjective:
    """One objective over all instances that answered.

    :param latency_s: limit of a good answer, in seconds.
    :param percentiles: latencies since the instances' start, in milliseconds.
    """

    service: str
    rank: str
    target: BurnTarget
    latency_s: float
    counts: dict[BurnWindow, BurnCounts]
    percentiles: dict[float, float]
    spenders: tuple[MergedSpender, ...]

    @property
    def name(self) -> str:
        """Service and rank, for people."""
        return f"{self.service} {self.rank}"

    @property
    def rates(self) -> dict[BurnWindow, float]:
        """Burn rate in each window."""
        return {w: self.target.rate(c) for w, c in self.counts.items()}

    @property
    def budget_left(self) -> float:
        """Unspent share of the budget of the longest window."""
        return self.target.budget_left(self.counts[BurnWindow.THREE_DAYS])

    @property
    def alarms(self) -> tuple[BurnAlarm, ...]:
        """Alarms that are raised."""
        return raised_alarms(self.target, self.counts)


def merge(answers: Iterable[BurnModel]) -> tuple[MergedObjective, ...]:
    """Return each objective, with the counts of all instances together."""
    grouped: dict[tuple[str, str], list[ObjectiveModel]] = {}
    for item in chain.from_iterable(answer.objectives for answer in answers):
        grouped.setdefault((item.service, item.rank), []).append(item)
    return tuple(_merge_one(parts) for parts in grouped.values())


def _merge_one(parts: list[ObjectiveModel]) -> MergedObjective:
    first = parts[0]
    return MergedObjective(
        service=first.service,
        rank=first.rank,
        target=BurnTarget(first.availability, first.latency_share),
        latency_s=first.latency_s,
        counts={window: _counts(parts, window) for window in BurnWindow},
        percentiles=_percentiles([part.histogram for part in parts]),
        spenders=_spenders(parts),
    )


def _counts(parts: list[ObjectiveModel], window: BurnWindow) -> BurnCounts:
    found = (part.windows[window] for part in parts)
    return reduce(add, (BurnCounts(**c.model_dump()) for c in found), BurnCounts())


def _percentiles(encoded: list[str]) -> dict[float, float]:
    merged = HdrHistogram.decode(encoded[0])
    for other in encoded[1:]:
        merged.decode_and_add(other)
    return {p: float(merged.get_value_at_percentile(p)) for p in PERCENTILES}


def _spenders(parts: list[ObjectiveModel]) -> tuple[MergedSpender, ...]:
    found = [spender for part in parts for spender in part.spent]
    counts: Counter[str] = Counter()
    for spender in found:
        counts[spender.kind] += spender.count
    return tuple(
        MergedSpender(
            kind,
            count,
            tuple(d for s in found if s.kind == kind for d in s.decisions)[
                -DECISIONS_SHOWN:
            ],
        )
        for kind, count in counts.most_common()
        if count
    )
