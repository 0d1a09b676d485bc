"""Tests of the gateway's process: how it ends when it cannot start."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys

from testing.platform.conftest import SETTINGS

from sycamorenotch_gateway.main import EXIT_CANNOT_LISTEN
from sycamorenotch_gateway.main import EXIT_INVALID_SETTINGS

TIMEOUT_S = 30.0


def run_gateway(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sycamorenotch_gateway.main", *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        env={"PATH": os.environ["PATH"]},
        check=False,
    )


def test_gateway_ends_with_an_error_line_when_a_port_is_taken(tmp_path) -> None:
    path = tmp_path / "gateway.ini"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        text = SETTINGS.format(store="127.0.0.1:9")
        path.write_text(
            text.replace("gossip = 127.0.0.1:0", f"gossip = 127.0.0.1:{port}")
        )
        ended = run_gateway(f"--settings={path}")
    assert ended.returncode == EXIT_CANNOT_LISTEN
    (line,) = [
        json.loads(line)
        for line in ended.stdout.splitlines()
        if "gateway.cannot-listen" in line
    ]
    assert str(port) in line["detail"]


def test_missing_settings_variable_is_named() -> None:
    ended = run_gateway("--settings_variable=NO_SUCH_VARIABLE")
    assert ended.returncode == EXIT_INVALID_SETTINGS
    assert "NO_SUCH_VARIABLE" in ended.stderr
