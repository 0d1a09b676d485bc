"""Benchmarks the policies against baselines: ``make bench``."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
from pathlib import Path

from absl import app
from absl import flags

from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import load_plugins
from sycamorenotch_workbench._bench_results import Results
from sycamorenotch_workbench._bench_run import Run
from sycamorenotch_workbench._bench_scenarios import SCENARIOS
from sycamorenotch_workbench._bench_scenarios import scale_environment
from sycamorenotch_workbench._bench_systems import SYSTEMS
from sycamorenotch_workbench._bench_systems import SystemUnderTest
from sycamorenotch_workbench._bench_targets import check_targets

EXAMPLES = Path(__file__).parents[4] / "examples"
USERS = ("vatukoula", "lacteos")

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of every random source.")
flags.DEFINE_enum("scenario", None, [s.name for s in SCENARIOS], "Only this scenario.")
flags.DEFINE_enum("user", None, USERS, "Only this user's document.")

HEADER = (
    f"{'scenario':29}{'system':15}{'rank':11}{'offered':>8}{'p50 ms':>8}{'p99 ms':>8}"
    f"{'misses':>8}{'refused':>8}{'goodput':>9}{'region':>7}{'link':>6}{'shift':>7}"
)


def format_rows(
    scenario: str, system: SystemUnderTest, results: Results
) -> Iterator[str]:
    """Yield one line of output for each rank with requests."""
    # Shifts are computed from plans, which the baselines do not have.
    shift = "-" if system.is_baseline else f"{results.shift:.2%}"
    for rank in Rank:
        if not results.offered(rank):
            continue
        p50_ms = results.percentile_ms(rank, 50)
        p99_ms = results.percentile_ms(rank, 99)
        yield (
            f"{scenario:29}{system.name:15}{rank.label:11}{results.offered(rank):8d}"
            f"{p50_ms:8.0f}{p99_ms:8.0f}"
            f"{results.miss_share(rank):8.2%}{results.refused_share(rank):8.2%}"
            f"{results.goodput():9.0f}{results.region_utilisation:7.0%}"
            f"{results.link_utilisation:6.0%}{shift:>7}"
        )


def measure(user: str, seed: int, only: str | None) -> int:
    """Run the scenarios of one user and print the results and targets.

    :param user: name of the user's document.
    :param seed: seed of every random source.
    :param only: name of the only scenario to run; None for all.
    :return: number of missed targets.
    """
    environment = scale_environment(
        parse_environment((EXAMPLES / f"{user}.ini").read_text())
    )
    selected = [s for s in SCENARIOS if only in (None, s.name)]
    print(f"\n{user}, seed {seed}\n{HEADER}")
    runs = {}
    for scenario in selected:
        for system in SYSTEMS:
            results = Run(environment, scenario, system, seed).run()
            runs[scenario, system] = results
            print("\n".join(format_rows(scenario.name, system, results)))
    checked = tuple(check_targets(runs))
    print()
    for target in checked:
        print(f"{'met' if target.met else 'MISSED':7}{target.name}: {target.measured}")
    return sum(not target.met for target in checked)


def main(argv: Sequence[str]) -> None:
    """Run the benchmarks selected by the flags."""
    load_plugins()
    users = [user for user in USERS if FLAGS.user in (None, user)]
    missed = sum(measure(user, FLAGS.seed, FLAGS.scenario) for user in users)
    print(f"\n{missed} targets missed")


if __name__ == "__main__":
    app.run(main)
