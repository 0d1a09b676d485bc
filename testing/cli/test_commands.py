"""Tests of the commands on a local fleet over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import treq

from sycamorenotch_cli._client import OperatorsClient
from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_cli._commands import Outcome
from sycamorenotch_kernel import REGISTRIES
from sycamorenotch_kernel import events
from sycamorenotch_workbench import LocalExample

RunCommand = Callable[..., Outcome]
Run = Callable[..., Any]


@pytest.fixture
def document(example: LocalExample, tmp_path: Path) -> Path:
    path = tmp_path / "document.ini"
    path.write_text(example.text)
    return path


def test_apply_waits_until_document_is_in_force_on_every_instance(
    run_command: RunCommand, document: Path
) -> None:
    outcome = run_command("apply", "production", str(document), wait=True)
    assert outcome.code is ExitCode.OK
    assert outcome.text.endswith("is in force on 2 of 2 instances")


def test_conflicting_apply_shows_newest_author_and_difference(
    run_command: RunCommand, document: Path
) -> None:
    seen = run_command("show", "production").data["generation"]
    won = run_command("apply", "production", str(document), author="ben")
    document.write_text(document.read_text().replace("cap = 10%", "cap = 5%"))
    lost = run_command("apply", "production", str(document), expect=seen)
    assert lost.code is ExitCode.CONFLICT
    assert f"generation {won.data['generation']}, written by ben at " in lost.text
    assert "+cap = 5%" in lost.text.splitlines()
    assert lost.data["winner"]["author"] == "ben"


def test_promotion_records_generation_it_is_copied_from(
    run_command: RunCommand, document: Path
) -> None:
    trial = run_command("apply", "trial", str(document))
    promoted = run_command("promote", wait=True)
    assert promoted.code is ExitCode.OK
    newest = run_command("history", "production").data["revisions"][0]
    assert newest["source"] == f"trial generation {trial.data['generation']}"
    assert newest["author"] == "ana"
    assert run_command("diff", "production", "trial").data["difference"] == []


def test_diff_shows_change_when_file_differs(
    run_command: RunCommand, document: Path
) -> None:
    document.write_text(document.read_text().replace("cap = 10%", "cap = 5%"))
    outcome = run_command("diff", "production", str(document))
    assert {"-cap = 10%", "+cap = 5%"} <= set(outcome.text.splitlines())


def test_drain_is_in_force_until_it_is_undone(
    example: LocalExample, run_command: RunCommand, run_in_reactor: Run
) -> None:
    callers = example.describe()["callers"][0]
    url = f"{callers}/v1/lookup?service=balance&client=10.1.0.7"

    async def count_instances() -> int:
        answer = await treq.json_content(await treq.get(url))
        return len(answer["instances"])

    assert run_in_reactor(count_instances()) == 2
    drained = run_command("drain", "instance", "entry-suva", wait=True)
    assert drained.code is ExitCode.OK
    assert run_in_reactor(count_instances()) == 1
    assert "drained: instance entry-suva, by ana" in run_command("status").text
    undone = run_command("drain", "instance", "entry-suva", wait=True, undo=True)
    assert undone.data["drains"] == []
    assert run_in_reactor(count_instances()) == 2


def test_workers_receive_no_calls_when_data_centre_is_drained(
    example: LocalExample, run_command: RunCommand, run_in_reactor: Run
) -> None:
    callers = example.describe()["callers"][0]

    async def responding_workers() -> set[str]:
        answers = [
            await treq.get(f"{callers}/v1/call/balance/balances/1") for _ in range(12)
        ]
        return {(await treq.json_content(answer))["worker"] for answer in answers}

    run_command("drain", "data-centre", "nadi", wait=True)
    used = run_in_reactor(responding_workers())
    run_command("drain", "data-centre", "nadi", wait=True, undo=True)
    assert not {name for name in used if name.startswith("balance-nadi")}


@pytest.mark.parametrize(
    ("args", "code"),
    [
        (("drain", "upstream", "nobody"), ExitCode.NOT_FOUND),
        (("drain", "planet", "nobody"), ExitCode.USAGE),
        (("show", "nowhere"), ExitCode.NOT_FOUND),
        (("explain", "d-0"), ExitCode.NOT_FOUND),
        (("report", "nothing"), ExitCode.USAGE),
        (("check", "no-such-file.ini"), ExitCode.USAGE),
        (("apply", "production", "Makefile"), ExitCode.INVALID),
    ],
)
def test_command_fails_with_exit_code_and_message_when_argument_is_invalid(
    run_command: RunCommand, args: tuple[str, ...], code: ExitCode
) -> None:
    outcome = run_command(*args)
    assert outcome.code is code
    assert outcome.text


def test_explain_describes_decision_of_a_call(
    example: LocalExample, run_command: RunCommand, run_in_reactor: Run
) -> None:
    callers = example.describe()["callers"][1]

    async def call() -> str:
        response = await treq.get(f"{callers}/v1/call/balance/balances/1")
        await treq.content(response)
        return str(response.headers.getRawHeaders("Decision-Id")[0])

    decision = run_in_reactor(call())
    outcome = run_command("explain", decision)
    assert outcome.text.startswith(f"Decision {decision} was about: call.")
    assert outcome.data["instance"] == "entry-suva"


def test_command_exits_as_unauthorized_when_token_is_wrong(
    run_command: RunCommand, client: OperatorsClient
) -> None:
    wrong = OperatorsClient(client.url, "wrong")
    assert run_command("status", client=wrong).code is ExitCode.UNAUTHORIZED


def test_command_exits_as_unreachable_when_nothing_listens(
    run_command: RunCommand,
) -> None:
    outcome = run_command("status", client=OperatorsClient("http://127.0.0.1:1", ""))
    assert outcome.code is ExitCode.UNREACHABLE


def test_plugins_lists_every_registry_and_none_is_empty(
    run_command: RunCommand,
) -> None:
    data = run_command("plugins").data
    assert set(data) == {registry.kind for registry in REGISTRIES}
    assert all(data.values())
    assert len(data["log event"]) == len(events)
