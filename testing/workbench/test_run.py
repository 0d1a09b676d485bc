"""Tests of the local example that ``make run`` serves."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import treq
from twisted.internet import reactor

from sycamorenotch_workbench import LocalExample

EXIT_LIMIT_S = 60
TOKEN = Path("build/local/operator.token")


def _accept_interrupts() -> None:
    # A shell without job control starts background commands with SIGINT ignored;
    # the child process would inherit this from the test run.
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_run_prints_one_line_and_exits_0_when_signalled(
    number: signal.Signals, tmp_path: Path
) -> None:
    command = [sys.executable, "-m", "sycamorenotch_workbench.run"]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, cwd=tmp_path, preexec_fn=_accept_interrupts
    )
    assert process.stdout is not None
    described = json.loads(process.stdout.readline())
    assert described["ready"] is True
    assert (tmp_path / TOKEN).read_text()
    process.send_signal(number)
    rest, _ = process.communicate(timeout=EXIT_LIMIT_S)
    assert (process.returncode, rest) == (0, b"")


@pytest.mark.parametrize("document", ["vatukoula", "lacteos"])
def test_every_listed_service_answers_when_called_as_described(
    run_in_reactor: Callable[..., Any], document: str
) -> None:
    async def scenario() -> None:
        example = LocalExample(reactor, document)
        await example.start()
        try:
            described = example.describe()
            for name, service in described["services"].items():
                method = "GET" if service["idempotent"] else "POST"
                url = f"{described['callers'][0]}/v1/call/{name}{service['path']}"
                headers = {"Idempotency-Key": f"key-{name}"}
                response = await treq.request(method, url, headers=headers)
                await treq.content(response)
                assert response.code == 200, name
        finally:
            await example.stop()

    run_in_reactor(scenario())
