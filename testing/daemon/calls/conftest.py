"""Fixtures for the tests of single calls."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from datetime import timedelta
from typing import Any

import pytest
from twisted.internet import reactor
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from sycamorenotch_daemon._clock import SystemClock
from sycamorenotch_kernel import Call
from sycamorenotch_kernel import DecisionId
from sycamorenotch_kernel import Rank
from sycamorenotch_kernel import Route
from sycamorenotch_kernel import Worker


@dataclass
class ScriptedUpstream(Factory):
    """Server on the loopback interface that answers every request alike.

    :param answer: bytes of each answer.
    :param close: whether to close the connection after an answer.
    :param abort: whether to reset the connection after an answer.
    """

    answer: bytes = b""
    close: bool = False
    abort: bool = False
    requests: list[bytes] = field(default_factory=list)
    opened: int = 0
    lost: int = 0
    address: str = ""

    def buildProtocol(self, addr: Any) -> Protocol:
        self.opened += 1
        return _ScriptedConnection(self)


class _ScriptedConnection(Protocol):
    def __init__(self, upstream: ScriptedUpstream) -> None:
        self._upstream = upstream

    def dataReceived(self, data: bytes) -> None:
        self._upstream.requests.append(data)
        self.transport.write(self._upstream.answer)
        if self._upstream.abort:
            self.transport.abortConnection()
        elif self._upstream.close:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self._upstream.lost += 1


@pytest.fixture
def upstream(run_in_reactor: Callable[..., Any]) -> Iterator[ScriptedUpstream]:
    upstream = ScriptedUpstream()
    port = reactor.listenTCP(0, upstream, interface="127.0.0.1")
    upstream.address = f"127.0.0.1:{port.getHost().port}"

    async def close() -> None:
        await port.stopListening()

    yield upstream
    run_in_reactor(close())


@pytest.fixture
def make_worker() -> Callable[[str], Worker]:
    cost = timedelta(milliseconds=1)
    return lambda address: Worker(
        "w1", "balance", "west", "west-a", address, 4, 100, cost
    )


@pytest.fixture
def make_call() -> Callable[..., Call]:
    def make(idempotent: bool = True, seconds: float = 5.0) -> Call:
        methods = frozenset({"GET", "POST"})
        route = Route(
            "lookup", "balance", "/balances", methods, Rank.URGENT, idempotent
        )
        return Call(
            id=DecisionId("d-1"),
            route=route,
            method="GET",
            path="/balances/1?a=b",
            headers=(("Accept", "a"), ("Accept", "b")),
            body=b"",
            client="127.0.0.1",
            key=None,
            deadline=SystemClock().monotonic() + timedelta(seconds=seconds),
            generation=1,
        )

    return make
