"""Tests of the rejection of malformed, too large and slow requests."""

from __future__ import annotations

import re
from collections.abc import Iterator
from datetime import timedelta

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from sycamorenotch_daemon._problems import rejection_response
from sycamorenotch_transport import HttpListener
from sycamorenotch_transport import RequestLimits

LIMITS = RequestLimits(2048, 4096, timedelta(milliseconds=200))


class Echo(Resource):
    """Returns the body of a POST at once and answers a GET after a delay."""

    isLeaf = True

    def render_POST(self, req):
        return req.content.read()

    def render_GET(self, req):
        waiting = deferLater(reactor, 0.2)
        waiting.addCallback(lambda _: (req.write(b"late"), req.finish()))
        return NOT_DONE_YET


class RawClient(Protocol):
    """Sends bytes and collects every byte until the connection closes."""

    def __init__(self) -> None:
        self.received = b""
        self.closed: Deferred[bytes] = Deferred()

    def dataReceived(self, data: bytes) -> None:
        self.received += data

    def connectionLost(self, reason=connectionDone) -> None:
        self.closed.callback(self.received)


def build_listener() -> HttpListener:
    return HttpListener(
        reactor, "", "127.0.0.1:0", lambda p: rejection_response(p, "d-1"), LIMITS
    )


@pytest.fixture
def listener(run_in_reactor) -> Iterator[HttpListener]:
    listener = build_listener()
    run_in_reactor(listener.start(Echo()))
    yield listener
    run_in_reactor(listener.stop(timedelta()))


def address(listener: HttpListener) -> TCP4ClientEndpoint:
    return TCP4ClientEndpoint(reactor, "127.0.0.1", listener._port.getHost().port)


async def exchange(endpoint: TCP4ClientEndpoint, *parts: bytes) -> bytes:
    client = await connectProtocol(endpoint, RawClient())
    for part in parts:
        client.transport.write(part)
        await deferLater(reactor, 0)
    received = await client.closed
    return received


CHUNK = b"1000\r\n" + b"x" * 4096 + b"\r\n"


@pytest.mark.parametrize(
    ("parts", "status", "kind"),
    [
        pytest.param([b"nonsense\r\n\r\n"], 400, "bad-request", id="no-http"),
        pytest.param(
            [b"GET / HTTP/1.1\r\nA b: c\r\n\r\n"], 400, "bad-request", id="header"
        ),
        pytest.param(
            [b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"],
            400,
            "bad-request",
            id="length",
        ),
        pytest.param(
            [b"GET / HTTP/1.1\r\nA: " + b"a" * 3000 + b"\r\n\r\n"],
            431,
            "headers-too-large",
            id="long-header",
        ),
        pytest.param(
            [b"GET /" + b"a" * 40000], 431, "headers-too-large", id="long-path"
        ),
        pytest.param(
            [b"GET / HTTP/1.1\r\n" + b"A:b\r\n" * 600 + b"\r\n"],
            431,
            "headers-too-large",
            id="many-headers",
        ),
        pytest.param(
            [b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", b"x" * 5000],
            413,
            "body-too-large",
            id="long-body",
        ),
        pytest.param(
            [b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK, CHUNK],
            413,
            "body-too-large",
            id="many-chunks",
        ),
        pytest.param([b"GET / HT"], 408, "slow-sender", id="half-line"),
        pytest.param(
            [b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n", b"x"],
            408,
            "slow-sender",
            id="half-body",
        ),
    ],
)
def test_request_is_rejected_with_one_response_when_it_exceeds_a_limit(
    listener, run_in_reactor, parts, status: int, kind: str
) -> None:
    received = run_in_reactor(exchange(address(listener), *parts))
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"application/problem+json" in head
    assert f'"kind": "{kind}", "ran": "no"'.encode() in body
    assert received.count(b"HTTP/1.1") == 1


def test_body_at_the_limit_is_accepted(listener, run_in_reactor) -> None:
    head = b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 4096\r\n\r\n"
    received = run_in_reactor(exchange(address(listener), head, b"x" * 4096))
    assert received.endswith(b"\r\n\r\n" + b"x" * 4096)


def test_malformed_form_is_forwarded_without_parsing(listener, run_in_reactor) -> None:
    head = (
        b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 3\r\n"
        b"Content-Type: multipart/form-data; boundary=b\r\n\r\n"
    )
    received = run_in_reactor(exchange(address(listener), head, b"bad"))
    assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"bad")


def test_stop_finishes_open_requests_and_refuses_new_connections(
    run_in_reactor,
) -> None:
    async def scenario() -> None:
        listener = build_listener()
        await listener.start(Echo())
        endpoint = address(listener)
        request = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
        calling = Deferred.fromCoroutine(exchange(endpoint, request))
        await deferLater(reactor, 0.05)
        stopping = Deferred.fromCoroutine(listener.stop(timedelta(seconds=5)))
        with pytest.raises(ConnectionRefusedError):
            await exchange(endpoint, request)
        assert await stopping == 0
        assert b"late" in await calling

    run_in_reactor(scenario())


def test_stop_returns_open_requests_when_the_timeout_passes(run_in_reactor) -> None:
    async def scenario() -> None:
        listener = build_listener()
        await listener.start(Echo())
        request = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
        calling = Deferred.fromCoroutine(exchange(address(listener), request))
        await deferLater(reactor, 0.05)
        assert await listener.stop(timedelta(milliseconds=20)) == 1
        await calling

    run_in_reactor(scenario())


def test_stop_closes_idle_connections(run_in_reactor) -> None:
    async def scenario() -> None:
        listener = build_listener()
        await listener.start(Echo())
        client = await connectProtocol(address(listener), RawClient())
        client.transport.write(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        await deferLater(reactor, 0.05)
        assert client.received.startswith(b"HTTP/1.1 200")
        await listener.stop(timedelta())
        client.transport.write(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        assert (await client.closed).count(b"HTTP/1.1") == 1

    run_in_reactor(scenario())


def test_connection_with_an_open_request_closes_after_the_answer_when_stopping(
    run_in_reactor,
) -> None:
    async def scenario() -> None:
        listener = build_listener()
        await listener.start(Echo())
        calling = Deferred.fromCoroutine(
            exchange(address(listener), b"GET / HTTP/1.1\r\n\r\n")
        )
        await deferLater(reactor, 0.05)
        assert await listener.stop(timedelta(milliseconds=20)) == 1
        assert b"late" in await calling

    run_in_reactor(scenario())


def test_requests_sent_ahead_are_answered_in_order(listener, run_in_reactor) -> None:
    # They are read in several turns of the loop, each behind the one before it.
    post = "POST / HTTP/1.1\r\nConnection: %s\r\nContent-Length: 4\r\n\r\n%04d"
    requests = [post % ("keep-alive", number) for number in range(1_000)]
    requests.append(post % ("close", 1_000))
    data = "".join(requests).encode()
    received = run_in_reactor(exchange(address(listener), data))
    assert re.findall(rb"\r\n\r\n(\d{4})", received) == [
        b"%04d" % number for number in range(1_001)
    ]
