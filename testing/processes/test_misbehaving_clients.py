"""Tests that misbehaving clients do not stop a daemon of the local example."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from testing.platform.crowds import HOLD_S
from testing.platform.crowds import MEMORY_MB
from testing.platform.crowds import CrowdFactory
from testing.platform.crowds import EndlessClient
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import HttpRequest

LOOKUP = "/v1/lookup?service=balance&client=10.1.0.7"
ANSWER_TIMEOUT_S = 6.0
CROWDS = {
    "chunks of one byte": (
        20,
        b"POST /v1/call/redemption/redemptions/1 HTTP/1.1\r\nHost: h\r\n"
        b"Idempotency-Key: crowd\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "requests sent ahead": (
        40,
        b"",
        f"GET {LOOKUP} HTTP/1.1\r\nHost: h\r\n\r\n".encode(),
    ),
}


@pytest.fixture
def example(tmp_path):
    """Yield the process of a local example and the address of one instance."""
    command = [sys.executable, "-m", "sycamorenotch_workbench.run"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, cwd=tmp_path)
    assert process.stdout is not None
    callers = json.loads(process.stdout.readline())["callers"]
    yield process, callers[0].removeprefix("http://").rstrip("/")
    process.kill()
    process.wait()


async def look_up(address: str) -> int:
    pool = Http1Pool(reactor, address, reactor.seconds)
    exchange = Deferred.fromCoroutine(
        pool.exchange(HttpRequest("GET", LOOKUP, (("Host", "h"),)), 1.0)
    )
    exchange.addTimeout(ANSWER_TIMEOUT_S, reactor)
    try:
        return (await exchange).status
    finally:
        pool.close()


@pytest.mark.parametrize("kind", CROWDS)
def test_caller_is_answered_beside_misbehaving_clients(
    run_in_reactor, example, kind
) -> None:
    # All that had arrived was parsed, and every request answered, in one turn.
    process, address = example
    count, first, repeated = CROWDS[kind]
    host, _, port = address.rpartition(":")

    async def play() -> None:
        factory = CrowdFactory(lambda: EndlessClient(first, repeated, reads=False))
        crowd = [
            reactor.connectTCP(host, int(port), factory, 1.0) for _ in range(count)
        ]
        await deferLater(reactor, HOLD_S, lambda: None)
        beside = await look_up(address)
        for connector in crowd:
            connector.disconnect()
        afterwards = await look_up(address)
        lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
        (largest_kb,) = [int(line.split()[1]) for line in lines if line[:5] == "VmHWM"]
        print(f"{largest_kb / 1024:.0f} MB", beside, afterwards)
        assert (beside, afterwards) == (200, 200)
        assert largest_kb / 1024 < MEMORY_MB
        assert process.poll() is None

    run_in_reactor(play())
