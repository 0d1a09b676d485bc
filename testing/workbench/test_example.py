"""End-to-end tests of the local example over loopback sockets."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sycamorenotch_workbench import LocalExample


@pytest.fixture(scope="module")
def example(run_in_reactor: Callable[..., Any]) -> Iterator[LocalExample]:
    example = LocalExample(reactor)
    run_in_reactor(example.start())
    yield example
    run_in_reactor(example.stop())


def test_call_is_answered_when_caller_follows_lookup(
    example: LocalExample, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        callers = example.describe()["callers"][0]
        found = await treq.get(f"{callers}/v1/lookup?service=balance&client=10.1.0.7")
        answer = await treq.json_content(found)
        address = answer["instances"][0]["address"]
        response = await treq.get(f"http://{address}/v1/call/balance/balances/1?a=b")
        body = await treq.json_content(response)
        assert response.code == 200
        assert body["path"] == "/balances/1"
        decision = response.headers.getRawHeaders("Decision-Id")[0]
        assert body["request_id"] == decision

    run_in_reactor(scenario())


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "kind"),
    [
        ("GET", "nothing/1", {}, 404, "unknown-service"),
        ("GET", "balance/nothing", {}, 404, "unknown-route"),
        ("DELETE", "balance/balances/1", {}, 405, "method-not-allowed"),
        ("POST", "redemption/redemptions/1", {}, 400, "bad-idempotency-key"),
        (
            "GET",
            "balance/balances/1",
            {"Request-Timeout": "soon"},
            400,
            "bad-request-timeout",
        ),
    ],
)
def test_call_is_refused_when_request_is_malformed(
    example: LocalExample,
    run_in_reactor: Callable[..., Any],
    method: str,
    path: str,
    headers: dict[str, str],
    status: int,
    kind: str,
) -> None:
    async def scenario() -> None:
        callers = example.describe()["callers"][0]
        response = await treq.request(
            method, f"{callers}/v1/call/{path}", headers=headers
        )
        problem = await treq.json_content(response)
        assert (response.code, problem["kind"], problem["ran"]) == (status, kind, "no")

    run_in_reactor(scenario())


def test_response_has_each_header_once_when_upstream_and_server_set_it(
    example: LocalExample, run_in_reactor: Callable[..., Any]
) -> None:
    async def scenario() -> None:
        callers = example.describe()["callers"][0]
        response = await treq.get(f"{callers}/v1/call/balance/balances/1")
        await treq.content(response)
        for name in ("Server", "Date", "Content-Type", "Decision-Id"):
            assert len(response.headers.getRawHeaders(name)) == 1, name

    run_in_reactor(scenario())


def test_kept_connections_are_closed_when_the_example_stops(
    run_in_reactor: Callable[..., Any],
) -> None:
    # A later example may get the same port; a client that still had the connection
    # would reach the earlier one.
    async def scenario() -> None:
        example = LocalExample(reactor, instances=1)
        await example.start()
        listening = example.describe()
        names = ("callers", "operators", "upstreams")
        kept = [await _keep_connection(listening[name][0]) for name in names]
        kept.append(await _keep_connection(example.store_url))
        await example.stop()
        assert all([b"HTTP/1.1" in await client.closed for client in kept])

    run_in_reactor(scenario())


async def _keep_connection(url: str) -> _KeptConnection:
    host, _, port = url.removeprefix("http://").rpartition(":")
    endpoint = TCP4ClientEndpoint(reactor, host, int(port))
    client = await connectProtocol(endpoint, _KeptConnection())
    client.transport.write(b"GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n")
    await client.answered
    return client


class _KeptConnection(Protocol):
    """Keeps what it receives until the connection closes."""

    def __init__(self) -> None:
        self.answered: Deferred[None] = Deferred()
        self.closed: Deferred[bytes] = Deferred()
        self._received = b""

    def dataReceived(self, data: bytes) -> None:
        self._received += data
        if not self.answered.called:
            self.answered.callback(None)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.closed.callback(self._received)
