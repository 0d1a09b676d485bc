"""The users' targets and whether a set of runs meets them."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from sycamorenotch_kernel import Rank
from sycamorenotch_workbench._bench_results import Results
from sycamorenotch_workbench._bench_scenarios import Scenario
from sycamorenotch_workbench._bench_systems import SystemUnderTest

URGENT_MISSES = 0.01
GOODPUT_FACTOR = 1.5
CALM_SERVED = 0.95

Runs = Mapping[tuple[Scenario, SystemUnderTest], Results]


@final
@dataclass(frozen=True, slots=True)
class Target:
    """One target and what was measured."""

    name: str
    met: bool
    measured: str


def targets(runs: Runs) -> Iterator[Target]:
    """Check every target that the scenarios of the runs can show."""
    own = {s.name: r for (s, system), r in runs.items() if not system.is_baseline}
    for name, results in own.items():
        yield _at_most(f"{name}: region use", results.region_use, 1.0)
        yield _at_most(f"{name}: link use", results.link_use, 1.0)
        cap = results.environment.shift.cap
        yield _at_most(f"{name}: shift against the cap", results.shift, cap)
        broken = results.violations
        yield Target(f"{name}: invariants", not broken, f"{broken} violations")
        if results.drain_s is not None:
            bound_s = results.environment.bounds.drain.total_seconds()
            measured = f"{results.drain_s:.2f} s of {bound_s:.0f} s"
            yield Target(f"{name}: drain time", results.drain_s <= bound_s, measured)
            late = results.late_starts
            yield Target(f"{name}: no late starts", not late, f"{late} starts")
    if "calm" in own:
        yield from _calm(own["calm"])
        yield from _floods(own, own["calm"])
    yield from _goodput(runs)


def _calm(calm: Results) -> Iterator[Target]:
    served = sum(calm.in_time(rank) for rank in Rank)
    share = served / sum(calm.offered(rank) for rank in Rank)
    met = share >= CALM_SERVED
    yield Target("calm: served", met, f"{share:.2%}, at least {CALM_SERVED:.0%}")


def _floods(own: Mapping[str, Results], calm: Results) -> Iterator[Target]:
    least = own.get("least-urgent-flood")
    if least is not None:
        misses = least.misses(Rank.URGENT)
        more = misses - calm.misses(Rank.URGENT)
        met = misses <= URGENT_MISSES and more <= URGENT_MISSES
        measured = f"{misses:.2%}, calm {calm.misses(Rank.URGENT):.2%}"
        yield Target("least-urgent-flood: urgent misses", met, measured)
    most = own.get("most-urgent-flood")
    if most is not None:
        pairs = {(r.rank, r.service) for r in most.environment.routes}
        for rank, service in sorted(pairs):
            if rank is not Rank.URGENT:
                kept = most.floor_kept(rank, service)
                name = f"most-urgent-flood: floor of {rank.label} in {service}"
                yield Target(name, kept >= 0.95, f"{kept:.0%} of the floor")


def _goodput(runs: Runs) -> Iterator[Target]:
    for scenario in {s: None for s, _ in runs}:
        if scenario.flood is None:
            continue
        found = {system: r for (s, system), r in runs.items() if s is scenario}
        own = next((r for system, r in found.items() if not system.is_baseline), None)
        best = max((r.goodput() for s, r in found.items() if s.is_baseline), default=0)
        if own is not None and best:
            factor, highest = own.goodput() / best, own.highest_goodput()
            measured = (
                f"{factor:.2f} times the best baseline; every slot in use all the "
                f"time would give {highest / best:.2f} times"
            )
            met = factor >= GOODPUT_FACTOR
            yield Target(f"{scenario.name}: worth-weighted goodput", met, measured)


def _at_most(name: str, value: float, limit: float) -> Target:
    return Target(name, value <= limit + 1e-9, f"{value:.1%}, at most {limit:.0%}")
