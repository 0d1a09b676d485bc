"""Tests of load patterns under which requests differ in their work.

The same requests are served by both choices of workers. The bounds are what callers are
to notice, not what was measured; the page on the design has the measured figures.
"""

from __future__ import annotations

from itertools import pairwise

import pytest
from testing.policies.load_pattern import Mix
from testing.policies.load_pattern import Pattern
from testing.policies.load_pattern import best_possible
from testing.policies.load_pattern import make_route
from testing.policies.worker_model import Outcome
from testing.policies.worker_model import Simulation

SEEDS = (1, 2, 3)
# At most one arrival in twenty may be shed by a worker.
MAX_SHED = 0.05
# From one 2 s span to the next, of the requests of a region.
MAX_REGION_CHANGE = 0.15
WORKERS = {
    "workers": 18,
    "slots": 4,
    "queue": 12,
    "memory": 30,
    "warm_factor": 0.3,
    "spread": 0.15,
    "instances": 40,
    "stated": True,
}
VIEW = Mix(make_route("view", 0.418), 4, 0.44, 250)
HISTORY = Mix(make_route("history", 0.207), 1, 0.18, 80)
SHORT = Mix(make_route("short", 0.25), 8, 0.18, 150)
LONG = Mix(make_route("long", 2.5), 1, 2.2, 60)


def play(choice: str, seed: int, **changes) -> Outcome:
    pattern = Pattern(choice=choice, seed=seed, **{**WORKERS, **changes})
    return Simulation(pattern).run()


def compare(seed: int, **changes) -> tuple[Outcome, Outcome]:
    return play("affinity", seed, **changes), play("earliest-finish", seed, **changes)


def missed(outcomes: list[Outcome], route: str = "") -> float:
    """Return the fraction of requests without an answer in time."""
    if not route:
        return 1 - sum(o.on_time for o in outcomes) / sum(o.total for o in outcomes)
    on_time = sum(outcome.on_time_by_route[route] for outcome in outcomes)
    return 1 - on_time / sum(outcome.total_by_route[route] for outcome in outcomes)


# An object in demand had two owners, which shed what four and more could have served.
@pytest.mark.parametrize("seed", SEEDS)
def test_burst_for_one_cold_object_is_spread(seed: int) -> None:
    pattern = {
        "rate": lambda now: 90.0 if now < 8.0 else 200.0,
        "duration_s": 24.0,
        "hot_share": 0.5,
        "mixes": (Mix(VIEW.route, 1, 0.44, 150),),
    }
    before, after = compare(seed, **pattern)
    assert missed([after]) <= 0.5 * missed([before])
    assert after.shed <= MAX_SHED * after.arrivals


# Routes of unequal cost look alike if requests are only counted.
def test_short_requests_are_late_behind_long_ones_less_often() -> None:
    pattern = {
        "rate": lambda now: 380.0,
        "duration_s": 20.0,
        "instances": 5,
        "deadline_s": 4.0,
        "mixes": (SHORT, LONG),
    }
    pairs = [compare(seed, **pattern) for seed in SEEDS]
    before, after = map(list, zip(*pairs, strict=True))
    assert missed(after, "short") <= 0.9 * missed(before, "short")
    assert missed(after, "long") <= missed(before, "long")


# Copies of objects pushed others out of the workers' memory while the service was busy,
# so that half of all runs were cold for good.
@pytest.mark.parametrize("rate", [220.0, 320.0])
def test_even_demand_on_slow_machines_is_served_no_worse(rate: float) -> None:
    pattern = {
        "rate": lambda now: rate,
        "mixes": (VIEW, HISTORY),
        "tail_share": 0.03,
        "slow_share": 0.15,
    }
    pairs = [compare(seed, **pattern) for seed in SEEDS]
    before, after = map(list, zip(*pairs, strict=True))
    assert missed(after) <= missed(before) + 0.02
    assert sum(o.cold for o in after) <= 1.1 * sum(o.cold for o in before)
    assert all(outcome.shed <= MAX_SHED * outcome.arrivals for outcome in after)


# No choice may look better than one that knows all work; else the model is wrong.
def test_bound_is_above_both_choices() -> None:
    changes = {**WORKERS, "rate": lambda now: 220.0, "mixes": (VIEW, HISTORY)}
    bound = best_possible(Pattern(**changes))
    assert all(1 - missed([outcome]) <= bound for outcome in compare(1, **changes))


# Requests moved to another region and back within seconds, with every wave of demand.
def test_waves_and_objects_in_demand_move_few_requests_between_regions() -> None:
    outcome = play(
        "earliest-finish",
        1,
        workers=72,
        rate=lambda now: 1100.0 if 8.0 < now < 12.0 else 700.0,
        hot_share=0.25,
        slow_share=0.15,
        mixes=(Mix(VIEW.route, 4, 0.44, 800), Mix(HISTORY.route, 1, 0.18, 300)),
        regions=((0.45, 0.35), (0.45, 0.32), (0.10, 0.33)),
    )
    # The last span is not whole.
    spans = range(2, max(span for span, _, _ in outcome.regions) - 1)
    names = {region for _, _, region in outcome.regions}
    for region in names:
        shares = [
            {to: outcome.regions[span, region, to] for to in names} for span in spans
        ]
        shares = [{to: n / sum(s.values()) for to, n in s.items()} for s in shares]
        changes = [
            sum(abs(after[to] - before[to]) for to in names) / 2
            for before, after in pairwise(shares)
        ]
        assert max(changes) <= MAX_REGION_CHANGE
