"""Tests of the soak machine: invariants hold, and broken mechanisms are detected."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import seed
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from sycamorenotch_daemon._claim_stage import ClaimStage
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import CallResult
from sycamorenotch_kernel import Proceed
from sycamorenotch_standins import UpstreamWorker
from sycamorenotch_workbench._soak_machine import SoakMachine
from sycamorenotch_workbench._soak_machine import machine_settings


def run_machine(number: int, steps: int, examples: int) -> None:
    options = machine_settings(
        steps,
        examples,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate],
        print_blob=False,
    )
    machine = seed(number)(SoakMachine)
    run_state_machine_as_test(machine, settings=settings(**options))


@pytest.mark.parametrize("number", [1, 2])
def test_invariants_hold_when_faults_are_injected_at_random(number: int) -> None:
    run_machine(number, steps=40, examples=3)


def test_machine_fails_when_claims_are_skipped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run(self: ClaimStage, call: Call, proceed: Proceed) -> CallResult:
        return await proceed(call)

    monkeypatch.setattr(ClaimStage, "run", run)
    with pytest.raises(AssertionError, match="ran more than once"):
        run_machine(1, steps=40, examples=10)


def test_machine_fails_when_workers_shed_requests_that_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shed = UpstreamWorker._shed

    def run_and_shed(self: UpstreamWorker, req: object) -> bytes:
        key = req.getHeader("Idempotency-Key")  # type: ignore[attr-defined]
        if key is not None:
            self.executions[key] += 1
        return shed(self, req)

    monkeypatch.setattr(UpstreamWorker, "_shed", run_and_shed)
    with pytest.raises(AssertionError, match=r"but ran|more than once"):
        run_machine(1, steps=40, examples=20)
