"""Runs the commands that the README shows, in their order."""

from __future__ import annotations

import re
import shutil
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LIMIT_S = 60
# A line of curl is run by the demonstration; an identifier is made anew each time.
ELSEWHERE = ("curl", "export", "sycamorenotch explain")


def shown_commands() -> list[str]:
    found = re.findall(r"^    \$ (.*)$", (ROOT / "README.md").read_text(), re.M)
    return [line for line in found if not line.startswith(ELSEWHERE)]


@pytest.fixture
def directory(tmp_path: Path) -> Iterator[Path]:
    command = [sys.executable, "-m", "sycamorenotch_workbench.run"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, cwd=tmp_path)
    assert process.stdout is not None
    process.stdout.readline()
    yield tmp_path
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=LIMIT_S)


def test_commands_of_readme_succeed_in_their_order(directory: Path) -> None:
    assert shutil.which("bash")
    environment = {"PATH": f"{Path(sys.executable).parent}:/usr/bin:/bin"}
    commands = shown_commands()
    assert len(commands) >= 8
    for line in commands:
        done = subprocess.run(
            ["bash", "-c", line],
            cwd=directory,
            env=environment,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )
        assert done.returncode == 0, (line, done.stderr)
