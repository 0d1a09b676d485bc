"""Tests of the HTTP/1.1 client and its connection pool."""

from __future__ import annotations

import gc
import weakref
from itertools import pairwise

import pytest
from twisted.internet import reactor
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from sycamorenotch_transport import ExchangeError
from sycamorenotch_transport import Http1Pool
from sycamorenotch_transport import HttpRequest
from sycamorenotch_transport import HttpResponse
from sycamorenotch_transport import ResponseMatch
from sycamorenotch_transport import get_header

REQUEST = HttpRequest("GET", "/a", (("Host", "h"), ("X-Id", "7")))
OK = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nhi"


class Transport(StringTransport):
    """Counts aborts, which the base class does not tell from closes."""

    aborted = 0

    def abortConnection(self) -> None:
        self.aborted += 1
        self.disconnecting = True


class FullTransport(Transport):
    """Takes one piece of a body and then asks the producer to pause."""

    def write(self, data: bytes) -> None:
        super().write(data)
        if self.producer is not None:
            self.producer.pauseProducing()


class ClientHarness:
    """A pool on a simulated reactor, with the connections that it opened."""

    def __init__(self, transport_class: type[Transport] = Transport) -> None:
        self.transport_class = transport_class
        self.reactor = MemoryReactorClock()
        self.pool = Http1Pool(self.reactor, "10.0.0.1:80", self.reactor.seconds)
        self.transports: list[Transport] = []
        self.protocols: list = []
        self.results: list = []

    def exchange(self, request: HttpRequest = REQUEST, **kwargs):
        result = Deferred.fromCoroutine(
            self.pool.exchange(request, connect_timeout_s=1.0, **kwargs)
        )
        result.addBoth(self.results.append)
        return result

    def accept(self) -> Transport:
        factory = self.reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        transport = self.transport_class()
        self.protocols.append(protocol)
        self.transports.append(transport)
        protocol.makeConnection(transport)
        return transport

    def respond(self, data: bytes, number: int = -1) -> None:
        self.protocols[number].dataReceived(data)

    def end(self, reason: Exception, number: int = -1) -> None:
        self.protocols[number].connectionLost(Failure(reason))

    @property
    def error(self) -> ExchangeError:
        return self.results[-1].value


@pytest.fixture
def harness() -> ClientHarness:
    return ClientHarness()


def test_request_is_sent_without_additional_headers(harness) -> None:
    harness.exchange()
    transport = harness.accept()
    assert transport.value() == b"GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n\r\n"


def test_connection_is_reused_when_the_response_is_complete(harness) -> None:
    harness.exchange()
    harness.accept()
    harness.respond(OK)
    harness.exchange()
    assert len(harness.reactor.tcpClients) == 1
    assert harness.results[0].body == b"hi"


def test_connection_is_not_reused_when_it_was_idle_too_long(harness) -> None:
    harness.exchange()
    harness.accept()
    harness.respond(OK.replace(b"X-Id", b"Keep-Alive: timeout=5\r\nX-Id"))
    harness.reactor.advance(4.1)
    harness.exchange()
    assert len(harness.reactor.tcpClients) == 2


def test_error_states_how_long_the_connection_was_idle(harness) -> None:
    harness.exchange()
    harness.accept()
    harness.respond(OK)
    harness.reactor.advance(1.5)
    harness.exchange()
    harness.end(ConnectionLost())
    assert harness.error.idle_s == 1.5


@pytest.mark.parametrize("extra", [b"x", OK])
def test_connection_is_closed_when_data_follows_the_response(harness, extra) -> None:
    harness.exchange()
    transport = harness.accept()
    harness.respond(OK + extra)
    assert harness.results[0].body == b"hi"
    assert transport.aborted


def test_connection_is_closed_when_data_arrives_while_idle(harness) -> None:
    harness.exchange()
    transport = harness.accept()
    harness.respond(OK)
    harness.respond(OK)
    assert transport.aborted
    harness.exchange()
    assert len(harness.reactor.tcpClients) == 2


def test_response_to_another_request_is_discarded(harness) -> None:
    harness.exchange(
        matches=lambda response: (
            ResponseMatch.OWN
            if get_header(response.headers, "x-id") == "7"
            else ResponseMatch.OTHER
        )
    )
    transport = harness.accept()
    harness.respond(OK.replace(b"X-Id: 7", b"X-Id: 6").replace(b"hi", b"no") + OK)
    assert harness.results[0].body == b"hi"
    assert transport.disconnecting


def test_truncated_response_fails_with_the_request_marked_as_sent(harness) -> None:
    harness.exchange()
    harness.accept()
    harness.respond(OK[:-1])
    harness.end(ConnectionDone())
    assert harness.error.sent and harness.error.response_started


def test_response_without_length_is_complete_when_the_connection_is_closed(
    harness,
) -> None:
    harness.exchange()
    harness.accept()
    harness.respond(b"HTTP/1.1 200 OK\r\n\r\nhello")
    harness.end(ConnectionDone())
    assert harness.results[0].body == b"hello"


def test_response_without_length_fails_when_the_connection_is_reset(harness) -> None:
    harness.exchange()
    harness.accept()
    harness.respond(b"HTTP/1.1 200 OK\r\n\r\nhello")
    harness.end(ConnectionLost())
    assert harness.error.sent


def test_malformed_response_fails_and_closes_the_connection(harness) -> None:
    harness.exchange()
    transport = harness.accept()
    harness.respond(b"\x00\x01nonsense\r\n\r\n")
    assert harness.error.sent
    assert transport.aborted


def test_request_is_marked_as_not_sent_when_the_connection_is_refused(harness) -> None:
    harness.exchange()
    factory = harness.reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    assert not harness.error.sent
    assert not harness.error.connected


def test_connection_is_closed_at_once_when_the_exchange_is_cancelled(harness) -> None:
    result = harness.exchange()
    transport = harness.accept()
    result.cancel()
    assert transport.aborted


def test_exchange_that_is_cancelled_while_connecting_is_no_failure_of_the_server(
    run_in_reactor,
) -> None:
    # Clients that left made workers count as unreachable.
    async def cancel() -> None:
        pool = Http1Pool(reactor, "127.0.0.1:9", reactor.seconds)
        exchange = Deferred.fromCoroutine(pool.exchange(REQUEST, 1.0))
        exchange.cancel()
        with pytest.raises(CancelledError):
            await exchange

    run_in_reactor(cancel())


def test_body_is_sent_with_its_length(harness) -> None:
    harness.exchange(HttpRequest("POST", "/a", (("Host", "h"),), b"abc"))
    transport = harness.accept()
    assert b"Content-Length: 3\r\n\r\nabc" in transport.value()


def test_connection_is_closed_when_the_request_cannot_be_encoded(harness) -> None:
    harness.exchange(HttpRequest("GET", "/a", (("Host", "h"), ("X", "a\nb"))))
    transport = harness.accept()
    assert not harness.error.sent
    assert transport.aborted
    assert transport.value() == b""


class Matcher:
    """Accepts every response; stands for one that refers to its request."""

    def __call__(self, response: HttpResponse) -> bool:
        return True


def test_idle_connection_does_not_keep_the_last_request() -> None:
    # A pool's idle connections would keep a long body each.
    harness = ClientHarness()
    matcher = Matcher()
    kept = weakref.ref(matcher)
    harness.exchange(matches=matcher)
    del matcher
    harness.accept()
    harness.respond(OK)
    gc.collect()
    assert kept() is None


def test_connection_that_is_not_reused_keeps_no_request() -> None:
    # Requests without an identifier use a connection once, and it is a reference cycle.
    harness = ClientHarness()
    kept = []

    def match(response: HttpResponse) -> ResponseMatch:
        return ResponseMatch.UNIDENTIFIED

    kept.append(weakref.ref(match))
    harness.exchange(matches=match)
    del match
    harness.accept()
    harness.respond(OK)
    assert kept[0]() is None
    assert harness.protocols[0]._sent_head is None


LONG = HttpRequest("POST", "/a", (("Host", "h"), ("X-Id", "7")), bytes(1_000_000))


def test_long_body_is_sent_in_pieces_while_the_server_reads() -> None:
    # The output of a connection must not hold another copy of the whole body.
    harness = ClientHarness(FullTransport)
    harness.exchange(LONG)
    transport = harness.accept()
    sizes = [0]
    while transport.producer is not None:
        sizes.append(len(transport.value()))
        transport.producer.resumeProducing()
    assert len(sizes) > 10
    assert max(b - a for a, b in pairwise(sizes)) < 70_000
    assert transport.value().endswith(b"\r\n\r\n" + LONG.body)
    harness.respond(OK)
    assert harness.results[0].body == b"hi"
    assert not transport.aborted


@pytest.mark.parametrize("reads", [0, 3])
def test_connection_is_not_reused_after_a_response_before_the_end_of_the_body(
    reads,
) -> None:
    # The server may read the rest of the body later, or take the next request for it.
    harness = ClientHarness(FullTransport)
    harness.exchange(LONG)
    transport = harness.accept()
    for _ in range(reads):
        transport.producer.resumeProducing()
    harness.respond(OK)
    assert harness.results[0].body == b"hi"
    assert transport.aborted == 1
    assert transport.producer is None
    sent = len(transport.value())
    harness.exchange()
    harness.accept()
    assert len(harness.transports) == 2
    assert len(transport.value()) == sent
