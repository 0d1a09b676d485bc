"""Performance targets of the users, checked against benchmark runs."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Rank
from sycamorenotch_workbench._bench_results import Results
from sycamorenotch_workbench._bench_scenarios import Scenario
from sycamorenotch_workbench._bench_systems import SystemUnderTest

MAX_URGENT_MISS_SHARE = 0.01
MIN_GOODPUT_FACTOR = 1.5
MIN_CALM_SERVED_SHARE = 0.95

Runs = Mapping[tuple[Scenario, SystemUnderTest], Results]


@final
@dataclass(frozen=True, slots=True)
class Target:
    """Result of the check of one target.

    :param met: whether the target is met.
    :param measured: measured value and limit as text.
    """

    name: str
    met: bool
    measured: str


def check_targets(runs: Runs) -> Iterator[Target]:
    """Check every target that applies to the scenarios of the runs."""
    system_results = {
        s.name: r for (s, system), r in runs.items() if not system.is_baseline
    }
    for name, results in system_results.items():
        yield _check_upper_bound(f"{name}: region use", results.region_utilisation, 1.0)
        yield _check_upper_bound(f"{name}: link use", results.link_utilisation, 1.0)
        cap = results.environment.shift.cap
        yield _check_upper_bound(f"{name}: shift against the cap", results.shift, cap)
        violation_count = results.violations
        yield Target(
            f"{name}: invariants", not violation_count, f"{violation_count} violations"
        )
        if results.drain_s is not None:
            bound_s = results.environment.bounds.drain.total_seconds()
            measured = f"{results.drain_s:.2f} s of {bound_s:.0f} s"
            yield Target(f"{name}: drain time", results.drain_s <= bound_s, measured)
            late = results.late_starts
            yield Target(f"{name}: no late starts", not late, f"{late} starts")
    if "calm" in system_results:
        yield from _check_calm(system_results["calm"])
        yield from _check_floods(system_results, system_results["calm"])
    yield from _check_goodput(runs)


def _check_calm(calm: Results) -> Iterator[Target]:
    served = sum(calm.in_time(rank) for rank in Rank)
    share = served / sum(calm.offered(rank) for rank in Rank)
    met = share >= MIN_CALM_SERVED_SHARE
    yield Target(
        "calm: served", met, f"{share:.2%}, at least {MIN_CALM_SERVED_SHARE:.0%}"
    )


def _check_floods(
    system_results: Mapping[str, Results], calm: Results
) -> Iterator[Target]:
    least = system_results.get("least-urgent-flood")
    if least is not None:
        miss_share = least.miss_share(Rank.URGENT)
        increase = miss_share - calm.miss_share(Rank.URGENT)
        met = miss_share <= MAX_URGENT_MISS_SHARE and increase <= MAX_URGENT_MISS_SHARE
        measured = f"{miss_share:.2%}, calm {calm.miss_share(Rank.URGENT):.2%}"
        yield Target("least-urgent-flood: urgent misses", met, measured)
    most = system_results.get("most-urgent-flood")
    if most is not None:
        pairs = {(r.rank, r.service) for r in most.environment.routes}
        for rank, service in sorted(pairs):
            if rank is not Rank.URGENT:
                attainment = most.floor_attainment(rank, service)
                name = f"most-urgent-flood: floor of {rank.label} in {service}"
                yield Target(name, attainment >= 0.95, f"{attainment:.0%} of the floor")


def _check_goodput(runs: Runs) -> Iterator[Target]:
    for scenario in {s: None for s, _ in runs}:
        if scenario.flood is None:
            continue
        scenario_results = {
            system: r for (s, system), r in runs.items() if s is scenario
        }
        own_results = next(
            (r for system, r in scenario_results.items() if not system.is_baseline),
            None,
        )
        best = max(
            (r.goodput() for s, r in scenario_results.items() if s.is_baseline),
            default=0,
        )
        if own_results is not None and best:
            factor, upper_bound = (
                own_results.goodput() / best,
                own_results.max_goodput(),
            )
            measured = (
                f"{factor:.2f} times the best baseline; the upper bound is "
                f"{upper_bound / best:.2f} times"
            )
            met = factor >= MIN_GOODPUT_FACTOR
            yield Target(f"{scenario.name}: worth-weighted goodput", met, measured)


def _check_upper_bound(name: str, value: float, limit: float) -> Target:
    return Target(name, value <= limit + 1e-9, f"{value:.1%}, at most {limit:.0%}")
