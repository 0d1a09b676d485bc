"""Tests of who is served under load patterns that instances know little about.

The bounds are fractions of requests. Each states what callers of a service with these
workers are to get, and the pattern it answers.
"""

from __future__ import annotations

import pytest
from testing.policies.load_pattern import Pattern
from testing.policies.worker_model import Outcome
from testing.policies.worker_model import Simulation

SEEDS = (1, 2, 3)
# At most one arrival in twenty may be shed by a worker.
MAX_SHED = 0.05


def play(seed: int, **pattern) -> Outcome:
    return Simulation(Pattern(seed=seed, **pattern)).run()


def burst(now: float) -> float:
    """Four times the usual rate for six seconds, above what the workers can do."""
    return 300.0 if 6.0 < now < 12.0 else 80.0


@pytest.mark.parametrize("seed", SEEDS)
def test_calm_service_refuses_almost_nobody(seed: int) -> None:
    outcome = play(seed, rate=lambda now: 40.0)
    assert outcome.served >= 0.95
    assert outcome.shed <= MAX_SHED * outcome.arrivals


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_is_refused_by_instances_not_shed_by_workers(seed: int) -> None:
    outcome = play(seed, rate=burst)
    assert outcome.shed <= MAX_SHED * outcome.arrivals
    # Requests that a worker runs to no end take the place of others.
    assert outcome.failed <= MAX_SHED * outcome.total


@pytest.mark.parametrize("seed", SEEDS)
def test_lasting_overload_does_not_push_objects_out_of_the_workers_memory(
    seed: int,
) -> None:
    # The workers can do 54 requests a second for objects that they do not remember,
    # and four times as many for others: serve twice what the first could be.
    outcome = play(seed, rate=lambda now: 220.0, returns=0)
    assert outcome.served >= 2 * 54 / 220
    assert outcome.on_time >= outcome.late
    assert outcome.shed <= MAX_SHED * outcome.arrivals


@pytest.mark.parametrize("seed", SEEDS)
def test_object_in_demand_is_spread_while_the_service_has_capacity(seed: int) -> None:
    # Of 30 requests a second for one object, a worker can do 12.
    outcome = play(seed, rate=lambda now: 50.0, hot_share=0.6)
    assert outcome.served > 0.4 + 0.6 * 12 / 30
