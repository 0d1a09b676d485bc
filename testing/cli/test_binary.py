"""Tests of the installed command in a separate process."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from sycamorenotch_cli._commands import ExitCode
from sycamorenotch_kernel import commands

ROOT = Path(__file__).parents[2]
BINARY = Path(sys.executable).with_name("sycamorenotch")
TIMEOUT_S = 60


def run_binary(*args: str) -> subprocess.CompletedProcess[str]:
    command = [str(BINARY), *args]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, cwd=ROOT
    )


def test_check_reports_every_mistake_of_a_document(tmp_path: Path) -> None:
    text = (ROOT / "examples" / "vatukoula.ini").read_text()
    mistakes = {
        "cap = 10%": "cap = 10",
        "drain = 30s": "drain = thirty",
        "rank = deferrable": "rank = lowest",
        "budget = 4 Gbit/s": "budget = 4 Gbit/s\ncolour = red",
        "slots = 4": "slots = some",
    }
    for right, wrong in mistakes.items():
        assert right in text
        text = text.replace(right, wrong, 1)
    path = tmp_path / "wrong.ini"
    path.write_text(text)
    found = run_binary("check", str(path), "--format=json")
    assert found.returncode == ExitCode.INVALID
    assert len(json.loads(found.stdout)["problems"]) == len(mistakes)


@pytest.mark.parametrize(
    ("args", "code"),
    [
        ((), ExitCode.USAGE),
        (("--help",), ExitCode.OK),
        (("nothing",), ExitCode.USAGE),
        (("drain", "upstream"), ExitCode.USAGE),
        (("status", "--no-such-flag"), ExitCode.USAGE),
        (("--format", "json"), ExitCode.USAGE),
        (("check", "/"), ExitCode.USAGE),
        (("status", "--operators=http://127.0.0.1:1"), ExitCode.UNREACHABLE),
        (("status", "--token_file=no-such-file"), ExitCode.USAGE),
        (("check", "examples/lacteos.ini"), ExitCode.OK),
    ],
)
def test_exit_code_states_the_kind_of_error(
    args: tuple[str, ...], code: ExitCode
) -> None:
    found = run_binary(*args)
    assert found.returncode == code
    assert found.stdout or found.stderr
    assert "Traceback" not in found.stderr


def test_help_shows_example_when_a_command_is_given() -> None:
    found = run_binary("promote", "--help")
    assert found.returncode == ExitCode.OK
    assert commands.get("promote").example in found.stdout
