"""Measures the policies against baselines: ``make bench``."""

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
from sycamorenotch_workbench._bench_scenarios import scaled
from sycamorenotch_workbench._bench_systems import SYSTEMS
from sycamorenotch_workbench._bench_systems import SystemUnderTest
from sycamorenotch_workbench._bench_targets import targets

EXAMPLES = Path(__file__).parents[4] / "examples"
USERS = ("vatukoula", "lacteos")

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of the loads and of every random choice.")
flags.DEFINE_enum("scenario", None, [s.name for s in SCENARIOS], "Only this scenario.")
flags.DEFINE_enum("user", None, USERS, "Only this user's document.")

HEADER = (
    f"{'scenario':29}{'system':15}{'rank':11}{'offered':>8}{'p50 ms':>8}{'p99 ms':>8}"
    f"{'misses':>8}{'refused':>8}{'goodput':>9}{'region':>7}{'link':>6}{'shift':>7}"
)


def rows(scenario: str, system: SystemUnderTest, results: Results) -> Iterator[str]:
    """Yield one line for each rank."""
    # Only plans tell what moved, so that the baselines have no figure.
    shift = "-" if system.is_baseline else f"{results.shift:.2%}"
    for rank in Rank:
        if not results.offered(rank):
            continue
        middle = results.percentile_ms(rank, 50)
        slowest = results.percentile_ms(rank, 99)
        yield (
            f"{scenario:29}{system.name:15}{rank.label:11}{results.offered(rank):8d}"
            f"{middle:8.0f}{slowest:8.0f}"
            f"{results.misses(rank):8.2%}{results.refused(rank):8.2%}"
            f"{results.goodput():9.0f}{results.region_use:7.0%}{results.link_use:6.0%}"
            f"{shift:>7}"
        )


def measure(user: str, seed: int, only: str | None) -> int:
    """Run every scenario for one user and print the targets.

    :return: the number of targets that were missed.
    """
    environment = scaled(parse_environment((EXAMPLES / f"{user}.ini").read_text()))
    chosen = [s for s in SCENARIOS if only in (None, s.name)]
    print(f"\n{user}, seed {seed}\n{HEADER}")
    runs = {}
    for scenario in chosen:
        for system in SYSTEMS:
            results = Run(environment, scenario, system, seed).run()
            runs[scenario, system] = results
            print("\n".join(rows(scenario.name, system, results)))
    found = tuple(targets(runs))
    print()
    for target in found:
        print(f"{'met' if target.met else 'MISSED':7}{target.name}: {target.measured}")
    return sum(not target.met for target in found)


def main(argv: Sequence[str]) -> None:
    """Run the measurements that the flags ask for."""
    load_plugins()
    users = [user for user in USERS if FLAGS.user in (None, user)]
    missed = sum(measure(user, FLAGS.seed, FLAGS.scenario) for user in users)
    print(f"\n{missed} targets missed")


if __name__ == "__main__":
    app.run(main)
