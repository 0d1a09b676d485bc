"""Runs a short fault soak, and the seeds that have failed before."""

from __future__ import annotations

import subprocess
import sys

import pytest

SECONDS = 5
TIMEOUT_S = 100
# Seeds of runs that found a fault, each with the cause.
REGRESSIONS: dict[int, str] = {}


@pytest.mark.parametrize("seed", [7, *REGRESSIONS])
def test_guarantees_hold_when_processes_links_and_store_fail(seed, tmp_path) -> None:
    command = [sys.executable, "-m", "testing.platform.fault_soak"]
    command += [f"--seed={seed}", f"--seconds={SECONDS}", f"--logs={tmp_path}"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "VIOLATION" not in done.stdout
