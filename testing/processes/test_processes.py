"""Tests of the system with each part in a separate process on loopback."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from sycamorenotch_workbench._example import SETTINGS
from sycamorenotch_workbench._example import free_ports

START_LIMIT_S = 30.0
STOP_LIMIT_S = 60.0

DOCUMENT = """\
[environment]
operator = Test
[shift]
cap = 10%
window = 60s
[bounds]
answer_lifetime = 200ms
leaving = 1s
drain = 10s
claim_lifetime = 1h
stale_after = 15s
cold_start = 1s
[rank urgent]
worth = 100
floor = 40%
deadline = 5s
[rank standard]
worth = 10
floor = 30%
deadline = 5s
[rank deferrable]
worth = 1
floor = 10%
deadline = 5s
[region west]
data_centres = west-a, west-b
client_latency = 1ms
internal_latency = 1ms
client_blocks = 127.0.0.0/8
[service voucher]
service_time = 5ms
answer_size = 1 kB
[route lookup]
service = voucher
prefix = /vouchers
methods = GET
rank = standard
idempotent = yes
[workers voucher]
service = voucher
data_centre = west-a
addresses = {upstream}
slots = 4
connections = 100
connection_cost = 1ms
"""


@dataclass
class System:
    callers: list[str]
    upstream: str
    daemons: list[subprocess.Popen[str]]


def start(arguments: list[str]) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def end(process: subprocess.Popen[str]) -> None:
    if process.poll() is None:
        process.kill()
    process.communicate()


def ready_url(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    return str(json.loads(process.stdout.readline())["url"])


def fetch(
    url: str, method: str = "GET", body: bytes | None = None, **headers: str
) -> tuple[int, Any]:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    req = urllib.request.Request(url, data=body, method=method, headers=named)
    try:
        with urllib.request.urlopen(req, timeout=START_LIMIT_S) as response:
            return response.status, json.loads(response.read() or b"null")
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read() or b"null")


def wait_for_start(process: subprocess.Popen[str]) -> None:
    assert process.stderr is not None
    lines = []
    for line in process.stderr:
        if "daemon.started" in line:
            return
        lines.append(line)
    raise AssertionError(f"the daemon ended before it had started: {lines}")


def start_daemon(
    folder: Path, data_centre: str, ports: list[int], store: str
) -> subprocess.Popen[str]:
    callers, peers, operators = ports
    token = folder / "token"
    token.write_text("secret")
    settings = folder / f"{data_centre}.ini"
    settings.write_text(
        SETTINGS.format(
            environment="production",
            region="west",
            data_centre=data_centre,
            callers=callers,
            peers=peers,
            operators=operators,
            store=store,
            token_file=token,
        )
    )
    command = "from sycamorenotch_daemon.main import main; main()"
    return start(["-c", command, f"--settings={settings}"])


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    with ExitStack() as stack:

        def running(process: subprocess.Popen[str]) -> subprocess.Popen[str]:
            stack.callback(end, process)
            return process

        serve = ["-m", "sycamorenotch_standins.serve"]
        upstream = ready_url(running(start([*serve, "--role=upstream"])))
        # Drawn together, as two draws may have a port in common.
        free = free_ports(6)
        ports = [free[:3], free[3:]]
        listed = [
            {
                "id": f"entry-west-{letter}",
                "region": "west",
                "data_centre": f"west-{letter}",
                "callers": f"127.0.0.1:{taken[0]}",
                "peers": f"127.0.0.1:{taken[1]}",
                "operators": f"127.0.0.1:{taken[2]}",
                "state": "live",
            }
            for letter, taken in zip("ab", ports, strict=True)
        ]
        store = ready_url(running(start([*serve, f"--instances={json.dumps(listed)}"])))
        text = DOCUMENT.format(upstream=upstream.removeprefix("http://")).encode()
        url = f"{store}/v1/objects/environments/production"
        status, _ = fetch(url, "PUT", text, If_None_Match="*")
        assert status == 201
        daemons = [
            running(start_daemon(tmp_path, f"west-{letter}", taken, store))
            for letter, taken in zip("ab", ports, strict=True)
        ]
        for daemon in daemons:
            wait_for_start(daemon)
        callers = [f"http://127.0.0.1:{taken[0]}" for taken in ports]
        yield System(callers, upstream, daemons)


def test_call_is_answered_when_every_part_is_a_separate_process(system: System) -> None:
    url = f"{system.callers[0]}/v1/lookup?service=voucher&client=127.0.0.1"
    status, found = fetch(url)
    assert status == 200
    address = found["instances"][0]["address"]
    status, answer = fetch(f"http://{address}/v1/call/voucher/vouchers/7")
    assert (status, answer["path"]) == (200, "/vouchers/7")


def test_daemon_exits_cleanly_when_terminated(system: System) -> None:
    daemon = system.daemons[0]
    daemon.send_signal(signal.SIGTERM)
    _, log = daemon.communicate(timeout=STOP_LIMIT_S)
    assert daemon.returncode == 0
    assert "daemon.stopped" in log
    status, _ = fetch(f"{system.callers[1]}/v1/call/voucher/vouchers/7")
    assert status == 200


def test_other_instance_serves_when_one_is_killed(system: System) -> None:
    system.daemons[0].kill()
    system.daemons[0].wait()
    status, _ = fetch(f"{system.callers[1]}/v1/call/voucher/vouchers/7")
    assert status == 200
