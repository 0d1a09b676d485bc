"""Tests of the service-level burn report."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import treq

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_daemon._burn import BurnRecorder
from sycamorenotch_kernel import BurnAlarm
from sycamorenotch_workbench import LocalExample

RunCommand = Callable[..., Outcome]
Run = Callable[..., Any]


async def call(url: str, count: int) -> None:
    for _ in range(count):
        await treq.content(await treq.get(url))


def objective(outcome: Outcome, service: str) -> Any:
    found = outcome.data["objectives"]
    return next(item for item in found if item["service"] == service)


def test_report_sums_instances_and_lists_kinds_that_spent_the_budget(
    example: LocalExample, run_command: RunCommand, run_in_reactor: Run, tmp_path: Path
) -> None:
    callers = example.describe()["callers"]
    for url in callers:
        run_in_reactor(call(f"{url}/v1/call/balance/balances/1", 3))
    for worker in example.workers.values():
        worker.fault.set("shed", 0.0, None)
    run_in_reactor(call(f"{callers[0]}/v1/call/balance/balances/1", 2))
    for worker in example.workers.values():
        worker.fault.set("none", 0.0, None)
    page = tmp_path / "burn.html"
    outcome = run_command("report", "burn", output=str(page))
    assert outcome.code is ExitCode.OK
    balance = objective(outcome, "balance")
    assert balance["windows"]["3d"]["total"] == 8
    assert balance["windows"]["5m"]["failed"] == 2
    assert balance["windows"]["5m"]["burn_rate"] == 50.0
    assert balance["alarms"] == ["fast", "slow"]
    assert sum(item["count"] for item in balance["spent"]) == 2
    decision = balance["spent"][0]["decisions"][0]
    assert run_command("explain", decision).code is ExitCode.OK
    recorder = example.daemons[0].node.require(BurnRecorder)
    recorder._on_check()
    raised = {r.objective.service: r.alarms for r in recorder.recorders if r.alarms}
    assert raised == {"balance": {BurnAlarm.FAST, BurnAlarm.SLOW}}
    text = page.read_text()
    assert text.count("<svg") == 2
    assert not re.search(r'(src|href)="https?:', text)


class ClientWithUnreachablePeer:
    """Client of an instance whose only peer is unreachable."""

    def __init__(self, client: OperatorsClient) -> None:
        self._client = client

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def peer(self, address: str) -> OperatorsClient:
        return self._client.peer("127.0.0.1:1")


@pytest.mark.parametrize("command", ["report burn", "status"])
def test_command_lists_instance_that_does_not_respond(
    run_command: RunCommand, client: OperatorsClient, command: str
) -> None:
    outcome = run_command(*command.split(), client=ClientWithUnreachablePeer(client))
    assert outcome.code is ExitCode.PARTIAL
    assert outcome.data["missing"] == ("entry-suva",)
    assert "1 of 2 instances answered; missing: entry-suva" in outcome.text
