"""Runs the soak test state machine from a seed: ``make soak``."""

from __future__ import annotations

from collections import Counter

from absl import app
from absl import flags
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import seed
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from sycamorenotch_kernel import load_plugins
from sycamorenotch_workbench._soak_machine import SoakMachine
from sycamorenotch_workbench._soak_machine import machine_settings

STEPS_PER_EXAMPLE = 100

SEED = flags.DEFINE_integer("seed", 1, "Seed of the run.")
STEPS = flags.DEFINE_integer("steps", 2000, "Minimum number of steps.")
SHRINK = flags.DEFINE_bool("shrink", False, "Whether to shrink a failing example.")


def main() -> None:
    """Run until the step count is reached or an example fails; print the totals."""
    app.run(_run)


def _run(argv: list[str]) -> None:
    load_plugins()
    totals, batch, failure = SoakMachine.totals, SEED.value * 1_000_000, None
    while totals.steps < STEPS.value and failure is None:
        failure = _run_batch(batch)
        batch += 1
    _print_totals()
    if failure is not None:
        raise failure


def _run_batch(batch: int) -> Exception | None:
    options = machine_settings(
        STEPS_PER_EXAMPLE,
        5,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate, *([Phase.shrink] if SHRINK.value else [])],
        print_blob=False,
    )
    machine = seed(batch)(SoakMachine)
    try:
        run_state_machine_as_test(machine, settings=settings(**options))
    except Exception as exc:
        return exc
    return None


def _print_totals() -> None:
    totals = SoakMachine.totals
    print(f"seed {SEED.value}: {totals.steps} steps")
    _print_counts("faults", totals.faults)
    _print_counts("events", totals.events)
    _print_counts("replies", totals.replies)


def _print_counts(title: str, counts: Counter[str]) -> None:
    print(f"{title}: " + ", ".join(f"{n} {c}" for n, c in sorted(counts.items())))


if __name__ == "__main__":
    main()
