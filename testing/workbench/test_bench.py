"""Tests of the simulation that the benchmarks run on."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import Rank
from sycamorenotch_workbench._bench_results import RequestResult
from sycamorenotch_workbench._bench_results import Results
from sycamorenotch_workbench._bench_run import Run
from sycamorenotch_workbench._bench_scenarios import SCENARIOS
from sycamorenotch_workbench._bench_scenarios import scale_environment
from sycamorenotch_workbench._bench_systems import SYSTEMS

EXAMPLE = Path(__file__).parents[2] / "examples" / "vatukoula.ini"
ENVIRONMENT = scale_environment(parse_environment(EXAMPLE.read_text()))
SHORT = replace(SCENARIOS[0], duration_s=8.0)


def run(system: int, seed: int) -> Results:
    return Run(ENVIRONMENT, SHORT, SYSTEMS[system], seed).run()


@pytest.mark.parametrize("system", range(len(SYSTEMS)))
def test_urgent_requests_are_answered_when_load_is_calm(system: int) -> None:
    results = run(system, 1)
    assert results.in_time(Rank.URGENT) > 100
    assert results.violations == 0


def test_results_are_equal_when_seed_is_equal() -> None:
    assert run(0, 3).result_counts == run(0, 3).result_counts
    assert run(0, 3).result_counts != run(0, 4).result_counts


def test_percentile_and_miss_share_are_computed_from_recorded_results() -> None:
    results = Results(ENVIRONMENT, 10.0)
    for latency_s in (0.1, 0.2, 0.3):
        results.count("issuing", Rank.URGENT, RequestResult.IN_TIME, latency_s)
    results.count("issuing", Rank.URGENT, RequestResult.REFUSED, 0.0)
    assert results.miss_share(Rank.URGENT) == 0.25
    assert results.percentile_ms(Rank.URGENT, 50) == pytest.approx(200, rel=0.01)
    assert results.goodput() == pytest.approx(3 * 100 / 10)
